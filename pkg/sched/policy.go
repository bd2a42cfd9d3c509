package sched

import "sort"

// Policy chooses workers for the tasks of the jobs it applies to.
type Policy[J any] interface {
	// Name is the policy's name in decisions and logs.
	Name() string
	// AppliesTo reports whether the policy handles the job.
	AppliesTo(job J) bool
	// Choose returns a position for each of the given number of tasks, or
	// false. It may Allocate from the view to account for its own choices.
	Choose(view *View, job J, tasks int) ([]Position, bool)
}

// Prioritized is a value with its priority; lower numbers come first.
type Prioritized[P any] struct {
	Value    P
	Priority int
}

// Registry holds values in the order of their priority.
type Registry[P any] struct {
	items []Prioritized[P]
}

// NewRegistry returns a Registry of the items.
func NewRegistry[P any](items ...Prioritized[P]) *Registry[P] {
	r := &Registry[P]{items: append([]Prioritized[P](nil), items...)}
	sort.SliceStable(r.items, func(i, j int) bool {
		return r.items[i].Priority < r.items[j].Priority
	})
	return r
}

// First returns the first value that matches, and whether there is one.
func (r *Registry[P]) First(match func(P) bool) (P, bool) {
	for _, item := range r.items {
		if match(item.Value) {
			return item.Value, true
		}
	}
	var none P
	return none, false
}

// DefaultPolicies returns the policies for services, gangs and batch jobs.
func DefaultPolicies() []Prioritized[Policy[*Job]] {
	return []Prioritized[Policy[*Job]]{
		{
			Value:    NewServicePolicy(),
			Priority: 100,
		},
		{
			Value:    NewGangPolicy(),
			Priority: 200,
		},
		{
			Value:    NewBatchPolicy(),
			Priority: 300,
		},
	}
}

type servicePolicy struct{}

// NewServicePolicy returns the policy for services. It spreads the tasks of
// a service over failure domains and racks, and prefers the worker with the
// most free resources.
func NewServicePolicy() Policy[*Job] {
	return servicePolicy{}
}

func (servicePolicy) Name() string { return "service" }

func (servicePolicy) AppliesTo(job *Job) bool { return job.Kind == KindService }

// Choose prefers the failure domain with the fewest tasks of the service,
// and within it the rack with the fewest.
func (servicePolicy) Choose(view *View, job *Job, _ int) ([]Position, bool) {
	for _, domain := range view.DomainsBySpread() {
		candidate, found := best(view.Sample(job, domain), func(a, b Candidate) bool {
			if a.RackTasks != b.RackTasks {
				return a.RackTasks < b.RackTasks
			}
			return a.MinFree > b.MinFree
		})
		if found {
			return view.Single(candidate.Position), true
		}
	}
	return nil, false
}

type batchPolicy struct{}

// NewBatchPolicy returns the policy for batch jobs. It places each task
// where the least is left over and where the remainder keeps the proportions
// of the worker.
func NewBatchPolicy() Policy[*Job] {
	return batchPolicy{}
}

func (batchPolicy) Name() string { return "batch" }

func (batchPolicy) AppliesTo(job *Job) bool { return job.Kind == KindBatch }

// Choose returns the best of a sample of the whole fleet.
func (batchPolicy) Choose(view *View, job *Job, _ int) ([]Position, bool) {
	candidate, found := best(view.Sample(job, view.All()), func(a, b Candidate) bool {
		return a.Waste < b.Waste
	})
	if !found {
		return nil, false
	}
	return view.Single(candidate.Position), true
}

type gangPolicy struct{}

// NewGangPolicy returns the policy for gangs. It places all tasks in one
// failure domain if one has enough free resources, and anywhere otherwise.
func NewGangPolicy() Policy[*Job] {
	return gangPolicy{}
}

func (gangPolicy) Name() string { return "gang" }

func (gangPolicy) AppliesTo(job *Job) bool { return job.Kind == KindGang }

// Choose tries the failure domains in descending order of free CPU.
func (gangPolicy) Choose(view *View, job *Job, tasks int) ([]Position, bool) {
	for _, domain := range view.DomainsByFreeCPU() {
		if positions, ok := placeGang(view, job, tasks, domain); ok {
			return positions, true
		}
	}
	return placeGang(view, job, tasks, view.All())
}

func placeGang(view *View, job *Job, tasks int, within Range) ([]Position, bool) {
	positions := view.Buffer()
	for len(positions) < tasks {
		position, ok := view.FirstFit(job, within)
		if !ok {
			view.Reset()
			return nil, false
		}
		for len(positions) < tasks && view.Allocate(position, job.Resources) {
			positions = append(positions, position)
		}
	}
	return positions, true
}

// best returns the first candidate in the given order, and whether there is
// one.
func best(candidates []Candidate, less func(a, b Candidate) bool) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	first := candidates[0]
	for _, c := range candidates[1:] {
		if less(c, first) {
			first = c
		}
	}
	return first, true
}

package sched

import "sort"

// Policy chooses workers for the tasks of the jobs it takes.
type Policy[J any] interface {
	// Name is what decisions of the policy are logged under.
	Name() string
	// Takes tells whether the policy is for the job.
	Takes(job J) bool
	// Choose returns a place for each of so many tasks, or false. It may
	// Take from the view to see what its own choices leave.
	Choose(view *View, job J, tasks int) ([]Place, bool)
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

// NewRegistry returns a registry of the values.
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

// DefaultPolicies returns the policies for services, gangs and batch.
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

// NewServicePolicy returns the policy for services: tasks of a service are
// spread over failure domains and racks, on the worker with most room left.
func NewServicePolicy() Policy[*Job] {
	return servicePolicy{}
}

// Name returns "service".
func (servicePolicy) Name() string { return "service" }

// Takes tells whether the job is a service's.
func (servicePolicy) Takes(job *Job) bool { return job.Kind == KindService }

// Choose looks in the failure domain with the fewest tasks of the service
// first, and there for the rack with the fewest.
func (servicePolicy) Choose(view *View, job *Job, _ int) ([]Place, bool) {
	for _, domain := range view.DomainsBySpread() {
		best, found := best(view.Sample(job, domain), func(a, b Candidate) bool {
			if a.InRack != b.InRack {
				return a.InRack < b.InRack
			}
			return a.Left > b.Left
		})
		if found {
			return view.One(best.Place), true
		}
	}
	return nil, false
}

type batchPolicy struct{}

// NewBatchPolicy returns the policy for batch: each task goes where the room
// left over is smallest and keeps the worker's own shape.
func NewBatchPolicy() Policy[*Job] {
	return batchPolicy{}
}

// Name returns "batch".
func (batchPolicy) Name() string { return "batch" }

// Takes tells whether the job is batch.
func (batchPolicy) Takes(job *Job) bool { return job.Kind == KindBatch }

// Choose takes the best of a sample of the whole fleet.
func (batchPolicy) Choose(view *View, job *Job, _ int) ([]Place, bool) {
	best, found := best(view.Sample(job, view.Everywhere()), func(a, b Candidate) bool {
		return a.Waste < b.Waste
	})
	if !found {
		return nil, false
	}
	return view.One(best.Place), true
}

type gangPolicy struct{}

// NewGangPolicy returns the policy for gangs: all tasks in one failure
// domain when one has the room, and otherwise anywhere.
func NewGangPolicy() Policy[*Job] {
	return gangPolicy{}
}

// Name returns "gang".
func (gangPolicy) Name() string { return "gang" }

// Takes tells whether the job is a gang.
func (gangPolicy) Takes(job *Job) bool { return job.Kind == KindGang }

// Choose tries the failure domains with most room first.
func (gangPolicy) Choose(view *View, job *Job, tasks int) ([]Place, bool) {
	for _, domain := range view.DomainsByRoom() {
		if places, ok := gather(view, job, tasks, domain); ok {
			return places, true
		}
	}
	return gather(view, job, tasks, view.Everywhere())
}

func gather(view *View, job *Job, tasks int, within Range) ([]Place, bool) {
	places := view.Buffer()
	for len(places) < tasks {
		place, ok := view.Next(job, within)
		if !ok {
			view.Reset()
			return nil, false
		}
		for len(places) < tasks && view.Take(place, job.Room) {
			places = append(places, place)
		}
	}
	return places, true
}

// best returns the candidate that comes first by the order.
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

package graph

import (
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// StateOf returns how the job stands.
func (l *Ledger) StateOf(a Address, id JobID) (State, Refusal) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, tenant, refusal := l.resolve(a)
	if refusal != "" {
		return 0, refusal
	}
	job := l.jobs[id]
	if job == nil || job.Tenant != "" && job.Tenant != tenant && tenant != "" {
		return 0, RefusedNoJob
	}
	return job.State, ""
}

// PendingOf returns how many jobs of the queue no task of has started.
func (l *Ledger) PendingOf(a Address) (int, Refusal) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	queue, _, refusal := l.resolve(a)
	if refusal != "" {
		return 0, refusal
	}
	return l.pending[queue.Name], ""
}

// Admits tells whether a job would be admitted, or is known already.
func (l *Ledger) Admits(s *Submit) (known bool, refusal Refusal) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	queue, tenant, refusal := l.resolve(s.Address)
	if refusal != "" {
		return false, refusal
	}
	if l.jobs[s.ID] != nil {
		return true, ""
	}
	return false, l.everFits(queue, tenant, s.Spec.Steps)
}

// everFits refuses a job with a step whose tasks no known target could run if
// it were empty, or that alone pass the tenant's limit.
func (l *Ledger) everFits(queue *Queue, tenant string, steps []Step) Refusal {
	for i := range steps {
		step := &steps[i]
		if t := l.config.tenants[tenant]; t != nil && !Within(step.Room, t.Limit) {
			return RefusedNeverFits
		}
		if !l.fitsSome(queue.Service, step) {
			return RefusedNeverFits
		}
	}
	return ""
}

// fitsSome tells whether some target of the service could run the step's
// tasks. While no target is known nothing can be said against it.
func (l *Ledger) fitsSome(service string, step *Step) bool {
	room := step.Takes()
	targets := 0
	for _, t := range l.targets {
		if t.Service != service {
			continue
		}
		targets++
		if room.Fits(t.Capacity) && t.Has(step.Label) {
			return true
		}
	}
	return targets == 0
}

// Config returns the set in force, or nil.
func (l *Ledger) Config() *Config {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.config == nil {
		return nil
	}
	return l.config.config
}

// Targets returns copies of all targets, without their runs.
func (l *Ledger) Targets() []Target {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]Target, 0, len(l.targets))
	for _, t := range l.targets {
		c := *t
		c.Runs = nil
		all = append(all, c)
	}
	return all
}

// Target returns a copy of the target without its runs.
func (l *Ledger) Target(id TargetID) (Target, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.targets[id]
	if t == nil {
		return Target{}, false
	}
	c := *t
	c.Runs = nil
	return c, true
}

// Order is a run that a target may hold, as the leader should treat it.
type Order struct {
	Task TaskRef
	Run  uint32
	// Wanted runs should go on; others are to be stopped.
	Wanted  bool
	Payload string
	Saved   string
	Queue   string
	Filler  bool
	Latency Millis
	Lasting bool
	// Copies tells that the task may run a second time beside this run.
	Copies bool
	// Movable runs may be stopped to run again elsewhere.
	Movable bool
}

// Orders returns the runs that the target may hold.
func (l *Ledger) Orders(id TargetID) []Order {
	l.mu.RLock()
	defer l.mu.RUnlock()
	t := l.targets[id]
	if t == nil {
		return nil
	}
	orders := make([]Order, 0, len(t.Runs))
	for ref, held := range t.Runs {
		orders = append(orders, l.order(id, ref, held.Run))
	}
	return orders
}

// OrderOf returns one run as the leader should treat it.
func (l *Ledger) OrderOf(id TargetID, ref TaskRef, run uint32) Order {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.order(id, ref, run)
}

func (l *Ledger) order(id TargetID, ref TaskRef, run uint32) Order {
	o := Order{
		Task: ref,
		Run:  run,
	}
	job := l.live[ref.Job]
	if job == nil {
		return o
	}
	task := job.Task(ref)
	step := &job.Spec.Steps[ref.Step]
	o.Payload = job.Spec.Payload
	o.Saved = task.Saved
	o.Queue = job.Queue
	o.Filler = step.Filler
	o.Latency = step.Latency
	o.Lasting = step.Lasting
	o.Movable = !step.Lasting && !step.Gang
	o.Copies = step.MostRuns() > 1
	newest := task.State == TaskPlaced && task.Run == run && task.Target == id
	beside := o.Copies && task.State != TaskDone && l.holds(id, ref, run)
	o.Wanted = (newest || beside) && !task.Evicted
	return o
}

// holds tells whether the target may hold the run.
func (l *Ledger) holds(id TargetID, ref TaskRef, run uint32) bool {
	t := l.targets[id]
	return t != nil && t.Runs[ref].Run == run
}

// View is what policies decide by. It may be read only during View's call.
type View struct {
	ledger *Ledger
	Now    Millis
}

// View calls the function with the state, which does not change meanwhile.
func (l *Ledger) View(now time.Time, look func(*View)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	look(&View{
		ledger: l,
		Now:    Millis(now.UnixMilli()),
	})
}

// Jobs returns the live jobs.
func (v *View) Jobs() map[JobID]*Job {
	return v.ledger.live
}

// Targets returns the targets.
func (v *View) Targets() map[TargetID]*Target {
	return v.ledger.targets
}

// QueueOf returns the job's queue, or nil when it is not there any more.
func (v *View) QueueOf(job *Job) *Queue {
	if v.ledger.config == nil {
		return nil
	}
	return v.ledger.config.queues[job.Queue]
}

// ServiceOf returns the service whose targets run the job.
func (v *View) ServiceOf(job *Job) string {
	return v.ledger.serviceOf(job)
}

// Tenant returns what the tenant uses, and its settings, which are nil for
// one that is not in the configuration.
func (v *View) Tenant(name string) (quota.Room, *Tenant) {
	if v.ledger.config == nil {
		return quota.Room{}, nil
	}
	return v.ledger.usage[name], v.ledger.config.tenants[name]
}

// Ended counts the jobs that ended before the time.
func (l *Ledger) Ended(before Millis) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	count := 0
	for _, job := range l.jobs {
		if job.State.Final() && job.Ended < before {
			count++
		}
	}
	return count
}

// Live tells whether the job is admitted and not over.
func (l *Ledger) Live(id JobID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.live[id] != nil
}

// Holds counts the runs that the target may hold.
func (l *Ledger) Holds(id TargetID) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if t := l.targets[id]; t != nil {
		return len(t.Runs)
	}
	return 0
}

// Counts sums the ledger up for those who watch it.
type Counts struct {
	Live    int
	Pending int
	Waiting int
	Targets int
	Version int64
	// Oldest is when the oldest job was admitted of which nothing has been
	// placed; zero is none.
	Oldest Millis
	// Used is the room that runs take of the targets' Capacity.
	Used     quota.Room
	Capacity quota.Room
}

// Counts returns the sums now.
func (l *Ledger) Counts() Counts {
	l.mu.RLock()
	defer l.mu.RUnlock()
	c := Counts{
		Live:    len(l.live),
		Targets: len(l.targets),
	}
	for _, n := range l.pending {
		c.Pending += n
	}
	for _, job := range l.live {
		c.Waiting += job.Waiting
		if !job.Begun && (c.Oldest == 0 || job.Admitted < c.Oldest) {
			c.Oldest = job.Admitted
		}
	}
	for _, target := range l.targets {
		c.Used = c.Used.Add(target.Used)
		c.Capacity = c.Capacity.Add(target.Capacity)
	}
	if l.config != nil {
		c.Version = l.config.config.Version
	}
	return c
}

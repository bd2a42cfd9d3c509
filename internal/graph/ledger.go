package graph

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Ledger holds the state. One goroutine applies commands; any may query.
type Ledger struct {
	mu      sync.RWMutex
	now     Millis
	config  *lookup
	jobs    map[JobID]*Job
	live    map[JobID]*Job
	targets map[TargetID]*Target
	usage   map[string]quota.Room
	pending map[string]int
	// finished are the jobs that the command being applied brings to an end.
	finished []Finished
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.now = 0
	l.config = nil
	l.jobs = map[JobID]*Job{}
	l.live = map[JobID]*Job{}
	l.targets = map[TargetID]*Target{}
	l.usage = map[string]quota.Room{}
	l.pending = map[string]int{}
}

// Apply applies a command.
func (l *Ledger) Apply(c Command) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = max(l.now, c.Time)
	l.finished = nil
	switch {
	case c.Submit != nil:
		return l.submit(c.Submit)
	case c.Cancel != nil:
		return l.cancel(c.Cancel)
	case c.Place != nil:
		return l.place(c.Place)
	case c.Events != nil:
		for _, end := range c.Events.Ends {
			l.end(end)
		}
		return l.result()
	case c.Target != nil:
		l.announce(c.Target)
	case c.Gone != nil:
		for _, id := range c.Gone.Targets {
			l.gone(id)
		}
		return l.result()
	case c.Evict != nil:
		l.evict(c.Evict)
	case c.Copy != nil:
		l.copy(c.Copy)
	case c.Config != nil:
		l.configure(c.Config)
	case c.Prune != nil:
		l.prune(c.Prune.Before)
	}
	return Result{}
}

// result returns what a command has brought to an end.
func (l *Ledger) result() Result {
	return Result{Finished: l.finished}
}

func (l *Ledger) configure(c *Config) {
	if l.config != nil && l.config.config.Version >= c.Version {
		return
	}
	l.config = newLookup(c)
}

// resolve returns the queue that a call is for and the tenant of its key.
func (l *Ledger) resolve(a Address) (*Queue, string, Refusal) {
	if l.config == nil {
		return nil, "", RefusedNoConfig
	}
	queue := l.config.queue(a.Host, a.Path)
	if queue == nil {
		return nil, "", RefusedNoQueue
	}
	if tenant := l.config.keys[a.Key]; tenant != nil && a.Key != "" {
		return queue, tenant.Name, ""
	}
	if queue.Open {
		return queue, "", ""
	}
	return nil, "", RefusedKey
}

func (l *Ledger) submit(s *Submit) Result {
	queue, tenant, refusal := l.resolve(s.Address)
	if refusal != "" {
		return Result{Refusal: refusal}
	}
	if l.jobs[s.ID] != nil {
		return Result{}
	}
	job := &Job{
		ID:       s.ID,
		Queue:    queue.Name,
		Service:  queue.Service,
		Tenant:   tenant,
		Spec:     s.Spec,
		Admitted: l.now,
		State:    StateQueued,
	}
	for k := range max(1, s.Spec.Times) {
		due := s.Spec.StartAt + Millis(k)*s.Spec.Interval
		job.Occurrences = append(job.Occurrences, newOccurrence(&job.Spec, due))
	}
	for _, step := range s.Spec.Steps {
		job.Waiting += step.Count * len(job.Occurrences)
	}
	l.jobs[job.ID] = job
	l.live[job.ID] = job
	l.pending[job.Queue]++
	return Result{}
}

func (l *Ledger) cancel(c *Cancel) Result {
	_, tenant, refusal := l.resolve(c.Address)
	if refusal != "" && refusal != RefusedNoQueue {
		return Result{Refusal: refusal}
	}
	job := l.jobs[c.ID]
	if job == nil || job.Tenant != tenant && refusal == "" && job.Tenant != "" {
		return Result{Refusal: RefusedNoJob}
	}
	if !job.State.Final() {
		l.finish(job, StateCancelled)
	}
	return Result{}
}

// finish ends the job. Its runs become unwanted, and are stopped.
func (l *Ledger) finish(job *Job, state State) {
	if !job.Begun {
		l.pending[job.Queue]--
	}
	job.State = state
	job.Ended = l.now
	job.Spec = Spec{}
	job.Occurrences = nil
	job.Waiting = 0
	delete(l.live, job.ID)
	l.finished = append(l.finished, Finished{
		Job:   job.ID,
		State: state,
	})
}

func (l *Ledger) prune(before Millis) {
	for id, job := range l.jobs {
		if job.State.Final() && job.Ended < before {
			delete(l.jobs, id)
		}
	}
}

func (l *Ledger) announce(a *Announce) {
	t := l.targets[a.ID]
	if t == nil {
		t = &Target{Runs: map[TaskRef]Held{}}
		l.targets[a.ID] = t
	}
	leaving := t.Leaving || a.Leaving
	t.Announce = *a
	t.Leaving = leaving
}

// gone ends a lifetime: none of its runs goes on.
func (l *Ledger) gone(id TargetID) {
	t := l.targets[id]
	if t == nil {
		return
	}
	for ref, held := range t.Runs {
		l.end(End{
			Target: id,
			Task:   ref,
			Run:    held.Run,
			How:    HowLapsed,
		})
	}
	delete(l.targets, id)
}

func (l *Ledger) evict(e *Evict) {
	for _, ref := range e.Tasks {
		job := l.live[ref.Job]
		if job == nil {
			continue
		}
		if task := job.Task(ref); task != nil && task.State == TaskPlaced {
			task.Evicted = true
		}
	}
}

// copy has placed tasks wait for another run, while the one that goes on is
// still held.
func (l *Ledger) copy(c *Copy) {
	for _, ref := range c.Tasks {
		job := l.live[ref.Job]
		if job == nil {
			continue
		}
		task := job.Task(ref)
		if task != nil && task.Held < job.Spec.Steps[ref.Step].MostRuns() {
			l.requeue(job, ref, task)
		}
	}
}

// stored is the ledger as a snapshot holds it.
type stored struct {
	Now     Millis
	Config  *Config
	Jobs    []*Job
	Targets []storedTarget
}

type storedTarget struct {
	Target Target
	Refs   []TaskRef
	Held   []Held
}

// Capture encodes the state.
func (l *Ledger) Capture() func() ([]byte, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := stored{Now: l.now}
	if l.config != nil {
		s.Config = l.config.config
	}
	for _, job := range l.jobs {
		s.Jobs = append(s.Jobs, job)
	}
	for _, t := range l.targets {
		item := storedTarget{Target: *t}
		item.Target.Runs = nil
		for ref, held := range t.Runs {
			item.Refs = append(item.Refs, ref)
			item.Held = append(item.Held, held)
		}
		s.Targets = append(s.Targets, item)
	}
	data, err := cbor.Marshal(s)
	return func() ([]byte, error) {
		if err != nil {
			return nil, errors.Wrap(err, "encode graph")
		}
		return data, nil
	}
}

// Restore replaces the state by a captured one.
func (l *Ledger) Restore(state []byte) error {
	var s stored
	if len(state) > 0 {
		if err := cbor.Unmarshal(state, &s); err != nil {
			return errors.Wrapf(ErrDecode, "snapshot: %s", err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	l.now = s.Now
	if s.Config != nil {
		l.config = newLookup(s.Config)
	}
	for _, job := range s.Jobs {
		l.jobs[job.ID] = job
		if job.State.Final() {
			continue
		}
		l.live[job.ID] = job
		if !job.Begun {
			l.pending[job.Queue]++
		}
	}
	for _, item := range s.Targets {
		t := item.Target
		t.Runs = map[TaskRef]Held{}
		for i, ref := range item.Refs {
			held := item.Held[i]
			t.Runs[ref] = held
			l.usage[held.Tenant] = l.usage[held.Tenant].Add(held.Room)
		}
		l.targets[t.ID] = &t
	}
	return nil
}

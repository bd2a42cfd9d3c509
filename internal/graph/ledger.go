package graph

import (
	"math"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// Ledger is the state machine. Commands are applied by one goroutine; queries
// are safe for concurrent use.
type Ledger struct {
	mu     sync.RWMutex
	now    Millis
	config *configIndex
	jobs   map[JobID]*Job
	// liveJobs are the jobs that are not in a final state.
	liveJobs map[JobID]*Job
	targets  map[TargetID]*Target
	// incarnations has the incarnations of each target that are in targets.
	incarnations map[string][]int64
	// usageByClientAccount is the sum of the resource requests of active runs.
	usageByClientAccount map[string]quota.Resources
	// pendingByQueue counts the live jobs of which no task has been placed.
	pendingByQueue map[string]int
	// suspects has the tasks of live jobs under which targets have crashed.
	suspects map[TaskRef]CrashCount
	// blames has the evidence against tasks of live jobs.
	blames map[TaskRef]Blame
	// evacuated has the evacuated failure domains and since when they are, and
	// evacuationChanges counts how often that changed.
	evacuated         map[string]Millis
	evacuationChanges uint64
	// stored has the estimated memory of the jobs.
	stored footprints
	// finished collects the jobs that the current command brings to a final
	// state.
	finished []FinishedJob
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
	l.liveJobs = map[JobID]*Job{}
	l.targets = map[TargetID]*Target{}
	l.incarnations = map[string][]int64{}
	l.usageByClientAccount = map[string]quota.Resources{}
	l.pendingByQueue = map[string]int{}
	l.suspects = map[TaskRef]CrashCount{}
	l.blames = map[TaskRef]Blame{}
	l.evacuated = map[string]Millis{}
	l.evacuationChanges = 0
	l.stored = footprints{accounts: map[string]int64{}}
}

// Apply applies a command to the state.
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
		return l.placeGroups(c.Place)
	case c.Events != nil:
		for _, end := range c.Events.Ends {
			l.endRun(end)
		}
		return l.result()
	case c.Target != nil:
		l.updateTarget(c.Target)
	case c.Gone != nil:
		l.endIncarnations(c.Gone)
		return l.result()
	case c.Evict != nil:
		l.evict(c.Evict)
	case c.Copy != nil:
		l.requeueForSpeculation(c.Copy)
	case c.Config != nil:
		l.configure(c.Config)
	case c.Prune != nil:
		l.pruneJobs(c.Prune.Before)
	case c.Clear != nil:
		l.clearSuspicion(c.Clear)
	case c.Evacuate != nil:
		l.evacuate(c.Evacuate)
	}
	return Result{}
}

// result returns a result with the jobs that the current command finished.
func (l *Ledger) result() Result {
	return Result{Finished: l.finished}
}

func (l *Ledger) configure(c *Config) {
	if l.config != nil && l.config.config.Version >= c.Version {
		return
	}
	l.config = newConfigIndex(c)
}

// resolve returns the queue of the address and the name of the client account
// that owns its key. The name is empty if the key is unknown and the queue is
// open.
func (l *Ledger) resolve(a Address) (*Queue, string, Refusal) {
	if l.config == nil {
		return nil, "", RefusedNoConfig
	}
	queue := l.config.matchQueue(a.Host, a.Path)
	if queue == nil {
		return nil, "", RefusedNoQueue
	}
	if account := l.config.ownerOf(a.Key); account != nil {
		return queue, account.Name, ""
	}
	if queue.Open {
		return queue, "", ""
	}
	return nil, "", RefusedKey
}

func (l *Ledger) submit(s *Submit) Result {
	queue, clientAccount, refusal := l.resolve(s.Address)
	if refusal != "" {
		return Result{Refusal: refusal}
	}
	if l.jobs[s.ID] != nil {
		return Result{}
	}
	if !s.Spec.canApply() {
		return Result{Refusal: RefusedBadSpec}
	}
	job := &Job{
		ID:            s.ID,
		Queue:         queue.Name,
		Service:       queue.Service,
		ClientAccount: clientAccount,
		Spec:          s.Spec,
		Admitted:      l.now,
		State:         StateQueued,
	}
	for k := range max(1, s.Spec.Occurrences) {
		due := s.Spec.StartAt + Millis(k)*s.Spec.Interval
		job.Occurrences = append(job.Occurrences, newOccurrence(&job.Spec, due))
	}
	for _, step := range s.Spec.Steps {
		job.Waiting += step.Count * len(job.Occurrences)
	}
	l.jobs[job.ID] = job
	l.liveJobs[job.ID] = job
	l.pendingByQueue[job.Queue]++
	l.stored.add(job.ClientAccount, job.footprint())
	return Result{}
}

// cancel applies a cancel that its proposer has checked with CheckCancel. The checks here
// are those of earlier releases, for cancels with an address.
func (l *Ledger) cancel(c *Cancel) Result {
	_, clientAccount, refusal := l.resolve(c.Address)
	if refusal != "" && refusal != RefusedNoQueue {
		return Result{Refusal: refusal}
	}
	job := l.jobs[c.ID]
	if job == nil || job.ClientAccount != clientAccount && refusal == "" && job.ClientAccount != "" {
		return Result{Refusal: RefusedNoJob}
	}
	if !job.State.Final() {
		l.finishJob(job, StateCancelled)
	}
	return Result{}
}

// finishJob moves the job to a final state and drops its specification and
// tasks. Its active runs are no longer desired, so the leader stops them.
func (l *Ledger) finishJob(job *Job, state State) {
	if !job.Started {
		l.pendingByQueue[job.Queue]--
	}
	for _, c := range job.Crashes {
		delete(l.suspects, c.Task)
	}
	for _, b := range job.Blames {
		delete(l.blames, b.Task)
	}
	l.stored.add(job.ClientAccount, jobFootprint-job.footprint())
	job.State = state
	job.Ended = l.now
	job.Spec = Spec{}
	job.Crashes = nil
	job.Blames = nil
	job.Occurrences = nil
	job.Waiting = 0
	delete(l.liveJobs, job.ID)
	l.finished = append(l.finished, FinishedJob{
		Job:   job.ID,
		State: state,
	})
}

// pruneJobs deletes the jobs that ended before the given time, except those with a
// run that may still be active: a new job of the same id would take it for its own.
func (l *Ledger) pruneJobs(before Millis) {
	active := map[JobID]bool{}
	for _, t := range l.targets {
		for ref := range t.Runs {
			active[ref.Job] = true
		}
	}
	for id, job := range l.jobs {
		if job.State.Final() && job.Ended < before && !active[id] {
			delete(l.jobs, id)
			l.stored.add(job.ClientAccount, -jobFootprint)
		}
	}
}

// updateTarget adds the target or replaces its attributes. Leaving is never
// reset.
func (l *Ledger) updateTarget(a *Announcement) {
	t := l.targets[a.ID]
	if t == nil {
		t = &Target{Runs: map[TaskRef]ActiveRun{}}
		l.addTarget(a.ID, t)
	}
	leaving := t.Leaving || a.Leaving
	if !a.IsLate(&t.Announcement) {
		t.Announcement = *a
	}
	t.Leaving = leaving
}

// addTarget adds a target that is not yet known.
func (l *Ledger) addTarget(id TargetID, t *Target) {
	l.targets[id] = t
	l.incarnations[id.ID] = append(l.incarnations[id.ID], id.Incarnation)
}

// removeTarget removes the target and ends all its runs with
// OutcomeLeaseExpired.
func (l *Ledger) removeTarget(id TargetID) {
	t := l.targets[id]
	if t == nil {
		return
	}
	for ref, active := range t.Runs {
		l.endRun(RunEnd{
			Target:  id,
			Task:    ref,
			Run:     active.Run,
			Outcome: OutcomeLeaseExpired,
		})
	}
	delete(l.targets, id)
	others := slices.DeleteFunc(l.incarnations[id.ID], func(i int64) bool { return i == id.Incarnation })
	if len(others) == 0 {
		delete(l.incarnations, id.ID)
		return
	}
	l.incarnations[id.ID] = others
}

func (l *Ledger) evict(e *Evict) {
	for _, ref := range e.Tasks {
		job := l.liveJobs[ref.Job]
		if job == nil {
			continue
		}
		if task := job.Task(ref); task != nil && task.State == TaskPlaced {
			task.Evicted = true
		}
	}
}

// requeueForSpeculation makes placed tasks wait for a second run while the
// first one is still active.
func (l *Ledger) requeueForSpeculation(c *Speculate) {
	for _, ref := range c.Tasks {
		job := l.liveJobs[ref.Job]
		if job == nil {
			continue
		}
		task := job.Task(ref)
		if task != nil && task.ActiveRuns < job.Spec.Steps[ref.Step].MaxConcurrentRuns() {
			l.requeueTask(job, ref, task)
		}
	}
}

// snapshot is the encoded form of the ledger.
type snapshot struct {
	Now     Millis
	Config  *Config
	Jobs    []*Job
	Targets []snapshotTarget
	// Evacuated and EvacuationChanges are not known to the previous release.
	Evacuated         []Evacuation `cbor:",omitempty"`
	EvacuationChanges uint64       `cbor:",omitempty"`
}

// snapshotTarget is the encoded form of a target. Refs and ActiveRuns are the
// keys and values of Target.Runs, in the same order.
type snapshotTarget struct {
	Target     Target
	Refs       []TaskRef
	ActiveRuns []ActiveRun `cbor:"Held"`
}

// Snapshot encodes the state at the time of the call. The returned function
// returns the encoding.
func (l *Ledger) Snapshot() func() ([]byte, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := snapshot{
		Now:               l.now,
		Evacuated:         l.evacuations(),
		EvacuationChanges: l.evacuationChanges,
	}
	if l.config != nil {
		s.Config = l.config.config
	}
	for _, job := range l.jobs {
		s.Jobs = append(s.Jobs, job)
	}
	for _, t := range l.targets {
		item := snapshotTarget{Target: *t}
		item.Target.Runs = nil
		for ref, run := range t.Runs {
			item.Refs = append(item.Refs, ref)
			item.ActiveRuns = append(item.ActiveRuns, run)
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

// decodeSnapshot decodes a state encoded by Snapshot. Its lists are as long as
// the ledger is large.
func decodeSnapshot(state []byte) (snapshot, error) {
	var s snapshot
	if len(state) == 0 {
		return s, nil
	}
	mode, err := cbor.DecOptions{
		MaxArrayElements: math.MaxInt32,
		MaxMapPairs:      math.MaxInt32,
	}.DecMode()
	if err != nil {
		return s, errors.Wrap(err, "make decoder")
	}
	if err := mode.Unmarshal(state, &s); err != nil {
		return s, errors.Wrapf(ErrDecode, "snapshot: %s", err)
	}
	return s, nil
}

// Restore replaces the state by one encoded by Snapshot. Empty data restores an
// empty ledger.
func (l *Ledger) Restore(state []byte) error {
	s, err := decodeSnapshot(state)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	l.now = s.Now
	for _, e := range s.Evacuated {
		l.evacuated[e.Domain] = e.Since
	}
	l.evacuationChanges = s.EvacuationChanges
	if s.Config != nil {
		l.config = newConfigIndex(s.Config)
	}
	for _, job := range s.Jobs {
		l.jobs[job.ID] = job
		l.stored.add(job.ClientAccount, job.footprint())
		if job.State.Final() {
			continue
		}
		l.liveJobs[job.ID] = job
		if !job.Started {
			l.pendingByQueue[job.Queue]++
		}
		for _, c := range job.Crashes {
			l.suspects[c.Task] = c
		}
		for _, b := range job.Blames {
			l.blames[b.Task] = b
		}
	}
	for _, item := range s.Targets {
		t := item.Target
		t.Runs = map[TaskRef]ActiveRun{}
		for i, ref := range item.Refs {
			run := item.ActiveRuns[i]
			t.Runs[ref] = run
			l.usageByClientAccount[run.ClientAccount] = l.usageByClientAccount[run.ClientAccount].Add(run.Resources)
		}
		l.addTarget(t.ID, &t)
	}
	return nil
}

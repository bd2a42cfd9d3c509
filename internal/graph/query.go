package graph

import (
	"math"
	"slices"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

// StateOf returns the state of the job.
func (l *Ledger) StateOf(a Address, id JobID) (State, Refusal) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, clientAccount, refusal := l.resolve(a)
	if refusal != "" {
		return 0, refusal
	}
	job := l.jobs[id]
	if job == nil || job.ClientAccount != "" && job.ClientAccount != clientAccount && clientAccount != "" {
		return 0, RefusedNoJob
	}
	return job.State, ""
}

// PendingOf returns the number of jobs in the queue of the address of which no
// task has been placed.
func (l *Ledger) PendingOf(a Address) (int, Refusal) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	queue, _, refusal := l.resolve(a)
	if refusal != "" {
		return 0, refusal
	}
	return l.pendingByQueue[queue.Name], ""
}

// CheckSubmit returns the refusal that submitting the job would meet, and
// whether the job is already known. Unlike Apply, it also refuses jobs that no
// target could ever run, and bodies over the limit of the configuration.
func (l *Ledger) CheckSubmit(s *Submit) (known bool, refusal Refusal) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	queue, clientAccount, refusal := l.resolve(s.Address)
	if refusal != "" {
		return false, refusal
	}
	if l.jobs[s.ID] != nil {
		return true, ""
	}
	if limit := l.config.config.MaxBody; limit > 0 && s.BodyBytes > limit {
		return false, RefusedTooLarge
	}
	return false, l.checkFeasible(queue, clientAccount, s.Spec.Steps)
}

// checkFeasible refuses a job if one of its tasks would not fit on any known
// target that is otherwise empty, or exceeds the client account's limit by
// itself.
func (l *Ledger) checkFeasible(queue *Queue, clientAccount string, steps []Step) Refusal {
	for i := range steps {
		step := &steps[i]
		if account := l.config.clientAccounts[clientAccount]; account != nil && !WithinLimit(step.Resources, account.Limit) {
			return RefusedNeverFits
		}
		if !l.fitsAnyTarget(queue.Service, step) {
			return RefusedNeverFits
		}
	}
	return ""
}

// fitsAnyTarget reports whether some target of the service could run a task of
// the step if it were empty. It returns true while the service has no known
// target.
func (l *Ledger) fitsAnyTarget(service string, step *Step) bool {
	resources := step.Reservation()
	known := 0
	for _, t := range l.targets {
		if t.Service != service {
			continue
		}
		known++
		if resources.FitsIn(t.Capacity) && t.HasLabel(step.Label) {
			return true
		}
	}
	return known == 0
}

// Config returns the configuration in force, or nil.
func (l *Ledger) Config() *Config {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.config == nil {
		return nil
	}
	return l.config.config
}

// MostUrgentAdvice returns the priority of the most urgent queue that needs
// advice, or zero if there is none.
func (l *Ledger) MostUrgentAdvice() int {
	config := l.Config()
	if config == nil {
		return 0
	}
	priority, found := 0, false
	for i := range config.Queues {
		queue := &config.Queues[i]
		if queue.Advice != nil && (!found || queue.Priority < priority) {
			priority, found = queue.Priority, true
		}
	}
	return priority
}

// ShortestAdvice returns the shortest validity of the queues' tickets, or zero if no queue
// needs advice.
func (l *Ledger) ShortestAdvice() time.Duration {
	config := l.Config()
	if config == nil {
		return 0
	}
	var shortest time.Duration
	for i := range config.Queues {
		advice := config.Queues[i].Advice
		if advice != nil && advice.Valid > 0 && (shortest == 0 || advice.Valid < shortest) {
			shortest = advice.Valid
		}
	}
	return shortest
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

// CurrentTarget returns a copy of the newest known incarnation of the target, without its
// runs.
func (l *Ledger) CurrentTarget(id string) (Target, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	incarnations := l.incarnations[id]
	if len(incarnations) == 0 {
		return Target{}, false
	}
	current := *l.targets[TargetID{
		ID:          id,
		Incarnation: slices.Max(incarnations),
	}]
	current.Runs = nil
	return current, true
}

// OlderIncarnations returns the known incarnations of the target that are older
// than the given one.
func (l *Ledger) OlderIncarnations(id TargetID) []TargetID {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var older []TargetID
	for _, incarnation := range l.incarnations[id.ID] {
		if incarnation < id.Incarnation {
			older = append(older, TargetID{
				ID:          id.ID,
				Incarnation: incarnation,
			})
		}
	}
	return older
}

// MayServe reports whether a target of the id can belong to the service: the configuration
// names it, or a known incarnation of the target has announced it. Without a configuration
// any target may.
func (l *Ledger) MayServe(id, service string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.config == nil || l.config.services[service] {
		return true
	}
	return slices.ContainsFunc(l.incarnations[id], func(incarnation int64) bool {
		t := l.targets[TargetID{
			ID:          id,
			Incarnation: incarnation,
		}]
		return t != nil && t.Service == service
	})
}

// RunOf returns the state of the task, and its latest run and that one's target. A task of
// a completed job is done. A task of another job that is over counts as waiting.
func (l *Ledger) RunOf(ref TaskRef) (state TaskState, target TargetID, run uint32) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	job := l.jobs[ref.Job]
	switch {
	case job == nil:
		return TaskWaiting, TargetID{}, 0
	case job.State == StateCompleted:
		return TaskDone, TargetID{}, 0
	}
	task := job.Task(ref)
	if task == nil {
		return TaskWaiting, TargetID{}, 0
	}
	return task.State, task.Target, task.Run
}

// TargetCounts returns the number of targets, and of those with runs.
func (l *Ledger) TargetCounts() (all, busy int) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, t := range l.targets {
		if len(t.Runs) > 0 {
			busy++
		}
	}
	return len(l.targets), busy
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

// View gives scheduling policies read access to the state. It is valid only
// during the call of Ledger.View.
type View struct {
	ledger *Ledger
	Now    Millis
}

// View calls the function with the state, which does not change during the call.
func (l *Ledger) View(now time.Time, read func(*View)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	read(&View{
		ledger: l,
		Now:    Millis(now.UnixMilli()),
	})
}

// Jobs returns the live jobs.
func (v *View) Jobs() map[JobID]*Job {
	return v.ledger.liveJobs
}

// Targets returns the targets.
func (v *View) Targets() map[TargetID]*Target {
	return v.ledger.targets
}

// OlderIncarnations returns the older incarnations of the target whose runs may still
// be active in its process.
func (v *View) OlderIncarnations(id TargetID) []*Target {
	if len(v.ledger.incarnations[id.ID]) < 2 {
		return nil
	}
	var older []*Target
	for holder, t := range v.ledger.processOf(id) {
		if holder != id {
			older = append(older, t)
		}
	}
	return older
}

// QueueOf returns the job's queue, or nil if it is no longer in the
// configuration.
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

// ClientAccount returns the resources that the client account uses and its
// settings, which are nil if it is not in the configuration.
func (v *View) ClientAccount(name string) (quota.Resources, *ClientAccount) {
	if v.ledger.config == nil {
		return quota.Resources{}, nil
	}
	return v.ledger.usageByClientAccount[name], v.ledger.config.clientAccounts[name]
}

// UrgentPriority returns the most urgent priority of the queues, or false if all queues have
// the same.
func (v *View) UrgentPriority() (int, bool) {
	if v.ledger.config == nil {
		return 0, false
	}
	lowest, highest := math.MaxInt, math.MinInt
	for _, queue := range v.ledger.config.queues {
		lowest = min(lowest, queue.Priority)
		highest = max(highest, queue.Priority)
	}
	return lowest, lowest < highest
}

// HasWeights reports whether a client account has a weight.
func (v *View) HasWeights() bool {
	if v.ledger.config == nil {
		return false
	}
	return slices.ContainsFunc(v.ledger.config.config.ClientAccounts, func(a ClientAccount) bool { return a.Weight > 0 })
}

// CountEnded returns the number of jobs that ended before the given time.
func (l *Ledger) CountEnded(before Millis) int {
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

// IsLive reports whether the job is known and not in a final state.
func (l *Ledger) IsLive(id JobID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.liveJobs[id] != nil
}

// AdviceQueueOf returns the queue of a live job. It returns false if the job is over or its
// queue needs no advice.
func (l *Ledger) AdviceQueueOf(id JobID) (Queue, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	job := l.liveJobs[id]
	if job == nil || !l.needsAdvice(job) {
		return Queue{}, false
	}
	return *l.config.queues[job.Queue], true
}

// IsLongRunning reports whether the task belongs to a live job and a step whose tasks run
// until the job is cancelled.
func (l *Ledger) IsLongRunning(ref TaskRef) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	step := l.liveStep(ref)
	return step != nil && step.LongRunning
}

// IsLongRunningGang reports whether the task belongs to a gang of a live job whose tasks
// last.
func (l *Ledger) IsLongRunningGang(ref TaskRef) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	step := l.liveStep(ref)
	return step != nil && step.Gang && step.LongRunning
}

// liveStep returns the step of a task of a live job, or nil. The lock must be held.
func (l *Ledger) liveStep(ref TaskRef) *Step {
	job := l.liveJobs[ref.Job]
	if job == nil {
		return nil
	}
	return job.StepOf(ref)
}

// RunCount returns the number of runs that may be active in the target's process, as
// Assignments does.
func (l *Ledger) RunCount(id TargetID) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	count := 0
	for _, t := range l.processOf(id) {
		count += len(t.Runs)
	}
	return count
}

package graph

import "github.com/jasmineward/jasmineward/pkg/quota"

// A task may be done by a run that the ledger has put back. The commands end a task only
// through a run that is placed, on a target with room for it, and they mean the same to
// replicas of the last release. So such a task is placed on a placeholder, a target that
// exists only in the ledger and only for it, and is ended there. Members of a gang are placed
// and ended together. Neither the room of any target nor the state of its process matters.

// placeholderPrefix begins the ids of placeholders.
const placeholderPrefix = "placeholder/"

// Completion is what it takes to record that waiting tasks are done: those of a gang, or one
// task alone.
type Completion struct {
	// Placeholders has the target for each of the placements.
	Placeholders []Announcement
	Placements   []Placement
}

// Ends returns the ends of the placed runs.
func (c *Completion) Ends() []RunEnd {
	ends := make([]RunEnd, 0, len(c.Placements))
	for _, placement := range c.Placements {
		ends = append(ends, RunEnd{
			Target:  placement.Target,
			Task:    placement.Task,
			Run:     placement.Run,
			Outcome: OutcomeDone,
		})
	}
	return ends
}

// IsPlaceholder reports whether the announcement is of a placeholder. No process stands behind
// it, so nothing ever runs there.
func (a *Announcement) IsPlaceholder() bool {
	return a.Address == ""
}

// Placeholders returns the placeholders that are in the ledger.
func (l *Ledger) Placeholders() []TargetID {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var placeholders []TargetID
	for id, t := range l.targets {
		if t.IsPlaceholder() {
			placeholders = append(placeholders, id)
		}
	}
	return placeholders
}

// CompletionOf returns the completion of the task, with its gang if it is of one. The
// incarnation is that of the placeholders. CompletionOf returns false if the tasks don't wait,
// may have another run at work, or don't fit into the limit of their client account now.
func (l *Ledger) CompletionOf(ref TaskRef, incarnation int64) (Completion, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	job := l.liveJobs[ref.Job]
	if job == nil || job.Task(ref) == nil || !job.IsStepReady(ref.Occurrence, ref.Step, l.now) {
		return Completion{}, false
	}
	step := job.StepOf(ref)
	members := membersOf(step, ref)
	run := uint32(0)
	var requested quota.Resources
	for _, member := range members {
		task := job.Task(member)
		if task.State != TaskWaiting || task.ActiveRuns >= step.MaxConcurrentRuns() {
			return Completion{}, false
		}
		run = max(run, task.Run+1)
		requested = requested.Add(step.Resources)
	}
	if !l.withinClientAccountLimit(job.ClientAccount, requested) {
		return Completion{}, false
	}
	var c Completion
	for _, member := range members {
		placeholder := l.placeholderFor(job, step, member, incarnation)
		c.Placeholders = append(c.Placeholders, placeholder)
		c.Placements = append(c.Placements, Placement{
			Task:   member,
			Run:    run,
			Target: placeholder.ID,
		})
	}
	return c, true
}

// placeholderFor returns a placeholder on which the task may be placed.
func (l *Ledger) placeholderFor(job *Job, step *Step, ref TaskRef, incarnation int64) Announcement {
	placeholder := Announcement{
		ID: TargetID{
			ID:          placeholderPrefix + ref.Name(),
			Incarnation: incarnation,
		},
		Service:  l.serviceOf(job),
		Capacity: step.Reservation(),
	}
	if step.Label != "" {
		placeholder.Labels = []string{step.Label}
	}
	return placeholder
}

// membersOf returns the tasks that run and end together with the task: those of its gang, or
// the task alone.
func membersOf(step *Step, ref TaskRef) []TaskRef {
	if !step.Gang {
		return []TaskRef{ref}
	}
	members := make([]TaskRef, step.Count)
	for i := range members {
		members[i] = ref
		members[i].Index = i
	}
	return members
}

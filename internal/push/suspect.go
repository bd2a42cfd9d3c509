package push

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/blame"
)

// What a leader knows of the start of a run that may have made its target crash.
const (
	// startTaken means that the target has answered the start, or listed the run.
	startTaken = "taken"
	// startBroken means that the target's process ended while it had the start.
	startBroken = "broken"
	// startUnanswered means that the start was sent and not answered.
	startUnanswered = "unanswered"
	// startInherited means that an earlier leader has sent the start, if any has.
	startInherited = "inherited"
)

// clearFactor is how many times longer than before a crash a task has to run to be cleared
// of it.
const clearFactor = 10

// crash is the loss of a target that has not announced that it leaves.
type crash struct {
	target graph.TargetID
	span   blame.Span
	// refused is true if the target's process is known to have ended in the span.
	refused  bool
	known    time.Duration
	suspects []suspect
}

// suspect is a run that may have made its target crash.
type suspect struct {
	task graph.TaskRef
	run  uint32
	// start is what is known of the start.
	start string
	// exposure is the time from the start to the crash.
	exposure time.Duration
	// blame is the evidence against the task before the crash, and weight what the crash
	// adds to it.
	blame  graph.Blame
	weight blame.Weight
}

// crashesOf returns the crashes of those targets that have not announced that they
// leave, and weighs what each says about the tasks that may have caused it. Those that
// are committed already are left out.
func (l *leader) crashesOf(ids []graph.TargetID) []crash {
	var crashes []crash
	for _, id := range ids {
		target, known := l.scheduler.ledger.Target(id)
		d := l.driver(id)
		if !known || target.Leaving || d == nil || d.hasWeighedCrash() {
			continue
		}
		c := d.crash(l.scheduler.ledger.Assignments(id))
		l.weigh(&c, target.Address)
		crashes = append(crashes, c)
	}
	return crashes
}

// weigh sets the weight of the crash against each suspect. What this leader has not seen
// speaks against none.
func (l *leader) weigh(c *crash, address string) {
	targets, busy := l.scheduler.ledger.TargetCounts()
	event := blame.Crash[string, graph.TargetID, graph.TaskRef]{
		Machine:  address,
		Life:     c.target,
		Span:     c.span,
		Known:    c.known,
		Fleet:    targets,
		Observed: busy,

		IsCleared: l.hasRunLonger,
	}
	// The other losses tell of the suspects only. Kept for each loss of an idle target, they
	// take memory with the square of the number of silent targets.
	if len(c.suspects) > 0 {
		event.Open = l.openLosses(c.target)
	}
	for _, s := range c.suspects {
		event.Suspects = append(event.Suspects, blame.Suspect[graph.TaskRef]{
			Task:     s.task,
			Exposure: s.exposure,
			Weight:   s.blame.Weight,
			Unseen:   s.start == startInherited || s.start == startUnanswered && !c.refused,
		})
	}
	for i, weight := range l.losses.Weigh(&event) {
		c.suspects[i].weight = weight
	}
}

// hasRunLonger reports whether the task is done, or runs for much longer now than it was
// exposed to a crash.
func (l *leader) hasRunLonger(task graph.TaskRef, exposure time.Duration) bool {
	state, target, run := l.scheduler.ledger.RunOf(task)
	if state != graph.TaskPlaced {
		return state == graph.TaskDone
	}
	d := l.driver(target)
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runs[keyOf(task, run)]
	return info != nil && !info.takenAt.IsZero() && d.failures == 0 && time.Since(info.takenAt) > clearFactor*exposure
}

// openLosses returns the losses of the other targets that do not answer now.
func (l *leader) openLosses(except graph.TargetID) []blame.Open[graph.TargetID, graph.TaskRef] {
	var losses []blame.Open[graph.TargetID, graph.TaskRef]
	for _, d := range l.allDrivers() {
		if d.target.ID == except {
			continue
		}
		d.mu.Lock()
		if d.failures > 0 && !d.left {
			open := blame.Open[graph.TargetID, graph.TaskRef]{
				Life: d.target.ID,
				Span: d.lost,
			}
			for key := range d.runs {
				open.Tasks = append(open.Tasks, key.task)
			}
			losses = append(losses, open)
		}
		d.mu.Unlock()
	}
	return losses
}

// evidenceOf returns the evidence of the crashes, and the crashes for which the ledger
// gives up those tasks against which there is enough.
func (l *leader) evidenceOf(crashes []crash) ([]graph.Evidence, []graph.Crash) {
	var evidence []graph.Evidence
	var givenUp []graph.Crash
	for _, c := range crashes {
		for _, s := range c.suspects {
			// A crash that is committed again counts once.
			if s.weight <= 0 && s.blame.Weight == 0 || slices.Contains(s.blame.Targets, c.target) {
				continue
			}
			evidence = append(evidence, graph.Evidence{
				Target: c.target,
				Task:   s.task,
				Weight: s.weight,
			})
			if s.blame.Weight+s.weight >= blame.GiveUpWeight {
				givenUp = append(givenUp, graph.GiveUp(c.target, s.task)...)
			}
		}
	}
	return evidence, givenUp
}

// commitCrashes commits the evidence of crashes of targets that stay in the ledger.
func (l *leader) commitCrashes(crashes []crash) *wire.Fault {
	if evidence, givenUp := l.evidenceOf(crashes); len(evidence) > 0 {
		result, fault := l.propose(l.ctx, graph.Command{Gone: &graph.EndIncarnations{
			Crashes:  givenUp,
			Evidence: evidence,
		}})
		if fault != nil {
			return fault
		}
		l.logFinished(result.Finished)
	}
	l.logCrashes(crashes)
	return nil
}

// weighCrash commits the evidence of the target's crash before its incarnation is over:
// the leader that has seen the crash may not lead any more then.
func (d *driver) weighCrash() {
	if fault := d.leader.commitCrashes(d.leader.crashesOf([]graph.TargetID{d.target.ID})); fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: crash not committed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weighed = true
}

// withdrawCrash forgets the evidence of a crash of the target, which has answered since.
func (d *driver) withdrawCrash() {
	d.leader.losses.Withdraw(d.target.ID)
	tasks := d.leader.scheduler.ledger.BlamedFor(d.target.ID)
	if len(tasks) == 0 {
		return
	}
	d.log.WithField("tasks", len(tasks)).Warn("target: has not crashed")
	d.leader.clearTasks(d, tasks)
}

// clearTasks commits that the tasks are suspected no more.
func (l *leader) clearTasks(d *driver, tasks []graph.TaskRef) {
	if _, fault := l.propose(d.ctx, graph.Command{Clear: &graph.ClearSuspicion{Tasks: tasks}}); fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: suspicion not cleared")
		return
	}
	l.losses.Clear(tasks...)
}

// hasWeighedCrash reports whether the evidence of the target's crash is committed.
func (d *driver) hasWeighedCrash() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.weighed
}

// crash returns the loss of the target, with those of its runs that may have caused it.
func (d *driver) crash(assignments []graph.Assignment) crash {
	tasks := d.suspects(assignments)
	d.mu.Lock()
	defer d.mu.Unlock()
	c := crash{
		target:  d.target.ID,
		span:    d.lost,
		refused: d.down,
	}
	if d.failures == 0 {
		c.span = blame.Span{
			From: d.lastSeen(),
			To:   time.Now(),
		}
	}
	c.known = c.span.To.Sub(d.created)
	for _, assignment := range assignments {
		if !slices.Contains(tasks, assignment.Task) {
			continue
		}
		info := d.runInfo(keyOf(assignment.Task, assignment.Run))
		c.suspects = append(c.suspects, suspect{
			task:     assignment.Task,
			run:      assignment.Run,
			start:    info.startState(),
			exposure: info.exposure(c.span, c.known),
			blame:    assignment.Blame,
		})
	}
	return c
}

// exposure returns the longest time from the start of the run to the loss of its target,
// which was known for the given time. A target that has not answered the start may have
// been lost before it.
func (r *runInfo) exposure(lost blame.Span, known time.Duration) time.Duration {
	from := r.sentAt
	switch r.startState() {
	case startInherited:
		return known
	case startUnanswered:
		if lost.From.Before(from) {
			from = lost.From
		}
	}
	return max(0, lost.To.Sub(from))
}

// startState returns what is known of the run's start.
func (r *runInfo) startState() string {
	switch {
	case r.sentAt.IsZero():
		return startInherited
	case !r.takenAt.IsZero(), !r.listedAt.IsZero():
		return startTaken
	case r.startBroken:
		return startBroken
	}
	return startUnanswered
}

// suspects returns the tasks among the assignments that may have made the target crash:
// those that were started and never listed as running, those that were listed for the
// first time not long before, and those that are suspect already.
func (d *driver) suspects(assignments []graph.Assignment) []graph.TaskRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tasks []graph.TaskRef
	for _, assignment := range assignments {
		info := d.runInfo(keyOf(assignment.Task, assignment.Run))
		switch {
		case !info.startSent && info.listedAt.IsZero():
		case assignment.Suspect:
			tasks = append(tasks, assignment.Task)
		case info.listedAt.IsZero() && assignment.LongRunning && info.state == runUnknown:
			// An earlier leader placed it, most likely long ago.
		case info.listedAt.IsZero(), d.answeredAt.Sub(info.listedAt) < d.leader.scheduler.timing.FreshRunTime:
			tasks = append(tasks, assignment.Task)
		}
	}
	return tasks
}

// clearSuspects commits that suspect tasks have run here for long enough to be
// suspected no more.
func (d *driver) clearSuspects(assignments map[runKey]graph.Assignment) {
	var cleared []graph.TaskRef
	clearAfter := d.leader.scheduler.timing.ClearSuspectAfter
	now := time.Now()
	d.mu.Lock()
	for key, assignment := range assignments {
		info := d.runs[key]
		if assignment.HasBlame() && info != nil && !info.listedAt.IsZero() && now.Sub(info.listedAt) >= clearAfter {
			cleared = append(cleared, key.task)
		}
	}
	d.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	d.leader.clearTasks(d, cleared)
}

// logCrashes logs and counts the crashes under tasks.
func (l *leader) logCrashes(crashes []crash) {
	for _, c := range crashes {
		if len(c.suspects) == 0 {
			continue
		}
		names := make([]string, 0, len(c.suspects))
		starts := make([]string, 0, len(c.suspects))
		for _, s := range c.suspects {
			names = append(names, s.task.Name())
			starts = append(starts, fmt.Sprintf("%s %s %d weight %d of %d",
				s.task.RunName(s.run), s.start, s.exposure.Milliseconds(), s.weight, s.weight+s.blame.Weight))
		}
		l.scheduler.metrics.crashes.Inc()
		l.log.WithFields(logrus.Fields{
			"target":   c.target.ID,
			"suspects": strings.Join(names, " "),
			"starts":   strings.Join(starts, ", "),
			"refused":  c.refused,
			"known":    c.known.Milliseconds(),
			"within":   c.span.To.Sub(c.span.From).Milliseconds(),
			"silent":   l.scheduler.silentTargets(),
		}).Warn("target: crashed")
	}
}

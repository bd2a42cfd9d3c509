package push

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

const (
	// endSlack is how much later than foretold a task may end before the
	// target is asked again.
	endSlack = 60 * time.Millisecond
	// leastWait is the shortest wait of a renewal that waits at all.
	leastWait = 120 * time.Millisecond
	// unknownWait is how long a renewal waits while a task has not reported
	// its progress yet.
	unknownWait = 600 * time.Millisecond
	// stillFor is how long a task's progress stays the same before it is
	// taken to stand still, unless it moves slowly by nature: then stillSteps
	// times as long as it takes for a percent.
	stillFor   = 700 * time.Millisecond
	stillSteps = 4
	// stallTimes is how many times as long as its siblings a task runs when
	// it is taken to stand still, unless it should be done within soonDone.
	stallTimes = 2.5
	soonDone   = 500 * time.Millisecond
)

// untilEnd returns how long a renewal sent now should wait: until the next
// task should have ended. An answer that is lost is then missed soon, and the
// end is not known a whole wait later. The lock must be held.
func (d *driver) untilEnd(now time.Time) time.Duration {
	wait := d.leader.part.terms.Wait
	for _, info := range d.runs {
		if info.settled {
			continue
		}
		done, known := info.track.Done()
		if !known {
			wait = min(wait, unknownWait)
			continue
		}
		wait = min(wait, done.Add(endSlack).Sub(now))
	}
	return max(wait, leastWait)
}

// follow takes the progress that the target lists, and has tasks that stand
// still moved.
func (d *driver) follow(orders map[runKey]graph.Order, listing Listing) {
	now := time.Now()
	var still, slow []graph.TaskRef
	for _, r := range listing.Running {
		key := keyOf(r.Task, r.Run)
		order := orders[key]
		if !order.Wanted {
			continue
		}
		stands := d.noteProgress(key, order, r.Percent, now)
		switch {
		case stands && order.Copies:
			if d.copiedOnce(key) {
				d.leader.rater.Failed(plan.StepOf(r.Task), r.Task.Index, d.target.ID)
				slow = append(slow, r.Task)
			}
		case stands && order.Movable:
			still = append(still, r.Task)
		}
	}
	d.leader.copy("stands still", slow)
	if len(still) > 0 {
		d.log.WithField("count", len(still)).Warn("target: tasks make no progress")
		d.leader.move(d.target.ID, still)
	}
}

// noteProgress takes the progress of one run, and tells whether it stands
// still, by itself or beside its siblings.
func (d *driver) noteProgress(key runKey, order graph.Order, percent float64, now time.Time) bool {
	d.mu.Lock()
	info := d.known(key)
	info.settled = order.Lasting || order.Filler
	info.track.Note(now, percent)
	stands := info.track.Stands(stillFor, stillSteps)
	done, foretold := info.track.Done()
	settled := info.settled
	d.mu.Unlock()
	switch {
	case settled:
		return false
	case stands:
		return true
	case foretold && done.Sub(now) < soonDone:
		return false
	}
	return d.leader.rater.Stalled(plan.StepOf(key.task), key.task.Index, stallTimes, now)
}

// copyRuns has those of the target's tasks that may be copied run elsewhere
// too.
func (d *driver) copyRuns(why string) {
	var tasks []graph.TaskRef
	for key, order := range d.orders() {
		if order.Copies && order.Wanted && d.copiedOnce(key) {
			tasks = append(tasks, order.Task)
		}
	}
	d.leader.copy(why, tasks)
}

// copiedOnce notes that the run is copied. It tells false when that was so.
func (d *driver) copiedOnce(key runKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.known(key)
	first := !info.copied
	info.copied = true
	return first
}

// copy has tasks run a second time beside the run that goes on.
func (l *leader) copy(why string, tasks []graph.TaskRef) {
	if len(tasks) == 0 {
		return
	}
	for _, ref := range tasks {
		l.log.WithFields(logrus.Fields{
			"job":  ref.Job,
			"task": ref.Name(),
			"why":  why,
		}).Info("sched: task is run beside itself")
	}
	if _, fault := l.propose(l.ctx, graph.Command{Copy: &graph.Copy{Tasks: tasks}}); fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: copies not committed")
		return
	}
	l.poke()
}

// move has tasks that stand still stopped, to run again elsewhere.
func (l *leader) move(from graph.TargetID, tasks []graph.TaskRef) {
	for _, ref := range tasks {
		l.rater.Failed(plan.StepOf(ref), ref.Index, from)
		l.log.WithFields(logrus.Fields{
			"job":  ref.Job,
			"task": ref.Name(),
		}).Warn("sched: task stands still, it is moved")
	}
	if _, fault := l.propose(l.ctx, graph.Command{Evict: &graph.Evict{Tasks: tasks}}); fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: eviction not committed")
		return
	}
	l.stopUnwanted()
}

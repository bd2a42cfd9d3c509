package push

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

const (
	// shortRunTime is the run time below which a long-running task counts as one that ends
	// at once.
	shortRunTime = time.Second
	// minRestartDelay is the delay of the second start in a row after a short run. It
	// doubles with each further one, up to maxRestartDelay.
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 2 * time.Second
)

// restarts delays the starts of long-running tasks that end at once each time. They are
// started again however they end, and would otherwise keep the log and their targets busy.
type restarts struct {
	taskMap[restart]
}

// restart has the number of short runs in a row, the last of them, and when the task may be
// started again.
type restart struct {
	shortRuns int
	last      uint32
	due       time.Time
}

func newRestarts() *restarts {
	return &restarts{taskMap: newTaskMap[restart]()}
}

// record records the end of a run that lasted for the given time, and returns the delay of
// the next start. A run counts once, also if its end has to be committed again.
func (r *restarts) record(task graph.TaskRef, run uint32, lasted time.Duration, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.byTask[task]
	if run <= current.last {
		return max(0, current.due.Sub(now))
	}
	if lasted >= shortRunTime {
		delete(r.byTask, task)
		return 0
	}
	current.last = run
	current.shortRuns++
	delay := restartDelay(current.shortRuns)
	current.due = now.Add(delay)
	r.byTask[task] = current
	return delay
}

// restartDelay returns the delay of the start that follows the number of short runs.
func restartDelay(shortRuns int) time.Duration {
	if shortRuns < 2 {
		return 0
	}
	delay := minRestartDelay
	for range shortRuns - 2 {
		delay = min(2*delay, maxRestartDelay)
	}
	return delay
}

// isDelayed reports whether the task may not be started again yet.
func (r *restarts) isDelayed(task graph.TaskRef, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.byTask[task].due)
}

// recordRestarts records the ends of long-running tasks that ended by themselves, before
// the driver forgets their runs.
func (d *driver) recordRestarts(ends []graph.RunEnd) {
	now := time.Now()
	for _, end := range ends {
		if end.Outcome != graph.OutcomeDone && end.Outcome != graph.OutcomeFailed || !d.leader.scheduler.ledger.IsLongRunning(end.Task) {
			continue
		}
		d.mu.Lock()
		info := d.runInfo(keyOf(end.Task, end.Run))
		lasted, known := now.Sub(info.sentAt), !info.sentAt.IsZero()
		d.mu.Unlock()
		if !known {
			// An earlier leader started it.
			continue
		}
		delay := d.leader.restarts.record(end.Task, end.Run, lasted, now)
		d.log.WithFields(logrus.Fields{
			"job":    end.Task.Job,
			"task":   end.Task.RunName(end.Run),
			"how":    end.Outcome.String(),
			"lasted": lasted.Milliseconds(),
			"delay":  delay.Milliseconds(),
		}).Info("target: long-running task ended, it is started again")
	}
}

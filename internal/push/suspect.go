package push

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// What a leader knows of the start of a run that may have made its target crash.
const (
	// startTaken means that the target has answered the start, or listed the run.
	startTaken = "taken"
	// startUnanswered means that the start was sent and not answered.
	startUnanswered = "unanswered"
	// startInherited means that an earlier leader has sent the start, if any has.
	startInherited = "inherited"
)

// crashesOf returns the crashes of those targets that have not announced that they
// leave, with the tasks that may have caused them.
func (l *leader) crashesOf(ids []graph.TargetID) []graph.Crash {
	var crashes []graph.Crash
	for _, id := range ids {
		target, known := l.scheduler.ledger.Target(id)
		if !known || target.Leaving {
			continue
		}
		suspects := l.suspectsOn(id)
		if len(suspects) == 0 {
			continue
		}
		crashes = append(crashes, graph.Crash{
			Target:   id,
			Suspects: suspects,
		})
	}
	return crashes
}

// suspectsOn returns the tasks that may have made the target crash.
func (l *leader) suspectsOn(id graph.TargetID) []graph.TaskRef {
	assignments := l.scheduler.ledger.Assignments(id)
	if d := l.driver(id); d != nil {
		return d.suspects(assignments)
	}
	var all []graph.TaskRef
	for _, assignment := range assignments {
		all = append(all, assignment.Task)
	}
	return all
}

// suspects returns the tasks among the assignments that may have made the target crash:
// those that were started and never listed as running, or else those that were listed
// for the first time not long before, and in any case those that were blamed for a
// crash before.
func (d *driver) suspects(assignments []graph.Assignment) []graph.TaskRef {
	d.mu.Lock()
	defer d.mu.Unlock()
	var unlisted, fresh, repeated []graph.TaskRef
	for _, assignment := range assignments {
		info := d.runInfo(keyOf(assignment.Task, assignment.Run))
		switch {
		case !info.startSent && info.listedAt.IsZero():
		case assignment.Crashes.Count > 0:
			repeated = append(repeated, assignment.Task)
		case info.listedAt.IsZero() && assignment.LongRunning && info.state == runUnknown:
			// An earlier leader placed it, most likely long ago.
		case info.listedAt.IsZero():
			unlisted = append(unlisted, assignment.Task)
		case d.answeredAt.Sub(info.listedAt) < d.leader.scheduler.timing.FreshRunTime:
			fresh = append(fresh, assignment.Task)
		}
	}
	if len(unlisted) > 0 {
		return append(unlisted, repeated...)
	}
	return append(fresh, repeated...)
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
		if assignment.Crashes.Total > 0 && info != nil && !info.listedAt.IsZero() && now.Sub(info.listedAt) >= clearAfter {
			cleared = append(cleared, key.task)
		}
	}
	d.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	_, fault := d.leader.propose(d.ctx, graph.Command{Clear: &graph.ClearSuspicion{Tasks: cleared}})
	if fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: suspicion not cleared")
	}
}

// logCrashes logs and counts the crashes.
func (l *leader) logCrashes(crashes []graph.Crash) {
	for _, crash := range crashes {
		names := make([]string, 0, len(crash.Suspects))
		for _, ref := range crash.Suspects {
			names = append(names, ref.Name())
		}
		l.scheduler.metrics.crashes.Inc()
		entry := l.log.WithFields(logrus.Fields{
			"target":   crash.Target.ID,
			"suspects": strings.Join(names, " "),
			"silent":   l.scheduler.silentTargets(),
		})
		if d := l.driver(crash.Target); d != nil {
			entry = entry.WithFields(d.describeCrash(crash.Suspects))
		}
		entry.Warn("target: crashed")
	}
}

// describeCrash returns what the leader knows of the crash and of the starts of its
// suspects, for log messages.
func (d *driver) describeCrash(suspects []graph.TaskRef) logrus.Fields {
	d.mu.Lock()
	defer d.mu.Unlock()
	starts := make([]string, 0, len(suspects))
	for key, info := range d.runs {
		if slices.Contains(suspects, key.task) {
			starts = append(starts, key.task.RunName(key.run)+" "+d.describeStart(info))
		}
	}
	slices.Sort(starts)
	return logrus.Fields{
		"refused": d.down,
		"known":   time.Since(d.created).Milliseconds(),
		"starts":  strings.Join(starts, ", "),
	}
}

// describeStart returns what is known of a start, and the milliseconds from then to the
// first call that the target did not answer. The lock must be held.
func (d *driver) describeStart(info *runInfo) string {
	state := startUnanswered
	switch {
	case info.sentAt.IsZero():
		return startInherited
	case !info.takenAt.IsZero(), !info.listedAt.IsZero():
		state = startTaken
	}
	if d.lostAt.IsZero() {
		return state
	}
	return fmt.Sprintf("%s %d", state, d.lostAt.Sub(info.sentAt).Milliseconds())
}

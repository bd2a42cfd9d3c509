package push

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A target that was cut off may list the end of a run that the ledger has put back meanwhile,
// as the target's lease was over. If the run is done, its task must not be run again. The
// commands end a task only through a run that is placed, so the task is placed on the target
// that has done it, without a start, and ended there. Where that is refused, the leader keeps
// in mind that the task is done: its next run is ended in place of being started, and a run
// that is active already is stopped. A late end that is failed is not counted as an attempt:
// an earlier leader may have counted it, and the ledger does not tell.

// doneTasks is the set of tasks that are done by runs which the ledger has put back.
type doneTasks struct {
	taskMap[bool]
}

func newDoneTasks() *doneTasks {
	return &doneTasks{taskMap: newTaskMap[bool]()}
}

func (t *doneTasks) add(tasks ...graph.TaskRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, task := range tasks {
		t.byTask[task] = true
	}
}

func (t *doneTasks) has(task graph.TaskRef) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byTask[task]
}

// takeLate separates the ends of runs that are done, and which the ledger does not have on
// the target any more though their tasks are not over.
func (d *driver) takeLate(ends []graph.RunEnd) (current, late []graph.RunEnd) {
	for _, end := range ends {
		if end.Outcome == graph.OutcomeDone && d.leader.scheduler.ledger.WasPutBack(d.target.ID, end.Task, end.Run) {
			late = append(late, end)
		} else {
			current = append(current, end)
		}
	}
	return current, late
}

// settleLate ends the tasks of late ends, at once or with their next runs.
func (d *driver) settleLate(late []graph.RunEnd) error {
	for len(late) > 0 {
		settled, err := d.endThroughPlacement(late)
		if err != nil {
			return err
		}
		if len(settled) == 0 {
			break
		}
		// The room and the spread that the settled ones took are free again.
		late = slices.DeleteFunc(late, func(end graph.RunEnd) bool { return settled[end.Task] })
	}
	d.rememberDone(late)
	return nil
}

// endThroughPlacement places waiting tasks on the target under their next runs, and commits
// the late ends for these. It returns the tasks for which that was not refused.
func (d *driver) endThroughPlacement(late []graph.RunEnd) (map[graph.TaskRef]bool, error) {
	place := &graph.Place{}
	var ends []graph.RunEnd
	for _, end := range late {
		run, waits := d.leader.scheduler.ledger.NextRun(end.Task)
		if !waits || slices.ContainsFunc(ends, func(other graph.RunEnd) bool { return other.Task == end.Task }) {
			continue
		}
		end.Target, end.Run = d.target.ID, run
		ends = append(ends, end)
		place.Groups = append(place.Groups, []graph.Placement{{
			Task:   end.Task,
			Run:    run,
			Target: d.target.ID,
		}})
		// Nothing else must start the run.
		d.setRunState(keyOf(end.Task, run), runAbsent)
	}
	if len(ends) == 0 {
		return nil, nil
	}
	result, fault := d.leader.propose(d.ctx, graph.Command{Place: place})
	if fault != nil {
		return nil, fault
	}
	settled := map[graph.TaskRef]bool{}
	var placed []graph.RunEnd
	for i, end := range ends {
		d.logLate(end, result.Groups[i])
		if result.Groups[i] != "" {
			d.forgetRun(keyOf(end.Task, end.Run))
			continue
		}
		placed = append(placed, end)
		settled[end.Task] = true
	}
	if len(placed) == 0 {
		return nil, nil
	}
	return settled, d.commitEnds(placed)
}

// forgetRun deletes the driver's state of a run.
func (d *driver) forgetRun(key runKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, key)
}

// logLate logs a late end. Without a refusal its task is over with it, and otherwise with
// its next run.
func (d *driver) logLate(end graph.RunEnd, refusal graph.Refusal) {
	d.leader.scheduler.metrics.lateEnds.Inc()
	d.log.WithFields(logrus.Fields{
		"job":     end.Task.Job,
		"task":    end.Task.RunName(end.Run),
		"refusal": refusal,
	}).Info("target: late end of a task that was put back")
}

// rememberDone keeps in mind that the tasks of late ends are done, and has those of their
// runs stopped that are active elsewhere. One end of a gang is that of all its tasks.
func (d *driver) rememberDone(late []graph.RunEnd) {
	var stop []graph.TaskRef
	for _, end := range late {
		members := d.leader.scheduler.ledger.RunMembers(end.Task)
		d.leader.doneTasks.add(members...)
		stop = append(stop, members...)
		if _, waits := d.leader.scheduler.ledger.NextRun(end.Task); !waits {
			d.logLate(end, graph.RefusedRunActive)
		}
	}
	if len(stop) == 0 {
		return
	}
	if _, fault := d.leader.propose(d.ctx, graph.Command{Evict: &graph.Evict{Tasks: stop}}); fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: runs of done tasks not stopped")
		return
	}
	d.leader.stopUndesired()
}

package push

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A target that was cut off may list the end of a run that the ledger has put back meanwhile,
// as the target's lease was over. If the run is done, its task must not be run again, nor the
// gang of which it is a member: one end done is that of all. If they wait, they are completed
// in the ledger at once. If they run elsewhere, or their client account is at its limit, the
// end stays open: it is not acknowledged, so that the target lists it again, also to the next
// leader, until the ledger has taken it over. Until then this leader ends their next run in
// place of starting it, and stops an active one. A late end that is failed is not counted as
// an attempt: an earlier leader may have counted it, and the ledger does not tell.

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
func (d *driver) takeLate(ended []EndedRun) (current, late []EndedRun) {
	for _, end := range ended {
		if end.Outcome == graph.OutcomeDone && d.leader.scheduler.ledger.WasPutBack(d.target.ID, end.Task, end.Run) {
			late = append(late, end)
		} else {
			current = append(current, end)
		}
	}
	return current, late
}

// settleLate commits that the tasks of late ends are done, and has those of their runs
// stopped that are active. It returns the ends that stay open.
func (d *driver) settleLate(late []EndedRun) ([]EndedRun, error) {
	if len(late) == 0 {
		return nil, nil
	}
	news := slices.DeleteFunc(slices.Clone(late), func(end EndedRun) bool { return d.leader.doneTasks.has(end.Task) })
	for _, end := range late {
		d.leader.doneTasks.add(d.leader.scheduler.ledger.RunMembers(end.Task)...)
	}
	if fault := d.leader.completeTasks(tasksOf(late)); fault != nil {
		return nil, fault
	}
	open := slices.DeleteFunc(slices.Clone(late), func(end EndedRun) bool {
		return !d.leader.scheduler.ledger.WasPutBack(d.target.ID, end.Task, end.Run)
	})
	d.logLate(news, open)
	d.leader.stopDone(tasksOf(open))
	return open, nil
}

// stopDone stops the active runs of tasks that are done, and of their gangs.
func (l *leader) stopDone(tasks []graph.TaskRef) {
	var active []graph.TaskRef
	for _, task := range tasks {
		for _, member := range l.scheduler.ledger.RunMembers(task) {
			state, target, run := l.scheduler.ledger.RunOf(member)
			if state == graph.TaskPlaced && l.scheduler.ledger.AssignmentOf(target, member, run).Desired {
				active = append(active, member)
			}
		}
	}
	if len(active) > 0 {
		l.commitEviction(active)
	}
}

func tasksOf(ended []EndedRun) []graph.TaskRef {
	tasks := make([]graph.TaskRef, 0, len(ended))
	for _, end := range ended {
		tasks = append(tasks, end.Task)
	}
	return tasks
}

// logLate logs and counts late ends, of which some stay open.
func (d *driver) logLate(late, open []EndedRun) {
	for _, end := range late {
		d.leader.scheduler.metrics.lateEnds.Inc()
		d.log.WithFields(logrus.Fields{
			"job":  end.Task.Job,
			"task": end.Task.RunName(end.Run),
			"open": slices.Contains(open, end),
		}).Info("target: late end of a task that was put back")
	}
}

package push

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
)

// maxTaskPreemptions bounds how often one task is stopped for urgent work, so that its job
// makes progress.
const maxTaskPreemptions = 2

// preemptions counts how often each task was stopped for urgent work.
type preemptions struct {
	taskMap[int]
}

func newPreemptions() *preemptions {
	return &preemptions{taskMap: newTaskMap[int]()}
}

// record counts a preemption of the task.
func (p *preemptions) record(task graph.TaskRef) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byTask[task]++
}

// mayPreempt reports whether the task may be stopped once more.
func (p *preemptions) mayPreempt(task graph.TaskRef) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byTask[task] < maxTaskPreemptions
}

// startPreemptions counts the preemptions of a decision and starts their commit. Only the
// decision loop calls it.
func (l *leader) startPreemptions(decided []plan.Preemption) {
	if len(decided) == 0 {
		return
	}
	for _, preemption := range decided {
		l.preemptions.record(preemption.Task)
	}
	l.goroutines.Go(func() { l.commitPreemptions(decided) })
}

// commitPreemptions commits that the runs are stopped with their checkpoints, and stops them.
func (l *leader) commitPreemptions(decided []plan.Preemption) {
	var tasks []graph.TaskRef
	decided = slices.DeleteFunc(slices.Clone(decided), func(p plan.Preemption) bool {
		return !l.scheduler.ledger.AssignmentOf(p.Target, p.Task, p.Run).Desired
	})
	for _, preemption := range decided {
		tasks = append(tasks, preemption.Task)
	}
	if len(tasks) == 0 {
		return
	}
	if _, fault := l.propose(l.ctx, graph.Command{Evict: &graph.Evict{Tasks: tasks}}); fault != nil {
		l.log.WithField("fault", fault.Error()).Warn("sched: preemption not committed")
		return
	}
	for _, preemption := range decided {
		l.scheduler.metrics.preempted.Inc()
		l.log.WithFields(logrus.Fields{
			"job":    preemption.Task.Job,
			"task":   preemption.Task.RunName(preemption.Run),
			"target": preemption.Target.ID,
			"for":    preemption.For.Job,
			"cost":   preemption.Cost,
		}).Info("sched: preempted")
		if d := l.driver(preemption.Target); d != nil {
			d.stop(keyOf(preemption.Task, preemption.Run))
		}
	}
}

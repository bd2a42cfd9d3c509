package push

import (
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// commitListedEnds commits those of the listed ends that are not yet committed.
func (d *driver) commitListedEnds(ended []EndedRun) error {
	d.mu.Lock()
	committed := d.committedSeq
	d.mu.Unlock()
	last := committed
	var ends []graph.RunEnd
	for _, run := range ended {
		if run.Seq <= committed {
			continue
		}
		last = max(last, run.Seq)
		end := d.endOf(keyOf(run.Task, run.Run), run.Outcome)
		end.Checkpoint = run.Checkpoint
		ends = append(ends, end)
	}
	if len(ends) == 0 {
		return nil
	}
	if err := d.commitEnds(ends); err != nil {
		return err
	}
	d.mu.Lock()
	d.committedSeq = max(d.committedSeq, last)
	for _, e := range ends {
		delete(d.runs, keyOf(e.Task, e.Run))
	}
	d.mu.Unlock()
	return nil
}

// commitEnds commits the ends of runs.
func (d *driver) commitEnds(ends []graph.RunEnd) error {
	result, fault := d.leader.propose(d.ctx, graph.Command{Events: &graph.Events{Ends: d.leader.withoutLimit(ends)}})
	if fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: ends not committed")
		return fault
	}
	for _, e := range ends {
		d.recordEnd(e)
	}
	d.logEnds(ends)
	d.leader.logFinished(result.Finished)
	d.leader.wakeDecisionLoop()
	return nil
}

// withoutLimit returns the ends with the failed runs of gangs that last as broken ones.
// There is no limit of these runs, but replicas would count them as attempts.
func (l *leader) withoutLimit(ends []graph.RunEnd) []graph.RunEnd {
	ends = slices.Clone(ends)
	for i := range ends {
		if ends[i].Outcome == graph.OutcomeFailed && l.scheduler.ledger.IsLongRunningGang(ends[i].Task) {
			ends[i].Outcome = graph.OutcomeGangBroken
		}
	}
	return ends
}

// logEnds logs one line per job and outcome, since the ends in one listing
// mostly belong to one step.
func (d *driver) logEnds(ends []graph.RunEnd) {
	type group struct {
		job     graph.JobID
		outcome graph.RunOutcome
	}
	tasks := map[group][]string{}
	for _, e := range ends {
		g := group{
			job:     e.Task.Job,
			outcome: e.Outcome,
		}
		tasks[g] = append(tasks[g], e.Task.RunName(e.Run))
	}
	for g, names := range tasks {
		d.log.WithFields(logrus.Fields{
			"job":   g.job,
			"how":   g.outcome.String(),
			"tasks": strings.Join(names, " "),
		}).Info("target: runs ended")
	}
}

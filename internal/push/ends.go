package push

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// takeEnds has the ends committed.
func (d *driver) takeEnds(ended []Ended) error {
	var ends []graph.End
	d.mu.Lock()
	last := d.seen
	for _, e := range ended {
		if e.Seq <= d.seen {
			continue
		}
		last = max(last, e.Seq)
		ends = append(ends, graph.End{
			Target: d.target.ID,
			Task:   e.Task,
			Run:    e.Run,
			How:    e.How,
			Saved:  e.Saved,
		})
	}
	d.mu.Unlock()
	if len(ends) == 0 {
		return nil
	}
	if err := d.commit(ends); err != nil {
		return err
	}
	d.mu.Lock()
	d.seen = max(d.seen, last)
	for _, e := range ends {
		delete(d.runs, keyOf(e.Task, e.Run))
	}
	d.mu.Unlock()
	return nil
}

func (d *driver) commit(ends []graph.End) error {
	result, fault := d.leader.propose(d.ctx, graph.Command{Events: &graph.Events{Ends: ends}})
	if fault != nil {
		d.log.WithField("fault", fault.Error()).Warn("target: ends not committed")
		return fault
	}
	for _, e := range ends {
		d.rate(e)
	}
	d.logEnds(ends)
	d.leader.logFinished(result.Finished)
	d.leader.poke()
	return nil
}

// logEnds writes a line for each job and kind of end: the ends of one listing
// mostly belong to one step.
func (d *driver) logEnds(ends []graph.End) {
	type group struct {
		job graph.JobID
		how graph.How
	}
	tasks := map[group][]string{}
	for _, e := range ends {
		g := group{
			job: e.Task.Job,
			how: e.How,
		}
		tasks[g] = append(tasks[g], e.Task.Place(e.Run))
	}
	for g, names := range tasks {
		d.log.WithFields(logrus.Fields{
			"job":   g.job,
			"how":   g.how.String(),
			"tasks": strings.Join(names, " "),
		}).Info("target: runs ended")
	}
}

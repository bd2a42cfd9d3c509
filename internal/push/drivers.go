package push

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// usable reports whether new work may be sent to the target at the given time.
func (l *leader) usable(id graph.TargetID, now time.Time) bool {
	d := l.driver(id)
	return d != nil && d.usable(now) && !l.quarantine.has(id, now)
}

// driver returns the driver of the incarnation, or nil if there is none.
func (l *leader) driver(id graph.TargetID) *driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drivers[id]
}

// driverOf returns the driver of the target, whichever incarnation it is for, or nil if there is
// none.
func (l *leader) driverOf(id string) *driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	for incarnation, d := range l.drivers {
		if incarnation.ID == id {
			return d
		}
	}
	return nil
}

// allDrivers returns a snapshot of the drivers.
func (l *leader) allDrivers() []*driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.drivers))
}

// ensureDriver returns the driver of the target, and starts one if there is none.
// It starts none, and may return nil, when the leader is stopping.
func (l *leader) ensureDriver(t graph.Target) *driver {
	if d := l.driver(t.ID); d != nil {
		return d
	}
	// A decision looks up drivers while it reads the ledger. The ledger is
	// therefore not read with the leader's lock held.
	created := newDriver(l, t)
	created.inherit()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.drivers[t.ID]
	if d == nil && l.ctx.Err() == nil {
		d = created
		l.drivers[t.ID] = d
		l.goroutines.Go(d.renewLoop)
	}
	return d
}

// removeDriver stops and removes the driver of an ended incarnation.
func (l *leader) removeDriver(id graph.TargetID) {
	l.mu.Lock()
	d := l.drivers[id]
	delete(l.drivers, id)
	delete(l.heartbeatOrders, id)
	l.mu.Unlock()
	if d != nil {
		d.cancel()
		l.targets.Release(&d.target)
	}
	l.wakeDecisionLoop()
}

// endIncarnations commits that the incarnations and all older ones of their targets
// have ended, with all their runs, and removes their drivers. It returns a fault, and
// commits nothing, if the observation does not prove that. A crash is the end of a process
// that has not announced that it leaves.
func (l *leader) endIncarnations(proof observation, crashed bool, ids ...graph.TargetID) *wire.Fault {
	lost := l.runsOn(ids)
	if proof.consequence() != consequenceEnd || proof == observedNoRuns && len(lost) > 0 {
		l.log.WithFields(logrus.Fields{
			"targets": len(ids),
			"why":     proof.String(),
			"runs":    len(lost),
		}).Error("target: no proof that the lifetime is over")
		return wire.NewFault(wire.CodeInternal, "no proof that the lifetime is over")
	}
	ended := &graph.EndIncarnations{}
	var crashes []crash
	if crashed {
		crashes = l.crashesOf(ids)
		ended.Evidence, ended.Crashes = l.evidenceOf(crashes)
	}
	for _, id := range ids {
		ids = append(ids, l.olderIncarnations(id)...)
	}
	slices.SortFunc(ids, compareTargets)
	ids = slices.Compact(ids)
	ended.Targets = ids
	result, fault := l.propose(l.ctx, graph.Command{Gone: ended})
	if fault != nil {
		l.log.WithFields(logrus.Fields{
			"targets": len(ids),
			"why":     proof.String(),
			"fault":   fault.Error(),
		}).Warn("target: end of lifetime not committed")
		return fault
	}
	l.logFinished(result.Finished)
	l.logCrashes(crashes)
	for _, id := range ids {
		l.log.WithFields(logrus.Fields{
			"target": id.ID,
			"born":   id.Incarnation,
			"why":    proof.String(),
			"runs":   strings.Join(lost[id], " "),
		}).Info("target: lifetime over")
		l.removeDriver(id)
	}
	return nil
}

// olderIncarnations returns the known older incarnations of the target, without the one that is
// known to have its address: that one was born earlier, and started later.
func (l *leader) olderIncarnations(id graph.TargetID) []graph.TargetID {
	current, found := l.currentIncarnation(id.ID)
	return slices.DeleteFunc(l.scheduler.ledger.OlderIncarnations(id), func(older graph.TargetID) bool {
		return found && older.Incarnation == current
	})
}

func compareTargets(a, b graph.TargetID) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// runsOn returns the names of the runs that may be active on the targets.
func (l *leader) runsOn(ids []graph.TargetID) map[graph.TargetID][]string {
	names := make(map[graph.TargetID][]string, len(ids))
	for _, id := range ids {
		for _, assignment := range l.scheduler.ledger.Assignments(id) {
			names[id] = append(names[id], fmt.Sprintf("%s:%d", assignment.Task.Name(), assignment.Run))
		}
		slices.Sort(names[id])
	}
	return names
}

// logFinished logs each job that has ended.
func (l *leader) logFinished(finished []graph.FinishedJob) {
	for _, f := range finished {
		if f.GaveUp != nil {
			l.scheduler.metrics.jobsGivenUp.Inc()
			l.log.WithFields(logrus.Fields{
				"job":     f.Job,
				"task":    f.GaveUp.Task.Name(),
				"blamed":  f.GaveUp.Count,
				"crashes": f.GaveUp.Total,
			}).Warn("sched: job given up, targets crash under its task")
		}
		entry := l.log.WithFields(logrus.Fields{
			"job":   f.Job,
			"state": f.State.String(),
		})
		if f.UsedUp != nil {
			entry = entry.WithFields(logrus.Fields{
				"task":     f.UsedUp.Task.Name(),
				"failed":   f.UsedUp.Failed,
				"attempts": f.UsedUp.Allowed,
			})
		}
		entry.Info("job: over")
	}
}

package push

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// usable tells whether new work may be sent to the target at the time.
func (l *leader) usable(id graph.TargetID, now time.Time) bool {
	d := l.driver(id)
	return d != nil && d.usable(now)
}

// driver returns the driver of the lifetime, or nil.
func (l *leader) driver(id graph.TargetID) *driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drivers[id]
}

// all returns the drivers that there are now.
func (l *leader) all() []*driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.drivers))
}

// drive starts a driver for the target, unless there is one.
func (l *leader) drive(t graph.Target) *driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.drivers[t.ID]
	if d == nil && l.ctx.Err() == nil {
		d = newDriver(l, t)
		d.inherit()
		l.drivers[t.ID] = d
		l.done.Go(d.keep)
	}
	return d
}

// drop forgets the driver of an ended lifetime.
func (l *leader) drop(id graph.TargetID) {
	l.mu.Lock()
	d := l.drivers[id]
	delete(l.drivers, id)
	l.mu.Unlock()
	if d != nil {
		d.cancel()
		l.targets.Forget(&d.target)
	}
	l.poke()
}

// end commits that the lifetimes run nothing any more.
func (l *leader) end(why string, ids ...graph.TargetID) *wire.Fault {
	result, fault := l.propose(l.ctx, graph.Command{Gone: &graph.Gone{Targets: ids}})
	if fault != nil {
		l.log.WithFields(logrus.Fields{
			"targets": len(ids),
			"why":     why,
			"fault":   fault.Error(),
		}).Warn("target: end of lifetime not committed")
		return fault
	}
	l.logFinished(result.Finished)
	for _, id := range ids {
		l.log.WithFields(logrus.Fields{
			"target": id.ID,
			"born":   id.Born,
			"why":    why,
		}).Info("target: lifetime over")
		l.drop(id)
	}
	return nil
}

// logFinished writes a line for each job that has come to an end.
func (l *leader) logFinished(finished []graph.Finished) {
	for _, f := range finished {
		l.log.WithFields(logrus.Fields{
			"job":   f.Job,
			"state": f.State.String(),
		}).Info("job: over")
	}
}

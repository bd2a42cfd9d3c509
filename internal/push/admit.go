package push

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// neverFitsRetry is when a job that fits no target may come again: targets of
// another size may have been added by then.
const neverFitsRetry = 10 * time.Second

// submit admits a job, or finds that it is admitted already.
func (l *leader) submit(ctx context.Context, s *graph.Submit) (Answer, *wire.Fault) {
	known, refusal := l.part.ledger.Admits(s)
	if refusal != "" || known {
		l.admitted(s.ID, refusal, known)
		answer := Answer{Refusal: refusal}
		if refusal == graph.RefusedNeverFits {
			answer.RetryAfter = neverFitsRetry
		}
		return answer, nil
	}
	result, fault := l.propose(ctx, graph.Command{Submit: s})
	if fault != nil {
		l.log.WithField("job", s.ID).WithField("fault", fault.Error()).Warn("admit: not committed")
		return Answer{}, fault
	}
	l.admitted(s.ID, result.Refusal, false)
	l.poke()
	return Answer{Refusal: result.Refusal}, nil
}

func (l *leader) admitted(id graph.JobID, refusal graph.Refusal, again bool) {
	entry := l.log.WithField("job", id)
	l.part.metrics.admitted.WithLabelValues(string(refusal)).Inc()
	if refusal == "" && !again {
		l.mu.Lock()
		l.admittedAt[id] = time.Now()
		l.mu.Unlock()
	}
	if refusal != "" {
		entry.WithField("refusal", refusal).Info("admit: refused")
		return
	}
	entry.WithField("again", again).Info("admit: admitted")
}

func (l *leader) cancelJob(ctx context.Context, q *Query) (Answer, *wire.Fault) {
	result, fault := l.propose(ctx, graph.Command{Cancel: &graph.Cancel{
		Address: q.Address,
		ID:      q.ID,
	}})
	if fault != nil {
		return Answer{}, fault
	}
	l.log.WithFields(logrus.Fields{
		"job":     q.ID,
		"refusal": result.Refusal,
	}).Info("admit: cancelled")
	l.stopUnwanted()
	l.poke()
	return Answer{Refusal: result.Refusal}, nil
}

func (l *leader) configure(ctx context.Context, c *graph.Config) *wire.Fault {
	if faults := c.Check(); len(faults) > 0 {
		l.log.WithFields(logrus.Fields{
			"version": c.Version,
			"faults":  faults,
		}).Warn("config: refused")
		fault := wire.Newf(wire.CodeFaults, "configuration is invalid")
		fault.Notes = faults
		return fault
	}
	if now := l.part.ledger.Config(); now != nil && now.Version >= c.Version {
		l.log.WithFields(logrus.Fields{
			"version":  c.Version,
			"in-force": now.Version,
		}).Info("config: no newer than the one in force")
		return nil
	}
	if _, fault := l.propose(ctx, graph.Command{Config: c}); fault != nil {
		return fault
	}
	l.log.WithField("version", c.Version).Info("config: in force")
	l.poke()
	return nil
}

// beat takes a heartbeat. It is acknowledged only once what it says that is
// new is in the log.
func (l *leader) beat(ctx context.Context, b *Beat) *wire.Fault {
	id := b.Announce.ID
	if l.outdated(id) {
		l.log.WithFields(logrus.Fields{
			"target": id.ID,
			"born":   id.Born,
		}).Info("target: heartbeat of an ended lifetime")
		return nil
	}
	known, ok := l.part.ledger.Target(id)
	if !ok || changed(&known, &b.Announce) {
		if fault := l.announce(ctx, b); fault != nil {
			return fault
		}
		if known, ok = l.part.ledger.Target(id); !ok {
			return nil
		}
	}
	if d := l.drive(known); d != nil {
		d.beat(b.Clock)
	}
	return nil
}

// outdated tells whether the lifetime is over, and notes it as the newest
// otherwise.
func (l *leader) outdated(id graph.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over[id] || l.newest[id.ID] > id.Born {
		return true
	}
	l.newest[id.ID] = id.Born
	return false
}

func changed(t *graph.Target, a *graph.Announce) bool {
	return a.Leaving && !t.Leaving || t.Service != a.Service || t.Capacity != a.Capacity ||
		t.Address != a.Address
}

func (l *leader) announce(ctx context.Context, b *Beat) *wire.Fault {
	var older []graph.TargetID
	for _, t := range l.part.ledger.Targets() {
		if t.ID.ID == b.Announce.ID.ID && t.ID.Born < b.Announce.ID.Born {
			older = append(older, t.ID)
		}
	}
	if len(older) > 0 {
		if fault := l.end("born anew", older...); fault != nil {
			return fault
		}
	}
	if _, fault := l.propose(ctx, graph.Command{Target: &b.Announce}); fault != nil {
		return fault
	}
	l.log.WithFields(logrus.Fields{
		"target":  b.Announce.ID.ID,
		"born":    b.Announce.ID.Born,
		"service": b.Announce.Service,
		"address": b.Announce.Address,
		"leaving": b.Announce.Leaving,
	}).Info("target: announced")
	l.poke()
	return nil
}

// leave ends a lifetime that says of itself that it runs nothing any more.
func (l *leader) leave(id graph.TargetID) *wire.Fault {
	if id.Born == 0 {
		id.Born = l.bornOf(id.ID)
	}
	l.mu.Lock()
	l.over[id] = true
	l.mu.Unlock()
	return l.end("it left", id)
}

func (l *leader) bornOf(id string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest[id]
}

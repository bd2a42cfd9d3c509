package push

import (
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// A target that says that it leaves ends once it has the answer, or some time later if
// the answer is lost. Until then its runs go on. They are over only when the target lists
// them as ended, when no process listens at its address any more, or with its lease.

// handleLeave processes the message with which a target leaves. Incarnation zero stands
// for the newest known one. Such a message may be from an older process of the target, so
// it counts only if the target has announced that it leaves.
func (l *leader) handleLeave(id graph.TargetID) *wire.Fault {
	named := id.Incarnation != 0
	if !named {
		id.Incarnation = l.currentIncarnation(id.ID)
	}
	target, known := l.scheduler.ledger.Target(id)
	if known && !named && !target.Leaving {
		l.log.WithFields(logrus.Fields{
			"target": id.ID,
			"born":   id.Incarnation,
		}).Warn("target: ignored that it leaves, which it had not announced")
		return nil
	}
	l.mu.Lock()
	l.endedIncarnations[id] = true
	l.mu.Unlock()
	if !known {
		return nil
	}
	if fault := l.commitLeaving(target); fault != nil {
		return fault
	}
	runs := l.scheduler.ledger.RunCount(id)
	l.log.WithFields(logrus.Fields{
		"target": id.ID,
		"born":   id.Incarnation,
		"runs":   runs,
	}).Info("target: leaves")
	if runs == 0 {
		return l.endIncarnations("target left", false, id)
	}
	if d := l.ensureDriver(target); d != nil {
		d.leave()
	}
	return nil
}

// commitLeaving commits that the target leaves, so that no leader places work on it.
func (l *leader) commitLeaving(target graph.Target) *wire.Fault {
	if target.Leaving {
		return nil
	}
	leaving := target.Announcement
	leaving.Leaving = true
	_, fault := l.propose(l.ctx, graph.Command{Target: &leaving})
	return fault
}

// leaves reports whether the target has announced that it leaves. An earlier leader may have
// had its runs stopped since.
func (d *driver) leaves() bool {
	target, known := d.leader.scheduler.ledger.Target(d.target.ID)
	return known && target.Leaving
}

// leave stops the runs of a target that leaves. They end with it in any case, but a
// target that gets no answer would go on with them for a while.
func (d *driver) leave() {
	d.mu.Lock()
	d.left = true
	d.retired = true
	d.updateUsableUntil()
	d.mu.Unlock()
	for key := range d.ledgerAssignments() {
		d.stop(key)
	}
	d.wakeUp()
}

// endIfLeft ends the incarnation of a target that has left if none of its runs is active
// any more, and reports whether it has done so. The ends are acknowledged first, as long
// as the target answers.
func (d *driver) endIfLeft() bool {
	runs := d.leader.scheduler.ledger.RunCount(d.target.ID)
	d.mu.Lock()
	over := d.left && runs == 0 && (d.failures > 0 || d.ackedSeq == d.committedSeq)
	d.mu.Unlock()
	return over && d.endLeft()
}

// endIfGone ends the incarnation of a target that has left if the error of an order says
// that no process listens at its address any more. It reports whether it has done so.
func (d *driver) endIfGone(err error) bool {
	if !errors.Is(err, ErrDown) || !d.leader.canSendOrders() {
		return false
	}
	d.mu.Lock()
	left := d.left
	d.mu.Unlock()
	return left && d.endLeft()
}

// endLeft ends the incarnation of a target that has left. It returns false if that is not
// committed, or if another call is committing it: several orders may fail at once.
func (d *driver) endLeft() bool {
	d.mu.Lock()
	ending := d.ending
	d.ending = true
	d.mu.Unlock()
	if ending {
		return false
	}
	fault := d.leader.endIncarnations("target left", false, d.target.ID)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ending = false
	return fault == nil
}

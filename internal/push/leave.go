package push

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// A target that says that it leaves ends once that is confirmed, or some time later if the
// confirmation is lost. Until then its runs go on. They are over when the target lists them
// as ended, or with its lease. So they are stopped, and the target is told that it may end
// only after it has listed their ends: then nobody has to wait for its lease.

// maxLeaveWait is the longest time that a target which leaves waits for its confirmation
// while its runs end. It is below the timeout of the target's call.
const maxLeaveWait = 700 * time.Millisecond

// handleLeave processes the message with which a target leaves. It returns a fault, after
// which the target asks again, if its runs are not over in time. Incarnation zero stands
// for the current one. Such a message may be from an older process of the target, so it
// counts only if the target has announced that it leaves.
func (l *leader) handleLeave(ctx context.Context, id graph.TargetID) *wire.Fault {
	named := id.Incarnation != 0
	current, found := l.currentIncarnation(id.ID)
	if !named {
		id.Incarnation = current
	}
	target, known := l.scheduler.ledger.Target(id)
	ignored := l.log.WithFields(logrus.Fields{
		"target": id.ID,
		"born":   id.Incarnation,
	})
	switch {
	case known && !named && !target.Leaving:
		ignored.Warn("target: ignored that it leaves, which it had not announced")
		return nil
	case found && id.Incarnation != current:
		// Its runs may go on in the process that has the address now.
		ignored.Info("target: ignored that it leaves, another lifetime has its address")
		return nil
	}
	l.mu.Lock()
	l.leftIncarnations[id] = true
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
		return l.endIncarnations(observedNoRuns, false, id)
	}
	d := l.ensureDriver(target)
	if d == nil {
		return wire.NewFault(wire.CodeNotLeader, "")
	}
	d.leave()
	return d.awaitEnd(ctx, maxLeaveWait)
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

// leave stops the runs of a target that leaves. They end with it in any case, but only a
// run that it lists as ended is known to be over.
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

// awaitEnd waits until the incarnation of a target that leaves is over. It returns a fault
// if that takes longer than the given time.
func (d *driver) awaitEnd(ctx context.Context, limit time.Duration) *wire.Fault {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	waitFor(ctx, d.ctx.Done())
	ledger := d.leader.scheduler.ledger
	if _, known := ledger.Target(d.target.ID); !known {
		return nil
	}
	if d.leader.ctx.Err() != nil {
		return wire.NewFault(wire.CodeNotLeader, "")
	}
	d.log.WithFields(logrus.Fields{
		"born": d.target.ID.Incarnation,
		"runs": ledger.RunCount(d.target.ID),
	}).Info("target: leave not confirmed, runs are not over")
	return wire.NewFault(wire.CodeBusy, "runs of the target are not over")
}

// endIfLeft ends the incarnation of a target that has left if none of its runs is active
// any more, and reports whether it has done so. The ends are acknowledged first, as long
// as the target answers.
func (d *driver) endIfLeft() bool {
	runs := d.leader.scheduler.ledger.RunCount(d.target.ID)
	d.mu.Lock()
	over := d.left && runs == 0 && (d.failures > 0 || d.ackedSeq == d.committedSeq)
	d.mu.Unlock()
	return over && d.leader.endIncarnations(observedNoRuns, false, d.target.ID) == nil
}

package push

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// A target may be started again under its id and address. Orders name only the id, so a
// start that was meant for one incarnation may be carried out by the next, also late.
// The runs of a replaced incarnation are therefore over only if this incarnation is
// certain to be the one that had them. The next incarnation adopts the others: they stay
// in the ledger until it lists them as ended, or has taken a stop and does not list them.

// claimSend records that a start of the run is about to be sent. It returns false if the
// driver is retired, so that no start is sent after its runs have been counted.
func (d *driver) claimSend(key runKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retired {
		return false
	}
	info := d.runInfo(key)
	info.startSent = true
	info.confined = false
	info.takenByOwnClock = false
	if info.sentAt.IsZero() {
		info.sentAt = time.Now()
	}
	return true
}

// recordUntaken logs and records the error of a start. Arrived says whether this start of
// the run or an earlier one may have reached the target.
func (d *driver) recordUntaken(key runKey, arrived bool, err error) {
	d.log.WithError(err).WithFields(logrus.Fields{
		"job":  key.task.Job,
		"task": key.task.Name(),
		"run":  key.run,
	}).Warn("target: start not taken")
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	info.startSent = arrived
	if mayBeCarriedOut(err) {
		info.startLost = true
	}
}

// mayBeCarriedOut reports whether an order that failed with the error may have been
// carried out, or may still be, by whichever incarnation of the target.
func mayBeCarriedOut(err error) bool {
	switch {
	case errors.Is(err, ErrDown), errors.Is(err, ErrNotSent), errors.Is(err, ErrOtherTarget):
		return false
	}
	return errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrOtherIncarnation)
}

// canOutlive reports whether the run may be active in a later incarnation of the target.
// It can't be if no start was sent, or if this incarnation listed the run and no other start
// of it is left. The lock must be held.
func (d *driver) canOutlive(key runKey) bool {
	info := d.runInfo(key)
	switch {
	case info.confined:
		return false
	case info.startLost:
		return true
	}
	return info.startSent && info.listedAt.IsZero()
}

// handleReplacement processes an answer of another incarnation or target to a renewal.
// It returns false if the incarnation has runs that the other one may have taken and will
// not adopt: the target is then treated as one that does not answer.
func (d *driver) handleReplacement(err error) bool {
	if observationOf(err) == observedOtherTarget {
		return d.leader.endIncarnations(observedOtherTarget, true, d.target.ID) == nil
	}
	next := d.target
	// A relay of an earlier release does not say which incarnation has answered.
	next.ID.Incarnation = 0
	var restarted *RestartedError
	if errors.As(err, &restarted) {
		next.ID.Incarnation = restarted.Incarnation
	}
	return d.leader.replaceIncarnation(next) == nil
}

// replaceIncarnation commits that an incarnation, which has answered at its address, has
// replaced the known ones of its target.
func (l *leader) replaceIncarnation(next graph.Target) *wire.Fault {
	known, found := l.scheduler.ledger.CurrentTarget(next.ID.ID)
	identified := next.ID.Incarnation != 0
	var fault *wire.Fault
	switch {
	case found && identified && known.ID == next.ID:
		// It has replaced the others already.
	case found && known.ID.Incarnation >= next.ID.Incarnation:
		fault = l.replaceByEarlier(known, next.ID)
	default:
		fault = l.replaceAndDrive(next)
	}
	if fault == nil && identified {
		l.setCurrentIncarnation(next.ID)
	}
	return fault
}

// replaceByEarlier commits that the known incarnation is over, which was born later than the one
// that has replaced it, as the clock of its machine was set back. The ledger takes the one born
// later for the newer one, so the other can't adopt runs. Those that it may have taken stay in
// the ledger until the longest lease is over, and replaceByEarlier returns a fault until then.
func (l *leader) replaceByEarlier(known graph.Target, next graph.TargetID) *wire.Fault {
	// The driver may be of an incarnation that has never got into the ledger.
	d := l.driverOf(known.ID.ID)
	if d == nil {
		d = l.ensureDriver(known)
	}
	if d == nil {
		return wire.NewFault(wire.CodeNotLeader, "")
	}
	id := d.target.ID
	over, outliving := d.splitRuns(l.scheduler.ledger.Assignments(id))
	if len(outliving) == 0 {
		return l.endIncarnations(observedOtherIncarnation, true, id)
	}
	if l.claimReplacement(id) {
		if fault := l.commitReplacement(id, over); fault != nil {
			l.releaseReplacement(id)
			return fault
		}
		l.logReplacement(id, next, over, outliving)
	}
	return wire.NewFault(wire.CodeBusy, "an earlier process of the target may have left runs")
}

// replaceAndDrive replaces the older incarnations of a target, and starts the driver of
// the next one if runs of theirs are left. The next one may never get into the ledger, so
// that nothing else would end these runs.
func (l *leader) replaceAndDrive(next graph.Target) *wire.Fault {
	if fault := l.replaceOlder(next.ID); fault != nil {
		return fault
	}
	if l.scheduler.ledger.RunCount(next.ID) > 0 {
		l.ensureDriver(next)
	}
	return nil
}

// replaceOlder commits that the given incarnation has replaced all older ones of the
// target. The runs that it may have taken for them stay in the ledger, for the driver of
// the given incarnation to adopt.
func (l *leader) replaceOlder(next graph.TargetID) *wire.Fault {
	older := l.scheduler.ledger.OlderIncarnations(next)
	if len(older) == 0 {
		return nil
	}
	last := slices.MaxFunc(older, compareTargets)
	assignments := l.scheduler.ledger.Assignments(last)
	var over, outliving []graph.RunEnd
	if d := l.driver(last); d != nil {
		over, outliving = d.splitRuns(assignments)
	} else {
		outliving = l.endsOf(last, assignments)
	}
	if len(outliving) == 0 {
		return l.endIncarnations(observedOtherIncarnation, true, older...)
	}
	if !l.claimReplacement(last) {
		return nil
	}
	if fault := l.commitReplacement(last, over); fault != nil {
		l.releaseReplacement(last)
		return fault
	}
	l.logReplacement(last, next, over, outliving)
	l.scheduler.metrics.adoptedRuns.Add(float64(len(outliving)))
	for _, id := range older {
		l.removeDriver(id)
	}
	return nil
}

// claimReplacement returns true if the replacement of the incarnation has not been
// committed by this leader and is not being committed.
func (l *leader) claimReplacement(id graph.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replaced[id] {
		return false
	}
	l.replaced[id] = true
	return true
}

// releaseReplacement undoes claimReplacement.
func (l *leader) releaseReplacement(id graph.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.replaced, id)
}

// logReplacement logs that an incarnation is replaced while it has runs that may go on.
func (l *leader) logReplacement(last, next graph.TargetID, over, outliving []graph.RunEnd) {
	l.log.WithFields(logrus.Fields{
		"target":    last.ID,
		"born":      last.Incarnation,
		"next":      next.Incarnation,
		"why":       observedOtherIncarnation.String(),
		"over":      runNames(over),
		"uncertain": runNames(outliving),
	}).Info("target: lifetime replaced")
}

// commitReplacement commits the crash of the replaced incarnation, and the ends of those
// of its runs that are certain to be over with it.
func (l *leader) commitReplacement(last graph.TargetID, over []graph.RunEnd) *wire.Fault {
	if fault := l.commitCrashes(l.crashesOf([]graph.TargetID{last})); fault != nil {
		return fault
	}
	if len(over) == 0 {
		return nil
	}
	result, fault := l.proposeEnds(l.ctx, over)
	if fault != nil {
		return fault
	}
	l.logFinished(result.Finished)
	return nil
}

// splitRuns retires the driver of a replaced incarnation, and returns the ends of its
// runs: those that are over with the incarnation, and those that may outlive it.
func (d *driver) splitRuns(assignments []graph.Assignment) (over, outliving []graph.RunEnd) {
	d.mu.Lock()
	d.retired = true
	d.updateUsableUntil()
	d.mu.Unlock()
	return d.partitionRuns(assignments, d.canOutlive)
}

// partitionRuns returns the ends of the runs that are over with the incarnation, and of
// those that may outlive it by the function, which is called with the lock held.
func (d *driver) partitionRuns(
	assignments []graph.Assignment, canOutlive func(runKey) bool,
) (over, outliving []graph.RunEnd) {
	ends := d.leader.endsOf(d.target.ID, assignments)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, end := range ends {
		if canOutlive(keyOf(end.Task, end.Run)) {
			outliving = append(outliving, end)
		} else {
			over = append(over, end)
		}
	}
	return over, outliving
}

// endsOf returns the ends of all the runs with the target.
func (l *leader) endsOf(id graph.TargetID, assignments []graph.Assignment) []graph.RunEnd {
	ends := make([]graph.RunEnd, 0, len(assignments))
	for _, assignment := range assignments {
		ends = append(ends, l.endOf(id, keyOf(assignment.Task, assignment.Run), graph.OutcomeLeaseExpired))
	}
	return ends
}

// removeOlder commits that the older incarnations of the target are over once none of
// their runs is left.
func (d *driver) removeOlder() {
	ledger := d.leader.scheduler.ledger
	var over []graph.TargetID
	for _, id := range ledger.OlderIncarnations(d.target.ID) {
		if ledger.RunCount(id) == 0 {
			over = append(over, id)
		}
	}
	if len(over) == 0 {
		return
	}
	if fault := d.leader.endIncarnations(observedNoRuns, false, over...); fault == nil {
		d.log.WithField("born", d.target.ID.Incarnation).Info("target: holds no run of an older lifetime")
	}
}

// runNames returns the names of the runs for log messages.
func runNames(ends []graph.RunEnd) []string {
	names := make([]string, 0, len(ends))
	for _, end := range ends {
		names = append(names, string(end.Task.Job)+"."+end.Task.RunName(end.Run))
	}
	slices.Sort(names)
	return names
}

package push

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/plan"
)

const (
	// startAttempts is the maximum number of times that a start is sent.
	startAttempts = 3
	// minStartTimeout is the lowest timeout of the first attempt.
	minStartTimeout = 100 * time.Millisecond
	// maxConcurrentStarts bounds the starts in flight to a target, so that a
	// wide step does not open a connection for each of its tasks.
	maxConcurrentStarts = 3
	// maxStartDelay is how long a start that has not been sent waits for its target
	// to answer again.
	maxStartDelay = 200 * time.Millisecond
	// stopRetryInterval is the shortest time between two stops of the same run.
	stopRetryInterval = 500 * time.Millisecond
)

// start sends the start of a run on a new goroutine, or commits its end if the task is done.
func (d *driver) start(task graph.TaskRef, run uint32, ticket plan.Ticket) {
	key := keyOf(task, run)
	if !d.claimStart(key) {
		return
	}
	if d.leader.doneTasks.has(task) {
		d.setRunState(key, runAbsent)
		d.leader.goroutines.Go(func() { d.reportAbsent(key) })
		return
	}
	d.wakeUp()
	sendBy := time.Now().Add(maxStartDelay)
	d.leader.goroutines.Go(func() {
		if !d.startSlots.acquire(d.ctx) {
			return
		}
		state := d.sendStart(key, ticket, sendBy)
		d.startSlots.release()
		d.setRunState(key, state)
		if state == runStarted {
			d.recordStart(key)
		}
		d.wakeUp()
		if state == runAbsent {
			d.reportAbsent(key)
		}
	})
}

// recordStart records that a run has started. Without a checkpoint its progress
// is known to be zero, which serves as its first progress report.
func (d *driver) recordStart(key runKey) {
	now := time.Now()
	d.leader.rater.Started(plan.StepKeyOf(key.task), key.task.Index, d.target.ID, now)
	assignment := d.leader.scheduler.ledger.AssignmentOf(d.target.ID, key.task, key.run)
	if assignment.Checkpoint != "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	info.progress.Start(now)
	if !assignment.LongRunning && !assignment.BestEffort {
		info.startedAt = now
		info.estimate = time.Duration(assignment.Estimate) * time.Millisecond
		info.queue = assignment.Queue
	}
}

// recordDuration compares the duration of a run that is done with its estimate, if this
// leader saw it start.
func (d *driver) recordDuration(key runKey, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if info := d.runs[key]; info != nil && !info.startedAt.IsZero() {
		d.leader.durations.Observe(info.queue, now.Sub(info.startedAt), info.estimate)
	}
}

// recordEnd counts the end of a run and passes it to the rater.
func (d *driver) recordEnd(e graph.RunEnd) {
	step := plan.StepKeyOf(e.Task)
	d.leader.scheduler.metrics.runsEnded.WithLabelValues(e.Outcome.String()).Inc()
	switch d.leader.committedOutcome(e) {
	case graph.OutcomeDone:
		now := time.Now()
		d.leader.rater.Done(step, e.Task.Index, d.target.ID, now)
		d.recordDuration(keyOf(e.Task, e.Run), now)
	case graph.OutcomeFailed:
		d.leader.rater.Failed(step, e.Task.Index, d.target.ID)
	default:
		d.leader.rater.Discarded(step, e.Task.Index, d.target.ID)
	}
}

// claimStart marks the run's start as being sent. It returns false if the start
// has been claimed or sent already.
func (d *driver) claimStart(key runKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	if info.state != runUnknown && info.state != runPlaced {
		return false
	}
	info.state = runSending
	info.changedAt = time.Now()
	return true
}

// reportAbsent commits that a run is certain never to start.
func (d *driver) reportAbsent(key runKey) {
	if err := d.commitEnds([]graph.RunEnd{d.endOf(key, graph.OutcomeNeverStarted)}); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, key)
}

func (d *driver) setRunState(key runKey, state runState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	info.state = state
	info.changedAt = time.Now()
	info.unlistedAt = time.Time{}
}

// sendStart sends the start until it is answered or the attempts are used up, and
// returns the resulting state of the run. All attempts carry the deadline of the
// first, so that repeating a start extends no lease. If the target does not answer
// by the given time, or its ticket expires before, the start is not sent.
func (d *driver) sendStart(key runKey, ticket plan.Ticket, sendBy time.Time) runState {
	var deadline Clock
	inherited := d.isInherited(key)
	sent, arrived := false, false
	for range startAttempts {
		assignment := d.leader.scheduler.ledger.AssignmentOf(d.target.ID, key.task, key.run)
		if !d.mayStart(key, assignment.Desired, sent) {
			break
		}
		if deadline == 0 {
			deadline = d.extendLease()
		}
		if !sent && d.isTooLate(key, ticket, deadline, sendBy) {
			break
		}
		if deadline == 0 || !d.leader.canSendOrders() {
			if !group.SleepContext(d.ctx, renewalRetryDelay) {
				return runUncertain
			}
			continue
		}
		if !d.claimSend(key) {
			break
		}
		least := d.leastClock()
		clock, err := d.callStart(Start{
			Task:       key.task,
			Run:        key.run,
			Payload:    assignment.Payload,
			Checkpoint: assignment.Checkpoint,
			Ticket:     ticket.Value,
			Deadline:   deadline,
			Token:      d.leader.token(),
		}, sent)
		if err == nil {
			d.recordTaken(key, clock, least)
			return runStarted
		}
		arrived = arrived || mayHaveArrived(err)
		d.recordUntaken(key, arrived, err)
		if state, final := d.stateAfter(err, sent || inherited); final {
			return state
		}
		sent = true
	}
	if sent {
		return runUncertain
	}
	return d.unsentState(key)
}

// isTooLate reports whether the first start of a run must no longer be sent: the target has not
// answered in time, so that there is no deadline, or the ticket would expire before it arrives.
func (d *driver) isTooLate(key runKey, ticket plan.Ticket, deadline Clock, sendBy time.Time) bool {
	return deadline == 0 && time.Now().After(sendBy) || d.withholdsExpired(key, ticket)
}

// leastClock returns a lower bound of the target's clock, or zero while none is known.
func (d *driver) leastClock() Clock {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clockLowerBound(time.Now())
}

// recordTaken records that the target has answered the start of the run, and what its clock
// read then. The clock of a later incarnation began anew, so that it is behind the lower
// bound of this one's clock when the start was sent, unless this one was very short-lived.
func (d *driver) recordTaken(key runKey, clock, least Clock) {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.runInfo(key)
	info.takenAt = time.Now()
	info.takenByOwnClock = !info.startLost && least > 0 && clock >= least
}

// recordBroken records that the connection broke under the start of the run. It would have
// broken before, or been refused, if the target's process had been gone already.
func (d *driver) recordBroken(key runKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runInfo(key).startBroken = true
}

// isInherited reports whether an earlier leader has placed the run.
func (d *driver) isInherited(key runKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inherited[key]
}

// stateAfter returns the state of a run whose start failed with the error, and whether
// the start is not to be sent again. Sent says whether it may have been sent before. Then a
// refusal does not tell that the run never started: it may be ending after a stop.
func (d *driver) stateAfter(err error, sent bool) (state runState, final bool) {
	switch {
	case errors.Is(err, ErrFenced):
		d.leader.fence()
		return runUncertain, true
	case errors.Is(err, ErrRefused) && !sent:
		return runAbsent, true
	case errors.Is(err, ErrRefused), errors.Is(err, ErrOtherIncarnation):
		return runUncertain, true
	}
	return runUncertain, false
}

// mayHaveArrived reports whether the target's process may have received an order that
// failed with the error.
func mayHaveArrived(err error) bool {
	return !errors.Is(err, ErrDown) && !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrOtherIncarnation)
}

// unsentState returns the state of a run whose start this leader has not sent. An
// earlier leader may have sent the start of an inherited run, so that run is started
// or stopped after the next listing. Any other run is certain never to start.
func (d *driver) unsentState(key runKey) runState {
	d.log.WithFields(logrus.Fields{
		"job":  key.task.Job,
		"task": key.task.Name(),
		"run":  key.run,
	}).Warn("target: start not sent")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inherited[key] {
		return runUnknown
	}
	return runAbsent
}

// callStart sends the start once. The timeout of the first attempt follows the
// current latency of answers: repeating a start is safe, because a run starts at
// most once. A first attempt without an answer does not count as a failure of the
// target, since one lost message says little about it.
func (d *driver) callStart(order Start, isRetry bool) (Clock, error) {
	wait := d.leader.scheduler.timing.CallTimeout
	if !isRetry {
		wait = min(wait, d.leader.startLatency.Timeout()+relayTimeoutMargin)
	}
	ctx, cancel := context.WithTimeout(d.ctx, wait)
	defer cancel()
	sent := time.Now()
	d.recordStartSent(keyOf(order.Task, order.Run), wait)
	clock, err := d.leader.targets.Start(ctx, &d.target, order)
	d.leader.scheduler.metrics.orders.WithLabelValues(string(outcomeOf(err))).Inc()
	lost := errors.Is(err, ErrNoAnswer)
	if lost && !errors.Is(err, ErrDown) && time.Since(sent) < wait/2 {
		d.recordBroken(keyOf(order.Task, order.Run))
	}
	if !lost {
		d.leader.startLatency.Observe(time.Since(sent))
	}
	if isRetry || !lost {
		d.recordAnswer(clock, err)
	}
	return clock, err
}

// recordAnswer updates the target's clock from an answer, or counts a failure if
// there was none. Only an answered renewal clears failures, so an idle target gets one
// then.
func (d *driver) recordAnswer(clock Clock, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || errors.Is(err, ErrRefused) {
		d.updateClock(clock)
		d.updateUsableUntil()
		return
	}
	if errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrNotSent) && d.ctx.Err() == nil {
		d.countFailure(errors.Is(err, ErrDown), 0)
		d.updateUsableUntil()
		d.wakeUp()
	}
}

// stop sends a stop for the run on a new goroutine, unless one was sent within
// stopRetryInterval.
func (d *driver) stop(key runKey) {
	d.mu.Lock()
	info := d.runInfo(key)
	now := time.Now()
	if now.Sub(info.stopSentAt) < stopRetryInterval {
		d.mu.Unlock()
		return
	}
	info.stopSentAt = now
	d.mu.Unlock()
	d.leader.goroutines.Go(func() { d.sendStop(key) })
}

func (d *driver) sendStop(key runKey) {
	ctx, cancel := context.WithTimeout(d.ctx, d.leader.scheduler.timing.CallTimeout)
	defer cancel()
	if !d.leader.canSendOrders() {
		return
	}
	clock, err := d.leader.targets.Stop(ctx, &d.target, Stop{
		Task:  key.task,
		Run:   key.run,
		Token: d.leader.token(),
	})
	d.recordAnswer(clock, err)
	if errors.Is(err, ErrFenced) {
		d.leader.fence()
		return
	}
	if err != nil {
		d.log.WithError(err).WithField("task", key.task.Name()).Warn("target: stop not taken")
		return
	}
	d.setRunState(key, runStopped)
	d.wakeUp()
}

// stopUndesired stops all runs that the ledger no longer wants.
func (l *leader) stopUndesired() {
	for _, d := range l.allDrivers() {
		for _, assignment := range l.scheduler.ledger.Assignments(d.target.ID) {
			if !assignment.Desired {
				d.stop(keyOf(assignment.Task, assignment.Run))
			}
		}
	}
}

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
	// startTries is how often a start without an answer is sent.
	startTries = 3
	// leastStartWait is how long the first answer is waited for at least.
	leastStartWait = 100 * time.Millisecond
	// startLanes is how many starts may be on their way to a target, so that
	// a wide step does not open a connection for each of its tasks.
	startLanes = 3
	// stopAgain is after how long an order to stop is sent again.
	stopAgain = 500 * time.Millisecond
)

// start orders a run to start, on a goroutine of its own.
func (d *driver) start(task graph.TaskRef, run uint32, ticket string) {
	key := keyOf(task, run)
	if !d.claim(key) {
		return
	}
	d.poke()
	d.leader.done.Go(func() {
		if !d.enter() {
			return
		}
		state := d.sendStart(key, ticket)
		d.leave()
		d.mark(key, state)
		if state == runStarted {
			d.started(key)
		}
		d.poke()
		if state == runAbsent {
			d.absent(key)
		}
	})
}

// enter waits for a lane to the target. It tells false when the driver ends
// before.
func (d *driver) enter() bool {
	select {
	case d.lanes <- struct{}{}:
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *driver) leave() {
	<-d.lanes
}

// started notes when a run began. One without a checkpoint has done nothing
// yet, which is its first report of progress.
func (d *driver) started(key runKey) {
	now := time.Now()
	d.leader.rater.Started(plan.StepOf(key.task), key.task.Index, d.target.ID, now)
	if d.leader.part.ledger.OrderOf(d.target.ID, key.task, key.run).Saved != "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known(key).track.Begin(now)
}

// rate tells the rater of an end.
func (d *driver) rate(e graph.End) {
	step := plan.StepOf(e.Task)
	d.leader.part.metrics.ends.WithLabelValues(e.How.String()).Inc()
	switch e.How {
	case graph.HowDone:
		d.leader.rater.Done(step, e.Task.Index, d.target.ID, time.Now())
	case graph.HowFailed:
		d.leader.rater.Failed(step, e.Task.Index, d.target.ID)
	default:
		d.leader.rater.Dropped(step, e.Task.Index, d.target.ID)
	}
}

// claim notes that the run's start is being sent. It tells false when that is
// so already.
func (d *driver) claim(key runKey) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.known(key)
	if info.state != runUnknown && info.state != runPlaced {
		return false
	}
	info.state = runSending
	info.changed = time.Now()
	return true
}

// absent reports a run that surely never starts.
func (d *driver) absent(key runKey) {
	err := d.commit([]graph.End{{
		Target: d.target.ID,
		Task:   key.task,
		Run:    key.run,
		How:    graph.HowAbsent,
	}})
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, key)
}

func (d *driver) mark(key runKey, state runState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	info := d.known(key)
	info.state = state
	info.changed = time.Now()
}

// sendStart sends the order until it is answered, and returns what is then
// known of the run.
func (d *driver) sendStart(key runKey, ticket string) runState {
	unanswered := false
	for range startTries {
		order := d.leader.part.ledger.OrderOf(d.target.ID, key.task, key.run)
		if !order.Wanted {
			break
		}
		deadline := d.lease()
		if deadline == 0 || !d.leader.mayOrder() {
			if !group.Pause(d.ctx, retryHold) {
				break
			}
			continue
		}
		err := d.callStart(Start{
			Task:     key.task,
			Run:      key.run,
			Payload:  order.Payload,
			Saved:    order.Saved,
			Ticket:   ticket,
			Deadline: deadline,
			Token:    d.leader.token(),
		}, unanswered)
		if err == nil {
			return runStarted
		}
		d.log.WithError(err).WithFields(logrus.Fields{
			"job":  key.task.Job,
			"task": key.task.Name(),
			"run":  key.run,
		}).Warn("target: start not taken")
		switch {
		case errors.Is(err, ErrFenced):
			d.leader.deposed()
			return runDoubtful
		case errors.Is(err, ErrRefused) && !unanswered:
			return runAbsent
		case errors.Is(err, ErrRefused), errors.Is(err, ErrOtherLifetime):
			return runDoubtful
		}
		unanswered = true
	}
	return runDoubtful
}

// callStart sends the order once. The first answer is waited for no longer than
// answers take now: the order may be sent again at once, as a run starts only
// once. One that is lost says little about the target.
func (d *driver) callStart(order Start, again bool) error {
	wait := d.leader.part.terms.Call
	if !again {
		wait = min(wait, d.leader.startTimes.Limit()+relaySlack)
	}
	ctx, cancel := context.WithTimeout(d.ctx, wait)
	defer cancel()
	sent := time.Now()
	clock, err := d.leader.targets.Start(ctx, &d.target, order)
	d.leader.part.metrics.orders.WithLabelValues(string(outcomeOf(err))).Inc()
	lost := errors.Is(err, ErrUnanswered)
	if !lost {
		d.leader.startTimes.Seen(time.Since(sent))
	}
	if again || !lost {
		d.note(clock, err)
	}
	return err
}

// note takes the clock of an answer, or counts that there was none.
func (d *driver) note(clock Clock, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil || errors.Is(err, ErrRefused) {
		d.learnClock(clock)
		d.refresh()
		return
	}
	if errors.Is(err, ErrUnanswered) && d.ctx.Err() == nil {
		d.failures++
		d.refresh()
	}
}

// stop orders a run to stop, unless that was ordered just before.
func (d *driver) stop(key runKey) {
	d.mu.Lock()
	info := d.known(key)
	now := time.Now()
	if now.Sub(info.stopAt) < stopAgain {
		d.mu.Unlock()
		return
	}
	info.stopAt = now
	d.mu.Unlock()
	d.leader.done.Go(func() { d.sendStop(key) })
}

func (d *driver) sendStop(key runKey) {
	ctx, cancel := context.WithTimeout(d.ctx, d.leader.part.terms.Call)
	defer cancel()
	if !d.leader.mayOrder() {
		return
	}
	clock, err := d.leader.targets.Stop(ctx, &d.target, Stop{
		Task:  key.task,
		Run:   key.run,
		Token: d.leader.token(),
	})
	d.note(clock, err)
	if errors.Is(err, ErrFenced) {
		d.leader.deposed()
		return
	}
	if err != nil {
		d.log.WithError(err).WithField("task", key.task.Name()).Warn("target: stop not taken")
		return
	}
	d.mark(key, runStopped)
	d.poke()
}

// stopUnwanted stops the runs that should not go on.
func (l *leader) stopUnwanted() {
	for _, d := range l.all() {
		for _, order := range l.part.ledger.Orders(d.target.ID) {
			if !order.Wanted {
				d.stop(keyOf(order.Task, order.Run))
			}
		}
	}
}

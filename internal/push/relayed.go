package push

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/boot"
)

const (
	// relayTimeoutMargin is how much sooner than the leader's call the relay's
	// call to the target times out, so that the relay's answer still arrives.
	relayTimeoutMargin = 50 * time.Millisecond
	// minDirectTime is the remaining time that a call needs to be retried
	// directly after its relay failed.
	minDirectTime = 30 * time.Millisecond
)

// relayedTargets implements Targets by calling targets through relays.
type relayedTargets struct {
	direct Targets
	relays *relays
	// maySend reports whether the leader may send orders.
	maySend func() bool
	metrics *metrics
}

// The routes of a call, as values of the metric label.
const (
	routeDirect = "direct"
	routeRelay  = "relay"
	// routeRelayLost is the route of a call that a relay did not answer.
	routeRelayLost = "relay-lost"
)

var _ Targets = (*relayedTargets)(nil)

// Start sends an order to start a run.
func (p *relayedTargets) Start(ctx context.Context, t *graph.Target, order Start) (Clock, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Start: &order,
	}, t)
	return reply.Clock, err
}

// Stop sends an order to stop a run.
func (p *relayedTargets) Stop(ctx context.Context, t *graph.Target, order Stop) (Clock, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Stop: &order,
	}, t)
	return reply.Clock, err
}

// Pace sends an order to limit the speed of a run.
func (p *relayedTargets) Pace(ctx context.Context, t *graph.Target, order Pace) (Clock, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Pace: &order,
	}, t)
	return reply.Clock, err
}

// RenewLease sends an order to renew the lease and list the runs.
func (p *relayedTargets) RenewLease(ctx context.Context, t *graph.Target, renewal LeaseRenewal) (RunList, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Hold: &renewal,
	}, t)
	return reply.Listing, err
}

// Release releases the resources held for the incarnation.
func (p *relayedTargets) Release(t *graph.Target) {
	p.relays.forget(t)
	p.direct.Release(t)
}

// send sends the order through the target's relay, or directly if there is none.
// A renewal that a relay did not answer is retried directly at once, because it
// is idempotent. Retries of other orders are left to the driver.
func (p *relayedTargets) send(ctx context.Context, args *OrderArgs, t *graph.Target) (OrderReply, error) {
	args.ID = t.ID
	args.Address = t.Address
	// The leader may be suspended between this check and the call, and lose its lead
	// meanwhile. The call is not made any more then, as its deadline is set before.
	ctx = boot.WithDeadline(ctx, boot.Now()+remainingTime(ctx))
	if !p.maySend() {
		return OrderReply{}, ErrNotSent
	}
	relay := p.relays.relayFor(t)
	if relay == "" {
		p.metrics.routes.WithLabelValues(routeDirect).Inc()
		return dispatchOrder(ctx, p.direct, args)
	}
	reply, err := p.sendViaRelay(ctx, relay, args)
	if err == nil {
		p.metrics.routes.WithLabelValues(routeRelay).Inc()
		if reply.Outcome != outcomeUnanswered && reply.Outcome != outcomeDown {
			return reply, reply.err(relay)
		}
		p.relays.markUnreachable(t)
		if reply.Outcome == outcomeUnanswered || args.Hold == nil || remainingTime(ctx) < minDirectTime {
			return reply, reply.err(relay)
		}
		// A refusal may be the relay's alone.
		args.Hold.Wait = 0
		p.metrics.routes.WithLabelValues(routeDirect).Inc()
		return dispatchOrder(ctx, p.direct, args)
	}
	p.metrics.routes.WithLabelValues(routeRelayLost).Inc()
	p.relays.markFailed(relay, err)
	if args.Hold == nil || remainingTime(ctx) < minDirectTime {
		return OrderReply{}, errors.Wrapf(ErrNoAnswer, "relay %s: %s", relay, err)
	}
	args.Hold.Wait = 0
	return dispatchOrder(ctx, p.direct, args)
}

// sendViaRelay sends the order through the relay. An error concerns the relay and
// says nothing about the target.
func (p *relayedTargets) sendViaRelay(ctx context.Context, relay string, args *OrderArgs) (OrderReply, error) {
	limit := remainingTime(ctx)
	args.Limit = limit - relayTimeoutMargin
	args.SendBy = p.relays.clocks.after(relay, limit)
	reply, err := p.relays.cell.Order(ctx, relay, args, limit)
	if err != nil {
		return OrderReply{}, err
	}
	if reply.Fault != nil {
		return OrderReply{}, reply.Fault
	}
	return reply.Value, nil
}

// remainingTime returns the time until the context's deadline, or serveTimeout
// if it has none.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return serveTimeout
	}
	return time.Until(deadline)
}

// OrderArgs are the arguments of Order: one order of the leader to a target.
type OrderArgs struct {
	ID      graph.TargetID
	Address string
	// Limit is the timeout of the call to the target.
	Limit time.Duration
	// SendBy is the reading of the relay's clock after which the order is not sent, or
	// zero if the leader does not know its clock.
	SendBy wire.ProcessClock
	// Exactly one of the following is set.
	Start *Start
	Stop  *Stop
	Pace  *Pace
	Hold  *LeaseRenewal
}

// OrderReply is the result of an order.
type OrderReply struct {
	Clock   Clock
	Listing RunList
	Outcome outcome
	// Detail is the error message of an order that failed.
	Detail string
	// Incarnation is the one that answered in place of the order's, or zero if it is
	// not known. OtherTarget is true if another target answered.
	Incarnation int64
	OtherTarget bool
}

// setErr records the result of a failed order, for a reply to the leader.
func (r *OrderReply) setErr(err error) {
	r.Outcome = outcomeOf(err)
	if err == nil {
		return
	}
	r.Detail = err.Error()
	r.OtherTarget = errors.Is(err, ErrOtherTarget)
	var restarted *RestartedError
	if errors.As(err, &restarted) {
		r.Incarnation = restarted.Incarnation
	}
}

// err returns the error for the outcome reported by the relay, or nil.
func (r *OrderReply) err(relay string) error {
	err := r.Outcome.err()
	switch {
	case err == nil:
		return nil
	case r.OtherTarget:
		err = ErrOtherTarget
	case r.Outcome == outcomeOtherIncarnation && r.Incarnation != 0:
		err = &RestartedError{Incarnation: r.Incarnation}
	}
	return errors.Wrapf(err, "relay %s: %s", relay, r.Detail)
}

// kind returns the name of the order for log messages.
func (a *OrderArgs) kind() string {
	switch {
	case a.Start != nil:
		return "start"
	case a.Stop != nil:
		return "stop"
	case a.Pace != nil:
		return "pace"
	}
	return "renewal"
}

// dispatchOrder calls the method of Targets that matches the order.
func dispatchOrder(ctx context.Context, targets Targets, args *OrderArgs) (OrderReply, error) {
	t := &graph.Target{
		Announcement: graph.Announcement{
			ID:      args.ID,
			Address: args.Address,
		},
	}
	var reply OrderReply
	var err error
	switch {
	case args.Start != nil:
		reply.Clock, err = targets.Start(ctx, t, *args.Start)
	case args.Stop != nil:
		reply.Clock, err = targets.Stop(ctx, t, *args.Stop)
	case args.Pace != nil:
		reply.Clock, err = targets.Pace(ctx, t, *args.Pace)
	case args.Hold != nil:
		reply.Listing, err = targets.RenewLease(ctx, t, *args.Hold)
	default:
		err = errors.Wrap(ErrRefused, "empty order")
	}
	return reply, err
}

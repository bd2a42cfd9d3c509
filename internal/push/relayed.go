package push

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
)

const (
	// relaySlack is how much sooner than the leader a relay gives a call up, so
	// that its answer still arrives.
	relaySlack = 50 * time.Millisecond
	// leastDirect is what must be left of a call's time to make it again
	// without the relay.
	leastDirect = 30 * time.Millisecond
)

// relayed is a port that calls targets through relays.
type relayed struct {
	direct  Targets
	relays  *relays
	metrics *metrics
}

// The ways of a call, as its metric names them.
const (
	wayDirect = "direct"
	wayRelay  = "relay"
	// wayLost is that of a call that a relay did not answer.
	wayLost = "relay-lost"
)

var _ Targets = (*relayed)(nil)

// Start orders a run to start.
func (p *relayed) Start(ctx context.Context, t *graph.Target, order Start) (Clock, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Start: &order,
	}, t)
	return reply.Clock, err
}

// Stop orders a run to stop.
func (p *relayed) Stop(ctx context.Context, t *graph.Target, order Stop) (Clock, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Stop: &order,
	}, t)
	return reply.Clock, err
}

// Pace has a run work at a part of its speed.
func (p *relayed) Pace(ctx context.Context, t *graph.Target, order Pace) (Clock, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Pace: &order,
	}, t)
	return reply.Clock, err
}

// Hold renews a lease and lists runs.
func (p *relayed) Hold(ctx context.Context, t *graph.Target, order Hold) (Listing, error) {
	reply, err := p.send(ctx, &OrderArgs{
		Hold: &order,
	}, t)
	return reply.Listing, err
}

// Forget closes what is open to the lifetime.
func (p *relayed) Forget(t *graph.Target) {
	p.relays.forget(t)
	p.direct.Forget(t)
}

// send has the order sent by the target's relay, and by this instance where
// there is none. A renewal that a relay lost is made again at once, as it may
// arrive twice; other orders are the driver's to repeat.
func (p *relayed) send(ctx context.Context, args *OrderArgs, t *graph.Target) (OrderReply, error) {
	args.ID = t.ID
	args.Address = t.Address
	relay := p.relays.of(t)
	if relay == "" {
		p.metrics.ways.WithLabelValues(wayDirect).Inc()
		return carryOut(ctx, p.direct, args)
	}
	reply, err := p.through(ctx, relay, args)
	if err == nil {
		p.metrics.ways.WithLabelValues(wayRelay).Inc()
		if reply.Outcome == outcomeUnanswered {
			p.relays.unreached(t)
		}
		return reply, reply.err(relay)
	}
	p.metrics.ways.WithLabelValues(wayLost).Inc()
	p.relays.failed(relay, err)
	if args.Hold == nil || remaining(ctx) < leastDirect {
		return OrderReply{}, errors.Wrapf(ErrUnanswered, "relay %s: %s", relay, err)
	}
	args.Hold.Wait = 0
	return carryOut(ctx, p.direct, args)
}

// through has the relay send the order. An error says nothing of the target.
func (p *relayed) through(ctx context.Context, relay string, args *OrderArgs) (OrderReply, error) {
	limit := remaining(ctx)
	args.Limit = limit - relaySlack
	reply, err := group.CallAt[OrderArgs, OrderReply](ctx, p.relays.host, relay, methodOrder, args, limit)
	if err != nil {
		return OrderReply{}, err
	}
	if reply.Fault != nil {
		return OrderReply{}, reply.Fault
	}
	return reply.Value, nil
}

// remaining returns how long the context lasts.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return serveTimeout
	}
	return time.Until(deadline)
}

// OrderArgs has an instance send one order of the leader to a target.
type OrderArgs struct {
	ID      graph.TargetID
	Address string
	// Limit is how long the target may take.
	Limit time.Duration
	// One of these is set.
	Start *Start
	Stop  *Stop
	Pace  *Pace
	Hold  *Hold
}

// OrderReply is what came of an order.
type OrderReply struct {
	Clock   Clock
	Listing Listing
	Outcome outcome
	// Detail tells more of an order that was not taken.
	Detail string
}

// err returns the error that the outcome at the relay stands for.
func (r *OrderReply) err(relay string) error {
	if err := r.Outcome.err(); err != nil {
		return errors.Wrapf(err, "relay %s: %s", relay, r.Detail)
	}
	return nil
}

// carryOut makes the call that the order asks for.
func carryOut(ctx context.Context, targets Targets, args *OrderArgs) (OrderReply, error) {
	t := &graph.Target{
		Announce: graph.Announce{
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
		reply.Listing, err = targets.Hold(ctx, t, *args.Hold)
	default:
		err = errors.Wrap(ErrRefused, "empty order")
	}
	return reply, err
}

package push

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// relayCheck is how often each relay is asked whether it answers, and
	// relayLimit how long it may take.
	relayCheck = 300 * time.Millisecond
	relayLimit = 400 * time.Millisecond
	// relaySettle is how long a new leader waits to learn who answers, before
	// it calls targets itself.
	relaySettle = 60 * time.Millisecond
	// relaySlack is how much sooner than the leader a relay gives a call up, so
	// that its answer still arrives.
	relaySlack = 50 * time.Millisecond
	// leastDirect is what must be left of a call's time to make it again
	// without the relay.
	leastDirect = 30 * time.Millisecond
	// avoidFor is how long a target is called without the relay that could not
	// reach it.
	avoidFor = 2 * time.Second
)

// relays are the instances that pass the leader's orders on to targets, so
// that no instance needs a connection to each target. A target's relay is in
// its own failure domain: an order crosses the domains once, as without one.
// It keeps no state, and an order that it sends late is as one that the network
// has held up: the fencing token and the deadline in it see to that.
type relays struct {
	host *group.Host
	log  *logrus.Entry

	mu sync.Mutex
	// answers tells of each member whether it answered when last asked.
	answers map[string]bool
	// live are the members that answer, by failure domain.
	live map[string][]string
	// avoid tells until when a target is called without its relay, which could
	// not reach it.
	avoid map[string]time.Time
}

func newRelays(host *group.Host, log *logrus.Entry) *relays {
	return &relays{
		host:    host,
		log:     log,
		answers: map[string]bool{},
		avoid:   map[string]time.Time{},
	}
}

// of returns the address of the target's relay, or "" where the leader calls
// the target itself.
func (r *relays) of(t *graph.Target) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.avoid[t.ID.ID]) {
		return ""
	}
	delete(r.avoid, t.ID.ID)
	return choose(t.ID.ID, r.live[t.Domain])
}

// unreached has the leader call the target itself for a while: it is the
// target that does not answer, or its relay that is cut off from it.
func (r *relays) unreached(t *graph.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[t.ID.ID] = time.Now().Add(avoidFor)
}

// choose returns the address that weighs most for the id, or "". While
// addresses come and go, few ids change theirs.
func choose(id string, addresses []string) string {
	best, most := "", uint64(0)
	for _, address := range addresses {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(address))
		_, _ = hash.Write([]byte(id))
		if weight := mix(hash.Sum64()); best == "" || weight > most {
			best, most = address, weight
		}
	}
	return best
}

// mix spreads the differences of similar hashes over all bits, with the
// finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// watch asks the members again and again who answers.
func (r *relays) watch(ctx context.Context) {
	for group.Pause(ctx, relayCheck) {
		r.check(relayLimit)
	}
}

// check asks all members, and waits for their answers up to the limit.
func (r *relays) check(limit time.Duration) {
	peers := r.host.Peers()
	var asked sync.WaitGroup
	for _, peer := range peers {
		asked.Go(func() {
			r.note(peer.Address, r.host.Check(peer.Address, limit))
		})
	}
	asked.Wait()
	r.arrange(peers)
}

// note takes an answer, or a failure, of a member.
func (r *relays) note(address string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, known := r.answers[address]
	r.answers[address] = err == nil
	switch {
	case err == nil && !before:
		r.log.WithField("relay", address).Info("relay: answers")
	case err != nil && (before || !known):
		r.log.WithError(err).WithField("relay", address).Warn("relay: no answer")
	}
}

// arrange notes the members that answer, and forgets those that have left.
func (r *relays) arrange(peers []raft.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answers := map[string]bool{}
	live := map[string][]string{}
	for _, peer := range peers {
		answers[peer.Address] = r.answers[peer.Address]
		if answers[peer.Address] {
			live[peer.Domain] = append(live[peer.Domain], peer.Address)
		}
	}
	r.answers = answers
	r.live = live
}

// failed leaves a relay alone until it answers again.
func (r *relays) failed(address string, err error) {
	r.note(address, err)
	r.arrange(r.host.Peers())
}

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

// outcome names what came of an order.
type outcome string

const (
	outcomeTaken         outcome = "taken"
	outcomeFenced        outcome = "fenced"
	outcomeRefused       outcome = "refused"
	outcomeOtherLifetime outcome = "other-lifetime"
	outcomeUnanswered    outcome = "unanswered"
)

// outcomeOf returns the outcome that a call's error tells.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeTaken
	case errors.Is(err, ErrFenced):
		return outcomeFenced
	case errors.Is(err, ErrRefused):
		return outcomeRefused
	case errors.Is(err, ErrOtherLifetime):
		return outcomeOtherLifetime
	}
	return outcomeUnanswered
}

// err returns the error of a port for the outcome, or nil.
func (o outcome) err() error {
	switch o {
	case outcomeTaken:
		return nil
	case outcomeFenced:
		return ErrFenced
	case outcomeRefused:
		return ErrRefused
	case outcomeOtherLifetime:
		return ErrOtherLifetime
	}
	return ErrUnanswered
}

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/internal/wire"
)

const (
	helloTimeout = 700 * time.Millisecond
	pingEvery    = 300 * time.Millisecond
	// silentPings is how many pings in a row go unanswered before the leader
	// is taken for unreachable.
	silentPings = 2
	callTimeout = 3 * time.Second
	// callSlack is added to the time that a call itself waits.
	callSlack = 2 * time.Second
	// Retries wait between these times, with jitter.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// The retry budget: so many retries a second, and in one burst.
	retryRate  = 2000
	retryBurst = 4000
)

// router finds the leader and brings calls to it.
type router struct {
	*peer.Contacts

	node   *Node
	budget *rate.Limiter
	// These belong to the goroutine that pings the leader.
	probed  *peer.Client
	probeTo string
	silent  int
}

func newRouter(n *Node) *router {
	return &router{
		Contacts: peer.NewContacts(n.dialer),
		node:     n,
		budget:   rate.NewLimiter(retryRate, retryBurst),
	}
}

// run watches the leader, so that calls which wait there are not stuck when
// it has fallen silent.
func (r *router) run() {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.node.ctx.Done():
			if r.probed != nil {
				r.probed.Close()
			}
			return
		case <-ticker.C:
			r.ping()
		}
	}
}

// ping asks the leader on a connection of its own, which is not behind the
// calls of others. Only when it stays silent is their connection given up:
// giving it up under load would bring all of them back at once.
func (r *router) ping() {
	address := r.Leader()
	if r.node.Leading() || address == "" {
		r.silent = 0
		return
	}
	ctx, cancel := context.WithTimeout(r.node.ctx, helloTimeout)
	defer cancel()
	var reply wire.Reply[wire.Hello]
	args := &wire.HelloArgs{Name: r.node.cfg.Name}
	probe := r.probe(address)
	if err := probe.Call(ctx, wire.MethodHello, args, &reply); err != nil {
		probe.Reset()
		r.silent++
		if r.silent >= silentPings || errors.Is(err, peer.ErrUnreachable) {
			r.silent = 0
			r.Client(address).Reset()
			r.Forget(address)
		}
		return
	}
	r.silent = 0
	if leader := reply.Value.Leader; leader != "" && leader != address {
		r.learn(leader)
	}
}

// probe returns the client that the address is pinged by. Only the pinging
// goroutine uses it.
func (r *router) probe(address string) *peer.Client {
	if r.probeTo != address && r.probed != nil {
		r.probed.Close()
		r.probed = nil
	}
	if r.probed == nil {
		r.probed = r.node.dialer.NewClient(address)
		r.probeTo = address
	}
	return r.probed
}

// learn notes who is said to lead; "" is nobody.
func (r *router) learn(address string) {
	if address == "" {
		r.SetLeader("")
		return
	}
	r.Learn(address)
}

func (r *router) hello(ctx context.Context, address string) (wire.Hello, error) {
	var reply wire.Reply[wire.Hello]
	args := &wire.HelloArgs{Name: r.node.cfg.Name}
	if err := r.Client(address).Call(ctx, wire.MethodHello, args, &reply); err != nil {
		return wire.Hello{}, err
	}
	return reply.Value, nil
}

// addresses returns every instance that may know the leader.
func (r *router) addresses() []string {
	seen := map[string]bool{r.node.cfg.Advertise: true}
	var all []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			all = append(all, address)
		}
	}
	for _, address := range r.node.cfg.Peers {
		add(address)
	}
	for _, member := range r.Members().Members {
		add(member.Address)
	}
	return all
}

// askPeers returns the answer of a peer that belongs to a cell, preferring
// one that knows the leader, or nil.
func (r *router) askPeers(ctx context.Context) *wire.Hello {
	addresses := r.addresses()
	answers := make(chan *wire.Hello, len(addresses))
	for _, address := range addresses {
		go func() {
			hello, err := r.hello(ctx, address)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &hello
		}()
	}
	var found *wire.Hello
	for range addresses {
		hello := <-answers
		if hello == nil || hello.Cell == "" {
			continue
		}
		if hello.Leader != "" {
			return hello
		}
		found = hello
	}
	return found
}

// search asks the peers for the leader.
func (r *router) search() {
	ctx, cancel := context.WithTimeout(r.node.ctx, helloTimeout)
	defer cancel()
	if member, ok := r.node.knownLeader(); ok {
		r.learn(member.Address)
	} else if hello := r.askPeers(ctx); hello != nil {
		r.learn(hello.Leader)
		r.LearnMembers(hello.Membership)
	}
}

// route brings a call to the leader, trying again until the context ends.
// All calls are idempotent.
func route[A, V any](
	ctx context.Context, r *router, method string, args *A, wait time.Duration,
	local func(*A, *wire.Reply[V]) error,
) (V, *wire.Fault) {
	backoff := minBackoff
	for {
		reply, err := attempt(ctx, r, method, args, wait, local)
		if err == nil && (reply.Fault == nil || !reply.Fault.Retryable()) {
			return reply.Value, reply.Fault
		}
		if fault := r.next(ctx, reply.Fault, &backoff); fault != nil {
			return reply.Value, fault
		}
	}
}

func attempt[A, V any](
	ctx context.Context, r *router, method string, args *A, wait time.Duration,
	local func(*A, *wire.Reply[V]) error,
) (wire.Reply[V], error) {
	var reply wire.Reply[V]
	if r.node.Leading() {
		return reply, local(args, &reply)
	}
	address := r.Leader()
	if address == "" {
		return reply, peer.ErrUnreachable
	}
	limit := callTimeout
	if wait > 0 {
		limit = wait + callSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := r.Client(address).Call(ctx, method, args, &reply)
	if err != nil {
		r.Forget(address)
		return wire.Reply[V]{}, err
	}
	return reply, nil
}

// next waits before the next try. It returns a fault when there is none.
func (r *router) next(ctx context.Context, fault *wire.Fault, backoff *time.Duration) *wire.Fault {
	if fault != nil && fault.Leader != "" && fault.Leader != r.node.cfg.Advertise {
		r.learn(fault.Leader)
	} else if r.Leader() == "" || fault != nil {
		r.Find(ctx, r.search)
	}
	// Beyond the budget retries wait for their turn: to fail them would only
	// bring them back as new calls.
	if err := r.budget.Wait(ctx); err != nil {
		return unavailable("too many retries")
	}
	if _, fresh := r.node.Config(); !fresh {
		// Another instance may be better placed, so the caller should not
		// be kept here for long; at once would let it come back in a loop.
		group.Pause(ctx, maxBackoff/2+rand.N(maxBackoff))
		return unavailable("no leader heard from lately")
	}
	r.node.meter.Retries.Inc()
	wait := *backoff/2 + rand.N(*backoff)
	*backoff = min(2*(*backoff), maxBackoff)
	if group.Pause(ctx, wait) {
		return nil
	}
	if fault != nil {
		return fault
	}
	return unavailable("no leader answered in time")
}

func unavailable(detail string) *wire.Fault {
	fault := wire.Newf(wire.CodeUnavailable, detail)
	fault.RetryAfter = defaultRetry
	return fault
}

// errUnknownCell is returned while no peer has told of a cell.
var errUnknownCell = errors.New("no peer belongs to a cell")

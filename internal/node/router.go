package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	helloTimeout = 700 * time.Millisecond
	pingEvery    = 300 * time.Millisecond
	callTimeout  = 3 * time.Second
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
	node   *Node
	budget *rate.Limiter

	mu         sync.Mutex
	clients    map[string]*peer.Client
	leader     string
	membership raft.Membership
	finding    chan struct{}
}

func newRouter(n *Node) *router {
	return &router{
		node:    n,
		budget:  rate.NewLimiter(retryRate, retryBurst),
		clients: map[string]*peer.Client{},
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
			return
		case <-ticker.C:
			r.ping()
		}
	}
}

func (r *router) ping() {
	if r.node.Leading() {
		return
	}
	address := r.known()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(r.node.ctx, helloTimeout)
	defer cancel()
	hello, err := r.hello(ctx, address)
	if err != nil {
		r.client(address).Reset()
		r.forget(address)
		return
	}
	if hello.Leader != "" && hello.Leader != address {
		r.learn(hello.Leader)
	}
}

func (r *router) known() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

func (r *router) learn(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader = address
}

func (r *router) forget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader == address {
		r.leader = ""
	}
}

func (r *router) members() raft.Membership {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership
}

func (r *router) learnMembers(m raft.Membership) {
	if len(m.Members) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membership = m
}

func (r *router) client(address string) *peer.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.clients[address]
	if c == nil {
		c = r.node.dialer.NewClient(address)
		r.clients[address] = c
	}
	return c
}

func (r *router) hello(ctx context.Context, address string) (wire.Hello, error) {
	var reply wire.Reply[wire.Hello]
	args := &wire.HelloArgs{Name: r.node.cfg.Name}
	err := r.client(address).Call(ctx, wire.MethodHello, args, &reply)
	return reply.Value, err
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
	for _, member := range r.members().Members {
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

// find asks the peers for the leader. Callers that come meanwhile share one
// search.
func (r *router) find(ctx context.Context) {
	r.mu.Lock()
	searching := r.finding
	if searching == nil {
		searching = make(chan struct{})
		r.finding = searching
		go r.search(searching)
	}
	r.mu.Unlock()
	select {
	case <-searching:
	case <-ctx.Done():
	}
}

func (r *router) search(done chan struct{}) {
	ctx, cancel := context.WithTimeout(r.node.ctx, helloTimeout)
	defer cancel()
	if member, ok := r.node.knownLeader(); ok {
		r.learn(member.Address)
	} else if hello := r.askPeers(ctx); hello != nil {
		r.learn(hello.Leader)
		r.learnMembers(hello.Membership)
	}
	r.mu.Lock()
	r.finding = nil
	r.mu.Unlock()
	close(done)
}

func (r *router) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.Close()
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
	address := r.known()
	if address == "" {
		return reply, peer.ErrUnreachable
	}
	limit := callTimeout
	if wait > 0 {
		limit = wait + callSlack
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := r.client(address).Call(ctx, method, args, &reply)
	if err != nil {
		r.forget(address)
		return wire.Reply[V]{}, err
	}
	return reply, nil
}

// next waits before the next try. It returns a fault when there is none.
func (r *router) next(ctx context.Context, fault *wire.Fault, backoff *time.Duration) *wire.Fault {
	if fault != nil && fault.Leader != "" && fault.Leader != r.node.cfg.Advertise {
		r.learn(fault.Leader)
	} else if r.known() == "" || fault != nil {
		r.find(ctx)
	}
	if !r.budget.Allow() {
		return unavailable("too many retries")
	}
	if _, fresh := r.node.Config(); !fresh {
		// Another instance may be better placed, so the caller should not
		// be kept here.
		return unavailable("no leader heard from lately")
	}
	r.node.meter.Retries.Inc()
	pause := *backoff/2 + rand.N(*backoff)
	*backoff = min(2*(*backoff), maxBackoff)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		if fault != nil {
			return fault
		}
		return unavailable("no leader answered in time")
	}
}

func unavailable(detail string) *wire.Fault {
	fault := wire.Newf(wire.CodeUnavailable, detail)
	fault.RetryAfter = defaultRetry
	return fault
}

// errUnknownCell is returned while no peer has told of a cell.
var errUnknownCell = errors.New("no peer belongs to a cell")

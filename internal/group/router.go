package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	helloTimeout = 600 * time.Millisecond
	pingEvery    = 400 * time.Millisecond
	// callTimeout bounds one try of a call to the leader.
	callTimeout = 1500 * time.Millisecond
	minBackoff  = 10 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond
	// A call is given up once no leader has answered for absentFor and it has
	// waited for patience itself: its caller may find one elsewhere.
	absentFor = 1500 * time.Millisecond
	patience  = 500 * time.Millisecond
	// retryAfter is told to callers while no leader is known.
	retryAfter = time.Second
)

// router finds the leader and brings calls to it.
type router struct {
	*peer.Contacts

	host *Host

	mu      sync.Mutex
	probe   *peer.Client
	probeTo string
	// confirmed is when the leader answered last.
	confirmed time.Time
}

func newRouter(h *Host) *router {
	return &router{
		Contacts: peer.NewContacts(h.dialer),
		host:     h,
	}
}

// run pings the leader on a connection of its own, so that calls which wait
// there are not stuck when it has fallen silent.
func (r *router) run() {
	for Pause(r.host.ctx, pingEvery) {
		r.ping()
	}
}

func (r *router) ping() {
	address := r.Leader()
	switch {
	case r.host.leads():
		r.confirm(r.host.cfg.Address)
		return
	case address == "":
		r.Find(r.host.ctx, r.search)
		return
	}
	ctx, cancel := context.WithTimeout(r.host.ctx, helloTimeout)
	defer cancel()
	var reply wire.Reply[wire.Hello]
	probe := r.probeOf(address)
	if err := probe.Call(ctx, methodHello, r.hello(), &reply); err != nil {
		probe.Reset()
		r.Client(address).Reset()
		r.Forget(address)
		r.host.log.WithError(err).WithField("leader", address).Warn("router: leader lost")
		r.Find(r.host.ctx, r.search)
		return
	}
	r.LearnMembers(reply.Value.Membership)
	switch reply.Value.Leader {
	case address:
		r.confirm(address)
	case "":
		r.Forget(address)
	default:
		r.Learn(reply.Value.Leader)
	}
}

func (r *router) hello() *wire.HelloArgs {
	return &wire.HelloArgs{Name: r.host.cfg.Address}
}

func (r *router) probeOf(address string) *peer.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probeTo != address && r.probe != nil {
		r.probe.Close()
		r.probe = nil
	}
	if r.probe == nil {
		r.probe = r.host.dialer.NewClient(address)
		r.probeTo = address
	}
	return r.probe
}

func (h *Host) leads() bool {
	replica := h.replica.Load()
	return replica != nil && replica.Status().Role == raft.RoleLeader
}

// Reachable tells whether the leader has answered within the time.
func (h *Host) Reachable(within time.Duration) bool {
	h.router.mu.Lock()
	defer h.router.mu.Unlock()
	return time.Since(h.router.confirmed) < within
}

func (r *router) confirm(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Leader() != address {
		r.host.log.WithField("leader", address).Info("router: leader found")
	}
	r.SetLeader(address)
	r.confirmed = time.Now()
}

// ask returns the answer of a peer that belongs to a group, preferring one
// that knows the leader, or nil.
func (r *router) ask(ctx context.Context) *wire.Hello {
	addresses := r.addresses()
	answers := make(chan *wire.Hello, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply wire.Reply[wire.Hello]
			if err := r.Client(address).Call(ctx, methodHello, r.hello(), &reply); err != nil {
				answers <- nil
				return
			}
			answers <- &reply.Value
		}()
	}
	var found *wire.Hello
	for range addresses {
		hello := <-answers
		if hello == nil || hello.Cell == "" {
			continue
		}
		if hello.Leader != "" && !r.RecentlyFailed(hello.Leader) {
			return hello
		}
		found = hello
	}
	return found
}

// addresses returns every instance that may know the leader.
func (r *router) addresses() []string {
	seen := map[string]bool{r.host.cfg.Address: true}
	var all []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			all = append(all, address)
		}
	}
	for _, member := range r.Members().Members {
		add(member.Address)
	}
	for _, seed := range r.host.cfg.Seeds {
		add(seed)
	}
	return all
}

// search asks the peers for the leader.
func (r *router) search() {
	ctx, cancel := context.WithTimeout(r.host.ctx, helloTimeout)
	defer cancel()
	if hello := r.ask(ctx); hello != nil {
		r.Learn(hello.Leader)
		r.LearnMembers(hello.Membership)
	}
}

func (r *router) close() {
	r.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probe != nil {
		r.probe.Close()
	}
}

// Route brings an idempotent call to the leader, trying again until the
// context ends or there has been no leader for long. Where this instance leads, local serves it.
func Route[A, V any](
	ctx context.Context, h *Host, method string, args *A, local func(*A, *wire.Reply[V]) error,
) (V, *wire.Fault) {
	backoff := minBackoff
	began := time.Now()
	for {
		reply, err := attempt(ctx, h, method, args, local)
		if err == nil && (reply.Fault == nil || !reply.Fault.Retryable()) {
			return reply.Value, reply.Fault
		}
		if reply.Fault != nil {
			err = reply.Fault
		}
		h.log.WithError(err).WithField("method", method).Debug("router: call is tried again")
		if h.router.Leader() == "" || reply.Fault != nil {
			h.router.Find(ctx, h.router.search)
		}
		wait := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		absent := time.Since(began) > patience && !h.Reachable(absentFor)
		if absent || !Pause(ctx, wait) {
			fault := wire.Newf(wire.CodeUnavailable, "no leader answered in time")
			fault.RetryAfter = retryAfter
			return reply.Value, fault
		}
	}
}

func attempt[A, V any](
	ctx context.Context, h *Host, method string, args *A, local func(*A, *wire.Reply[V]) error,
) (wire.Reply[V], error) {
	var reply wire.Reply[V]
	if h.leads() {
		return reply, local(args, &reply)
	}
	address := h.router.Leader()
	if address == "" || address == h.cfg.Address {
		return reply, peer.ErrUnreachable
	}
	return CallAt[A, V](ctx, h, address, method, args, callTimeout)
}

// CallAt makes one call to the instance at the address.
func CallAt[A, V any](
	ctx context.Context, h *Host, address, method string, args *A, limit time.Duration,
) (wire.Reply[V], error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// A lost reply may still be written, so it has room of its own.
	reply := &wire.Reply[V]{}
	if err := h.router.Client(address).Call(ctx, method, args, reply); err != nil {
		return wire.Reply[V]{}, err
	}
	return *reply, nil
}

// Pause waits, and tells false when the context ended first.
func Pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

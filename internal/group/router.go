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
	// helloTimeout bounds one Hello call.
	helloTimeout = 600 * time.Millisecond
	pingInterval = 400 * time.Millisecond
	// callTimeout bounds one attempt of a call to the leader.
	callTimeout = 1500 * time.Millisecond
	// A call is made a second time, over another connection, when nothing was received
	// from the peer for hedgeHello or hedgeCall. A Hello call is answered at once, and a
	// call to the leader mostly after a commit.
	hedgeHello = 80 * time.Millisecond
	hedgeCall  = 120 * time.Millisecond
	// The delay between attempts of a call starts at minBackoff and doubles up to
	// maxBackoff.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// searchInterval is the least time between two searches for the leader, each
	// of which asks all peers. A new leader announces itself.
	searchInterval = 200 * time.Millisecond
	// replyGrace is how long a search waits for further replies after the first
	// one, which may come from an instance that does not know the leader.
	replyGrace = 100 * time.Millisecond
	// A call fails once no leader has replied for leaderTimeout and the call
	// itself has waited for maxLeaderWait of its time, or for leaderTimeout if
	// that is less. A new leader is mostly there by then; if not, the caller may
	// reach it through another instance in the time that is left. If no peer has
	// replied for leaderTimeout either, this instance is probably cut off, and a
	// call waits only for cutOffWait.
	leaderTimeout = 1500 * time.Millisecond
	maxLeaderWait = 0.5
	cutOffWait    = 500 * time.Millisecond
	// retryAfter is the delay before a retry that a call reports to its caller when
	// it fails because no leader has replied.
	retryAfter = time.Second
)

// router tracks the leader and routes calls to it.
type router struct {
	*peer.Table

	host *Host

	mu          sync.Mutex
	pingClient  *peer.Pair
	pingAddress string
	// confirmedAt is the time of the leader's latest reply, and repliedAt that
	// of the latest reply of another peer.
	confirmedAt time.Time
	repliedAt   time.Time
	// lostLeader is the address of a leader that did not answer. Peers may go on
	// naming it until they have elected another one, so it is only taken as the
	// leader again when it answers itself.
	lostLeader string
	// nextPeer is the position of the peer to greet next.
	nextPeer int
	// searchedAt is the time of the last search.
	searchedAt time.Time
}

func newRouter(h *Host) *router {
	return &router{
		Table: peer.NewTable(h.dialer),
		host:  h,
	}
}

// run pings the leader periodically. Pings use a separate connection, so that an
// unresponsive leader is detected and the calls pending on the shared connection
// are failed.
func (r *router) run() {
	interval := pingInterval
	for SleepContext(r.host.ctx, interval) {
		r.host.wg.Go(r.greetNextPeer)
		r.ping()
		interval = pingInterval
		if r.Leader() == "" {
			interval = searchInterval
		}
	}
}

func (r *router) ping() {
	address := r.Leader()
	switch {
	case r.host.isLeader():
		r.confirmLeader(r.host.cfg.Address)
		return
	case address == "":
		r.FindLeader(r.host.ctx, r.searchLeader)
		return
	}
	ctx, cancel := context.WithTimeout(r.host.ctx, helloTimeout)
	defer cancel()
	client := r.pingClientFor(address)
	reply, err := peer.CallHedged[wire.Reply[wire.HelloReply]](ctx, client, methodHello, r.helloArgs(), hedgeHello)
	if err != nil {
		client.Reset()
		r.Pair(address).Reset()
		r.markLost(address)
		r.host.log.WithError(err).WithField("leader", address).Warn("router: leader lost")
		r.FindLeader(r.host.ctx, r.searchLeader)
		return
	}
	r.SetMembership(reply.Value.Membership)
	switch reply.Value.Leader {
	case address:
		r.confirmLeader(address)
	case "":
		r.MarkFailed(address)
	default:
		r.followSuggestion(address, reply.Value.Leader)
	}
}

// markLost records that the leader at the address does not answer.
func (r *router) markLost(address string) {
	r.MarkFailed(address)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostLeader = address
}

// followSuggestion takes the address as the leader's if the instance that names it
// is that leader, or if it is not the one that was lost. It reports whether it
// did.
func (r *router) followSuggestion(from, leader string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch leader {
	case "":
		return false
	case from:
		r.lostLeader = ""
		r.SetLeader(leader)
		return true
	case r.lostLeader:
		return false
	}
	r.SuggestLeader(leader)
	return r.Leader() == leader
}

// followNewLeader takes an instance that has announced its leadership as the leader.
// Calls that wait for the old leader's reply fail and are made again.
func (r *router) followNewLeader(address string) {
	old := r.Leader()
	r.followSuggestion(address, address)
	if old != "" && old != address {
		r.Pair(old).Reset()
		r.host.log.WithField("leader", address).Info("router: leader announced itself")
	}
}

// helloArgs returns the arguments of a Hello call, whose Name field holds the
// address of the caller.
func (r *router) helloArgs() *wire.HelloArgs {
	return &wire.HelloArgs{Name: r.host.cfg.Address}
}

// pingClientFor returns the clients for pings to the address. It closes those
// for an earlier address.
func (r *router) pingClientFor(address string) *peer.Pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pingAddress != address && r.pingClient != nil {
		r.pingClient.Close()
		r.pingClient = nil
	}
	if r.pingClient == nil {
		r.pingClient = r.host.dialer.NewPair(address)
		r.pingAddress = address
	}
	return r.pingClient
}

func (h *Host) isLeader() bool {
	replica := h.replica.Load()
	return replica != nil && replica.Status().Role == raft.RoleLeader
}

// IsLeaderReachable reports whether the leader has replied within the duration.
func (h *Host) IsLeaderReachable(within time.Duration) bool {
	h.router.mu.Lock()
	defer h.router.mu.Unlock()
	return time.Since(h.router.confirmedAt) < within
}

// confirmLeader records that the leader at the address has just replied.
func (r *router) confirmLeader(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Leader() != address {
		r.host.log.WithField("leader", address).Info("router: leader found")
	}
	r.SetLeader(address)
	r.confirmedAt = time.Now()
	if r.lostLeader == address {
		r.lostLeader = ""
	}
}

// isCutOff reports whether no peer has replied for leaderTimeout.
func (r *router) isCutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.repliedAt) > leaderTimeout
}

func (r *router) close() {
	r.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pingClient != nil {
		r.pingClient.Close()
	}
}

// CallLeader sends an idempotent call to the leader. It retries until the
// context ends, or until no leader was found for a part of the call's time. If
// this instance is the leader, local serves the call.
func CallLeader[A, V any](
	ctx context.Context, h *Host, method string, args *A, local func(*A, *wire.Reply[V]) error,
) (V, *wire.Fault) {
	backoff := minBackoff
	started := time.Now()
	leaderWait := leaderTimeout
	if deadline, ok := ctx.Deadline(); ok {
		leaderWait = min(leaderWait, time.Duration(maxLeaderWait*float64(deadline.Sub(started))))
	}
	for {
		reply, err := callOnce(ctx, h, method, args, local)
		if err == nil && (reply.Fault == nil || !reply.Fault.Retryable()) {
			return reply.Value, reply.Fault
		}
		if reply.Fault != nil {
			err = reply.Fault
		}
		h.log.WithError(err).WithField("method", method).Debug("router: retrying call")
		if h.router.Leader() == "" || reply.Fault != nil {
			h.router.FindLeader(ctx, h.router.searchLeader)
		}
		wait := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		limit := leaderWait
		if h.router.isCutOff() {
			limit = min(limit, cutOffWait)
		}
		noLeader := time.Since(started) > limit && !h.IsLeaderReachable(leaderTimeout)
		if noLeader || !SleepContext(ctx, wait) {
			fault := wire.NewFault(wire.CodeUnavailable, "no leader answered in time")
			fault.RetryAfter = retryAfter
			return reply.Value, fault
		}
	}
}

// callOnce makes one attempt of a call to the leader.
func callOnce[A, V any](
	ctx context.Context, h *Host, method string, args *A, local func(*A, *wire.Reply[V]) error,
) (wire.Reply[V], error) {
	var reply wire.Reply[V]
	if h.isLeader() {
		return reply, local(args, &reply)
	}
	address := h.router.Leader()
	if address == "" || address == h.cfg.Address {
		return reply, peer.ErrUnreachable
	}
	return callHedged[A, V](ctx, h, address, method, args, callTimeout, hedgeCall)
}

// CallAddress makes one call to the instance at the address.
func CallAddress[A, V any](
	ctx context.Context, h *Host, address, method string, args *A, limit time.Duration,
) (wire.Reply[V], error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// After a timeout a late response may still be decoded into reply, so reply
	// must not be shared with the caller.
	reply := &wire.Reply[V]{}
	if err := h.router.Pair(address).Call(ctx, method, args, reply); err != nil {
		return wire.Reply[V]{}, err
	}
	return *reply, nil
}

// callHedged makes an idempotent call to the instance at the address, a second time over
// another connection if the first one is overdue (see peer.CallHedged).
func callHedged[A, V any](
	ctx context.Context, h *Host, address, method string, args *A, limit, after time.Duration,
) (wire.Reply[V], error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := peer.CallHedged[wire.Reply[V]](ctx, h.router.Pair(address), method, args, after)
	if err != nil {
		return wire.Reply[V]{}, err
	}
	return *reply, nil
}

// callHello sends a Hello call to the instance at the address.
func (h *Host) callHello(address string, args *wire.HelloArgs, limit time.Duration) (wire.Reply[wire.HelloReply], error) {
	return callHedged[wire.HelloArgs, wire.HelloReply](h.ctx, h, address, methodHello, args, limit, hedgeHello)
}

// SleepContext waits for the duration or until the context ends. It reports
// whether the duration has passed.
func SleepContext(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

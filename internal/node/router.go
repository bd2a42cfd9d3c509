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
	pingInterval = 300 * time.Millisecond
	// maxMissedPings is the number of consecutive pings without a reply after
	// which the leader is considered unreachable.
	maxMissedPings = 2
	callTimeout    = 3 * time.Second
	// callMargin is added to the wait of a call to get its timeout.
	callMargin = 2 * time.Second
	// Retries back off exponentially between these limits, with jitter.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// Rate limit of retries: per second, and the burst size.
	retryRate  = 2000
	retryBurst = 4000
)

// router finds the leader and forwards calls to it.
type router struct {
	*peer.Table

	node         *Node
	retryLimiter *rate.Limiter
	// Only the goroutine that pings the leader uses these fields.
	pingClient  *peer.Client
	pingAddress string
	missedPings int
}

func newRouter(n *Node) *router {
	return &router{
		Table:        peer.NewTable(n.dialer),
		node:         n,
		retryLimiter: rate.NewLimiter(retryRate, retryBurst),
	}
}

// run pings the leader periodically, so that calls blocked on a leader that has
// stopped responding fail early.
func (r *router) run() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.node.ctx.Done():
			if r.pingClient != nil {
				r.pingClient.Close()
			}
			return
		case <-ticker.C:
			r.pingLeader()
		}
	}
}

// pingLeader pings the leader on a dedicated connection, so that pings do not
// queue behind other calls. It resets the shared connection only if the leader is
// unreachable or misses several pings: a reset under load would make all calls
// retry at once.
func (r *router) pingLeader() {
	address := r.Leader()
	if r.node.IsLeader() || address == "" {
		r.missedPings = 0
		return
	}
	ctx, cancel := context.WithTimeout(r.node.ctx, helloTimeout)
	defer cancel()
	var reply wire.Reply[wire.HelloReply]
	args := &wire.HelloArgs{Name: r.node.cfg.Name}
	client := r.pingClientFor(address)
	if err := client.Call(ctx, wire.MethodHello, args, &reply); err != nil {
		client.Reset()
		r.missedPings++
		if r.missedPings >= maxMissedPings || errors.Is(err, peer.ErrUnreachable) {
			r.missedPings = 0
			r.Client(address).Reset()
			r.MarkFailed(address)
		}
		return
	}
	r.missedPings = 0
	if leader := reply.Value.Leader; leader != "" && leader != address {
		r.updateLeader(leader)
	}
}

// pingClientFor returns the client used to ping the address. Only the pinging
// goroutine may call it.
func (r *router) pingClientFor(address string) *peer.Client {
	if r.pingAddress != address && r.pingClient != nil {
		r.pingClient.Close()
		r.pingClient = nil
	}
	if r.pingClient == nil {
		r.pingClient = r.node.dialer.NewClient(address)
		r.pingAddress = address
	}
	return r.pingClient
}

// updateLeader records the reported address of the leader; "" means that there
// is none.
func (r *router) updateLeader(address string) {
	if address == "" {
		r.SetLeader("")
		return
	}
	r.SuggestLeader(address)
}

func (r *router) callHello(ctx context.Context, address string) (wire.HelloReply, error) {
	var reply wire.Reply[wire.HelloReply]
	args := &wire.HelloArgs{Name: r.node.cfg.Name}
	if err := r.Client(address).Call(ctx, wire.MethodHello, args, &reply); err != nil {
		return wire.HelloReply{}, err
	}
	return reply.Value, nil
}

// addresses returns the addresses of all instances that may know the leader.
func (r *router) addresses() []string {
	seen := map[string]bool{r.node.cfg.Advertise: true}
	var addresses []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range r.node.cfg.Peers {
		add(address)
	}
	for _, member := range r.Membership().Members {
		add(member.Address)
	}
	return addresses
}

// askPeers asks all peers and returns the reply of one that belongs to a cell,
// preferably one that knows the leader. It returns nil if there is none.
func (r *router) askPeers(ctx context.Context) *wire.HelloReply {
	addresses := r.addresses()
	replies := make(chan *wire.HelloReply, len(addresses))
	for _, address := range addresses {
		go func() {
			hello, err := r.callHello(ctx, address)
			if err != nil {
				replies <- nil
				return
			}
			replies <- &hello
		}()
	}
	var found *wire.HelloReply
	for range addresses {
		hello := <-replies
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

// findLeader takes the leader from the local replica, or else asks the peers.
func (r *router) findLeader() {
	ctx, cancel := context.WithTimeout(r.node.ctx, helloTimeout)
	defer cancel()
	if member, ok := r.node.knownLeader(); ok {
		r.updateLeader(member.Address)
	} else if hello := r.askPeers(ctx); hello != nil {
		r.updateLeader(hello.Leader)
		r.SetMembership(hello.Membership)
	}
}

// callLeader calls the leader, retrying until the context ends. Retries are safe
// because all calls are idempotent.
func callLeader[A, V any](
	ctx context.Context, r *router, method string, args *A, wait time.Duration,
	local func(*A, *wire.Reply[V]) error,
) (V, *wire.Fault) {
	backoff := minBackoff
	for {
		reply, err := callLeaderOnce(ctx, r, method, args, wait, local)
		if err == nil && (reply.Fault == nil || !reply.Fault.Retryable()) {
			return reply.Value, reply.Fault
		}
		if fault := r.prepareRetry(ctx, reply.Fault, &backoff); fault != nil {
			return reply.Value, fault
		}
	}
}

func callLeaderOnce[A, V any](
	ctx context.Context, r *router, method string, args *A, wait time.Duration,
	local func(*A, *wire.Reply[V]) error,
) (wire.Reply[V], error) {
	var reply wire.Reply[V]
	if r.node.IsLeader() {
		return reply, local(args, &reply)
	}
	address := r.Leader()
	if address == "" {
		return reply, peer.ErrUnreachable
	}
	limit := callTimeout
	if wait > 0 {
		limit = wait + callMargin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := r.Client(address).Call(ctx, method, args, &reply)
	if err != nil {
		r.MarkFailed(address)
		return wire.Reply[V]{}, err
	}
	return reply, nil
}

// prepareRetry looks for the leader and backs off before the next try. It returns
// a fault if the call should not be retried.
func (r *router) prepareRetry(ctx context.Context, fault *wire.Fault, backoff *time.Duration) *wire.Fault {
	if fault != nil && fault.Leader != "" && fault.Leader != r.node.cfg.Advertise {
		r.updateLeader(fault.Leader)
	} else if r.Leader() == "" || fault != nil {
		r.FindLeader(ctx, r.findLeader)
	}
	// Retries over the rate limit wait instead of failing, because failed ones
	// would only come back as new calls.
	if err := r.retryLimiter.Wait(ctx); err != nil {
		return unavailableFault("too many retries")
	}
	if _, fresh := r.node.Config(); !fresh {
		// Another instance may still reach the leader, so do not hold the
		// caller for long. Failing without a pause would make the caller
		// retry in a tight loop.
		group.SleepContext(ctx, maxBackoff/2+rand.N(maxBackoff))
		return unavailableFault("no leader heard from lately")
	}
	r.node.metrics.LeaderRetries.Inc()
	wait := *backoff/2 + rand.N(*backoff)
	*backoff = min(2*(*backoff), maxBackoff)
	if group.SleepContext(ctx, wait) {
		return nil
	}
	if fault != nil {
		return fault
	}
	return unavailableFault("no leader answered in time")
}

func unavailableFault(detail string) *wire.Fault {
	fault := wire.NewFault(wire.CodeUnavailable, detail)
	fault.RetryAfter = defaultRetryAfter
	return fault
}

// errNoCell is returned while no reachable peer belongs to a cell.
var errNoCell = errors.New("no peer belongs to a cell")

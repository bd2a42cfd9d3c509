package push

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

const (
	// relayCheckInterval is the time between two checks of each relay, and
	// relayCheckTimeout is the timeout of a check.
	relayCheckInterval = 300 * time.Millisecond
	relayCheckTimeout  = 400 * time.Millisecond
	// initialRelayCheckTimeout is how long a new leader waits for the first
	// checks. It calls the targets of relays that have not answered directly.
	initialRelayCheckTimeout = 60 * time.Millisecond
	// relayAvoidance is how long a target is called directly after its relay
	// could not reach it.
	relayAvoidance = 2 * time.Second
)

// relays tracks the instances that forward the leader's orders to targets, so
// that no instance needs a connection to each target. A target's relay is in the
// target's failure domain, so an order crosses domains once, as it would without
// a relay. Relays keep no state. A relay drops an order that the leader has given up
// meanwhile, by its own clock (see relayClocks): the fencing token and the deadline of an
// order say nothing to a target that was started again.
type relays struct {
	cell cell
	log  *logrus.Entry

	mu sync.Mutex
	// answers records for each member whether it answered the last check.
	answers map[string]bool
	// liveByDomain has the addresses of the members that answer, by failure domain.
	liveByDomain map[string][]string
	// avoidUntil is until when a target is called directly because its relay
	// could not reach it, by target id.
	avoidUntil map[string]time.Time
	// clocks has the clocks of the members that answer.
	clocks *relayClocks
}

func newRelays(cell cell, log *logrus.Entry, clockDrift float64) *relays {
	return &relays{
		cell:       cell,
		log:        log,
		answers:    map[string]bool{},
		avoidUntil: map[string]time.Time{},
		clocks:     newRelayClocks(clockDrift, func() time.Duration { return cell.Clock().Reading }),
	}
}

// relayFor returns the address of the target's relay, or "" if the leader calls
// the target directly.
func (r *relays) relayFor(t *graph.Target) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.avoidUntil[t.ID.ID]) {
		return ""
	}
	delete(r.avoidUntil, t.ID.ID)
	return rendezvousChoice(t.ID.ID, r.liveByDomain[t.Domain])
}

// forget removes the state kept for the target.
func (r *relays) forget(t *graph.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoidUntil, t.ID.ID)
}

// markUnreachable has the leader call the target directly for a while, because
// either the target does not answer or its relay has no connection to it.
func (r *relays) markUnreachable(t *graph.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[t.ID.ID] = time.Now().Add(relayAvoidance)
}

// rendezvousChoice chooses an address for the id by rendezvous hashing, or ""
// if there are none. When addresses are added or removed, few ids change theirs.
func rendezvousChoice(id string, addresses []string) string {
	best, highest := "", uint64(0)
	for _, address := range addresses {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(address))
		_, _ = hash.Write([]byte(id))
		if weight := mixBits(hash.Sum64()); best == "" || weight > highest {
			best, highest = address, weight
		}
	}
	return best
}

// mixBits spreads the differences between similar hashes over all bits, using the
// finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// checkLoop checks all members periodically.
func (r *relays) checkLoop(ctx context.Context) {
	for group.SleepContext(ctx, relayCheckInterval) {
		r.checkAll(relayCheckTimeout)
	}
}

// checkAll checks all members in parallel, with the given timeout.
func (r *relays) checkAll(timeout time.Duration) {
	peers := r.cell.Peers()
	var checks sync.WaitGroup
	for _, peer := range peers {
		checks.Go(func() {
			clock, err := r.cell.Ping(peer.Address, timeout)
			if err == nil {
				r.clocks.record(peer.Address, clock)
			}
			r.recordCheck(peer.Address, err)
		})
	}
	checks.Wait()
	r.updateLive(peers)
}

// recordCheck records whether a member answered, and logs changes.
func (r *relays) recordCheck(address string, err error) {
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

// updateLive recomputes the members that answer, and removes members that have
// left.
func (r *relays) updateLive(peers []raft.Member) {
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
	r.clocks.retain(answers)
	r.liveByDomain = live
}

// markFailed stops the use of a relay until it answers a check again.
func (r *relays) markFailed(address string, err error) {
	r.recordCheck(address, err)
	r.updateLive(r.cell.Peers())
}

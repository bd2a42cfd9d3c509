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
	// relayCheck is how often each relay is asked whether it answers, and
	// relayLimit how long it may take.
	relayCheck = 300 * time.Millisecond
	relayLimit = 400 * time.Millisecond
	// relaySettle is how long a new leader waits to learn who answers, before
	// it calls targets itself.
	relaySettle = 60 * time.Millisecond
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

// forget drops what is known of the target.
func (r *relays) forget(t *graph.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoid, t.ID.ID)
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

package group

import (
	"context"
	"time"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// peerReply is the reply of one peer to a Hello call.
type peerReply struct {
	address string
	hello   *wire.HelloReply
}

// queryPeers sends a Hello call to all known addresses. It returns the first
// reply that names a leader to follow. Once a peer that belongs to the group has
// replied, it waits for no longer than replyGrace for the others, as those that
// are gone do not reply at all; it then returns any reply of a peer that belongs
// to a group, or nil.
func (r *router) queryPeers(ctx context.Context) *wire.HelloReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := r.knownAddresses()
	replies := make(chan peerReply, len(addresses))
	for _, address := range addresses {
		go func() { replies <- r.queryPeer(ctx, address) }()
	}
	var fallback *wire.HelloReply
	var grace <-chan time.Time
	for range addresses {
		var reply peerReply
		select {
		case reply = <-replies:
		case <-grace:
			return fallback
		}
		if reply.hello == nil || reply.hello.Cell == "" {
			continue
		}
		if r.followSuggestion(reply.address, reply.hello.Leader) {
			return reply.hello
		}
		if fallback == nil {
			grace = time.After(replyGrace)
		}
		fallback = reply.hello
	}
	return fallback
}

// queryPeer sends a Hello call to the address.
func (r *router) queryPeer(ctx context.Context, address string) peerReply {
	reply, err := peer.CallHedged[wire.Reply[wire.HelloReply]](ctx, r.Pair(address), methodHello, r.helloArgs(), hedgeHello)
	if err != nil {
		r.host.log.WithError(err).WithField("peer", address).Debug("router: peer did not answer")
		r.host.leaderWatch.recordAnswer(address, answerNone)
		return peerReply{address: address}
	}
	r.mu.Lock()
	r.repliedAt = time.Now()
	r.mu.Unlock()
	r.host.leaderWatch.recordAnswer(address, describeHello(&reply.Value))
	return peerReply{
		address: address,
		hello:   &reply.Value,
	}
}

// knownAddresses returns the addresses of all other instances that may know the
// leader: the members of the group, as peers and the own log name them, and the seeds.
// After a restart only the log names members, and all seeds may have been replaced.
func (r *router) knownAddresses() []string {
	seen := map[string]bool{r.host.cfg.Address: true}
	var all []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			all = append(all, address)
		}
	}
	for _, member := range r.Membership().Members {
		add(member.Address)
	}
	for _, member := range r.host.Peers() {
		add(member.Address)
	}
	for _, seed := range r.host.cfg.Seeds {
		add(seed)
	}
	return all
}

// searchLeader asks the peers for the leader and the membership.
func (r *router) searchLeader() {
	if !r.claimSearch() {
		return
	}
	ctx, cancel := context.WithTimeout(r.host.ctx, helloTimeout)
	defer cancel()
	if hello := r.queryPeers(ctx); hello != nil {
		r.SetMembership(hello.Membership)
	}
}

// claimSearch returns false if the last search was less than searchInterval ago. Each
// call that waits for a leader asks for a search, and without a limit the searches of
// hundreds of instances keep the peers from electing one.
func (r *router) claimSearch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.searchedAt) < searchInterval {
		return false
	}
	r.searchedAt = time.Now()
	return true
}

// greetNextPeer sends a Hello call to the next of the other known instances, so that
// each of them knows this instance and can announce its leadership to it.
func (r *router) greetNextPeer() {
	addresses := r.knownAddresses()
	if len(addresses) == 0 {
		return
	}
	r.mu.Lock()
	address := addresses[r.nextPeer%len(addresses)]
	r.nextPeer++
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.host.ctx, helloTimeout)
	defer cancel()
	r.queryPeer(ctx, address)
}

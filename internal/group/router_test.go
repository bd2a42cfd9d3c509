package group

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// Peers go on naming a leader that was suspended until they elect another one.
// An instance that believed them sent its calls to the suspended leader again and
// found the new one more than a second late.
func TestLostLeaderIsFollowedOnlyOnItsOwnWord(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(t, 3, 0)
	g.start(g.members[0])
	r := g.members[0].host.router
	r.SetLeader("a")
	r.markLost("a")
	c.Check(r.followSuggestion("b", "a"), qt.IsFalse)
	c.Check(r.Leader(), qt.Equals, "")
	c.Check(r.followSuggestion("b", "c"), qt.IsTrue)
	c.Check(r.Leader(), qt.Equals, "c")
	r.markLost("c")
	c.Check(r.followSuggestion("c", "c"), qt.IsTrue)
	c.Check(r.Leader(), qt.Equals, "c")
}

// silentPeer returns the address of a listener that accepts connections and never
// replies, like a suspended process.
func silentPeer(t *testing.T) string {
	address := local.UnusedAddress()
	listener, err := net.Listen("tcp", address)
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	return address
}

// A search for the leader must not wait for a suspended peer once another one has
// replied: meanwhile a new leader is elected, and only the next search finds it.
func TestSearchDoesNotWaitForSilentPeer(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(t, 3, 0)
	silent := silentPeer(t)
	for _, m := range g.members {
		m.cfg.Seeds = []string{g.members[0].cfg.Address, silent, g.members[2].cfg.Address}
	}
	g.start(g.members[0])
	g.start(g.members[2])
	r := g.members[0].host.router
	g.eventually("the other member replies", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
		defer cancel()
		return r.queryPeer(ctx, g.members[2].cfg.Address).hello != nil
	})
	r.markLost(g.members[2].cfg.Address)
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(r.queryPeers(ctx), qt.Not(qt.IsNil))
	c.Check(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
}

// A call that comes while there is no leader waits for the next one, which is
// mostly there within the half of the call's time: no other instance could serve it
// sooner. Calls gave up after half a second, and their callers came back in a burst.
func TestCallWaitsForNewLeader(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("first")
	g.eventually("all vote", func() bool {
		return len(g.members[0].host.Peers()) == 3
	})
	caller := g.members[3]
	g.members[0].stop()
	g.members[1].stop()
	time.Sleep(2 * leaderTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result := make(chan *wire.Fault, 1)
	go func() {
		_, fault := CallLeader(ctx, caller.host, methodHello, &wire.HelloArgs{}, (&rpcService{host: caller.host}).Hello)
		result <- fault
	}()
	time.Sleep(200 * time.Millisecond)
	g.start(g.members[0])
	fault := <-result
	g.c.Assert(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
}

// A new leader tells the instances that search for it. They searched up to a few
// hundred milliseconds later, in which no job was admitted.
func TestNewLeaderAnnouncesItself(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("first")
	leader := g.leader()
	g.eventually("all have greeted the leader", func() bool {
		return len(leader.host.LiveAddresses(time.Minute)) == len(g.members)
	})
	for _, m := range g.members {
		if m != leader {
			m.host.router.markLost(leader.cfg.Address)
		}
	}
	leader.host.AnnounceLeadership(time.Minute)
	for _, m := range g.members {
		if m != leader {
			g.c.Check(m.host.router.Leader(), qt.Equals, leader.cfg.Address)
		}
	}
}

// An instance that neither the leader nor any peer answers is probably cut off, and a
// caller that waits there for half of its time has too little left to be served through
// another instance.
func TestCallOnCutOffInstanceFailsSoon(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("first")
	caller := g.members[3]
	for _, m := range g.members[:3] {
		m.stop()
	}
	time.Sleep(2 * leaderTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	started := time.Now()
	_, fault := CallLeader(ctx, caller.host, methodHello, &wire.HelloArgs{}, (&rpcService{host: caller.host}).Hello)
	g.c.Assert(fault == nil, qt.IsFalse)
	g.c.Check(time.Since(started) < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
}

// Each call that waits for a leader asks for a search of it. The calls of hundreds of
// instances must not make the peers answer searches instead of electing a leader.
func TestSearchesAreLimited(t *testing.T) {
	c := qt.New(t)
	g := newTestGroup(t, 3, 0)
	g.start(g.members[0])
	r := g.members[0].host.router
	claimed := 0
	for end := time.Now().Add(2 * searchInterval); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if r.claimSearch() {
			claimed++
		}
	}
	c.Check(claimed <= 3, qt.IsTrue, qt.Commentf("%d searches", claimed))
}

// An instance that is started again asks the seeds of its settings for the leader. They may
// all be gone by then, while the members that its own log names are there.
func TestRestartedReplicaFindsLeaderWithoutSeeds(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	for _, m := range g.members {
		g.start(m)
	}
	g.eventually("four voters", func() bool { return g.voters() == 4 })
	restarted := g.members[0]
	if g.leader() == restarted {
		restarted = g.members[1]
	}
	restarted.stop()
	g.propose("meanwhile")
	restarted.cfg.Seeds = []string{local.UnusedAddress()}
	g.start(restarted)

	g.eventually("the restarted instance knows the leader", func() bool {
		return restarted.host.IsLeaderReachable(leaderTimeout)
	})
}

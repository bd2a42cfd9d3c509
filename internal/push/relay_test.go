package push

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// With 3000 targets, ten times the usual number, relays are assigned evenly, and
// removing an instance reassigns only its own targets.
func TestRelayChoiceIsBalancedAndStable(t *testing.T) {
	c := qt.New(t)
	const targets = 3000
	addresses := []string{"a:1", "b:1", "c:1", "d:1", "e:1", "f:1"}
	targetCounts := map[string]int{}
	for i := range targets {
		targetCounts[rendezvousChoice(fmt.Sprint("w", i), addresses)]++
	}
	c.Assert(targetCounts, qt.HasLen, len(addresses))
	for address, n := range targetCounts {
		c.Check(n < 2*targets/len(addresses), qt.IsTrue, qt.Commentf("%s has %d", address, n))
	}
	for i := range targets {
		id := fmt.Sprint("w", i)
		if before := rendezvousChoice(id, addresses); before != "f:1" {
			c.Assert(rendezvousChoice(id, addresses[:5]), qt.Equals, before)
		}
	}
	c.Assert(rendezvousChoice("w", nil), qt.Equals, "")
}

// Outcomes and errors survive the encoding in a relay reply.
func TestRelayPreservesOutcomes(t *testing.T) {
	c := qt.New(t)
	for _, want := range []error{nil, ErrNoAnswer, ErrDown, ErrFenced, ErrOtherIncarnation, ErrOtherTarget, ErrRefused} {
		var reply OrderReply
		reply.setErr(want)
		err := reply.err("a:1")
		c.Check(errors.Is(err, want), qt.IsTrue)
		c.Check(outcomeOf(err), qt.Equals, reply.Outcome)
		c.Check(errors.Is(err, ErrOtherTarget), qt.Equals, errors.Is(want, ErrOtherTarget))
	}
	var reply OrderReply
	reply.setErr(&RestartedError{Incarnation: 7})
	var got *RestartedError
	c.Assert(errors.As(reply.err("a:1"), &got), qt.IsTrue)
	c.Check(got.Incarnation, qt.Equals, int64(7))
	c.Check(errors.Is(reply.err("a:1"), ErrOtherIncarnation), qt.IsTrue)
}

// An instance of the last release must read the outcome of a relay of this one, and the
// other way round. Its reply does not say which incarnation answered.
func TestRelayOfLastRelease(t *testing.T) {
	c := qt.New(t)
	var reply OrderReply
	reply.setErr(ErrOtherTarget)
	c.Check(reply.Outcome, qt.Equals, outcomeOtherIncarnation)
	old := OrderReply{
		Outcome: outcomeOtherIncarnation,
		Detail:  "another lifetime answered",
	}
	err := old.err("a:1")
	c.Check(errors.Is(err, ErrOtherIncarnation), qt.IsTrue)
	c.Check(errors.Is(err, ErrOtherTarget), qt.IsFalse)
	var restarted *RestartedError
	c.Check(errors.As(err, &restarted), qt.IsFalse)
}

// countingTargets is the fleet as called by one instance.
type countingTargets struct {
	*fakeFleet

	mu sync.Mutex
	// calls counts the calls by target id.
	calls map[string]int
	// unreachable is true while the instance can reach no target.
	unreachable bool
	// refused is true while all connections of the instance are refused.
	refused bool
}

func (f *countingTargets) countCall(ctx context.Context, t *graph.Target) error {
	f.mu.Lock()
	f.calls[t.ID.ID]++
	unreachable, refused := f.unreachable, f.refused
	f.mu.Unlock()
	if refused {
		return ErrDown
	}
	if unreachable {
		<-ctx.Done()
		return ErrNoAnswer
	}
	return nil
}

func (f *countingTargets) Start(ctx context.Context, t *graph.Target, order Start) (Clock, error) {
	if err := f.countCall(ctx, t); err != nil {
		return 0, err
	}
	return f.fakeFleet.Start(ctx, t, order)
}

func (f *countingTargets) RenewLease(ctx context.Context, t *graph.Target, renewal LeaseRenewal) (RunList, error) {
	if err := f.countCall(ctx, t); err != nil {
		return RunList{}, err
	}
	return f.fakeFleet.RenewLease(ctx, t, renewal)
}

func (f *countingTargets) setUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// takeCalls returns the counts and resets them.
func (f *countingTargets) takeCalls() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = map[string]int{}
	return calls
}

// relayCluster is a cluster of three instances, each in its own failure domain with
// two targets.
type relayCluster struct {
	*fixture

	schedulers  []*Scheduler
	targetCalls []*countingTargets
	// links are the proxies through which peers reach the instances.
	links []*frozenLink
}

// thaw ends the freezes of all links.
func (cluster *relayCluster) thaw() {
	for _, link := range cluster.links {
		link.setFrozen(false)
	}
}

func domainOf(i int) string {
	return fmt.Sprint("d", i)
}

func newRelayCluster(t *testing.T) *relayCluster {
	cluster := &relayCluster{fixture: &fixture{
		c: qt.New(t),
		fleet: &fakeFleet{
			targets:        map[string]*fakeTarget{},
			runTime:        100 * time.Millisecond,
			ticketByTarget: map[string]string{},
		},
	}}
	addresses := []string{local.UnusedAddress(), local.UnusedAddress(), local.UnusedAddress()}
	for i, address := range addresses {
		cluster.startInstance(t, i, address, addresses)
	}
	t.Cleanup(cluster.thaw)
	cluster.scheduler = cluster.schedulers[cluster.leader()]
	cluster.configure(false)
	for i := range addresses {
		cluster.startDomainTarget(domainOf(i), fmt.Sprint("w", i, "a"))
		cluster.startDomainTarget(domainOf(i), fmt.Sprint("w", i, "b"))
	}
	return cluster
}

func (cluster *relayCluster) startInstance(t *testing.T, i int, address string, seeds []string) {
	targets := &countingTargets{
		fakeFleet: cluster.fleet,
		calls:     map[string]int{},
	}
	listen := local.UnusedAddress()
	cluster.links = append(cluster.links, newFrozenLink(t, address, listen))
	scheduler := startScheduler(t, group.Config{
		Name:              fmt.Sprint("n", i),
		Domain:            domainOf(i),
		Address:           address,
		Listen:            listen,
		Seeds:             seeds,
		ElectionTimeout:   300 * time.Millisecond,
		HeartbeatInterval: 50 * time.Millisecond,
	}, testTiming(), targets, cluster.fleet)
	cluster.schedulers = append(cluster.schedulers, scheduler)
	cluster.targetCalls = append(cluster.targetCalls, targets)
}

// startDomainTarget starts a target in the failure domain.
func (cluster *relayCluster) startDomainTarget(domain, name string) {
	cluster.startTarget(graph.Announcement{
		ID: graph.TargetID{
			ID:          name,
			Incarnation: 1,
		},
		Service: "s",
		Address: name,
		Domain:  domain,
		Labels:  []string{domain},
		Capacity: quota.Resources{
			CPU:    4000,
			Memory: 4000,
		},
	})
}

// leader returns the index of the leading instance.
func (cluster *relayCluster) leader() int {
	leader := -1
	cluster.eventually(waitTimeout, "an instance leads", func() bool {
		for i, scheduler := range cluster.schedulers {
			if scheduler.currentLeader.Load() != nil {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}

// waitForRelays waits until the leader has an answer from both relays.
func (cluster *relayCluster) waitForRelays() *leader {
	l := cluster.schedulers[cluster.leader()].currentLeader.Load()
	cluster.eventually(waitTimeout, "relays answer", func() bool {
		l.relays.mu.Lock()
		defer l.relays.mu.Unlock()
		return len(l.relays.liveByDomain) == 2
	})
	return l
}

// Each instance calls only the targets in its own failure domain, so that no
// instance needs a connection to every target.
func TestOrdersUseRelayInTargetDomain(t *testing.T) {
	cluster := newRelayCluster(t)
	cluster.waitForRelays()
	// Wait until renewals that were sent before this point have ended.
	time.Sleep(testTiming().RenewalWait + renewalTimeoutMargin)
	for _, targets := range cluster.targetCalls {
		targets.takeCalls()
	}
	// The tasks use the capacity of all targets.
	cluster.submit("a", tasks(24))
	cluster.waitCompleted("a")
	for i, targets := range cluster.targetCalls {
		calls := targets.takeCalls()
		cluster.c.Check(len(calls) > 0, qt.IsTrue, qt.Commentf("instance %d", i))
		for target := range calls {
			cluster.c.Check(target[:2], qt.Equals, fmt.Sprint("w", i))
		}
	}
	cluster.assertNoDoubleRuns()
}

// A relay that has stopped, or that cannot reach its targets, must not make the
// leader give up the targets: they keep their incarnations.
func TestTargetsStayReachableAfterRelayFailure(t *testing.T) {
	for _, failure := range []string{"unreachable-targets", "stopped"} {
		t.Run(failure, func(t *testing.T) {
			cluster := newRelayCluster(t)
			cluster.waitForRelays()
			leader := cluster.leader()
			relay := (leader + 1) % 3
			if failure == "stopped" {
				cluster.schedulers[relay].Stop()
			} else {
				cluster.targetCalls[relay].setUnreachable(true)
			}
			cluster.submit("a", tasks(20))
			cluster.waitCompleted("a")
			cluster.fleet.withLock(func() {
				for name, target := range cluster.fleet.targets {
					cluster.c.Check(target.incarnation, qt.Equals, int64(1), qt.Commentf("%s", name))
				}
			})
			cluster.c.Check(cluster.scheduler.ledger.Targets(), qt.HasLen, 6)
			cluster.assertNoDoubleRuns()
		})
	}
}

// Relay state for a target is removed when its incarnation ends.
func TestEndedTargetsAreRemovedFromRelayState(t *testing.T) {
	s := newFixture(t, false, "w0")
	l := s.scheduler.currentLeader.Load()
	target := s.scheduler.ledger.Targets()[0]
	l.relays.markUnreachable(&target)
	s.c.Assert(l.relays.avoidedTargets(), qt.HasLen, 1)
	l.removeDriver(target.ID)
	s.c.Assert(l.relays.avoidedTargets(), qt.HasLen, 0)
}

// avoidedTargets returns a copy of avoidUntil. The target's driver may use the
// map at the same time.
func (r *relays) avoidedTargets() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.avoidUntil)
}

// The connections of a relay to its targets are refused, while their processes live and the
// leader could call them directly. A call that goes unanswered is repeated directly, a
// refused one is not: the targets count as crashed, and what runs on them as suspect.
func TestTargetsStayReachableWhenRelayIsRefused(t *testing.T) {
	cluster := newRelayCluster(t)
	l := cluster.waitForRelays()
	cluster.fleet.runTime = time.Hour
	cluster.submit("a", tasks(24))
	cluster.eventually(waitTimeout, "tasks run", func() bool {
		running := 0
		cluster.fleet.withLock(func() {
			for _, target := range cluster.fleet.targets {
				running += len(target.running)
			}
		})
		return running == 24
	})
	relay := (cluster.leader() + 1) % 3
	targets := cluster.targetCalls[relay]
	targets.mu.Lock()
	targets.refused = true
	targets.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	for _, d := range l.allDrivers() {
		blames := 0
		for _, assignment := range l.scheduler.ledger.Assignments(d.target.ID) {
			if len(assignment.Blame.Targets) > 0 {
				blames++
			}
		}
		cluster.c.Check(d.lastCallFailed(), qt.IsFalse, qt.Commentf("%s does not answer", d.target.ID.ID))
		cluster.c.Check(blames, qt.Equals, 0, qt.Commentf("tasks of %s are held to have crashed it", d.target.ID.ID))
	}
}

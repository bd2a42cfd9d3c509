package group

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

// wordLog is a state machine that keeps all applied commands in order.
type wordLog struct {
	mu      sync.Mutex
	entries []string
}

var _ raft.StateMachine = (*wordLog)(nil)

func (w *wordLog) Apply(_ uint64, command []byte) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, string(command))
	return len(w.entries)
}

func (w *wordLog) Snapshot() func() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var state []byte
	for _, word := range w.entries {
		state = append(state, word...)
		state = append(state, '\n')
	}
	return func() ([]byte, error) { return state, nil }
}

func (w *wordLog) Restore(state []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = nil
	for start, i := 0, 0; i < len(state); i++ {
		if state[i] == '\n' {
			w.entries = append(w.entries, string(state[start:i]))
			start = i + 1
		}
	}
	return nil
}

func (w *wordLog) BecameLeader(uint64) {}

func (w *wordLog) LostLeadership() {}

func (w *wordLog) has(word string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range w.entries {
		if entry == word {
			return true
		}
	}
	return false
}

// testMember is an instance of a test group, which can be stopped and restarted.
type testMember struct {
	cfg   Config
	host  *Host
	words *wordLog
	disk  testDisk
}

type testGroup struct {
	c       *qt.C
	members []*testMember
}

// newTestGroup returns a group with the given numbers of seeds and of other
// instances, all of them stopped.
func newTestGroup(t *testing.T, seeds, others int) *testGroup {
	g := &testGroup{c: qt.New(t)}
	var addresses []string
	for range seeds + others {
		addresses = append(addresses, local.UnusedAddress())
	}
	for i, address := range addresses {
		g.members = append(g.members, &testMember{cfg: Config{
			Name:              "n" + string(rune('0'+i)),
			Domain:            "d" + string(rune('0'+i)),
			Address:           address,
			Seeds:             addresses[:seeds],
			DataFolder:        filepath.Join(t.TempDir(), "data"),
			Bootstrap:         true,
			Voters:            seeds + others,
			ElectionTimeout:   250 * time.Millisecond,
			HeartbeatInterval: 50 * time.Millisecond,
			ReplaceVoterAfter: 3 * time.Second,
		}})
	}
	t.Cleanup(func() {
		for _, m := range g.members {
			m.stop()
		}
	})
	return g
}

// newDiscardLogger returns a logger without output.
func newDiscardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (g *testGroup) start(m *testMember) {
	m.words = &wordLog{}
	host, err := NewHost(m.cfg, m.words, newDiscardLogger())
	g.c.Assert(err, qt.IsNil)
	host.logOptions = []walog.Option{walog.WithCreate(m.disk.Create)}
	host.probeDisk = m.disk.Probe
	g.c.Assert(host.Server().RegisterConcurrent(leaderService, &leaderRPC{host: host}), qt.IsNil)
	g.c.Assert(host.Run(), qt.IsNil)
	m.host = host
}

func (m *testMember) stop() {
	if m.host != nil {
		m.host.Stop()
		m.host = nil
	}
}

func (g *testGroup) eventually(description string, condition func() bool) {
	g.c.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	g.c.Fatalf("condition not met in time: %s", description)
}

// propose commits a word through the current leader.
func (g *testGroup) propose(word string) {
	g.c.Helper()
	g.eventually("commit "+word, func() bool {
		for _, m := range g.members {
			if m.host == nil || !m.host.isLeader() {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := m.host.Replica().Propose(ctx, []byte(word))
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

func (g *testGroup) leader() *testMember {
	for _, m := range g.members {
		if m.host != nil && m.host.isLeader() {
			return m
		}
	}
	return nil
}

func (g *testGroup) voters() int {
	leader := g.leader()
	if leader == nil {
		return 0
	}
	return len(leader.host.Replica().Status().Membership.Voters())
}

func TestSeedsStartedInAnyOrderFormGroup(t *testing.T) {
	g := newTestGroup(t, 3, 2)
	for _, i := range []int{4, 2, 0, 3, 1} {
		g.start(g.members[i])
	}
	g.propose("first")
	g.eventually("five voters", func() bool { return g.voters() == 5 })
	for _, m := range g.members {
		g.eventually(m.cfg.Name+" has applied the entry", func() bool { return m.words.has("first") })
	}
}

// A seed that starts late joins the group that the other seeds have formed, and
// does not form another one.
func TestLateSeedJoinsGroup(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	g.start(g.members[0])
	g.start(g.members[1])
	g.propose("early")
	g.start(g.members[2])
	g.eventually("the late seed has applied the entry", func() bool { return g.members[2].words.has("early") })
}

func TestNewLeaderAfterLeaderStops(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("before")
	g.leader().stop()
	started := time.Now()
	g.propose("after")
	g.c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
}

// An instance that restarts with an empty disk becomes a new replica: it catches
// up as a learner and is promoted, and its old replica is removed.
func TestInstanceWithLostDiskJoinsAsNewReplica(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("kept")
	g.eventually("all members have their names", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		for _, member := range leader.host.Replica().Status().Membership.Members {
			if member.Name == member.Address {
				return false
			}
		}
		return true
	})
	lost := g.members[0]
	if g.leader() == lost {
		lost = g.members[1]
	}
	oldID := lost.host.Replica().Status().ID
	lost.stop()
	g.c.Assert(os.RemoveAll(lost.cfg.DataFolder), qt.IsNil)
	lost.cfg.Bootstrap = false
	g.start(lost)
	g.eventually("the new replica has the state", func() bool { return lost.words.has("kept") })
	g.eventually("the new replica is a voter and the old one is removed", func() bool {
		leader := g.leader()
		if leader == nil || lost.host.Replica() == nil {
			return false
		}
		membership := leader.host.Replica().Status().Membership
		_, oldFound := membership.Find(oldID)
		current, found := membership.Find(lost.host.Replica().Status().ID)
		return !oldFound && found && current.Voter
	})
}

// Committed entries survive a restart of all members.
func TestCommittedEntriesSurviveFullRestart(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("kept")
	for _, m := range g.members {
		m.stop()
	}
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("more")
	for _, m := range g.members {
		g.eventually(m.cfg.Name+" has applied both entries", func() bool { return m.words.has("kept") && m.words.has("more") })
	}
}

// A command that no frame between instances can carry was put into the leader's log.
// Its followers then closed each connection that brought it, and nothing after it was
// ever committed. It is refused, and the group goes on.
func TestCommandTooLargeToReplicateIsRefused(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("before")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := g.leader().host.Replica().Propose(ctx, make([]byte, 17<<20))
	g.c.Check(err, qt.ErrorIs, raft.ErrTooLarge)
	g.propose("after")
	for _, m := range g.members {
		g.eventually(m.cfg.Name+" has applied the next entry", func() bool { return m.words.has("after") })
	}
	largest := strings.Repeat("x", raft.MaxCommandBytes)
	g.propose(largest)
	for _, m := range g.members {
		g.eventually(m.cfg.Name+" has applied the largest entry", func() bool { return m.words.has(largest) })
	}
}

// While there is no leader, a call fails long before its deadline and carries a
// retry delay, so that the caller can try another instance.
func TestRouteFailsEarlyWithoutLeader(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	g.start(g.members[0])
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	started := time.Now()
	local := func(*string, *wire.Reply[string]) error { return nil }
	word := "a"
	_, fault := CallLeader(ctx, g.members[0].host, "Words.Say", &word, local)
	g.c.Assert(fault, qt.Not(qt.IsNil))
	g.c.Check(fault.Code, qt.Equals, wire.CodeUnavailable)
	g.c.Check(fault.RetryAfter, qt.Equals, retryAfter)
	g.c.Check(time.Since(started) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
}

// A voter that is lost for good is replaced within its time, although the leader
// changes again and again meanwhile: otherwise the next loss takes the quorum. Each
// new leader would have to miss the voter for the whole time itself.
func TestLostVoterIsReplacedAcrossLeaderChanges(t *testing.T) {
	const (
		replaceWithin  = 4 * time.Second
		leaderInterval = 1200 * time.Millisecond
	)
	g := newTestGroup(t, 3, 1)
	for _, m := range g.members {
		m.cfg.Voters = 3
		m.cfg.ReplaceVoterAfter = replaceWithin / 2
		g.start(m)
	}
	g.propose("before")
	g.eventually("a learner", func() bool {
		leader := g.leader()
		return leader != nil && len(leader.host.Replica().Status().Membership.Members) == 4
	})
	lost := g.voterBesideLeader()
	lostID := lost.host.Replica().Status().ID
	lost.stop()
	lostAt := time.Now()
	changedAt := lostAt
	g.eventually("the lost voter is replaced", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		if time.Since(changedAt) > leaderInterval {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			leader.host.TransferLeadership(ctx)
			cancel()
			changedAt = time.Now()
			return false
		}
		membership := leader.host.Replica().Status().Membership
		_, found := membership.Find(lostID)
		return !found && len(membership.Voters()) == 3
	})
	g.c.Assert(time.Since(lostAt) < replaceWithin, qt.IsTrue, qt.Commentf("took %s", time.Since(lostAt)))
}

// A voter that was only away for longer than the time after which it is replaced has to
// join again when it returns. Its own log still lists it: nobody sends the entry that
// removed it to a replica that is no longer a member. Without it the group has no
// learner left for the next loss.
func TestReplacedVoterJoinsAgain(t *testing.T) {
	g := newTestGroup(t, 3, 1)
	for _, m := range g.members {
		m.cfg.Voters = 3
		m.cfg.ReplaceVoterAfter = time.Second
		g.start(m)
	}
	g.propose("before")
	g.eventually("a learner", func() bool {
		leader := g.leader()
		return leader != nil && len(leader.host.Replica().Status().Membership.Members) == 4
	})
	away := g.voterBesideLeader()
	id := away.host.Replica().Status().ID
	away.stop()
	g.eventually("the voter is replaced", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		_, found := leader.host.Replica().Status().Membership.Find(id)
		return !found
	})
	g.propose("meanwhile")
	g.start(away)
	g.eventually("the replaced voter is a learner", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		member, found := leader.host.Replica().Status().Membership.Find(id)
		return found && !member.Voter
	})
	g.eventually("it has applied the entries it missed", func() bool { return away.words.has("meanwhile") })
}

// voterBesideLeader returns a running voter other than the leader.
func (g *testGroup) voterBesideLeader() *testMember {
	leader := g.leader()
	g.c.Assert(leader, qt.IsNotNil)
	membership := leader.host.Replica().Status().Membership
	for _, m := range g.members {
		if m == leader || m.host == nil || m.host.Replica() == nil {
			continue
		}
		if member, ok := membership.Find(m.host.Replica().Status().ID); ok && member.Voter {
			return m
		}
	}
	g.c.Fatal("no voter beside the leader")
	return nil
}

// A host that is stopped while its new replica starts must not leave the replica running:
// its log would stay open, and its folder locked for nobody.
func TestStopWhileReplicaStarts(t *testing.T) {
	g := newTestGroup(t, 1, 1)
	g.start(g.members[0])
	g.propose("first")
	for wait := range 20 {
		m := g.members[1]
		g.start(m)
		time.Sleep(joinInterval + time.Duration(wait-10)*2*time.Millisecond)
		m.stop()
	}
}

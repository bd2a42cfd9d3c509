package group

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// words is a state machine that keeps the commands it was given.
type words struct {
	mu   sync.Mutex
	list []string
}

var _ raft.StateMachine = (*words)(nil)

func (w *words) Apply(_ uint64, command []byte) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = append(w.list, string(command))
	return len(w.list)
}

func (w *words) Capture() func() ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []byte
	for _, word := range w.list {
		all = append(all, word...)
		all = append(all, '\n')
	}
	return func() ([]byte, error) { return all, nil }
}

func (w *words) Restore(state []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list = nil
	for start, i := 0, 0; i < len(state); i++ {
		if state[i] == '\n' {
			w.list = append(w.list, string(state[start:i]))
			start = i + 1
		}
	}
	return nil
}

func (w *words) Leading(uint64) {}

func (w *words) Following() {}

func (w *words) has(word string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.list {
		if other == word {
			return true
		}
	}
	return false
}

// member is an instance of a test group, which can be stopped and started.
type member struct {
	cfg   Config
	host  *Host
	words *words
}

type testGroup struct {
	c       *qt.C
	members []*member
}

func newTestGroup(t *testing.T, seeds, more int) *testGroup {
	g := &testGroup{c: qt.New(t)}
	var addresses []string
	for range seeds + more {
		addresses = append(addresses, local.Address())
	}
	for i, address := range addresses {
		g.members = append(g.members, &member{cfg: Config{
			Name:       "n" + string(rune('0'+i)),
			Domain:     "d" + string(rune('0'+i)),
			Address:    address,
			Seeds:      addresses[:seeds],
			DataFolder: filepath.Join(t.TempDir(), "data"),
			Form:       true,
			Voters:     seeds + more,
			Election:   250 * time.Millisecond,
			Heartbeat:  50 * time.Millisecond,
			Replace:    3 * time.Second,
		}})
	}
	t.Cleanup(func() {
		for _, m := range g.members {
			m.stop()
		}
	})
	return g
}

func (g *testGroup) start(m *member) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m.words = &words{}
	host, err := NewHost(m.cfg, m.words, log)
	g.c.Assert(err, qt.IsNil)
	g.c.Assert(host.Run(), qt.IsNil)
	m.host = host
}

func (m *member) stop() {
	if m.host != nil {
		m.host.Stop()
		m.host = nil
	}
}

func (g *testGroup) eventually(what string, holds func() bool) {
	g.c.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	g.c.Fatalf("never: %s", what)
}

// propose commits a word through whichever member leads.
func (g *testGroup) propose(word string) {
	g.c.Helper()
	g.eventually("commit "+word, func() bool {
		for _, m := range g.members {
			if m.host == nil || !m.host.leads() {
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

func (g *testGroup) leader() *member {
	for _, m := range g.members {
		if m.host != nil && m.host.leads() {
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

func TestFormsFromSeedsInAnyOrder(t *testing.T) {
	g := newTestGroup(t, 3, 2)
	for _, i := range []int{4, 2, 0, 3, 1} {
		g.start(g.members[i])
	}
	g.propose("first")
	g.eventually("five voters", func() bool { return g.voters() == 5 })
	for _, m := range g.members {
		g.eventually(m.cfg.Name+" has it", func() bool { return m.words.has("first") })
	}
}

// A seed that is late joins the group that the others formed, and does not
// form one of its own.
func TestLateSeedJoins(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	g.start(g.members[0])
	g.start(g.members[1])
	g.propose("early")
	g.start(g.members[2])
	g.eventually("the late seed has it", func() bool { return g.members[2].words.has("early") })
}

func TestLeaderIsReplaced(t *testing.T) {
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

// A member that comes back with an empty disk is a new replica: it takes the
// state over as a learner, and its old self is taken out.
func TestLostDiskIsANewReplica(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	for _, m := range g.members {
		g.start(m)
	}
	g.propose("kept")
	g.eventually("all named", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		for _, known := range leader.host.Replica().Status().Membership.Members {
			if known.Name == known.Address {
				return false
			}
		}
		return true
	})
	lost := g.members[0]
	if g.leader() == lost {
		lost = g.members[1]
	}
	old := lost.host.Replica().Status().ID
	lost.stop()
	g.c.Assert(os.RemoveAll(lost.cfg.DataFolder), qt.IsNil)
	lost.cfg.Form = false
	g.start(lost)
	g.eventually("state taken over", func() bool { return lost.words.has("kept") })
	g.eventually("a voter again", func() bool {
		leader := g.leader()
		if leader == nil || lost.host.Replica() == nil {
			return false
		}
		membership := leader.host.Replica().Status().Membership
		_, still := membership.Find(old)
		now, ok := membership.Find(lost.host.Replica().Status().ID)
		return !still && ok && now.Voter
	})
}

// All members are killed and come back: nothing that was committed is lost.
func TestAllRestart(t *testing.T) {
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
		g.eventually(m.cfg.Name+" has both", func() bool { return m.words.has("kept") && m.words.has("more") })
	}
}

// Pattern: there is no leader for long. A call that waits is answered long
// before its deadline, with when to come again, so that its caller may try
// elsewhere.
func TestCallIsGivenUpWithoutLeader(t *testing.T) {
	g := newTestGroup(t, 3, 0)
	g.start(g.members[0])
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	none := func(*string, *wire.Reply[string]) error { return nil }
	word := "a"
	_, fault := Route(ctx, g.members[0].host, "Words.Say", &word, none)
	g.c.Assert(fault, qt.Not(qt.IsNil))
	g.c.Check(fault.Code, qt.Equals, wire.CodeUnavailable)
	g.c.Check(fault.RetryAfter, qt.Equals, retryAfter)
	g.c.Check(time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

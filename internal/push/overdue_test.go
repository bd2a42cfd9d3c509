package push

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/boot"
)

// frozenLink is the way to an instance, which may be frozen: what is sent to the instance lies
// in its sockets until it goes on, also if the sender has closed the connection by then.
type frozenLink struct {
	mu     sync.Mutex
	thawed *sync.Cond
	frozen bool
}

// newFrozenLink forwards connections from the address to the one that the instance listens on.
func newFrozenLink(t *testing.T, address, listen string) *frozenLink {
	link := &frozenLink{}
	link.thawed = sync.NewCond(&link.mu)
	listener, err := net.Listen("tcp", address)
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go link.forward(conn, listen)
		}
	}()
	return link
}

// forward copies the bytes of a connection in both directions.
func (l *frozenLink) forward(from net.Conn, listen string) {
	to, err := net.Dial("tcp", listen)
	if err != nil {
		_ = from.Close()
		return
	}
	go func() {
		_, _ = io.Copy(from, to)
		_ = from.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.waitThawed()
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
		if err != nil {
			break
		}
	}
	// The instance reads what was sent before it learns of the end.
	time.Sleep(100 * time.Millisecond)
	_ = to.Close()
}

func (l *frozenLink) waitThawed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.frozen {
		l.thawed.Wait()
	}
}

func (l *frozenLink) setFrozen(frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = frozen
	l.thawed.Broadcast()
}

// A relay that was frozen finds starts in its sockets that the leader has given up and sent
// otherwise. By then the tasks are done and their target was started again, so that it knows
// neither the runs nor the token. The relay sent the starts on, and the tasks ran again.
func TestRelaySendsNoOrderThatIsGivenUp(t *testing.T) {
	cluster := newRelayCluster(t)
	cluster.waitForRelays()
	relay := (cluster.leader() + 1) % 3
	domain := domainOf(relay)
	cluster.links[relay].setFrozen(true)
	step := tasks(4)
	step.Label = domain
	cluster.submit("a", step)
	cluster.waitCompleted("a")
	var restarted []*fakeTarget
	cluster.fleet.withLock(func() {
		for _, name := range []string{domain + "a", domain + "b"} {
			name = "w" + name[1:]
			cluster.fleet.targets[name] = newFakeTarget(2)
			restarted = append(restarted, cluster.fleet.targets[name])
		}
	})
	time.Sleep(2 * testTiming().CallTimeout)
	cluster.links[relay].setFrozen(false)
	time.Sleep(5 * testTiming().CallTimeout)
	cluster.fleet.withLock(func() {
		for _, target := range restarted {
			cluster.c.Check(target.highestRun, qt.HasLen, 0)
			cluster.c.Check(target.running, qt.HasLen, 0)
		}
	})
}

// A time by another process's clock means nothing to a relay that was started again, and none
// at all to the leader of an earlier release.
func TestOverdueOrders(t *testing.T) {
	c := qt.New(t)
	now := wire.ProcessClock{
		Process: 7,
		Reading: time.Hour,
	}
	for _, test := range []struct {
		name    string
		sendBy  wire.ProcessClock
		overdue bool
	}{
		{
			name: "earlier release",
		},
		{
			name: "in time",
			sendBy: wire.ProcessClock{
				Process: 7,
				Reading: time.Hour + time.Millisecond,
			},
		},
		{
			name: "late",
			sendBy: wire.ProcessClock{
				Process: 7,
				Reading: time.Hour - time.Millisecond,
			},
			overdue: true,
		},
		{
			name: "other process",
			sendBy: wire.ProcessClock{
				Process: 8,
				Reading: 2 * time.Hour,
			},
			overdue: true,
		},
	} {
		c.Check(isOverdue(test.sendBy, now), qt.Equals, test.overdue, qt.Commentf("%s", test.name))
	}
}

// The time that a leader gives must not be later by the relay's clock than it means, however
// old its reading is, so that the relay's clock may be the slower one of the two.
func TestRelayClockIsNeverAhead(t *testing.T) {
	c := qt.New(t)
	const drift = 0.03
	clocks := newRelayClocks(drift, boot.Now)
	c.Check(clocks.after("a:1", time.Second), qt.Equals, wire.ProcessClock{})
	reading := wire.ProcessClock{
		Process: 7,
		Reading: time.Hour,
	}
	clocks.record("a:1", reading)
	const age = 10 * time.Second
	aged := clocks.byAddress["a:1"]
	aged.at -= age
	clocks.byAddress["a:1"] = aged
	after := clocks.after("a:1", time.Second)
	c.Check(after.Process, qt.Equals, uint64(7))
	slow := time.Hour + time.Duration(float64(age)*(1-drift)) + time.Second
	c.Check(after.Reading >= slow && after.Reading < slow+age/100, qt.IsTrue)
	// A reading that was long on its way does not set the clock back.
	clocks.record("a:1", reading)
	c.Check(clocks.after("a:1", time.Second).Reading >= slow, qt.IsTrue)
	// Another process at the address has a clock of its own.
	clocks.record("a:1", wire.ProcessClock{
		Process: 8,
		Reading: time.Minute,
	})
	c.Check(clocks.after("a:1", 0).Reading < time.Hour, qt.IsTrue)
	clocks.retain(map[string]bool{"a:1": false})
	c.Check(clocks.after("a:1", 0), qt.Equals, wire.ProcessClock{})
}

// An instance that may no longer lead sends nothing. Stops and paces were sent without a look
// at that. An order that was not sent says nothing about its target.
func TestInstanceThatMayNotLeadSendsNoOrder(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.waitIdle("w0")
	l := s.scheduler.currentLeader.Load()
	target := s.scheduler.ledger.Targets()[0]
	l.fenced.Store(true)
	paces := 0
	s.fleet.withLock(func() { paces = len(s.fleet.paces) })
	_, err := l.targets.Pace(s.ctx(), &target, Pace{
		Task: graph.TaskRef{Job: "a"},
	})
	s.c.Check(errors.Is(err, ErrNotSent), qt.IsTrue)
	s.c.Check(mayHaveArrived(err), qt.IsFalse)
	s.fleet.withLock(func() { s.c.Check(s.fleet.paces, qt.HasLen, paces) })
	d := l.driver(target.ID)
	failures := d.failures
	d.recordAnswer(0, err)
	s.c.Check(d.failures, qt.Equals, failures)
}

// A relay hands the time for an order on, so that the last look at it comes right before the
// order is written.
func TestRelayHandsTimeOfOrderOn(t *testing.T) {
	s := newFixture(t, false)
	seen := make(chan bool, 1)
	s.scheduler.targets = stopFunc(func(ctx context.Context) {
		time.Sleep(20 * time.Millisecond)
		seen <- boot.Expired(ctx)
	})
	sendBy := s.scheduler.host.Clock()
	sendBy.Reading += 10 * time.Millisecond
	var reply wire.Reply[OrderReply]
	s.c.Assert((&rpcService{scheduler: s.scheduler}).Order(&OrderArgs{
		Limit:  time.Second,
		SendBy: sendBy,
		Stop:   &Stop{},
	}, &reply), qt.IsNil)
	s.c.Check(<-seen, qt.IsTrue)
}

// stopFunc is called for each stop. It has no other methods.
type stopFunc func(ctx context.Context)

var _ Targets = stopFunc(nil)

func (f stopFunc) Start(context.Context, *graph.Target, Start) (Clock, error) { return 0, ErrRefused }

func (f stopFunc) Stop(ctx context.Context, _ *graph.Target, _ Stop) (Clock, error) {
	f(ctx)
	return 0, nil
}

func (f stopFunc) RenewLease(context.Context, *graph.Target, LeaseRenewal) (RunList, error) {
	return RunList{}, ErrRefused
}

func (f stopFunc) Pace(context.Context, *graph.Target, Pace) (Clock, error) { return 0, ErrRefused }

func (f stopFunc) Release(*graph.Target) {}

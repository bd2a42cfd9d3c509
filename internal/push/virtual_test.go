package push

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// virtualCell is a cell in virtual time whose commits of placements can be slow or uncertain.
type virtualCell struct {
	*modelCell

	mu sync.Mutex
	// instances make the calls to the advisor, and silent are others that a new leader
	// asks for answers.
	instances []string
	silent    []string
	// slow is the number of further placements whose commit takes the given time.
	slow int
	wait time.Duration
	// uncertain is the number of further placements that are applied and whose results
	// are lost. Lost is called then.
	uncertain int
	lost      func()
	// advise makes a call to the advisor.
	advise func(ctx context.Context, address string, args *AdviseArgs) (wire.Reply[Advice], error)
	// recall makes a call for an instance's answers.
	recall func(ctx context.Context, address string) (wire.Reply[[]RecalledAnswer], error)
}

func (c *virtualCell) LiveAddresses(within time.Duration) []string {
	if within > instanceHeardWithin {
		return slices.Concat(c.instances, c.silent)
	}
	return c.instances
}

func (c *virtualCell) RecallAdvice(
	ctx context.Context, address string, limit time.Duration,
) (wire.Reply[[]RecalledAnswer], error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.recall(ctx, address)
}

func (c *virtualCell) Advise(
	ctx context.Context, address string, args *AdviseArgs, _ time.Duration,
) (wire.Reply[Advice], error) {
	return c.advise(ctx, address, args)
}

func (c *virtualCell) Propose(ctx context.Context, data []byte) (any, error) {
	command, err := graph.DecodeCommand(data)
	if err != nil || command.Place == nil {
		return c.modelCell.Propose(ctx, data)
	}
	c.mu.Lock()
	slow, uncertain := c.slow > 0, c.uncertain > 0
	c.slow--
	c.uncertain--
	c.mu.Unlock()
	if slow {
		select {
		case <-time.After(c.wait):
		case <-ctx.Done():
			return nil, errModelUncertain
		}
	}
	value, err := c.modelCell.Propose(ctx, data)
	if uncertain && err == nil {
		if c.lost != nil {
			c.lost()
		}
		return nil, context.DeadlineExceeded
	}
	return value, err
}

// virtualFixture is a leader with a fake fleet and a queue that needs advice, in virtual
// time, so that the load of the machine does not decide which ticket expires.
type virtualFixture struct {
	c     *qt.C
	cell  *virtualCell
	fleet *fakeFleet
	stop  chan struct{}
	tasks sync.WaitGroup
}

// playVirtual runs a test with a fixture in virtual time. The setups are run before there is
// a leader.
func playVirtual(t *testing.T, play func(*virtualFixture), setups ...func(*virtualFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFixture(t)
		for _, setUp := range setups {
			setUp(f)
		}
		f.cell.scheduler.BecameLeader(1)
		defer f.close()
		play(f)
	})
}

func newVirtualFixture(t *testing.T) *virtualFixture {
	fleet := &fakeFleet{
		targets:        map[string]*fakeTarget{},
		runTime:        100 * time.Millisecond,
		checkTickets:   true,
		ticketByTarget: map[string]string{},
		adviceValid:    2 * time.Second,
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if *modelVerbose {
		log.SetOutput(t.Output())
	}
	cell := &virtualCell{
		modelCell: &modelCell{
			random:   rand.New(rand.NewPCG(1, 2)),
			started:  time.Now(),
			ends:     make(chan struct{}),
			leading:  true,
			term:     1,
			changing: make(chan struct{}, 1),
		},
		instances: []string{"leader:1"},
	}
	cell.scheduler = newScheduler(testTiming(), fleet, fleet, log)
	cell.scheduler.cell = cell
	config := modelConfig()
	config.Queues[0].Advice = &graph.AdviceTiming{
		Base:  5 * time.Millisecond,
		Valid: 2 * time.Second,
	}
	cell.scheduler.Apply(0, mustEncode(graph.Command{Config: config}))
	f := &virtualFixture{
		c:     qt.New(t),
		cell:  cell,
		fleet: fleet,
		stop:  make(chan struct{}),
	}
	return f
}

// close ends the goroutines of the fixture.
func (f *virtualFixture) close() {
	close(f.stop)
	f.tasks.Wait()
	f.cell.modelCell.mu.Lock()
	f.cell.leading = false
	close(f.cell.ends)
	f.cell.modelCell.mu.Unlock()
	f.cell.scheduler.LostLeadership()
	time.Sleep(10 * time.Second)
}

// startTarget starts a target for which the advisor gives tickets.
func (f *virtualFixture) startTarget(name string) {
	target := newFakeTarget(1)
	f.fleet.withLock(func() {
		f.fleet.targets[name] = target
		f.fleet.ticketByTarget[name] = "ticket-" + name
	})
	f.tasks.Go(func() {
		for {
			var clock Clock
			f.fleet.withLock(func() { clock = target.clock() })
			var reply wire.Reply[Empty]
			_ = f.service().Beat(&Heartbeat{
				Announce: defaultAnnouncement(name, 1),
				Clock:    clock,
			}, &reply)
			select {
			case <-f.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
}

func (f *virtualFixture) service() *rpcService {
	return &rpcService{scheduler: f.cell.scheduler}
}

func (f *virtualFixture) submit(id graph.JobID, steps ...graph.Step) {
	var reply wire.Reply[Answer]
	f.c.Assert(f.service().Submit(&graph.Submit{
		Address: modelAddress(),
		ID:      id,
		Spec:    graph.Spec{Steps: steps},
	}, &reply), qt.IsNil)
	f.c.Assert(reply.Fault == nil, qt.IsTrue)
	f.c.Assert(reply.Value.Refusal, qt.Equals, graph.Refusal(""))
}

// eventually waits for the condition.
func (f *virtualFixture) eventually(what string, condition func() bool) {
	f.c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.c.Fatalf("condition not met: %s", what)
}

func (f *virtualFixture) waitCompleted(id graph.JobID) {
	f.c.Helper()
	f.eventually("job completed", func() bool {
		state, _ := f.cell.scheduler.ledger.StateOf(modelAddress(), id)
		return state == graph.StateCompleted
	})
}

// assertStarts checks that as many starts were sent, each of the given run, and that none
// was refused.
func (f *virtualFixture) assertStarts(count int, run uint32) {
	f.c.Helper()
	f.fleet.withLock(func() {
		f.c.Check(f.fleet.refused, qt.Equals, 0)
		f.c.Check(f.fleet.doubleRuns, qt.HasLen, 0)
		f.c.Check(f.fleet.starts, qt.HasLen, count)
		for _, start := range f.fleet.starts {
			f.c.Check(start.Run, qt.Equals, run)
		}
	})
}

// withheld returns how many starts were withheld for the reason.
func (f *virtualFixture) withheld(reason string) int {
	return f.metric(`jasmineward_starts_withheld_total{reason="` + reason + `"}`)
}

// metric returns the value of a metric as served, or zero.
func (f *virtualFixture) metric(name string) int {
	recorder := httptest.NewRecorder()
	f.cell.scheduler.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(recorder.Body.String()) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			f.c.Assert(err, qt.IsNil)
			return int(n)
		}
	}
	return 0
}

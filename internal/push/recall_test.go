package push

import (
	"context"
	"fmt"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/internal/wire"
)

func mustEncodeCBOR(c *qt.C, value any) []byte {
	data, err := cbor.Marshal(value)
	c.Assert(err, qt.IsNil)
	return data
}

// adviceOn returns an answer about the targets, half of which are good.
func adviceOn(count, ticketBytes int) (targets []string, advice Advice) {
	advice = Advice{
		Good:  map[string]string{},
		Valid: 2500 * time.Millisecond,
	}
	for i := range count {
		id := fmt.Sprintf("worker-%03d.zone-1.example", i)
		targets = append(targets, id)
		if i%2 == 0 {
			advice.Good[id] = fmt.Sprintf("%0*d", ticketBytes, i)
		}
	}
	return targets, advice
}

// Answers of a long trouble must not fill a small instance, nor a reply its thin link.
func TestAnswerStoreIsBounded(t *testing.T) {
	c := qt.New(t)
	for _, size := range []struct{ targets, ticket int }{{1, 8}, {8, 40}, {40, 200}, {40, 4000}} {
		store := &answerStore{}
		now := time.Duration(0)
		for i := range 1000 {
			now += 5 * time.Millisecond
			targets, advice := adviceOn(size.targets, size.ticket)
			store.add(graph.TaskRef{Job: graph.JobID(fmt.Sprintf("018f0000-0000-7000-8000-%012d", i))}, targets, advice, now)
			c.Assert(len(store.answers) <= maxStoredAnswers, qt.IsTrue)
			c.Assert(store.bytes <= maxStoredBytes, qt.IsTrue)
		}
		list := store.list(now, maxRecallBytes)
		encoded := len(mustEncodeCBOR(c, list))
		c.Check(encoded <= maxRecallBytes, qt.IsTrue, qt.Commentf("%d bytes for %+v", encoded, size))
		if len(list) > 1 {
			c.Check(list[0].Age < list[1].Age, qt.IsTrue)
		}
		total := 0
		for _, answer := range store.answers {
			total += answer.size()
		}
		c.Check(store.bytes, qt.Equals, total)
	}
}

// Answers are told with their age; expired tickets are left out, and what is old is not told.
func TestAnswersAge(t *testing.T) {
	c := qt.New(t)
	store := &answerStore{}
	targets, advice := adviceOn(2, 4)
	store.add(graph.TaskRef{Job: "a"}, targets, advice, time.Second)
	list := store.list(2*time.Second, maxRecallBytes)
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0].Age, qt.Equals, time.Second)
	c.Check(list[0].Good, qt.DeepEquals, advice.Good)
	c.Check(list[0].asked(), qt.DeepEquals, targets)
	c.Check(list[0].Expired, qt.IsFalse)
	list = store.list(10*time.Second, maxRecallBytes)
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0].Expired, qt.IsTrue)
	c.Check(list[0].Good, qt.DeepEquals, map[string]string{targets[0]: ""})
	c.Check(store.list(time.Second+maxAnswerAge+1, maxRecallBytes), qt.HasLen, 0)
}

// recallFixture has an instance that makes the calls to the advisor, which are counted. A new
// leader also asks one that is gone, one of the older release and one that is late.
type recallFixture struct {
	*virtualFixture

	instance *Scheduler

	mu    sync.Mutex
	calls []*AdviseArgs
	// late is what the late instance replies.
	late []RecalledAnswer
}

const lateBy = 700 * time.Millisecond

func newRecallFixture(f *virtualFixture) *recallFixture {
	r := &recallFixture{
		virtualFixture: f,
		instance:       newScheduler(testTiming(), f.fleet, f.fleet, f.cell.scheduler.log),
	}
	r.instance.cell = f.cell
	f.cell.instances, f.cell.silent = []string{"entry:1"}, []string{"gone:1", "older:1", "late:1"}
	service := &rpcService{scheduler: r.instance}
	f.cell.advise = func(_ context.Context, _ string, args *AdviseArgs) (reply wire.Reply[Advice], err error) {
		r.mu.Lock()
		r.calls = append(r.calls, args)
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		return reply, service.Advise(args, &reply)
	}
	f.cell.recall = func(ctx context.Context, address string) (reply wire.Reply[[]RecalledAnswer], err error) {
		switch address {
		case "entry:1":
			err = service.RecallAdvice(&Empty{}, &reply)
		case "older:1":
			err = rpc.ServerError("rpc: can't find method " + methodRecall)
		case "late:1":
			time.Sleep(lateBy)
			r.mu.Lock()
			reply.Value = r.late
			r.mu.Unlock()
		default:
			<-ctx.Done()
			err = ctx.Err()
		}
		return reply, err
	}
	return r
}

// playRecall runs a test with a recall fixture, once its first leader has recalled nothing.
func playRecall(t *testing.T, play func(*recallFixture)) {
	var r *recallFixture
	playVirtual(t, func(*virtualFixture) {
		time.Sleep(2 * recallTimeout)
		play(r)
	}, func(f *virtualFixture) { r = newRecallFixture(f) })
}

// asked returns the calls to the advisor.
func (r *recallFixture) asked() []*AdviseArgs {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// placeSlowly submits a job and waits until its placement is proposed, which takes longer
// than the leader is there.
func (r *recallFixture) placeSlowly(id graph.JobID, steps ...graph.Step) {
	r.cell.mu.Lock()
	r.cell.slow, r.cell.wait = 1, time.Minute
	r.cell.mu.Unlock()
	r.submit(id, steps...)
	r.eventually("placement is proposed", func() bool { return r.proposals() == 1 })
}

// A new leader had no advice, so that all that waited was asked for again. It uses tickets
// that instances have kept.
func TestNewLeaderUsesTicketsOfInstances(t *testing.T) {
	playRecall(t, func(r *recallFixture) {
		r.startTarget("w0")
		r.placeSlowly("a", tasks(1))
		asked := len(r.asked())
		r.cell.changeLeader(100 * time.Millisecond)
		r.waitCompleted("a")
		r.assertStarts(1, 1)
		r.c.Check(r.asked(), qt.HasLen, asked)
		r.c.Check(r.metric("jasmineward_advice_recalled_total"), qt.Equals, 1)
	})
}

// An inherited run of which no start was sent is started with a recalled ticket.
func TestInheritedRunIsStartedWithRecalledTicket(t *testing.T) {
	playRecall(t, func(r *recallFixture) {
		lost := make(chan struct{})
		r.cell.mu.Lock()
		r.cell.uncertain, r.cell.lost = 1, func() { close(lost) }
		r.cell.mu.Unlock()
		r.startTarget("w0")
		r.submit("a", tasks(1))
		<-lost
		r.cell.changeLeader(0)
		r.waitCompleted("a")
		r.assertStarts(1, 1)
		r.c.Check(r.withheld(withheldInherited), qt.Equals, 0)
	})
}

// Which targets are good for a step outlives the tickets: the new leader's first request
// names them first.
func TestNewLeaderAsksAboutKnownGoodTargetsFirst(t *testing.T) {
	playRecall(t, func(r *recallFixture) {
		for i := range 30 {
			r.startTarget(fmt.Sprintf("w%02d", i))
		}
		time.Sleep(time.Second)
		r.fleet.withLock(func() { r.fleet.ticketByTarget = map[string]string{"w03": "t", "w17": "t"} })
		r.placeSlowly("a", tasks(1))
		asked := len(r.asked())
		known := map[string]bool{}
		for _, answer := range r.instance.answers.list(r.cell.Clock().Reading, maxRecallBytes) {
			for id := range answer.Good {
				known[id] = true
			}
		}
		r.cell.changeLeader(4 * time.Second)
		r.waitCompleted("a")
		r.assertStarts(1, 1)
		r.c.Assert(len(r.asked()) > asked, qt.IsTrue)
		r.c.Check(known[r.asked()[asked].Targets[0]], qt.IsTrue)
	})
}

// An instance that is gone must not keep a new leader from asking the advisor, and what comes
// late is merged.
func TestGoneInstanceDelaysAdviceLittle(t *testing.T) {
	playRecall(t, func(r *recallFixture) {
		r.startTarget("w0")
		r.cell.changeLeader(0)
		began := time.Now()
		r.submit("a", tasks(1))
		r.mu.Lock()
		r.late = []RecalledAnswer{{
			Step:  graph.TaskRef{Job: "a"},
			Good:  map[string]string{"w9": "late"},
			Bad:   []string{"w8"},
			Valid: 2 * time.Second,
		}}
		r.mu.Unlock()
		r.eventually("advisor is asked", func() bool { return len(r.asked()) > 0 })
		r.c.Check(time.Since(began) < recallWait+maxDecisionInterval+50*time.Millisecond, qt.IsTrue)
		r.fleet.withLock(func() { r.fleet.runTime = time.Hour })
		time.Sleep(lateBy)
		advice := r.cell.scheduler.currentLeader.Load().advice
		r.c.Check(advice.ticket(plan.StepKey{Job: "a"}, "w9").Value, qt.Equals, "late")
		r.c.Check(advice.ticket(plan.StepKey{Job: "a"}, "w0").Value, qt.Equals, "ticket-w0")
	})
}

// The clocks of instances differ, so a recalled ticket's expiry is counted from its age and
// the sending of the call. Answers for jobs that are over are dropped, and a call in progress
// stays one.
func TestRecalledAnswersAreMerged(t *testing.T) {
	playVirtual(t, func(f *virtualFixture) {
		f.submit("a", tasks(1))
		l := f.cell.scheduler.currentLeader.Load()
		sent := time.Now()
		step := plan.StepKey{Job: "a"}
		l.advice.mu.Lock()
		l.advice.answers[step] = &plan.StepAdvice{
			Approved: map[string]plan.Ticket{"w1": {
				Value:     "newer",
				ExpiresAt: sent.Add(time.Minute),
			}},
			Requested: map[string]bool{"w1": true},
			InFlight:  true,
		}
		l.advice.mu.Unlock()
		time.Sleep(80 * time.Millisecond)
		sum := l.advice.mergeRecalled([]RecalledAnswer{{
			Step: graph.TaskRef{Job: "a"},
			Good: map[string]string{"w0": "t0", "w1": "t1"},
			Bad:  []string{"w2"},
			Age:  300 * time.Millisecond,
		}, {
			Step:    graph.TaskRef{Job: "a"},
			Good:    map[string]string{"w3": ""},
			Age:     10 * time.Second,
			Valid:   time.Second,
			Expired: true,
		}, {
			Step: graph.TaskRef{Job: "over"},
			Good: map[string]string{"w0": "t0"},
		}}, sent)
		f.c.Check(sum, qt.Equals, recallSummary{
			answers: 2,
			ended:   1,
			tickets: 2,
		})
		advice := l.advice.lookup(step)
		f.c.Check(advice.InFlight, qt.IsTrue)
		f.c.Check(advice.Requested, qt.DeepEquals, map[string]bool{"w0": true, "w1": true, "w2": true, "w3": true})
		f.c.Check(advice.Approved["w0"], qt.Equals, plan.Ticket{
			Value:     "t0",
			ExpiresAt: sent.Add(-300*time.Millisecond + 5*time.Millisecond + 2*time.Second),
		})
		f.c.Check(advice.Approved["w1"].Value, qt.Equals, "newer")
		f.c.Check(advice.Approved["w3"].ExpiresAt.Before(sent), qt.IsTrue)
		f.c.Check(l.advice.lookup(plan.StepKey{Job: "over"}), qt.IsNil)
	})
}

// An instance of the older release does not know the call. That must end no other call on its
// connection.
func TestRecallOverNetwork(t *testing.T) {
	s := newFixture(t, true, "w0")
	s.fleet.withLock(func() { s.fleet.adviceValid = time.Minute })
	s.submit("a", tasks(1))
	s.waitCompleted("a")
	cell := s.scheduler.cell
	for range 2 {
		reply, err := cell.RecallAdvice(s.ctx(), cell.Address(), waitTimeout)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(len(reply.Value) > 0, qt.IsTrue)
		s.c.Check(reply.Value[0].Step, qt.Equals, graph.TaskRef{Job: "a"})
		s.c.Check(reply.Value[0].Good, qt.DeepEquals, map[string]string{"w0": "ticket-w0"})
		_, err = group.CallAddress[Empty, Empty](s.ctx(), s.scheduler.host, cell.Address(), rpcServiceName+".Unknown", &Empty{}, waitTimeout)
		var remote rpc.ServerError
		s.c.Check(errors.As(err, &remote), qt.IsTrue, qt.Commentf("%v", err))
	}
}

package plan

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// fixture is a ledger with targets and queues of three priorities, one of which
// needs advice.
type fixture struct {
	ledger *graph.Ledger
	advice map[StepKey]*StepAdvice
	now    time.Time
	// advisorBusy means that no advice calls can be made now.
	advisorBusy bool
	// callsLeft is how many advice calls can be made now, or zero for freeCalls.
	callsLeft int
	// holds is the room held by the last decision.
	holds map[StepKey]*Hold
	// expectedEnds has the predicted ends of runs.
	expectedEnds map[graph.TaskRef]time.Time
	// usable reports whether a target is usable. All are if it is nil.
	usable func(graph.TargetID) bool
	// delayed is a task that is not to be placed yet.
	delayed graph.TaskRef
	// idleSince is from the last decision, and turn counts the decisions.
	idleSince map[graph.JobID]graph.Millis
	turn      int
	// pending, overRate and durationRatio are passed to the decisions.
	pending       map[graph.TaskRef]graph.TargetID
	overRate      func(graph.JobID) bool
	durationRatio func(string) float64
	// cold has the names of the targets that are slow after their start.
	cold map[string]bool
	// urgent is from the last decision, and keepsRoom says whether it is handed on.
	urgent    UrgentState
	keepsRoom bool
	// mayPreempt is passed to the decisions.
	mayPreempt func(graph.TaskRef) bool
}

func newFixture(targets int, limit quota.Resources) *fixture {
	f := &fixture{
		ledger: graph.NewLedger(),
		advice: map[StepKey]*StepAdvice{},
		now:    time.UnixMilli(100_000),

		keepsRoom: true,
	}
	f.ledger.Apply(graph.Command{Config: &graph.Config{
		Version: 1,
		Queues: []graph.Queue{
			newQueue("urgent", 0, nil),
			newQueue("batch", 2, nil),
			newQueue("advised", 1, &graph.AdviceTiming{
				Base:  400 * time.Millisecond,
				Each:  6 * time.Millisecond,
				Valid: 2 * time.Second,
			}),
		},
		Services: []graph.Service{{Name: "s"}},
		ClientAccounts: []graph.ClientAccount{{
			Name:  "t",
			Keys:  []string{"k"},
			Limit: limit,
		}},
	}})
	for i := range targets {
		f.ledger.Apply(graph.Command{Target: &graph.Announcement{
			ID:      graph.TargetID{ID: fmt.Sprintf("w%02d", i)},
			Service: "s",
			Capacity: quota.Resources{
				CPU:    8000,
				Memory: 8000,
			},
		}})
	}
	return f
}

func newQueue(name string, priority int, advice *graph.AdviceTiming) graph.Queue {
	return graph.Queue{
		Name:     name,
		Host:     "h",
		Prefix:   "/" + name + "/",
		Service:  "s",
		Timeout:  1000,
		Priority: priority,
		Attempts: 2,
		Stretch:  1.5,
		Advice:   advice,
	}
}

func (f *fixture) submit(queue string, id graph.JobID, steps ...graph.Step) {
	f.ledger.Apply(graph.Command{
		Time: graph.Millis(f.now.UnixMilli()),
		Submit: &graph.Submit{
			Address: graph.Address{
				Host: "h",
				Path: "/" + queue + "/x",
				Key:  "k",
			},
			ID:   id,
			Spec: graph.Spec{Steps: steps},
		},
	})
}

func (f *fixture) decide() Decision {
	var d Decision
	f.ledger.View(f.now, func(v *graph.View) { d = Decide(f.input(v)) })
	f.holds = d.Holds
	f.idleSince = d.IdleSince
	f.urgent = d.Urgent
	f.turn++
	return d
}

// input returns the input of a decision.
func (f *fixture) input(v *graph.View) Input {
	return Input{
		View:            v,
		Now:             f.now,
		Advice:          func(key StepKey) *StepAdvice { return f.advice[key] },
		ApprovalRate:    func(string) float64 { return 0.5 },
		FreeAdviceCalls: func(time.Duration) int { return f.freeAdviceCalls() },
		Holds:           f.holds,
		ExpectedEnd: func(_ graph.TargetID, ref graph.TaskRef, _ uint32) (time.Time, bool) {
			at, known := f.expectedEnds[ref]
			return at, known
		},
		Usable: func(id graph.TargetID) bool { return f.usable == nil || f.usable(id) },
		Speed:  func(graph.TargetID) float64 { return 1 },

		Delayed: func(ref graph.TaskRef) bool { return ref == f.delayed },

		Pending:       f.pending,
		OverRate:      f.overRate,
		DurationRatio: f.durationRatio,
		IdleSince:     f.idleSince,
		Turn:          f.turn,
		Urgent:        f.urgentState(),
		MayPreempt:    f.mayPreempt,
		Cold:          func(id graph.TargetID) bool { return f.cold[id.ID] },
	}
}

// urgentState returns what the last decision hands on about urgent work.
func (f *fixture) urgentState() *UrgentState {
	if !f.keepsRoom {
		return nil
	}
	return &f.urgent
}

// freeCalls is how many advice calls the fixture's advisor serves at once.
const freeCalls = 16

func (f *fixture) freeAdviceCalls() int {
	if f.advisorBusy {
		return 0
	}
	return cmp.Or(f.callsLeft, freeCalls)
}

func (f *fixture) commit(d Decision) []graph.Refusal {
	return f.ledger.Apply(graph.Command{
		Time:  graph.Millis(f.now.UnixMilli()),
		Place: &graph.Place{Groups: d.Groups},
	}).Groups
}

func newStep(count int, cpu quota.MilliCPU) graph.Step {
	return graph.Step{
		Count:    count,
		Estimate: 1000,
		Resources: quota.Resources{
			CPU:    cpu,
			Memory: 10,
		},
	}
}

// An urgent job submitted after a burst of batch jobs is placed first and gets
// the free resources.
func TestUrgentBeforeOlderBatch(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, quota.Resources{})
	for i := range 5 {
		f.submit("batch", graph.JobID(fmt.Sprintf("b%d", i)), newStep(4, 4000))
	}
	f.submit("urgent", "u", newStep(2, 4000))
	d := f.decide()
	c.Assert(len(d.Groups), qt.Equals, 2)
	for _, group := range d.Groups {
		c.Assert(group[0].Task.Job, qt.Equals, graph.JobID("u"))
	}
}

// Guards against long-running tasks with a spread limit getting stuck: once the
// approved targets hold as many tasks as allowed, advice on other targets is
// requested.
func TestSpreadLimitRequestsOtherTargets(t *testing.T) {
	c := qt.New(t)
	f := newFixture(6, quota.Resources{})
	step := newStep(3, 1000)
	step.LongRunning = true
	step.MaxPerTarget = 1
	f.submit("advised", "a", step)
	key := StepKey{Job: "a"}
	f.advice[key] = newAdvice(f.now, "w00", "w01")
	for _, refusal := range f.commit(f.decide()) {
		c.Assert(refusal, qt.Equals, graph.Refusal(""))
	}
	f.now = f.now.Add(5 * time.Second)
	d := f.decide()
	c.Assert(d.Groups, qt.HasLen, 0)
	c.Assert(d.AdviceRequests, qt.HasLen, 1)
	for _, id := range d.AdviceRequests[0].Targets {
		c.Assert(id == "w00" || id == "w01", qt.IsFalse)
	}
}

func newAdvice(now time.Time, ids ...string) *StepAdvice {
	advice := &StepAdvice{
		Approved:  map[string]Ticket{},
		Requested: map[string]bool{},
	}
	for _, id := range ids {
		advice.Requested[id] = true
		advice.Approved[id] = Ticket{
			Value:     "ticket-" + id,
			ExpiresAt: now.Add(2 * time.Second),
		}
	}
	return advice
}

// A request names no more targets than the step is likely to need and those that
// prolong the call by less than a quarter, as each one prolongs it.
func TestAdviceRequestSize(t *testing.T) {
	c := qt.New(t)
	f := newFixture(40, quota.Resources{})
	f.submit("advised", "a", newStep(4, 2000))
	d := f.decide()
	c.Assert(d.AdviceRequests, qt.HasLen, 1)
	named := time.Duration(len(d.AdviceRequests[0].Targets))
	timing := d.AdviceRequests[0].Queue.Advice
	c.Assert(named >= minTargetsPerRequest, qt.IsTrue)
	c.Assert(named*timing.Each <= timing.Base/4, qt.IsTrue)
}

// A client account that has reached its limit gets neither placements nor
// advice requests.
func TestClientAccountAtLimitRequestsNoAdvice(t *testing.T) {
	c := qt.New(t)
	f := newFixture(4, quota.Resources{CPU: 2000})
	f.submit("urgent", "u", newStep(1, 2000))
	c.Assert(f.commit(f.decide()), qt.DeepEquals, []graph.Refusal{""})
	f.submit("advised", "a", newStep(1, 2000))
	f.submit("urgent", "v", newStep(1, 2000))
	d := f.decide()
	c.Assert(d.Groups, qt.HasLen, 0)
	c.Assert(d.AdviceRequests, qt.HasLen, 0)
}

// If a gang does not fit as a whole, none of its tasks is placed and the
// resources go to work that fits.
func TestGangPlacedAllOrNothing(t *testing.T) {
	c := qt.New(t)
	f := newFixture(2, quota.Resources{})
	gang := newStep(3, 6000)
	gang.Gang = true
	f.submit("urgent", "g", gang)
	f.submit("batch", "b", newStep(2, 6000))
	d := f.decide()
	c.Assert(d.Groups, qt.HasLen, 2)
	c.Assert(d.Groups[0][0].Task.Job, qt.Equals, graph.JobID("b"))
}

// If tickets expire while their step waits for capacity, new ones are requested
// for the approved targets.
func TestExpiredTicketsAreRenewed(t *testing.T) {
	c := qt.New(t)
	f := newFixture(3, quota.Resources{})
	f.submit("advised", "a", newStep(1, 1000))
	f.advice[StepKey{Job: "a"}] = newAdvice(f.now.Add(-3*time.Second), "w01")
	d := f.decide()
	c.Assert(d.Groups, qt.HasLen, 0)
	c.Assert(d.AdviceRequests[0].Targets[0], qt.Equals, "w01")
}

// During a burst of steps, decisions create no advice requests while the advisor
// is busy, since these could not be sent and would pile up.
func TestNoAdviceRequestsWhileAdvisorBusy(t *testing.T) {
	c := qt.New(t)
	f := newFixture(30, quota.Resources{})
	for i := range 100 {
		f.submit("advised", graph.JobID(fmt.Sprint(i)), newStep(2, 2000))
	}
	f.advisorBusy = true
	c.Check(f.decide().AdviceRequests, qt.HasLen, 0)
	f.advisorBusy = false
	c.Check(f.decide().AdviceRequests, qt.HasLen, freeCalls)
}

// Checks the reasons reported for runnable tasks that stay waiting.
func TestWaitReasons(t *testing.T) {
	c := qt.New(t)
	f := newFixture(1, quota.Resources{CPU: 6000})
	f.submit("urgent", "a", newStep(4, 2000))
	f.submit("advised", "b", newStep(1, 1000))
	d := f.decide()
	c.Check(d.WaitReasons, qt.DeepEquals, map[StepKey]WaitReason{
		{Job: "a"}: ReasonClientAccountLimit,
		{Job: "b"}: ReasonClientAccountLimit,
	})
	f = newFixture(1, quota.Resources{})
	f.submit("urgent", "a", newStep(5, 2000))
	f.submit("advised", "b", newStep(1, 1000))
	d = f.decide()
	c.Check(d.WaitReasons, qt.DeepEquals, map[StepKey]WaitReason{
		{Job: "a"}: ReasonNoCapacity,
		{Job: "b"}: ReasonNoAdvice,
	})
}

// Many small steps submitted at the same time request advice on different
// targets. Otherwise the first step would take the capacity of the approved
// targets and the others would find none left.
func TestStepsRequestDifferentTargets(t *testing.T) {
	c := qt.New(t)
	f := newFixture(60, quota.Resources{})
	const steps = 12
	for i := range steps {
		f.submit("advised", graph.JobID(fmt.Sprint(i)), newStep(2, 4000))
	}
	requests := map[string]int{}
	for _, request := range f.decide().AdviceRequests {
		for _, id := range request.Targets {
			requests[id]++
		}
	}
	maxRequests := 0
	for _, n := range requests {
		maxRequests = max(maxRequests, n)
	}
	c.Check(len(requests) > 20, qt.IsTrue, qt.Commentf("%d targets", len(requests)))
	c.Check(maxRequests < steps, qt.IsTrue)
}

// A client account submits urgent jobs during a wave of batch work. Batch work
// leaves a fraction of the client account's limit free while the client account
// has urgent work, and uses the whole limit otherwise.
func TestBatchLeavesLimitForUrgentWork(t *testing.T) {
	c := qt.New(t)
	limit := quota.Resources{CPU: 10_000}
	f := newFixture(10, limit)
	f.submit("batch", "b", newStep(10, 1000))
	c.Check(f.decide().Groups, qt.HasLen, 10)
	f.submit("urgent", "u", newStep(1, 1000))
	f.commit(f.decide())
	f.submit("urgent", "v", newStep(2, 1000))
	d := f.decide()
	c.Assert(d.Groups, qt.HasLen, 2)
	for i, refusal := range f.commit(d) {
		c.Check(refusal, qt.Equals, graph.Refusal(""))
		c.Check(d.Groups[i][0].Task.Job, qt.Equals, graph.JobID("v"))
	}
}

// A single task that needs nearly all of its client account's limit, more than
// is left beside the reserve for urgent work, is placed once nothing else of
// the client account is running.
func TestTaskAsLargeAsClientAccountLimit(t *testing.T) {
	f := newFixture(1, quota.Resources{CPU: 7000})
	f.submit("urgent", "u", newStep(1, 7000))
	f.submit("batch", "b", newStep(1, 7000))
	f.commit(f.decide())
	f.ledger.Apply(graph.Command{Events: &graph.Events{Ends: []graph.RunEnd{{
		Target:  graph.TargetID{ID: "w00"},
		Task:    graph.TaskRef{Job: "u"},
		Run:     1,
		Outcome: graph.OutcomeDone,
	}}}})
	f.submit("urgent", "v", newStep(1, 9000))
	qt.Check(t, f.decide().Groups, qt.HasLen, 1)
}

// If a target fails every task it starts, a failed task is retried on another
// target instead of using up its attempts there.
func TestFailedTaskRetriesOnOtherTarget(t *testing.T) {
	c := qt.New(t)
	f := newFixture(3, quota.Resources{})
	f.submit("urgent", "a", newStep(1, 2000))
	d := f.decide()
	f.commit(d)
	first := d.Groups[0][0].Target
	f.ledger.Apply(graph.Command{Events: &graph.Events{Ends: []graph.RunEnd{{
		Target:  first,
		Task:    graph.TaskRef{Job: "a"},
		Run:     1,
		Outcome: graph.OutcomeFailed,
	}}}})
	d = f.decide()
	c.Assert(d.Groups, qt.HasLen, 1)
	c.Check(d.Groups[0][0].Target, qt.Not(qt.Equals), first)
}

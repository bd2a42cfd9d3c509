package plan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// site is a ledger with targets and queues of two priorities, one of which
// needs advice.
type site struct {
	ledger *graph.Ledger
	advice map[StepKey]*Advised
	now    time.Time
	// deaf tells that the advisor can't be asked.
	deaf bool
}

func newSite(targets int, limit quota.Room) *site {
	s := &site{
		ledger: graph.NewLedger(),
		advice: map[StepKey]*Advised{},
		now:    time.UnixMilli(100_000),
	}
	s.ledger.Apply(graph.Command{Config: &graph.Config{
		Version: 1,
		Queues: []graph.Queue{
			queue("urgent", 0, nil),
			queue("batch", 2, nil),
			queue("advised", 1, &graph.Advice{
				Base:  400 * time.Millisecond,
				Each:  6 * time.Millisecond,
				Valid: 2 * time.Second,
			}),
		},
		Services: []graph.Service{{Name: "s"}},
		Tenants: []graph.Tenant{{
			Name:  "t",
			Keys:  []string{"k"},
			Limit: limit,
		}},
	}})
	for i := range targets {
		s.ledger.Apply(graph.Command{Target: &graph.Announce{
			ID:      graph.TargetID{ID: fmt.Sprintf("w%02d", i)},
			Service: "s",
			Capacity: quota.Room{
				CPU:    8000,
				Memory: 8000,
			},
		}})
	}
	return s
}

func queue(name string, priority int, advice *graph.Advice) graph.Queue {
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

func (s *site) submit(queue string, id graph.JobID, steps ...graph.Step) {
	s.ledger.Apply(graph.Command{
		Time: graph.Millis(s.now.UnixMilli()),
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

func (s *site) decide() Decision {
	var d Decision
	s.ledger.View(s.now, func(v *graph.View) {
		d = Decide(Input{
			View:   v,
			Now:    s.now,
			Advice: func(key StepKey) *Advised { return s.advice[key] },
			Share:  func(string) float64 { return 0.5 },
			MayAsk: func(time.Duration) bool { return !s.deaf },
			Usable: func(graph.TargetID) bool { return true },
			Speed:  func(graph.TargetID) float64 { return 1 },
		})
	})
	return d
}

func (s *site) commit(d Decision) []graph.Refusal {
	return s.ledger.Apply(graph.Command{
		Time:  graph.Millis(s.now.UnixMilli()),
		Place: &graph.Place{Groups: d.Groups},
	}).Groups
}

func step(count int, cpu quota.MilliCPU) graph.Step {
	return graph.Step{
		Count:    count,
		Estimate: 1000,
		Room: quota.Room{
			CPU:    cpu,
			Memory: 10,
		},
	}
}

// Pattern: a burst of batch work is queued when an urgent job comes. The
// urgent job takes the room that is left.
func TestUrgentBeforeOlderBatch(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, quota.Room{})
	for i := range 5 {
		s.submit("batch", graph.JobID(fmt.Sprintf("b%d", i)), step(4, 4000))
	}
	s.submit("urgent", "u", step(2, 4000))
	d := s.decide()
	c.Assert(len(d.Groups), qt.Equals, 2)
	for _, group := range d.Groups {
		c.Assert(group[0].Task.Job, qt.Equals, graph.JobID("u"))
	}
}

// Pattern: lasting tasks with a spread limit. Once the advised targets hold
// as many as they may, others are asked about.
func TestSpreadLimitAsksOthers(t *testing.T) {
	c := qt.New(t)
	s := newSite(6, quota.Room{})
	spread := step(3, 1000)
	spread.Lasting = true
	spread.Spread = 1
	s.submit("advised", "a", spread)
	key := StepKey{Job: "a"}
	s.advice[key] = advised(s.now, "w00", "w01")
	for _, refusal := range s.commit(s.decide()) {
		c.Assert(refusal, qt.Equals, graph.Refusal(""))
	}
	s.now = s.now.Add(5 * time.Second)
	d := s.decide()
	c.Assert(d.Groups, qt.HasLen, 0)
	c.Assert(d.Questions, qt.HasLen, 1)
	for _, id := range d.Questions[0].Targets {
		c.Assert(id == "w00" || id == "w01", qt.IsFalse)
	}
}

func advised(now time.Time, ids ...string) *Advised {
	a := &Advised{
		Good:  map[string]Ticket{},
		Asked: map[string]bool{},
	}
	for _, id := range ids {
		a.Asked[id] = true
		a.Good[id] = Ticket{
			Value: "ticket-" + id,
			Until: now.Add(2 * time.Second),
		}
	}
	return a
}

// Pattern: many small steps on a slow advisor. A call names no more targets
// than the step is likely to need.
func TestQuestionsAreSmall(t *testing.T) {
	c := qt.New(t)
	s := newSite(40, quota.Room{})
	s.submit("advised", "a", step(4, 2000))
	d := s.decide()
	c.Assert(d.Questions, qt.HasLen, 1)
	c.Assert(len(d.Questions[0].Targets), qt.Equals, leastAsked)
}

// Pattern: a tenant at its upper limit. Neither placements nor questions are
// made for it, and others go on.
func TestLimitAsksNothing(t *testing.T) {
	c := qt.New(t)
	s := newSite(4, quota.Room{CPU: 2000})
	s.submit("urgent", "u", step(1, 2000))
	c.Assert(s.commit(s.decide()), qt.DeepEquals, []graph.Refusal{""})
	s.submit("advised", "a", step(1, 2000))
	s.submit("urgent", "v", step(1, 2000))
	d := s.decide()
	c.Assert(d.Groups, qt.HasLen, 0)
	c.Assert(d.Questions, qt.HasLen, 0)
}

// Pattern: a gang that does not fit whole. None of its tasks is placed, and
// the room goes to what fits.
func TestGangWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	s := newSite(2, quota.Room{})
	gang := step(3, 6000)
	gang.Gang = true
	s.submit("urgent", "g", gang)
	s.submit("batch", "b", step(2, 6000))
	d := s.decide()
	c.Assert(d.Groups, qt.HasLen, 2)
	c.Assert(d.Groups[0][0].Task.Job, qt.Equals, graph.JobID("b"))
}

// Pattern: tickets that run out while their step waits for room are asked for
// again, of the targets known to be good.
func TestTicketsAreRenewed(t *testing.T) {
	c := qt.New(t)
	s := newSite(3, quota.Room{})
	s.submit("advised", "a", step(1, 1000))
	s.advice[StepKey{Job: "a"}] = advised(s.now.Add(-3*time.Second), "w01")
	d := s.decide()
	c.Assert(d.Groups, qt.HasLen, 0)
	c.Assert(d.Questions[0].Targets[0], qt.Equals, "w01")
}

// Pattern: a burst of steps while the advisor has no time. Decisions don't pile
// questions up that nobody can put.
func TestNoQuestionsForABusyAdvisor(t *testing.T) {
	c := qt.New(t)
	s := newSite(30, quota.Room{})
	for i := range 100 {
		s.submit("advised", graph.JobID(fmt.Sprint(i)), step(2, 2000))
	}
	s.deaf = true
	c.Check(s.decide().Questions, qt.HasLen, 0)
	s.deaf = false
	c.Check(s.decide().Questions, qt.HasLen, maxQuestions)
}

// TestWaits tells why tasks wait whose turn has come.
func TestWaits(t *testing.T) {
	c := qt.New(t)
	s := newSite(1, quota.Room{CPU: 6000})
	s.submit("urgent", "a", step(4, 2000))
	s.submit("advised", "b", step(1, 1000))
	d := s.decide()
	c.Check(d.Waits, qt.DeepEquals, map[StepKey]Reason{
		{Job: "a"}: WaitsLimit,
		{Job: "b"}: WaitsLimit,
	})
	s = newSite(1, quota.Room{})
	s.submit("urgent", "a", step(5, 2000))
	s.submit("advised", "b", step(1, 1000))
	d = s.decide()
	c.Check(d.Waits, qt.DeepEquals, map[StepKey]Reason{
		{Job: "a"}: WaitsRoom,
		{Job: "b"}: WaitsAdvice,
	})
}

// Pattern: many small steps come at the same time. They ask about different
// targets, or all but the first would find the room of their answers taken.
func TestStepsAskAboutDifferentTargets(t *testing.T) {
	c := qt.New(t)
	s := newSite(60, quota.Room{})
	const steps = 12
	for i := range steps {
		s.submit("advised", graph.JobID(fmt.Sprint(i)), step(2, 4000))
	}
	asked := map[string]int{}
	for _, q := range s.decide().Questions {
		for _, id := range q.Targets {
			asked[id]++
		}
	}
	most := 0
	for _, n := range asked {
		most = max(most, n)
	}
	c.Check(len(asked) > 20, qt.IsTrue, qt.Commentf("%d targets", len(asked)))
	c.Check(most < steps, qt.IsTrue)
}

// Pattern: a tenant's batch work comes in a wave, and its urgent work between.
// Batch work leaves a part of the tenant's limit free while there is urgent
// work, but uses all of it while there is none.
func TestBatchLeavesLimitForUrgentWork(t *testing.T) {
	c := qt.New(t)
	limit := quota.Room{CPU: 10_000}
	s := newSite(10, limit)
	s.submit("batch", "b", step(10, 1000))
	c.Check(s.decide().Groups, qt.HasLen, 10)
	s.submit("urgent", "u", step(1, 1000))
	s.commit(s.decide())
	s.submit("urgent", "v", step(2, 1000))
	d := s.decide()
	c.Assert(d.Groups, qt.HasLen, 2)
	for i, refusal := range s.commit(d) {
		c.Check(refusal, qt.Equals, graph.Refusal(""))
		c.Check(d.Groups[i][0].Task.Job, qt.Equals, graph.JobID("v"))
	}
}

// Pattern: a single task takes nearly all that its tenant may have. It runs
// once nothing else does.
func TestTaskAsLargeAsTheLimit(t *testing.T) {
	s := newSite(1, quota.Room{CPU: 7000})
	s.submit("urgent", "u", step(1, 7000))
	s.submit("batch", "b", step(1, 7000))
	s.commit(s.decide())
	s.ledger.Apply(graph.Command{Events: &graph.Events{Ends: []graph.End{{
		Target: graph.TargetID{ID: "w00"},
		Task:   graph.TaskRef{Job: "u"},
		Run:    1,
		How:    graph.HowDone,
	}}}})
	s.submit("urgent", "v", step(1, 9000))
	qt.Check(t, s.decide().Groups, qt.HasLen, 1)
}

// Pattern: a target fails all that it starts. A task that failed there is tried
// elsewhere, and does not use its attempts up on it.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	s := newSite(3, quota.Room{})
	s.submit("urgent", "a", step(1, 2000))
	d := s.decide()
	s.commit(d)
	first := d.Groups[0][0].Target
	s.ledger.Apply(graph.Command{Events: &graph.Events{Ends: []graph.End{{
		Target: first,
		Task:   graph.TaskRef{Job: "a"},
		Run:    1,
		How:    graph.HowFailed,
	}}}})
	d = s.decide()
	c.Assert(d.Groups, qt.HasLen, 1)
	c.Check(d.Groups[0][0].Target, qt.Not(qt.Equals), first)
}

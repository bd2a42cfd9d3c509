package push

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

const patience = 10 * time.Second

func TestStepsInOrder(t *testing.T) {
	s := newScene(t, false, "w0", "w1")
	second := tasks(3)
	second.Depends = []int{0}
	s.submit("a", tasks(3), second)
	s.completed("a")
	s.fleet.read(func() {
		s.c.Assert(s.fleet.starts, qt.HasLen, 6)
		for i, start := range s.fleet.starts {
			s.c.Assert(start.Task.Step, qt.Equals, i/3)
		}
	})
	s.never()
}

// A renewal's answer between the commit of a placement and its order must not
// bring a second start, without the ticket.
func TestEachStartIsSentOnce(t *testing.T) {
	s := newScene(t, true, "w0", "w1")
	for i := range 40 {
		s.submit(graph.JobID(string(rune('a'+i%26))+string(rune('a'+i/26))), tasks(2))
	}
	s.eventually(patience, "all starts sent", func() bool {
		n := 0
		s.fleet.read(func() { n = len(s.fleet.starts) })
		return n >= 80
	})
	s.fleet.read(func() {
		s.c.Assert(s.fleet.refused, qt.Equals, 0)
		s.c.Assert(s.fleet.starts, qt.HasLen, 80)
	})
	s.never()
}

// A target that falls silent keeps its runs until its lease is surely over;
// then they run elsewhere.
func TestSilentTargetIsGivenUp(t *testing.T) {
	s := newScene(t, false, "w0")
	lasting := tasks(1)
	lasting.Lasting = true
	s.fleet.work = time.Hour
	s.submit("a", lasting)
	s.eventually(patience, "task runs", func() bool { return s.runs("w0") == 1 })
	s.fleet.read(func() { s.fleet.targets["w0"].silent = true })
	silent := time.Now()
	s.announce("w1", 1)
	s.eventually(patience, "task runs elsewhere", func() bool { return s.runs("w1") == 1 })
	// The last renewal was sent at most one wait before the silence.
	least := testTerms().TTL - testTerms().Wait
	s.c.Assert(time.Since(silent) > least, qt.IsTrue)
	s.never()
}

func (s *scene) runs(target string) int {
	n := 0
	s.fleet.read(func() {
		if t := s.fleet.targets[target]; t != nil {
			n = len(t.running)
		}
	})
	return n
}

// Starts that get no answer and are carried out late run once all the same.
func TestLateStartsRunOnce(t *testing.T) {
	s := newScene(t, false, "w0", "w1")
	s.fleet.work = 300 * time.Millisecond
	s.fleet.read(func() {
		s.fleet.targets["w0"].swallow = 5
		s.fleet.targets["w1"].swallow = 5
	})
	for _, id := range []graph.JobID{"a", "b", "c"} {
		s.submit(id, tasks(2))
	}
	for _, id := range []graph.JobID{"a", "b", "c"} {
		s.eventually(2*patience, "job completed", func() bool {
			return s.state(id) == graph.StateCompleted
		})
	}
	s.never()
}

// The room of a run that is being stopped is free only once its end is listed,
// though it is in neither list for a while.
func TestStoppedRunHoldsItsRoom(t *testing.T) {
	s := newScene(t, false, "w0")
	s.fleet.work = time.Hour
	s.fleet.stopTakes = 300 * time.Millisecond
	s.submit("a", tasks(4))
	s.eventually(patience, "tasks run", func() bool { return s.runs("w0") == 4 })
	_, fault := s.part.Cancel(s.ctx(), &Query{
		Address: s.address(),
		ID:      "a",
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.submit("b", tasks(4))
	s.eventually(patience, "the next job runs", func() bool {
		most := 0
		started := false
		s.fleet.read(func() {
			most = len(s.fleet.targets["w0"].running)
			for ref := range s.fleet.targets["w0"].running {
				started = started || ref.Job == "b"
			}
		})
		s.c.Assert(most <= 4, qt.IsTrue, qt.Commentf("%d run in the room of 4", most))
		return started
	})
}

// A new lifetime under an old id ends the runs of the old one at once.
func TestNewLifetimeEndsTheOld(t *testing.T) {
	s := newScene(t, false, "w0")
	s.fleet.work = time.Hour
	s.submit("a", tasks(2))
	s.eventually(patience, "tasks run", func() bool { return s.runs("w0") == 2 })
	s.announce("w0", 2)
	s.eventually(patience, "tasks run again", func() bool { return s.runs("w0") == 2 })
	s.never()
}

// A heartbeat of an ended lifetime names no target.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	s := newScene(t, false, "w0")
	id := graph.TargetID{
		ID:   "w0",
		Born: 1,
	}
	s.c.Assert(s.part.Leave(s.ctx(), id) == nil, qt.IsTrue)
	time.Sleep(300 * time.Millisecond)
	_, known := s.part.ledger.Target(id)
	s.c.Assert(known, qt.IsFalse)
}

// A target that has seen a higher token gets no more orders of this term.
func TestFencedLeaderStopsOrdering(t *testing.T) {
	s := newScene(t, false, "w0")
	s.fleet.read(func() { s.fleet.targets["w0"].token = 1 << 40 })
	s.submit("a", tasks(1))
	s.eventually(patience, "leader is fenced", func() bool {
		return s.part.lead.Load().fenced.Load()
	})
	s.c.Assert(s.runs("w0"), qt.Equals, 0)
}

// Pattern: long calls for advice fill all the time that instances have. Short
// calls still find an instance, and long ones are put off.
func TestShortAdviceIsNotBehindLong(t *testing.T) {
	c := qt.New(t)
	s := newScene(t, false)
	now := time.Now()
	host := s.part.host
	for _, other := range []string{"127.0.0.2:1", "127.0.0.2:2", "127.0.0.2:3"} {
		host.Heard(other)
	}
	a := newAdvice(s.part.lead.Load())
	long := 0
	for {
		address, _ := a.pick(600 * time.Millisecond)
		if address == "" {
			break
		}
		long++
	}
	c.Assert(long > 3, qt.IsTrue)
	address, wait := a.pick(20 * time.Millisecond)
	c.Assert(address, qt.Not(qt.Equals), "")
	c.Assert(wait < 50*time.Millisecond, qt.IsTrue, qt.Commentf("waits %s since %s", wait, now))
}

// A run that is in the log but whose start is not yet sent is left to the
// goroutine that sends it, with the ticket.
func TestPlacedRunIsNotStartedByRenewal(t *testing.T) {
	s := newScene(t, true, "w0")
	// A driver whose own renewals do not run: they would forget a run that the
	// ledger does not have.
	d := newDriver(s.part.lead.Load(), graph.Target{
		Announce: graph.Announce{
			ID: graph.TargetID{
				ID:   "w0",
				Born: 1,
			},
		},
	})
	order := graph.Order{
		Task:   graph.TaskRef{Job: "a"},
		Run:    1,
		Wanted: true,
	}
	key := runKey{
		task: order.Task,
		run:  order.Run,
	}
	s.c.Assert(d.settle(order, key, false, time.Now()), qt.IsFalse)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.c.Assert(d.runs[key].state, qt.Equals, runPlaced)
}

// Pattern: one target lets what it starts stand still. Its task is stopped and
// runs elsewhere, once its siblings tell how long it should take.
func TestStalledTaskIsMoved(t *testing.T) {
	s := newScene(t, false, "w0")
	s.fleet.work = 200 * time.Millisecond
	s.fleet.read(func() {
		s.fleet.hang = graph.TaskRef{
			Job:   "a",
			Index: 3,
		}
	})
	s.submit("a", tasks(4))
	s.completed("a")
	s.never()
}

// Pattern: answers of targets get lost. A task's end is known soon after it
// should have come, not only once a whole renewal has run out of time.
func TestLostListingIsMissedSoon(t *testing.T) {
	terms := testTerms()
	terms.Wait = 1500 * time.Millisecond
	s := newSceneWith(t, terms, false, "w0")
	s.fleet.work = 900 * time.Millisecond
	s.fleet.read(func() { s.fleet.targets["w0"].lose = 1 })
	s.submit("a", tasks(1))
	began := time.Now()
	s.completed("a")
	s.c.Assert(time.Since(began) < s.fleet.work+600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	s.never()
}

// Metrics tell what the leader did, and name no job, tenant or target.
func TestMetrics(t *testing.T) {
	s := newScene(t, true, "w0")
	s.submit("a", tasks(2))
	s.completed("a")
	// The driver counts an end once its commit has returned, which may be after
	// the job is seen to be completed.
	text := ""
	s.eventually(patience, "both ends counted", func() bool {
		recorder := httptest.NewRecorder()
		s.part.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		text = recorder.Body.String()
		return strings.Contains(text, `jasmineward_runs_ended_total{how="done"} 2`)
	})
	for _, line := range []string{
		"jasmineward_leading 1",
		`jasmineward_submits_total{refusal=""} 1`,
		`jasmineward_orders_total{outcome="taken"} 2`,
		`jasmineward_runs_ended_total{how="done"} 2`,
		"jasmineward_first_start_seconds_count 1",
		"jasmineward_jobs_live 0",
		"jasmineward_configuration_version 1",
		"jasmineward_elections_won_total 1",
		"jasmineward_pending_age_seconds 0",
		"jasmineward_cores 4",
		"jasmineward_cores_used 0",
		"jasmineward_targets_silent 0",
		"jasmineward_configuration_age_seconds ",
		"jasmineward_log_sync_seconds_count",
		`jasmineward_calls_to_targets_total{way="direct"}`,
	} {
		s.c.Check(text, qt.Contains, line)
	}
	s.c.Check(text, qt.Not(qt.Contains), "w0")
}

// A job that no target could ever run is refused at once, with a time to come
// back, and does not wait for its deadline.
func TestNeverFitsIsRefusedAtOnce(t *testing.T) {
	s := newScene(t, false, "w0")
	wide := tasks(1)
	wide.Room.CPU = 5000
	labelled := tasks(1)
	labelled.Label = "none"
	for id, step := range map[graph.JobID]graph.Step{
		"a": wide,
		"b": labelled,
	} {
		answer, fault := s.part.Submit(s.ctx(), &graph.Submit{
			Address: s.address(),
			ID:      id,
			Spec:    graph.Spec{Steps: []graph.Step{tasks(1), step}},
		})
		s.c.Assert(fault == nil, qt.IsTrue)
		s.c.Assert(answer.Refusal, qt.Equals, graph.RefusedNeverFits)
		s.c.Assert(answer.RetryAfter > 0, qt.IsTrue)
	}
	_, fault := s.part.State(s.ctx(), &Query{
		Address: s.address(),
		ID:      "a",
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.fleet.read(func() { s.c.Assert(s.fleet.starts, qt.HasLen, 0) })
}

// Another lifetime at the address shows that the one before is gone: its runs
// go on elsewhere before its lease would have ended.
func TestOtherLifetimeAtAddress(t *testing.T) {
	s := newScene(t, false, "w0")
	s.fleet.work = time.Hour
	s.submit("a", tasks(2))
	s.eventually(patience, "tasks run", func() bool { return s.runs("w0") == 2 })
	s.announce("w1", 1)
	born := time.Now()
	s.fleet.read(func() {
		s.fleet.targets["w0"] = &fakeTarget{
			born:     born,
			lifetime: 2,
			running:  map[graph.TaskRef]*fakeRun{},
			highest:  map[graph.TaskRef]uint32{},
		}
	})
	s.eventually(testTerms().TTL, "tasks run elsewhere", func() bool { return s.runs("w1") == 2 })
	s.never()
}

// Pattern: a target is cut off with tasks that may run twice. They run beside
// themselves soon, and do not wait until the lease of the target is over.
func TestCopiesOfSilentTarget(t *testing.T) {
	terms := testTerms()
	terms.TTL = 8 * time.Second
	s := newSceneWith(t, terms, false, "w0")
	s.fleet.work = 900 * time.Millisecond
	step := tasks(2)
	step.Copies = true
	s.submit("a", step)
	s.eventually(patience, "tasks run", func() bool { return s.runs("w0") == 2 })
	s.fleet.read(func() { s.fleet.targets["w0"].silent = true })
	s.announce("w1", 1)
	began := time.Now()
	s.completed("a")
	s.c.Assert(time.Since(began) < terms.TTL/2, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	s.never()
}

// Pattern: a start gets no answer in a burst, where others are answered within
// milliseconds. It is sent again at once, not after the longest wait.
func TestLostStartIsSentAgainSoon(t *testing.T) {
	terms := testTerms()
	terms.Call = 2 * time.Second
	s := newSceneWith(t, terms, false, "w0")
	s.submit("a", tasks(3))
	s.completed("a")
	s.fleet.read(func() {
		s.fleet.targets["w0"].swallow = 1
		s.fleet.lateBy = 2 * terms.Call
	})
	began := time.Now()
	s.submit("b", tasks(1))
	s.completed("b")
	s.c.Assert(time.Since(began) < terms.Call, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	s.never()
}

// A leader that was suspended finds its calls lost when it wakes up. It must
// not take that for the silence of its targets.
func TestDeposedLeaderEndsNoLifetime(t *testing.T) {
	s := newScene(t, false, "w0")
	l := s.part.lead.Load()
	d := newDriver(l, s.part.ledger.Targets()[0])
	d.leased = time.Now().Add(-time.Second)
	d.beatAt = d.leased
	l.fenced.Store(true)
	s.c.Assert(d.failed(ErrUnanswered), qt.IsFalse)
	s.c.Assert(d.unanswered(), qt.IsFalse)
	s.c.Assert(s.part.ledger.Targets(), qt.HasLen, 1)
}

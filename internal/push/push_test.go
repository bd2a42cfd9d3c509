package push

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/admit"
	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/pkg/pace"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const waitTimeout = 10 * time.Second

func TestStepsInOrder(t *testing.T) {
	s := newFixture(t, false, "w0", "w1")
	second := tasks(3)
	second.DependsOn = []int{0}
	s.submit("a", tasks(3), second)
	s.waitCompleted("a")
	s.fleet.withLock(func() {
		s.c.Assert(s.fleet.starts, qt.HasLen, 6)
		for i, start := range s.fleet.starts {
			s.c.Assert(start.Task.Step, qt.Equals, i/3)
		}
	})
	s.assertNoDoubleRuns()
}

// A renewal that is answered between the commit of a placement and the sending of
// its start must not cause a second start without the ticket.
func TestStartIsSentOncePerRun(t *testing.T) {
	s := newFixture(t, true, "w0", "w1")
	for i := range 40 {
		s.submit(graph.JobID(string(rune('a'+i%26))+string(rune('a'+i/26))), tasks(2))
	}
	s.eventually(waitTimeout, "all starts sent", func() bool {
		n := 0
		s.fleet.withLock(func() { n = len(s.fleet.starts) })
		return n >= 80
	})
	s.fleet.withLock(func() {
		s.c.Assert(s.fleet.refused, qt.Equals, 0)
		s.c.Assert(s.fleet.starts, qt.HasLen, 80)
	})
	s.assertNoDoubleRuns()
}

// The runs of a target that stops answering must not start on another target until
// the lease has certainly expired.
func TestSilentTargetRunsMoveAfterLeaseExpiry(t *testing.T) {
	s := newFixture(t, false, "w0")
	longRunning := tasks(1)
	longRunning.LongRunning = true
	s.fleet.runTime = time.Hour
	s.submit("a", longRunning)
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.fleet.withLock(func() { s.fleet.targets["w0"].silent = true })
	silentSince := time.Now()
	s.startDefaultTarget("w1", 1)
	s.eventually(waitTimeout, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	// The last renewal was sent at most one wait before the target stopped
	// answering.
	minWait := testTiming().TTL - testTiming().RenewalWait
	s.c.Assert(time.Since(silentSince) > minWait, qt.IsTrue)
	s.assertNoDoubleRuns()
}

func (s *fixture) runCount(target string) int {
	n := 0
	s.fleet.withLock(func() {
		if t := s.fleet.targets[target]; t != nil {
			n = len(t.running)
		}
	})
	return n
}

// Starts that get no answer and are carried out late must not lead to double
// runs.
func TestLateStartsRunOnce(t *testing.T) {
	s := newFixture(t, false, "w0", "w1")
	s.fleet.runTime = 300 * time.Millisecond
	s.fleet.withLock(func() {
		s.fleet.targets["w0"].delayedStarts = 5
		s.fleet.targets["w1"].delayedStarts = 5
	})
	for _, id := range []graph.JobID{"a", "b", "c"} {
		s.submit(id, tasks(2))
	}
	for _, id := range []graph.JobID{"a", "b", "c"} {
		s.eventually(2*waitTimeout, "job completed", func() bool {
			return s.state(id) == graph.StateCompleted
		})
	}
	s.assertNoDoubleRuns()
}

// The capacity of a run that is being stopped is freed only when its end is
// listed, although the run is in neither list until then.
func TestStoppingRunKeepsItsCapacity(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.fleet.stopDelay = 300 * time.Millisecond
	s.submit("a", tasks(4))
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 4 })
	_, fault := s.scheduler.Cancel(s.ctx(), &JobQuery{
		Address: s.address(),
		ID:      "a",
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.submit("b", tasks(4))
	s.eventually(waitTimeout, "the next job runs", func() bool {
		running := 0
		started := false
		s.fleet.withLock(func() {
			running = len(s.fleet.targets["w0"].running)
			for ref := range s.fleet.targets["w0"].running {
				started = started || ref.Job == "b"
			}
		})
		s.c.Assert(running <= 4, qt.IsTrue, qt.Commentf("%d tasks run in a capacity of 4", running))
		return started
	})
}

// A new incarnation with the same target id ends the runs of the old
// incarnation at once.
func TestNewIncarnationEndsOldRuns(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(2))
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 2 })
	s.startDefaultTarget("w0", 2)
	s.eventually(waitTimeout, "tasks run again", func() bool { return s.runCount("w0") == 2 })
	s.assertNoDoubleRuns()
}

// Heartbeats from an incarnation that has left must not add its target again.
func TestHeartbeatOfEndedIncarnationIsIgnored(t *testing.T) {
	s := newFixture(t, false, "w0")
	id := graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}
	s.c.Assert(s.scheduler.ForwardLeave(s.ctx(), id) == nil, qt.IsTrue)
	time.Sleep(300 * time.Millisecond)
	_, known := s.scheduler.ledger.Target(id)
	s.c.Assert(known, qt.IsFalse)
}

// A leader sends no more orders after a target has seen a higher fencing token.
func TestFencedLeaderSendsNoOrders(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.withLock(func() { s.fleet.targets["w0"].token = 1 << 40 })
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "leader is fenced", func() bool {
		return s.scheduler.currentLeader.Load().fenced.Load()
	})
	s.c.Assert(s.runCount("w0"), qt.Equals, 0)
}

// While the log is slow, a target sends its first heartbeat again and again. The
// leader must commit its announcement once, or the log gets slower still.
func TestRepeatedHeartbeatsAnnounceOnce(t *testing.T) {
	s := newFixture(t, false, "w0")
	l := s.scheduler.currentLeader.Load()
	heartbeat := &Heartbeat{
		Announce: graph.Announcement{
			ID:      graph.TargetID{ID: "w1"},
			Service: "s",
			Address: "w1",
		},
		Clock: Clock(time.Second),
	}
	done, first := l.announcing.claim(heartbeat.Announce.ID)
	s.c.Assert(first, qt.IsTrue)
	s.c.Assert(done, qt.IsNil)
	var waiting sync.WaitGroup
	for range 20 {
		waiting.Go(func() {
			s.c.Check(l.handleHeartbeat(s.ctx(), heartbeat) == nil, qt.IsTrue)
		})
	}
	time.Sleep(50 * time.Millisecond)
	_, known := s.scheduler.ledger.Target(heartbeat.Announce.ID)
	s.c.Check(known, qt.IsFalse)
	before := s.scheduler.host.Replica().Status().Commit
	s.c.Assert(l.announce(s.ctx(), heartbeat) == nil, qt.IsTrue)
	l.announcing.release(heartbeat.Announce.ID)
	waiting.Wait()
	s.c.Check(s.scheduler.host.Replica().Status().Commit-before, qt.Equals, uint64(1))
}

// A decision takes locks of the leader while it reads the ledger. What read the ledger
// with one of these locks held stopped the leader for good: with a command waiting to be
// applied, which keeps new readers out, each waited for the other.
func TestDecisionIsNotBlocked(t *testing.T) {
	step := plan.StepKey{Job: "ended"}
	w0 := graph.TargetID{
		ID:          "w0",
		Incarnation: 1,
	}
	cases := []struct {
		name string
		// byOther reads the ledger on another goroutine, and byDecision takes the
		// same lock during a decision.
		byOther    func(*leader)
		byDecision func(*leader)
	}{
		{
			name: "new driver",
			byOther: func(l *leader) {
				l.ensureDriver(graph.Target{
					Announcement: graph.Announcement{ID: graph.TargetID{ID: "w1"}},
				})
			},
			byDecision: func(l *leader) { l.usable(graph.TargetID{ID: "w0"}, time.Now()) },
		},
		{
			name: "removal of admissions",
			byOther: func(l *leader) {
				l.admissions.admitted("ended", admit.Job{ID: "ended"}, time.Now())
				l.admissions.forget(func(id graph.JobID) bool { return !l.scheduler.ledger.IsLive(id) }, time.Now())
			},
			byDecision: func(l *leader) { l.admissions.isOverRate("ended") },
		},
		{
			name: "removal of advice",
			byOther: func(l *leader) {
				l.advice.mu.Lock()
				l.advice.answers[step] = &plan.StepAdvice{}
				l.advice.mu.Unlock()
				l.advice.removeEndedJobs()
			},
			byDecision: func(l *leader) { l.advice.lookup(step) },
		},
		{
			name: "removal of ratings",
			byOther: func(l *leader) {
				l.rater.Started(step, 0, graph.TargetID{ID: "w0"}, time.Now())
				l.rater.Forget(func(plan.StepKey) bool { return !l.scheduler.ledger.IsLive("ended") })
			},
			byDecision: func(l *leader) { l.rater.Speed(graph.TargetID{ID: "w0"}) },
		},
		{
			name: "listed ends",
			byOther: func(l *leader) {
				_ = l.driver(w0).commitListedEnds([]EndedRun{{
					Seq:     1,
					Task:    graph.TaskRef{Job: "ended"},
					Run:     1,
					Outcome: graph.OutcomeDone,
				}})
			},
			byDecision: func(l *leader) { l.expectedEnd(w0, graph.TaskRef{Job: "ended"}, 1) },
		},
		{
			name: "replaced target",
			byOther: func(l *leader) {
				l.driver(w0).splitRuns([]graph.Assignment{{
					Task: graph.TaskRef{Job: "ended"},
					Run:  1,
				}})
			},
			byDecision: func(l *leader) { l.expectedEnd(w0, graph.TaskRef{Job: "ended"}, 1) },
		},
		{
			name:       "target that leaves",
			byOther:    func(l *leader) { l.driver(w0).leave() },
			byDecision: func(l *leader) { l.expectedEnd(w0, graph.TaskRef{Job: "ended"}, 1) },
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture(t, false, "w0")
			l := s.scheduler.currentLeader.Load()
			decided := make(chan struct{})
			go s.scheduler.ledger.View(time.Now(), func(*graph.View) {
				go s.scheduler.ledger.Apply(graph.Command{})
				time.Sleep(20 * time.Millisecond)
				go test.byOther(l)
				time.Sleep(20 * time.Millisecond)
				test.byDecision(l)
				close(decided)
			})
			select {
			case <-decided:
			case <-time.After(waitTimeout):
				t.Fatal("the decision and the other goroutine block each other")
			}
		})
	}
}

// Reconciliation must not start a run whose placement was just committed: the
// goroutine that committed it sends the start with the ticket.
func TestRenewalDoesNotStartPlacedRun(t *testing.T) {
	s := newFixture(t, true, "w0")
	// The driver's renewal loop is not started, because it would remove the state
	// of a run that the ledger does not have.
	d := newDriver(s.scheduler.currentLeader.Load(), graph.Target{
		Announcement: graph.Announcement{
			ID: graph.TargetID{
				ID:          "w0",
				Incarnation: 1,
			},
		},
	})
	assignment := graph.Assignment{
		Task:    graph.TaskRef{Job: "a"},
		Run:     1,
		Desired: true,
	}
	key := runKey{
		task: assignment.Task,
		run:  assignment.Run,
	}
	s.c.Assert(d.reconcileRun(assignment, key, false, time.Now()), qt.IsFalse)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.c.Assert(d.runs[key].state, qt.Equals, runPlaced)
}

// A task that makes no progress is stopped and run again, once its siblings show
// how long it should take.
func TestStalledTaskRunsAgain(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = 200 * time.Millisecond
	s.fleet.withLock(func() {
		s.fleet.stalledTask = graph.TaskRef{
			Job:   "a",
			Index: 3,
		}
	})
	s.submit("a", tasks(4))
	s.waitCompleted("a")
	s.assertNoDoubleRuns()
}

// When the answer that lists a task's end is lost, the end must be known soon after
// its predicted time, not only after a renewal with the full wait has timed out.
func TestLostRunListIsRetriedSoon(t *testing.T) {
	timing := testTiming()
	timing.RenewalWait = 1500 * time.Millisecond
	s := newFixtureWithTiming(t, timing, false, "w0")
	s.fleet.runTime = 900 * time.Millisecond
	s.fleet.withLock(func() { s.fleet.targets["w0"].lostRunLists = 1 })
	s.submit("a", tasks(1))
	startedAt := time.Now()
	s.waitCompleted("a")
	s.c.Assert(time.Since(startedAt) < s.fleet.runTime+600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
	s.assertNoDoubleRuns()
}

// Metrics report the work of the leader, and have no names of jobs, client
// accounts or targets as labels.
func TestMetricsExposition(t *testing.T) {
	s := newFixture(t, true, "w0")
	s.submit("a", tasks(2))
	s.waitCompleted("a")
	// The driver counts an end when its commit returns, which may be after the
	// job is observed as completed.
	text := ""
	s.eventually(waitTimeout, "both ends counted", func() bool {
		recorder := httptest.NewRecorder()
		s.scheduler.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
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

// A job that no target could ever run is refused at submission with a retry delay,
// instead of waiting until its deadline.
func TestJobThatFitsNoTargetIsRefused(t *testing.T) {
	s := newFixture(t, false, "w0")
	oversized := tasks(1)
	oversized.Resources.CPU = 5000
	labelled := tasks(1)
	labelled.Label = "none"
	for id, step := range map[graph.JobID]graph.Step{
		"a": oversized,
		"b": labelled,
	} {
		answer, fault := s.scheduler.Submit(s.ctx(), &graph.Submit{
			Address: s.address(),
			ID:      id,
			Spec:    graph.Spec{Steps: []graph.Step{tasks(1), step}},
		})
		s.c.Assert(fault == nil, qt.IsTrue)
		s.c.Assert(answer.Refusal, qt.Equals, graph.RefusedNeverFits)
		s.c.Assert(answer.RetryAfter > 0, qt.IsTrue)
	}
	_, fault := s.scheduler.State(s.ctx(), &JobQuery{
		Address: s.address(),
		ID:      "a",
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.fleet.withLock(func() { s.c.Assert(s.fleet.starts, qt.HasLen, 0) })
}

// Another incarnation at a target's address proves that the previous process
// has ended, so its runs move to other targets before its lease expires.
func TestOtherIncarnationAtAddressEndsOldRuns(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	s.submit("a", tasks(2))
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 2 })
	s.startDefaultTarget("w1", 1)
	restartedAt := time.Now()
	s.fleet.withLock(func() {
		s.fleet.targets["w0"] = &fakeTarget{
			startedAt:   restartedAt,
			incarnation: 2,
			running:     map[graph.TaskRef]*fakeRun{},
			highestRun:  map[graph.TaskRef]uint32{},
		}
	})
	s.eventually(testTiming().TTL, "tasks run elsewhere", func() bool { return s.runCount("w1") == 2 })
	s.assertNoDoubleRuns()
}

// When a target stops answering, those of its tasks that allow speculation get
// a second run soon, without waiting for the lease to expire.
func TestSpeculativeRunsStartBeforeSilentTargetLeaseExpires(t *testing.T) {
	timing := testTiming()
	timing.TTL = 8 * time.Second
	s := newFixtureWithTiming(t, timing, false, "w0")
	s.fleet.runTime = 900 * time.Millisecond
	step := tasks(2)
	step.Speculative = true
	s.submit("a", step)
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 2 })
	s.fleet.withLock(func() { s.fleet.targets["w0"].silent = true })
	s.startDefaultTarget("w1", 1)
	startedAt := time.Now()
	s.waitCompleted("a")
	s.c.Assert(time.Since(startedAt) < timing.TTL/2, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
	s.assertNoDoubleRuns()
}

// Starts, stops and paces that get no answer count as failures as well. When they
// raised the count past the threshold between two renewals, the tasks of a silent
// target got no second run until its lease expired.
func TestSpeculativeRunsStartWhenFailuresPassThreshold(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	step := tasks(2)
	step.Speculative = true
	s.submit("a", step)
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 2 })
	// The driver's renewal loop is not started, so that nothing resets the failures.
	d := newDriver(s.scheduler.currentLeader.Load(), s.scheduler.ledger.Targets()[0])
	d.leaseExpiry = time.Now().Add(time.Minute)
	for range speculateAfterFailures {
		d.recordAnswer(0, ErrNoAnswer)
	}
	s.c.Assert(d.handleRenewalFailure(ErrNoAnswer), qt.IsFalse)
	d.mu.Lock()
	speculated := 0
	for _, info := range d.runs {
		if info.speculated {
			speculated++
		}
	}
	d.mu.Unlock()
	s.c.Assert(speculated, qt.Equals, 2)
	// Further failures must not request the second runs again.
	before := s.scheduler.host.Replica().Status().Commit
	s.c.Assert(d.handleRenewalFailure(ErrNoAnswer), qt.IsFalse)
	s.c.Assert(s.scheduler.host.Replica().Status().Commit, qt.Equals, before)
}

// When starts are usually answered within milliseconds, an unanswered start is
// retried soon, not only after the full call timeout.
func TestUnansweredStartIsRetriedSoon(t *testing.T) {
	timing := testTiming()
	timing.CallTimeout = 2 * time.Second
	s := newFixtureWithTiming(t, timing, false, "w0")
	s.submit("a", tasks(3))
	s.waitCompleted("a")
	s.fleet.withLock(func() {
		s.fleet.targets["w0"].delayedStarts = 1
		s.fleet.startDelay = 2 * timing.CallTimeout
	})
	startedAt := time.Now()
	s.submit("b", tasks(1))
	s.waitCompleted("b")
	s.c.Assert(time.Since(startedAt) < timing.CallTimeout, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
	s.assertNoDoubleRuns()
}

// After a suspension, a leader finds that its calls have timed out. If it may no
// longer lead, it must not conclude from this that its targets do not answer.
func TestFencedLeaderEndsNoIncarnation(t *testing.T) {
	s := newFixture(t, false, "w0")
	l := s.scheduler.currentLeader.Load()
	d := newDriver(l, s.scheduler.ledger.Targets()[0])
	d.leaseExpiry = time.Now().Add(-time.Second)
	d.heartbeatAt = d.leaseExpiry
	l.fenced.Store(true)
	s.c.Assert(d.handleRenewalFailure(ErrNoAnswer), qt.IsFalse)
	s.c.Assert(d.lastCallFailed(), qt.IsFalse)
	s.c.Assert(s.scheduler.ledger.Targets(), qt.HasLen, 1)
}

// An earlier leader may have slowed a best-effort run down to nothing. Its successor
// assumed full speed, sent no order, and the run stood still although nothing ran
// beside it.
func TestInheritedRunIsPacedAgain(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	step := tasks(1)
	step.BestEffort = true
	s.submit("a", step)
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	target := s.scheduler.ledger.Targets()[0]
	s.fleet.withLock(func() { s.c.Check(s.fleet.paces, qt.HasLen, 0) })
	// The driver's renewal loop is not started, so that the listings below are all
	// that it gets.
	d := newDriver(s.scheduler.currentLeader.Load(), target)
	d.inherit()
	assignments := d.ledgerAssignments()
	var list RunList
	s.fleet.withLock(func() { list = s.fleet.targets["w0"].list() })
	paces := func() []Pace {
		var paces []Pace
		s.fleet.withLock(func() { paces = append(paces, s.fleet.paces...) })
		return paces
	}
	d.adjustPace(assignments, list)
	s.eventually(waitTimeout, "the pace is ordered", func() bool { return len(paces()) == 1 })
	s.c.Check(paces()[0].Percent, qt.Equals, pace.FullSpeed)
	// One order suffices once it is answered.
	s.eventually(waitTimeout, "the pace is known", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return !d.runInfo(keyOf(list.Running[0].Task, list.Running[0].Run)).pacing
	})
	d.adjustPace(assignments, list)
	time.Sleep(50 * time.Millisecond)
	s.c.Check(paces(), qt.HasLen, 1)
}

// A task that takes 1.6 s for one percent must not be moved while it works on its
// first. It was moved after 0.7 s without progress, whatever its estimate, and so
// began anew each time.
func TestLongTaskIsNotMovedInFirstPercent(t *testing.T) {
	s := newFixture(t, false, "w0", "w1")
	s.fleet.runTime = 160 * time.Second
	step := tasks(1)
	step.Estimate = graph.Millis(s.fleet.runTime.Milliseconds())
	s.submit("a", step)
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0")+s.runCount("w1") == 1 })
	time.Sleep(2500 * time.Millisecond)
	s.fleet.withLock(func() { s.c.Check(s.fleet.starts, qt.HasLen, 1) })
	s.c.Check(s.runCount("w0")+s.runCount("w1"), qt.Equals, 1)
	s.assertNoDoubleRuns()
}

// A heartbeat of another writer with a target's id can name any clock. One that was
// ahead of the target's moved the deadline of every later lease ahead as well, so that
// a target that fell silent ran on long after its runs had been started elsewhere. It
// must not count before the target's own first answer either.
func TestHeartbeatClockAheadDoesNotExtendLease(t *testing.T) {
	s := newFixture(t, false, "w0")
	longRunning := tasks(1)
	longRunning.LongRunning = true
	s.fleet.runTime = time.Hour
	s.submit("a", longRunning)
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	s.startDefaultTarget("w1", 1)
	for _, name := range []string{"w0", "w1"} {
		target, _ := s.scheduler.ledger.Target(graph.TargetID{
			ID:          name,
			Incarnation: 1,
		})
		for _, ahead := range []Clock{Clock(10 * time.Second), Clock(time.Hour), Clock(1 << 62)} {
			var clock Clock
			s.fleet.withLock(func() { clock = s.fleet.targets[name].clock() })
			fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{
				Announce: target.Announcement,
				Clock:    clock + ahead,
			})
			s.c.Assert(fault == nil, qt.IsTrue)
			time.Sleep(2 * testTiming().RenewalWait)
		}
		s.fleet.withLock(func() {
			target := s.fleet.targets[name]
			s.c.Check(target.deadline <= target.clock()+Clock(testTiming().TTL), qt.IsTrue,
				qt.Commentf("lease of %s ends in %s", name, time.Duration(target.deadline-target.clock())))
		})
	}
	// The true clock still counts: the lease goes on.
	time.Sleep(testTiming().TTL)
	s.c.Check(s.runCount("w0"), qt.Equals, 1)
	s.assertNoDoubleRuns()
}

// The first answer of a target is what its clock is known from. A heartbeat that came
// before it with a clock ahead must not set the deadline of the first renewal.
func TestFirstRenewalTakesNoClockOfHeartbeat(t *testing.T) {
	s := newFixture(t, false)
	announcement := graph.Announcement{
		ID: graph.TargetID{
			ID:          "w0",
			Incarnation: 1,
		},
		Service: "s",
		Address: "w0",
	}
	target := &fakeTarget{
		startedAt:   time.Now(),
		incarnation: 1,
		running:     map[graph.TaskRef]*fakeRun{},
		highestRun:  map[graph.TaskRef]uint32{},
	}
	s.fleet.withLock(func() { s.fleet.targets["w0"] = target })
	fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{
		Announce: announcement,
		Clock:    Clock(1 << 62),
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.eventually(waitTimeout, "the target is usable", func() bool {
		l := s.scheduler.currentLeader.Load()
		return l != nil && l.usable(announcement.ID, time.Now())
	})
	s.fleet.withLock(func() {
		s.c.Check(target.deadline <= target.clock()+Clock(testTiming().TTL), qt.IsTrue,
			qt.Commentf("lease ends in %s", time.Duration(target.deadline-target.clock())))
	})
}

// A target that lists thousands of runs that nobody placed made the leader send a stop
// for each at once, each with a goroutine and a call of its own, which a list of 4 MiB
// makes more than the memory of an instance. The target's own runs go on meanwhile.
func TestUnknownRunsAreStoppedAFewAtATime(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Second
	s.fleet.stopTime = 50 * time.Millisecond
	s.fleet.withLock(func() {
		for i := range 5000 {
			s.fleet.targets["w0"].unknownRuns = append(s.fleet.targets["w0"].unknownRuns, ActiveRun{
				Task: graph.TaskRef{
					Job:   "unknown",
					Index: i,
				},
				Run: 1,
			})
		}
	})
	s.submit("a", tasks(2))
	s.waitCompleted("a")
	s.fleet.withLock(func() {
		s.c.Check(s.fleet.maxStopsInFlight > 0, qt.IsTrue)
		s.c.Check(s.fleet.maxStopsInFlight <= 2*maxUnknownStops, qt.IsTrue, qt.Commentf("%d stops in flight", s.fleet.maxStopsInFlight))
	})
}

// A heartbeat that was held up on its way says what the target had before. It must not be
// committed again and again, nor undo what a later one has said.
func TestLateHeartbeatDoesNotRestoreCapacity(t *testing.T) {
	s := newFixture(t, false)
	heartbeat := func(cpu quota.MilliCPU, seq uint64) {
		fault := s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{
			Announce: graph.Announcement{
				ID: graph.TargetID{
					ID:          "w0",
					Incarnation: 1,
				},
				Service:  "s",
				Address:  "w0",
				Capacity: quota.Resources{CPU: cpu},
				Seq:      seq,
			},
		})
		s.c.Assert(fault == nil, qt.IsTrue)
	}
	capacity := func() quota.MilliCPU {
		return s.scheduler.ledger.Targets()[0].Capacity.CPU
	}
	heartbeat(4000, 1)
	heartbeat(1000, 3)
	s.c.Assert(capacity(), qt.Equals, quota.MilliCPU(1000))
	before := s.scheduler.host.Replica().Status().Commit
	heartbeat(4000, 2)
	s.c.Check(capacity(), qt.Equals, quota.MilliCPU(1000))
	s.c.Check(s.scheduler.host.Replica().Status().Commit, qt.Equals, before)
	// The number of a heartbeat that changes nothing counts as well.
	heartbeat(1000, 5)
	heartbeat(4000, 4)
	s.c.Check(capacity(), qt.Equals, quota.MilliCPU(1000))
	heartbeat(4000, 6)
	s.c.Check(capacity(), qt.Equals, quota.MilliCPU(4000))
	// Another writer's number must not keep the target's own heartbeats out for good.
	heartbeat(8000, 1<<50)
	for seq := range uint64(maxLateInOrder + 1) {
		heartbeat(2000, 7+seq)
	}
	s.c.Check(capacity(), qt.Equals, quota.MilliCPU(2000))
}

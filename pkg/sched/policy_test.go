package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

var testEpoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// harness is an engine with a manual clock, whose tasks end when the test
// ends them.
type harness struct {
	engine *Engine
	now    time.Time
	next   JobID
	// placed holds the placed tasks by job.
	placed map[JobID][]Placement
}

func newHarness(workers int, opts ...Option) *harness {
	h := &harness{
		engine: NewEngine(append([]Option{WithHeadroom(0)}, opts...)...),
		now:    testEpoch,
		placed: map[JobID][]Placement{},
	}
	for i := range workers {
		h.engine.SetWorker(Worker{
			ID:     fmt.Sprintf("w%02d", i),
			Slots:  8,
			Rack:   fmt.Sprintf("rack-%d", i/6),
			Domain: fmt.Sprintf("domain-%d", i/6%4),
			Capacity: quota.Resources{
				CPU:    8000,
				Memory: 8192,
			},
		})
	}
	h.team("a", 1)
	return h
}

func (h *harness) team(name string, weight float64) {
	h.engine.SetTeam(Team{
		Name:   name,
		Weight: weight,
		Limit: quota.Resources{
			CPU:          1 << 30,
			Memory:       1 << 30,
			Accelerators: 100,
		},
	})
}

// submit submits a batch job with one idempotent task, modified by change.
func (h *harness) submit(change func(*Job)) JobID {
	h.next++
	j := Job{
		ID:         h.next,
		Team:       "a",
		Service:    "s",
		Kind:       KindBatch,
		Tasks:      1,
		Idempotent: true,
		Submitted:  h.now,
		Resources: quota.Resources{
			CPU:    8000,
			Memory: 1024,
		},
	}
	if change != nil {
		change(&j)
	}
	h.engine.Submit(j)
	return j.ID
}

func (h *harness) decide() []Decision {
	decisions := h.engine.Decide(h.now, 1000)
	for _, d := range decisions {
		if d.Type == DecisionPlace {
			h.placed[d.Job] = append(h.placed[d.Job], d.Placements...)
		}
	}
	return decisions
}

// finish ends every placed task of the job. Failed tasks are queued again;
// otherwise the job is removed.
func (h *harness) finish(id JobID, failed bool) {
	for _, placement := range h.placed[id] {
		h.engine.Finished(id, placement.Task, Result{
			EndedAt: h.now,
			RunTime: time.Second,
			Started: true,
			Failed:  failed,
		})
		if failed {
			h.engine.Requeue(id, placement.Task, placement.Attempt, h.now)
		}
	}
	delete(h.placed, id)
	if !failed {
		h.engine.RemoveJob(id, h.now)
	}
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
}

// TestNoStarvation submits one job as large as a worker while a stream of
// small jobs would otherwise keep every worker in use.
func TestNoStarvation(t *testing.T) {
	c := qt.New(t)
	const aging, longest = 5 * time.Second, 3 * time.Second
	h := newHarness(4, WithAging(aging), WithUnderservedAging(aging))
	ends := map[JobID]time.Time{}
	submitSmall := func() { h.submit(func(j *Job) { j.Resources.CPU = 2000 }) }
	for range 40 {
		submitSmall()
	}
	h.decide()
	large := h.submit(nil)
	start := h.now
	for h.now.Sub(start) < 5*time.Minute {
		for id := range h.placed {
			if _, ok := ends[id]; !ok {
				ends[id] = h.now.Add(longest - time.Duration(id%20)*100*time.Millisecond)
			}
		}
		for id, at := range ends {
			if id != large && !h.now.Before(at) && len(h.placed[id]) > 0 {
				h.finish(id, false)
				submitSmall()
			}
		}
		h.decide()
		if len(h.placed[large]) > 0 {
			// The bound documented at reserveForAged: the aging time and the
			// longest task, plus the interval at which aged work is looked
			// for.
			c.Assert(h.now.Sub(start) <= aging+longest+2*agingInterval, qt.IsTrue, qt.Commentf("%s", h.now.Sub(start)))
			return
		}
		h.advance(50 * time.Millisecond)
	}
	c.Fatal("the large job starved")
}

// TestUrgentJobPreemptsFewestVictims checks that on a full fleet an urgent
// job preempts as few tasks as possible and starts once they have stopped.
func TestUrgentJobPreemptsFewestVictims(t *testing.T) {
	c := qt.New(t)
	h := newHarness(3)
	h.submit(func(j *Job) { j.Preemptible, j.Idempotent = true, false })
	small := func(j *Job) {
		j.Preemptible = true
		j.Resources.CPU = 4000
	}
	for range 2 {
		h.submit(small)
	}
	h.submit(func(j *Job) { j.Preemptible = true })
	h.decide()
	urgent := h.submit(func(j *Job) { j.Kind, j.Urgent = KindService, true })
	decisions := h.decide()
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Type, qt.Equals, DecisionPreempt)
	// One victim frees a worker; the non-idempotent task is never preempted.
	c.Assert(decisions[0].Victims, qt.HasLen, 1)
	victim := decisions[0].Victims[0]
	c.Assert(victim.Job, qt.Equals, JobID(4))
	c.Assert(h.decide(), qt.HasLen, 0, qt.Commentf("resources were reused before the victim stopped"))
	h.advance(300 * time.Millisecond)
	h.engine.Finished(victim.Job, victim.Task, Result{
		EndedAt: h.now,
		Started: true,
	})
	h.engine.Requeue(victim.Job, victim.Task, victim.Attempt, h.now)
	decisions = h.decide()
	c.Assert(decisions[0].Job, qt.Equals, urgent)
	c.Assert(decisions[0].Wait < 1700*time.Millisecond, qt.IsTrue)
}

// TestPreemptionsPerTaskAreBounded checks that repeated urgent jobs do not
// preempt the same task without end.
func TestPreemptionsPerTaskAreBounded(t *testing.T) {
	c := qt.New(t)
	h := newHarness(1)
	batch := h.submit(func(j *Job) { j.Preemptible = true })
	h.decide()
	preempted := 0
	for range 5 {
		urgent := h.submit(func(j *Job) { j.Kind, j.Urgent = KindService, true })
		for _, d := range h.decide() {
			if d.Type != DecisionPreempt {
				continue
			}
			preempted++
			v := d.Victims[0]
			delete(h.placed, v.Job)
			h.engine.Finished(v.Job, v.Task, Result{EndedAt: h.now})
			h.engine.Requeue(v.Job, v.Task, v.Attempt, h.now)
		}
		h.decide()
		if len(h.placed[urgent]) > 0 {
			h.finish(urgent, false)
		} else {
			h.engine.RemoveJob(urgent, h.now)
		}
		h.advance(time.Second)
		h.decide()
	}
	c.Assert(preempted, qt.Equals, defaultSettings().maxPreemptionsPerTask)
	c.Assert(h.placed[batch], qt.HasLen, 1)
}

// TestUnschedulableJobIsRefused checks that each cause is reported with its
// reason after the grace period, and that jobs queued behind are placed
// meanwhile.
func TestUnschedulableJobIsRefused(t *testing.T) {
	for _, tc := range []struct {
		reason string
		change func(*Job)
	}{
		{reason: ReasonTooLarge, change: func(j *Job) { j.Resources.CPU = 9000 }},
		{reason: ReasonNoAccelerators, change: func(j *Job) { j.Resources.Accelerators = 1 }},
		{reason: ReasonGangTooWide, change: func(j *Job) { j.Kind, j.Tasks = KindGang, 5 }},
		{reason: ReasonLimitTooLow, change: func(j *Job) { j.Team = "zero-limit" }},
	} {
		t.Run(tc.reason, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(4, WithUnschedulableGrace(time.Second))
			h.engine.SetTeam(Team{Name: "zero-limit"})
			unschedulable := h.submit(tc.change)
			behind := h.submit(nil)
			decisions := h.decide()
			c.Assert(decisions, qt.HasLen, 1)
			c.Assert(decisions[0].Job, qt.Equals, behind)
			h.advance(time.Second)
			decisions = h.decide()
			c.Assert(decisions, qt.HasLen, 1)
			c.Assert(decisions[0].Job, qt.Equals, unschedulable)
			c.Assert(decisions[0].Type, qt.Equals, DecisionRefuse)
			c.Assert(decisions[0].Reason, qt.Equals, tc.reason)
		})
	}
}

// TestFailingWorkerIsQuarantined runs a fleet in which every task on one
// worker fails.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	c := qt.New(t)
	h := newHarness(12, WithBackoff(0, 0), WithProbeDelay(10*time.Second))
	const failingWorker = "w03"
	failures := 0
	for range 200 {
		for i := range 12 {
			h.submit(func(j *Job) {
				j.Resources.CPU = 4000
				j.Service = fmt.Sprintf("s%d", i%4)
			})
		}
		h.decide()
		for id, placements := range h.placed {
			failed := len(placements) > 0 && placements[0].Worker == failingWorker
			if failed {
				failures++
			}
			h.finish(id, failed)
		}
		h.advance(100 * time.Millisecond)
		if len(h.engine.Quarantined()) > 0 {
			break
		}
	}
	c.Assert(h.engine.Quarantined(), qt.DeepEquals, []string{failingWorker})
	c.Assert(failures <= 6, qt.IsTrue, qt.Commentf("%d failures", failures))
	// The worker has recovered: successful probes end its quarantine.
	for range 400 {
		h.submit(func(j *Job) { j.Resources.CPU = 4000 })
		h.decide()
		for id := range h.placed {
			h.finish(id, false)
		}
		h.advance(100 * time.Millisecond)
	}
	c.Assert(h.engine.Quarantined(), qt.HasLen, 0)
}

// TestFailingServiceQuarantinesAtMostOneWorker runs a service that fails on
// every worker, which must not be held against the workers.
func TestFailingServiceQuarantinesAtMostOneWorker(t *testing.T) {
	c := qt.New(t)
	h := newHarness(12, WithBackoff(0, 0))
	for range 100 {
		for range 6 {
			h.submit(func(j *Job) { j.Service = "broken" })
		}
		h.decide()
		for id, placements := range h.placed {
			last := placements[len(placements)-1].Worker
			h.finish(id, true)
			h.decide()
			if again := h.placed[id]; len(again) > 0 {
				c.Assert(again[0].Worker, qt.Not(qt.Equals), last)
			}
			h.engine.RemoveJob(id, h.now)
			delete(h.placed, id)
		}
		h.advance(100 * time.Millisecond)
	}
	c.Assert(len(h.engine.Quarantined()) <= 1, qt.IsTrue, qt.Commentf("%v", h.engine.Quarantined()))
}

// TestQuarantineIsCapped has every task of many services fail on all
// workers.
func TestQuarantineIsCapped(t *testing.T) {
	h := newHarness(48, WithBackoff(0, 0), WithProbeDelay(time.Hour))
	for round := range 100 {
		for i := range 48 {
			h.submit(func(j *Job) { j.Service = fmt.Sprintf("s%d-%d", round, i) })
		}
		h.decide()
		for id := range h.placed {
			h.finish(id, true)
			h.engine.RemoveJob(id, h.now)
		}
		h.advance(100 * time.Millisecond)
	}
	qt.Assert(t, len(h.engine.Quarantined()) <= 4, qt.IsTrue, qt.Commentf("%v", h.engine.Quarantined()))
}

// TestServiceSpread checks that a service is spread over failure domains and
// racks, so that losing one rack takes at most a quarter of its tasks.
func TestServiceSpread(t *testing.T) {
	c := qt.New(t)
	h := newHarness(48)
	id := h.submit(func(j *Job) {
		j.Kind, j.Tasks = KindService, 16
		j.Resources.CPU = 1000
	})
	h.decide()
	racks := map[string]int{}
	for _, placement := range h.placed[id] {
		racks[h.engine.fleet.byID[placement.Worker].Rack]++
	}
	for rack, count := range racks {
		c.Check(count <= 4, qt.IsTrue, qt.Commentf("%s has %d of 16", rack, count))
	}
}

// TestGangStaysInOneDomain checks that a gang that fits into one failure
// domain is placed within it.
func TestGangStaysInOneDomain(t *testing.T) {
	h := newHarness(24)
	id := h.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 6 })
	h.decide()
	domains := map[string]bool{}
	for _, placement := range h.placed[id] {
		domains[h.engine.fleet.byID[placement.Worker].Domain] = true
	}
	qt.Assert(t, domains, qt.HasLen, 1)
}

// TestCompetingGangsBothRun has two gangs wait for the same workers, which
// must not deadlock.
func TestCompetingGangsBothRun(t *testing.T) {
	c := qt.New(t)
	h := newHarness(4, WithAging(time.Second), WithUnderservedAging(time.Second))
	blocker := h.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 4 })
	h.decide()
	first := h.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 3 })
	second := h.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 3 })
	h.advance(2 * time.Second)
	h.decide()
	h.finish(blocker, false)
	h.decide()
	c.Assert(h.placed[first], qt.HasLen, 3)
	h.finish(first, false)
	h.advance(time.Second)
	h.decide()
	c.Assert(h.placed[second], qt.HasLen, 3)
}

// TestObservedUsageRaisesAllocation checks that a service that uses more
// than it declares is allocated what it uses.
func TestObservedUsageRaisesAllocation(t *testing.T) {
	c := qt.New(t)
	h := newHarness(1)
	declared := quota.Resources{
		CPU:    1000,
		Memory: 1024,
	}
	actual := quota.Resources{
		CPU:    1000,
		Memory: 4096,
	}
	h.engine.ObserveUsage("a", "s", declared, actual)
	for range 4 {
		h.submit(func(j *Job) { j.Resources = declared })
	}
	h.decide()
	c.Assert(h.placed, qt.HasLen, 2)
	c.Assert(ActionFor(declared, actual), qt.Equals, ActionStop)
	c.Assert(ActionFor(actual, declared), qt.Equals, ActionNone)
}

// TestMassRemoval removes 10,000 waiting jobs and checks that another job is
// placed by the next decision.
func TestMassRemoval(t *testing.T) {
	c := qt.New(t)
	h := newHarness(10)
	var removed []JobID
	for range 10000 {
		removed = append(removed, h.submit(nil))
	}
	h.decide()
	other := h.submit(func(j *Job) {
		j.Resources.CPU = 100
		j.Kind = KindService
	})
	for _, id := range removed {
		h.engine.RemoveJob(id, h.now)
		delete(h.placed, id)
	}
	h.decide()
	c.Assert(h.placed[other], qt.HasLen, 1)
	c.Assert(h.engine.Stats().Waiting, qt.Equals, 0)
}

// TestTeamLimit checks that no team exceeds its limit.
func TestTeamLimit(t *testing.T) {
	h := newHarness(10)
	h.engine.SetTeam(Team{
		Name: "a",
		Limit: quota.Resources{
			CPU:    16000,
			Memory: 8192,
		},
	})
	for range 5 {
		h.submit(nil)
	}
	h.decide()
	qt.Assert(t, h.placed, qt.HasLen, 2)
}

// TestRevertAfterWorkerRemoved reverts a placement after its worker was
// removed: the task must be queued again.
func TestRevertAfterWorkerRemoved(t *testing.T) {
	c := qt.New(t)
	h := newHarness(2)
	id := h.submit(nil)
	placed := h.decide()[0]
	h.engine.RemoveWorker(placed.Placements[0].Worker)
	h.engine.RevertPlacements(id, placed.Placements, h.now)
	c.Assert(h.engine.Stats().Waiting, qt.Equals, 1)
	again := h.decide()[0]
	c.Assert(again.Placements[0].Attempt, qt.Equals, placed.Placements[0].Attempt)
	// A dequeued job must not be queued again.
	h.engine.DequeueJob(id)
	h.engine.RevertPlacements(id, again.Placements, h.now)
	c.Assert(h.engine.Stats().Waiting, qt.Equals, 0)
}

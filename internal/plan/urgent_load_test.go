package plan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// urgentObjective is the objective of the urgent jobs of newUrgentSimulation.
const urgentObjective = 1800 * time.Millisecond

// newUrgentSimulation returns a simulation with 60 targets of 16 cores, an urgent queue with
// and one without advice, and a batch queue.
func newUrgentSimulation() *simulation {
	s := newSimulation(0.35, 24)
	s.fixture = newFixture(0, quota.Resources{})
	s.expectedEnds = map[graph.TaskRef]time.Time{}
	express := newQueue("express", 0, &graph.AdviceTiming{
		Base:  150 * time.Millisecond,
		Each:  4 * time.Millisecond,
		Valid: 2500 * time.Millisecond,
	})
	urgent, batch := newQueue("urgent", 0, nil), newQueue("batch", 2, nil)
	urgent.Latency, express.Latency = 840, 840
	batch.Latency = 6000
	accounts := weighted(100, 100, 100)
	for i := range accounts {
		accounts[i].Keys = []string{"k" + accounts[i].Name}
	}
	s.ledger.Apply(graph.Command{Config: &graph.Config{
		Version:        2,
		Queues:         []graph.Queue{urgent, express, batch},
		Services:       []graph.Service{{Name: "s"}},
		ClientAccounts: accounts,
	}})
	for i := range 60 {
		s.ledger.Apply(graph.Command{Target: &graph.Announcement{
			ID:      graph.TargetID{ID: fmt.Sprintf("w%02d", i)},
			Service: "s",
			Capacity: quota.Resources{
				CPU:    16_000,
				Memory: 16_000,
			},
		}})
	}
	return s
}

// urgentStepOf and batchStepOf return the steps of urgent and batch jobs.
func urgentStepOf() graph.Step {
	step := newStep(16, 2200)
	step.Estimate = 640
	return step
}

func batchStepOf() graph.Step {
	step := newStep(6, 4500)
	step.Estimate = 4800
	step.Checkpoints = true
	return step
}

// playUrgentBurst plays batch jobs of the given rate and estimate, and urgent jobs at four times
// their usual rate for six seconds. It returns the shares in time.
func playUrgentBurst(s *simulation, queue string, rate float64, estimate graph.Millis) (urgent, batch float64) {
	step := batchStepOf()
	step.Estimate = estimate
	s.submitRate("batch", "b", "batch", rate, 0, 30*time.Second, step)
	s.submitRate("usual", "a", queue, 3, 6*time.Second, 30*time.Second, urgentStepOf())
	s.submitRate("burst", "a", queue, 9, 12*time.Second, 18*time.Second, urgentStepOf())
	s.playShared(55 * time.Second)
	return s.shareWithin("burst", urgentObjective), s.shareWithin("batch", 13200*time.Millisecond)
}

// mayPreemptOnce lets each task of the simulation be preempted once.
func (s *simulation) mayPreemptOnce(ref graph.TaskRef) bool {
	return s.preempted[ref] == 0
}

// Load: an urgent burst on targets that are nearly full, on full ones with a backlog of batch
// work, and on targets full of long batch work. Batch work took the room that became free before
// the urgent steps had tickets for it, and little becomes free of long work.
func TestUrgentBurstOnFullTargets(t *testing.T) {
	c := qt.New(t)
	for _, load := range []struct {
		queue    string
		rate     float64
		estimate graph.Millis
		// gains is what kept room, and preemption beside it, must add to the share in time. The
		// order of maps makes the shares vary by 0.03.
		gains [2]float64
		// maxBatchLoss is how much of the batch work may be late because of both.
		maxBatchLoss float64
	}{
		{"urgent", 6.5, 4800, [2]float64{0, -0.03}, 0.02},
		{"express", 6.5, 4800, [2]float64{0.1, -0.03}, 0.02},
		{"express", 8, 4800, [2]float64{0.1, -0.03}, 0.15},
		{"express", 3, 12_000, [2]float64{0.1, 0.1}, 0.05},
	} {
		former, kept, preempting := newUrgentSimulation(), newUrgentSimulation(), newUrgentSimulation()
		former.keepsRoom = false
		preempting.mayPreempt = preempting.mayPreemptOnce
		before, batchBefore := playUrgentBurst(former, load.queue, load.rate, load.estimate)
		withRoom, batchWithRoom := playUrgentBurst(kept, load.queue, load.rate, load.estimate)
		after, batchAfter := playUrgentBurst(preempting, load.queue, load.rate, load.estimate)
		t.Logf("%s, batch of %d ms, %.1f/s: urgent in time before %.2f, with kept room %.2f, with preemption %.2f; "+
			"batch %.2f, %.2f, %.2f; %d preempted, %.0f core-seconds lost", load.queue, load.estimate, load.rate,
			before, withRoom, after, batchBefore, batchWithRoom, batchAfter, len(preempting.preempted), preempting.lost)
		c.Check(withRoom >= before+load.gains[0], qt.IsTrue)
		c.Check(after >= withRoom+load.gains[1], qt.IsTrue)
		c.Check(after >= 0.9, qt.IsTrue)
		c.Check(batchAfter >= batchBefore-load.maxBatchLoss, qt.IsTrue)
		c.Check(preempting.lost < 800, qt.IsTrue)
		for _, count := range preempting.preempted {
			c.Check(count, qt.Equals, 1)
		}
	}
}

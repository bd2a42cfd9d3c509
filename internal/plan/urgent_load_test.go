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

// playUrgentBurst plays batch work that takes nine tenths of the targets, and urgent jobs at
// four times their usual rate for six seconds. It returns the shares in time.
func playUrgentBurst(s *simulation, queue string) (urgent, batch float64) {
	s.submitRate("batch", "b", "batch", 6.5, 0, 30*time.Second, batchStepOf())
	s.submitRate("usual", "a", queue, 3, 6*time.Second, 30*time.Second, urgentStepOf())
	s.submitRate("burst", "a", queue, 9, 12*time.Second, 18*time.Second, urgentStepOf())
	s.playShared(55 * time.Second)
	return s.shareWithin("burst", urgentObjective), s.shareWithin("batch", 13200*time.Millisecond)
}

// Load: an urgent burst on full targets. Batch work took the room that became free before the
// urgent steps had tickets for it.
func TestRoomIsKeptForUrgentBurst(t *testing.T) {
	c := qt.New(t)
	for _, queue := range []string{"urgent", "express"} {
		former := newUrgentSimulation()
		former.keepsRoom = false
		before, batchBefore := playUrgentBurst(former, queue)
		after, batchAfter := playUrgentBurst(newUrgentSimulation(), queue)
		t.Logf("%s: urgent in time %.2f, with kept room %.2f; batch in time %.2f, %.2f",
			queue, before, after, batchBefore, batchAfter)
		c.Check(after >= max(before, 0.9), qt.IsTrue)
		c.Check(batchAfter >= batchBefore-0.05, qt.IsTrue)
		if queue == "express" {
			c.Check(before < 0.8, qt.IsTrue)
		}
	}
}

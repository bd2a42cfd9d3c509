package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// configurePriorities configures an urgent queue and a batch queue, and an account with a
// weight.
func (s *fixture) configurePriorities() {
	queue := func(name string, priority int) graph.Queue {
		return graph.Queue{
			Name:     name,
			Host:     "h",
			Prefix:   "/" + name + "/",
			Service:  "s",
			Timeout:  60_000,
			Priority: priority,
			Attempts: 1,
			Stretch:  2,
			Latency:  2000,
		}
	}
	fault := s.scheduler.Configure(s.ctx(), &graph.Config{
		Version:  2,
		Queues:   []graph.Queue{queue("urgent", 0), queue("batch", 2)},
		Services: []graph.Service{{Name: "s"}},
		ClientAccounts: []graph.ClientAccount{{
			Name:   "t",
			Keys:   []string{"k"},
			Weight: 10,
		}},
	})
	s.c.Assert(fault == nil, qt.IsTrue)
}

// submitTo submits a job of one step to the queue.
func (s *fixture) submitTo(queue string, id graph.JobID, step graph.Step) {
	answer, fault := s.scheduler.Submit(s.ctx(), &graph.Submit{
		Address: addressIn(queue),
		ID:      id,
		Spec:    graph.Spec{Steps: []graph.Step{step}},
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.c.Assert(answer.Refusal, qt.Equals, graph.Refusal(""))
}

func addressIn(queue string) graph.Address {
	return graph.Address{
		Host: "h",
		Path: "/" + queue + "/x",
		Key:  "k",
	}
}

// waitCompletedIn waits until the job of the queue is completed.
func (s *fixture) waitCompletedIn(queue string, id graph.JobID) {
	s.c.Helper()
	s.eventually(waitTimeout, string(id)+" completed", func() bool {
		answer, fault := s.scheduler.State(s.ctx(), &JobQuery{
			Address: addressIn(queue),
			ID:      id,
		})
		return fault == nil && answer.State == graph.StateCompleted
	})
}

// An urgent job on a full target waited for the end of batch work. It must displace a task that
// saves checkpoints, which goes on from its checkpoint and ends once, although its queue allows
// one attempt only.
func TestUrgentJobPreemptsCheckpointingTask(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.configurePriorities()
	s.fleet.withLock(func() {
		s.fleet.runTime = 30 * time.Second
		s.fleet.stopDelay = 200 * time.Millisecond
		s.fleet.checkpoint = "saved"
	})
	batch := graph.Step{
		Count:       2,
		Estimate:    30_000,
		Checkpoints: true,
		Resources: quota.Resources{
			CPU:    2000,
			Memory: 10,
		},
	}
	s.submitTo("batch", "b", batch)
	s.eventually(waitTimeout, "batch tasks run", func() bool { return s.runCount("w0") == 2 })
	s.fleet.withLock(func() { s.fleet.runTime = 200 * time.Millisecond })
	urgent := batch
	urgent.Count = 1
	urgent.Estimate = 200
	urgent.Checkpoints = false
	s.submitTo("urgent", "u", urgent)
	s.waitCompletedIn("urgent", "u")
	s.fleet.withLock(func() {
		for _, target := range s.fleet.targets {
			for _, r := range target.running {
				r.endsAt = time.Now().Add(100 * time.Millisecond)
			}
		}
	})
	s.waitCompletedIn("batch", "b")
	s.assertNoDoubleRuns()
	resumed := 0
	s.fleet.withLock(func() {
		for _, start := range s.fleet.starts {
			if start.Task.Job == "b" && start.Run > 1 {
				resumed++
				s.c.Check(start.Checkpoint, qt.Equals, "saved")
			}
		}
	})
	s.c.Check(resumed, qt.Equals, 1)
}

// A task must not be pushed away for ever.
func TestTaskIsPreemptedTwiceAtMost(t *testing.T) {
	c := qt.New(t)
	p := newPreemptions()
	task := graph.TaskRef{Job: "a"}
	for range maxTaskPreemptions {
		c.Check(p.mayPreempt(task), qt.IsTrue)
		p.record(task)
	}
	c.Check(p.mayPreempt(task), qt.IsFalse)
	c.Check(p.mayPreempt(graph.TaskRef{Job: "b"}), qt.IsTrue)
	p.forget(func(id graph.JobID) bool { return id == "a" })
	c.Check(p.mayPreempt(task), qt.IsTrue)
}

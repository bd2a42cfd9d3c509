package push

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// configureQueues puts a configuration with the given queues in force. Its client
// accounts are t with the key k, and u with the key l.
func (s *fixture) configureQueues(version int64, queues ...graph.Queue) {
	fault := s.scheduler.Configure(s.ctx(), &graph.Config{
		Version:  version,
		Queues:   queues,
		Services: []graph.Service{{Name: "s"}},
		ClientAccounts: []graph.ClientAccount{
			{
				Name: "t",
				Keys: []string{"k"},
			},
			{
				Name: "u",
				Keys: []string{"l"},
			},
		},
	})
	s.c.Assert(fault == nil, qt.IsTrue)
}

// defaultQueue returns the queue of the fixture's configuration.
func (s *fixture) defaultQueue() graph.Queue {
	return s.scheduler.ledger.Config().Queues[0]
}

// cancel cancels a job and returns the refusal.
func (s *fixture) cancel(path, key string, id graph.JobID) graph.Refusal {
	answer, fault := s.scheduler.Cancel(s.ctx(), &JobQuery{
		Address: graph.Address{
			Host: "h",
			Path: path,
			Key:  key,
		},
		ID: id,
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	return answer.Refusal
}

// Nobody but its owner may cancel a job through a path that no queue has, be it of a
// removed queue or of none at all. The key was not looked at on such a path, so that a
// caller without one, or with one that never existed, could cancel any job.
func TestStrangerCannotCancelThroughRemovedQueue(t *testing.T) {
	s := newFixture(t, false, "w0")
	s.fleet.runTime = time.Hour
	queue := s.defaultQueue()
	kept := queue
	kept.Name, kept.Prefix = "kept", "/kept/"
	s.configureQueues(2, queue, kept)
	s.submit("a", tasks(1))
	s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
	for _, removed := range []bool{false, true} {
		if removed {
			s.configureQueues(3, kept)
		}
		for _, path := range []string{"/q/a", "/never/a", "/kept/a", ""} {
			for key, want := range map[string]graph.Refusal{
				"":      graph.RefusedKey,
				"wrong": graph.RefusedKey,
				"l":     graph.RefusedNoJob,
			} {
				s.c.Check(s.cancel(path, key, "a"), qt.Equals, want, qt.Commentf("path %q, key %q, removed %t", path, key, removed))
			}
		}
	}
	s.c.Check(s.scheduler.ledger.IsLive("a"), qt.IsTrue)
	s.c.Check(s.cancel("/q/a", "k", "a"), qt.Equals, graph.Refusal(""))
	s.c.Check(s.scheduler.ledger.IsLive("a"), qt.IsFalse)
	s.eventually(waitTimeout, "task is stopped", func() bool { return s.runCount("w0") == 0 })
}

// The owner of a job must be able to cancel it once its queue has become open, as calls
// then carry no key. The job's client account was still asked for, and the call answered
// as if there were no such job, while its task ran on.
func TestJobOfQueueMadeOpenIsCancelledWithoutKey(t *testing.T) {
	for _, name := range []string{"", "renamed"} {
		s := newFixture(t, false, "w0")
		s.fleet.runTime = time.Hour
		open, other := s.defaultQueue(), s.defaultQueue()
		open.Open = true
		if name != "" {
			open.Name = name
		}
		other.Name, other.Prefix, other.Open = "other", "/other/", true
		s.submit("a", tasks(1))
		s.eventually(waitTimeout, "task runs", func() bool { return s.runCount("w0") == 1 })
		s.configureQueues(2, open, other)
		s.c.Check(s.cancel("/other/a", "", "a"), qt.Equals, graph.RefusedNoJob)
		s.c.Check(s.cancel("/other/a", "l", "a"), qt.Equals, graph.RefusedNoJob)
		s.c.Check(s.cancel("/q/a", "", "none"), qt.Equals, graph.RefusedNoJob)
		s.c.Check(s.scheduler.ledger.IsLive("a"), qt.IsTrue)
		s.c.Check(s.cancel("/q/a", "", "a"), qt.Equals, graph.Refusal(""))
		s.c.Check(s.scheduler.ledger.IsLive("a"), qt.IsFalse)
		s.eventually(waitTimeout, "task is stopped", func() bool { return s.runCount("w0") == 0 })
	}
}

// A job that was handed in to an open queue without a key has no owner that could be
// told by one. It is cancelled by a call to its queue's address, also once the queue is
// closed or removed, and by no call to another.
func TestJobWithoutOwnerIsCancelledAtItsQueue(t *testing.T) {
	s := newFixture(t, false)
	open, other := s.defaultQueue(), s.defaultQueue()
	open.Open = true
	other.Name, other.Prefix, other.Open = "other", "/other/", true
	s.configureQueues(2, open, other)
	for _, id := range []graph.JobID{"a", "b"} {
		answer, fault := s.scheduler.Submit(s.ctx(), &graph.Submit{
			Address: graph.Address{
				Host: "h",
				Path: "/q/" + string(id),
			},
			ID:   id,
			Spec: graph.Spec{Steps: []graph.Step{tasks(1)}},
		})
		s.c.Assert(fault == nil && answer.Refusal == "", qt.IsTrue)
	}
	s.c.Check(s.cancel("/other/a", "", "a"), qt.Equals, graph.RefusedNoJob)
	s.c.Check(s.cancel("/other/a", "k", "a"), qt.Equals, graph.RefusedNoJob)
	s.configureQueues(3, s.closedQueue(open), other)
	s.c.Check(s.cancel("/q/a", "", "a"), qt.Equals, graph.RefusedKey)
	s.c.Check(s.cancel("/q/a", "k", "a"), qt.Equals, graph.Refusal(""))
	s.configureQueues(4, open, other)
	s.configureQueues(5, other)
	s.c.Check(s.cancel("/gone/b", "", "b"), qt.Equals, graph.RefusedKey)
	s.c.Check(s.cancel("/q/b", "", "b"), qt.Equals, graph.Refusal(""))
}

// closedQueue returns the queue as one that is not open.
func (s *fixture) closedQueue(queue graph.Queue) graph.Queue {
	queue.Open = false
	return queue
}

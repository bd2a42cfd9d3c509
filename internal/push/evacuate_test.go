package push

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// startTargetIn starts a target with default capacity in a failure domain.
func (s *fixture) startTargetIn(domain, name string) {
	announcement := defaultAnnouncement(name, 1)
	announcement.Domain = domain
	s.startTarget(announcement)
}

// newDomainFixture returns a fixture with target w0 in the domain east and w1 in west.
func newDomainFixture(t *testing.T) *fixture {
	s := newFixture(t, false)
	s.fleet.runTime = time.Hour
	s.startTargetIn("east", "w0")
	s.startTargetIn("west", "w1")
	return s
}

// longTasks returns a step of tasks that are expected to run as long as those of the fixture
// do. Without an estimate they would be taken for tasks that make no progress.
func longTasks(count int) graph.Step {
	step := tasks(count)
	step.Estimate = graph.Millis(time.Hour.Milliseconds())
	return step
}

func (s *fixture) evacuate(domain string, withdrawn bool) {
	s.c.Helper()
	fault := s.scheduler.Evacuate(s.ctx(), domain, withdrawn)
	s.c.Assert(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
}

// changeLeader ends the leader's term and starts the next one. Between is called while no
// instance leads.
func (s *fixture) changeLeader(between func()) {
	l := s.scheduler.currentLeader.Load()
	s.scheduler.LostLeadership()
	between()
	s.scheduler.BecameLeader(l.term + 1)
}

// staysAt checks that the number of runs on a target does not change for a while.
func (s *fixture) staysAt(target string, runs int) {
	s.c.Helper()
	for end := time.Now().Add(testTiming().StopSettleTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.c.Assert(s.runCount(target), qt.Equals, runs)
	}
}

// Tasks that run in an evacuated domain go on, and no other is started there until the
// evacuation is withdrawn. What has no place elsewhere waits, and is not refused.
func TestEvacuatedDomainGetsNoStart(t *testing.T) {
	s := newDomainFixture(t)
	s.evacuate("west", false)
	s.submit("a", longTasks(4))
	s.eventually(waitTimeout, "first target is full", func() bool { return s.runCount("w0") == 4 })
	s.evacuate("west", true)
	s.submit("b", longTasks(4))
	s.eventually(waitTimeout, "second target is full", func() bool { return s.runCount("w1") == 4 })
	s.evacuate("east", false)
	s.evacuate("west", false)
	s.submit("c", longTasks(2))
	s.fleet.withLock(func() {
		target := s.fleet.targets["w0"]
		for ref, r := range target.running {
			s.fleet.end(target, ref, r.run, graph.OutcomeDone)
		}
	})
	s.staysAt("w0", 0)
	s.staysAt("w1", 4)
	s.c.Check(s.state("c"), qt.Equals, graph.StateQueued)
	s.evacuate("east", true)
	s.eventually(time.Second, "target gets work again", func() bool { return s.runCount("w0") == 2 })
	s.c.Check(s.scheduler.ledger.IsEvacuated("west"), qt.IsTrue)
	s.assertNoDoubleRuns()
}

// An operator whose response was lost sends the request again. It must be acknowledged and
// change nothing, through any number of leaders.
func TestEvacuateAgainChangesNothing(t *testing.T) {
	s := newDomainFixture(t)
	for _, withdrawn := range []bool{false, true} {
		s.evacuate("east", withdrawn)
		first, changes := s.scheduler.ledger.Evacuations()
		s.evacuate("east", withdrawn)
		s.changeLeader(func() {})
		s.evacuate("east", withdrawn)
		all, changesNow := s.scheduler.ledger.Evacuations()
		s.c.Check(all, qt.DeepEquals, first)
		s.c.Check(changesNow, qt.Equals, changes)
	}
}

// A request that names an unknown domain must change nothing, and an evacuated domain must
// stay known until it is withdrawn, whatever the settings name since.
func TestUnknownDomainIsNotEvacuated(t *testing.T) {
	s := newDomainFixture(t)
	s.evacuate("east", false)
	for _, domains := range [][]string{nil, {"north"}} {
		s.scheduler.domains = domains
		for _, domain := range []string{"", "none"} {
			for _, withdrawn := range []bool{false, true} {
				fault := s.scheduler.Evacuate(s.ctx(), domain, withdrawn)
				s.c.Assert(fault != nil && fault.Code == wire.CodeNotFound, qt.IsTrue)
				s.c.Check(fault.Detail, qt.Equals, fmt.Sprintf("failure domain %q is unknown", domain))
			}
		}
		_, changes := s.scheduler.ledger.Evacuations()
		s.c.Check(changes, qt.Equals, uint64(1))
	}
	s.evacuate("north", false)
	s.evacuate("east", true)
	fault := s.scheduler.Evacuate(s.ctx(), "east", false)
	s.c.Check(fault != nil && fault.Code == wire.CodeNotFound, qt.IsTrue)
}

// A request that its operator has given up may reach the leader after the one that withdraws
// it. The domain would get no work then, and nobody would know.
func TestLateEvacuationIsNotCarriedOut(t *testing.T) {
	s := newDomainFixture(t)
	late := &EvacuateArgs{Domain: "east"}
	s.evacuate("east", false)
	s.evacuate("east", true)
	var reply wire.Reply[EvacuateReply]
	s.c.Assert((&rpcService{scheduler: s.scheduler}).Evacuate(late, &reply), qt.IsNil)
	s.c.Check(reply.Fault == nil, qt.IsTrue)
	s.c.Check(reply.Value.Outdated, qt.IsTrue)
	s.c.Check(reply.Value.Changes, qt.Equals, uint64(2))
	s.c.Check(s.scheduler.ledger.IsEvacuated("east"), qt.IsFalse)
}

// Two domains are evacuated at once, each by several requests. Each change is one, and none may
// be lost because another was committed meanwhile.
func TestEvacuationsAtOnce(t *testing.T) {
	s := newDomainFixture(t)
	for _, withdrawn := range []bool{false, true} {
		var requests sync.WaitGroup
		for i := range 8 {
			requests.Go(func() {
				fault := s.scheduler.Evacuate(s.ctx(), []string{"east", "west"}[i%2], withdrawn)
				s.c.Check(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
			})
		}
		requests.Wait()
		s.c.Check(s.scheduler.ledger.IsEvacuated("east"), qt.Equals, !withdrawn)
		s.c.Check(s.scheduler.ledger.IsEvacuated("west"), qt.Equals, !withdrawn)
	}
	_, changes := s.scheduler.ledger.Evacuations()
	s.c.Check(changes, qt.Equals, uint64(4))
}

// A placement may be committed after the evacuation, as it was proposed before. Its start must
// not be sent, and the task has to run elsewhere.
func TestStartIsNotSentAfterEvacuation(t *testing.T) {
	s := newDomainFixture(t)
	s.evacuate("east", false)
	s.evacuate("west", false)
	s.submit("a", longTasks(1))
	l := s.scheduler.currentLeader.Load()
	placement := graph.Placement{
		Task:   graph.TaskRef{Job: "a"},
		Run:    1,
		Target: defaultAnnouncement("w0", 1).ID,
	}
	_, fault := l.propose(s.ctx(), graph.Command{Place: &graph.Place{Groups: [][]graph.Placement{{placement}}}})
	s.c.Assert(fault == nil, qt.IsTrue)
	l.sendStart(placement, plan.Ticket{})
	s.eventually(time.Second, "run is taken back", func() bool {
		return s.scheduler.ledger.RunCount(placement.Target) == 0
	})
	s.fleet.withLock(func() { s.c.Check(s.fleet.starts, qt.HasLen, 0) })
	s.evacuate("west", true)
	s.eventually(time.Second, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.c.Check(s.runCount("w0"), qt.Equals, 0)
}

// A start that was not answered is repeated, but not in a domain that is evacuated meanwhile.
// The first one may be carried out late: the task runs elsewhere only when it can't be.
func TestStartIsNotRepeatedAfterEvacuation(t *testing.T) {
	s := newDomainFixture(t)
	s.evacuate("west", false)
	s.fleet.withLock(func() { s.fleet.targets["w0"].delayedStarts = startAttempts })
	s.submit("a", longTasks(1))
	s.eventually(waitTimeout, "start is sent", func() bool { return s.sentRuns("a") == 1 })
	s.evacuate("east", false)
	s.evacuate("west", true)
	s.eventually(waitTimeout, "task runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.fleet.withLock(func() {
		first := 0
		for _, start := range s.fleet.starts {
			if start.Run == 1 {
				first++
			}
		}
		s.c.Check(first, qt.Equals, 1)
	})
	s.staysAt("w0", 0)
	s.assertNoDoubleRuns()
}

// A new leader must not start the runs that its predecessor placed in an evacuated domain, and
// leaves those alone that run. It finds the evacuation in its ledger, and withdraws it.
func TestEvacuationOutlivesItsLeader(t *testing.T) {
	s := newDomainFixture(t)
	s.evacuate("west", false)
	s.submit("a", longTasks(2))
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 2 })
	s.evacuate("west", true)
	s.evacuate("east", false)
	lost := graph.TaskRef{Job: "a"}
	s.changeLeader(func() {
		s.fleet.withLock(func() {
			// The target has never got the start of this run.
			delete(s.fleet.targets["w0"].running, lost)
			s.fleet.starts = nil
		})
	})
	s.eventually(waitTimeout, "the run that was not started runs elsewhere", func() bool { return s.runCount("w1") == 1 })
	s.fleet.withLock(func() {
		s.c.Assert(s.fleet.starts, qt.HasLen, 1)
		s.c.Check(s.fleet.starts[0].Task, qt.Equals, lost)
		s.c.Check(s.fleet.starts[0].Run, qt.Equals, uint32(2))
	})
	s.c.Check(s.runCount("w0"), qt.Equals, 1)
	s.submit("b", longTasks(3))
	s.eventually(waitTimeout, "other domain is full", func() bool { return s.runCount("w1") == 4 })
	s.submit("c", longTasks(1))
	s.staysAt("w0", 1)
	s.changeLeader(func() {})
	s.evacuate("east", true)
	s.eventually(time.Second, "target gets work again", func() bool { return s.runCount("w0") == 2 })
	s.assertNoDoubleRuns()
}

// A task that saves checkpoints and runs for long is stopped and goes on elsewhere from its
// checkpoint. Others run to their end in the evacuated domain, and so does one that the other
// domain has no free room for.
func TestCheckpointedTasksLeaveEvacuatedDomain(t *testing.T) {
	s := newDomainFixture(t)
	s.fleet.checkpoint = "state-1"
	s.evacuate("west", false)
	s.submit("a", longTasks(1))
	checkpointed := longTasks(3)
	checkpointed.Checkpoints = true
	s.submit("b", checkpointed)
	s.eventually(waitTimeout, "tasks run", func() bool { return s.runCount("w0") == 4 })
	s.evacuate("west", true)
	s.submit("c", longTasks(2))
	s.eventually(waitTimeout, "others run", func() bool { return s.runCount("w1") == 2 })
	s.evacuate("east", false)
	s.eventually(waitTimeout, "two tasks are moved", func() bool { return s.runCount("w1") == 4 })
	s.fleet.withLock(func() {
		moved := s.fleet.starts[len(s.fleet.starts)-2:]
		for _, start := range moved {
			s.c.Check(start.Task.Job, qt.Equals, graph.JobID("b"))
			s.c.Check(start.Run, qt.Equals, uint32(2))
			s.c.Check(start.Checkpoint, qt.Equals, "state-1")
		}
	})
	s.staysAt("w0", 2)
	s.staysAt("w1", 4)
	s.assertNoDoubleRuns()
}

// restartable is a group of three instances that can be stopped and started again on their
// disks.
type restartable struct {
	*fixture

	addresses, folders []string
	schedulers         []*Scheduler
}

// startAll starts all instances, and waits until one leads.
func (r *restartable) startAll() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.schedulers = nil
	for i, address := range r.addresses {
		scheduler, err := NewScheduler(group.Config{
			Name:              fmt.Sprint("n", i),
			Address:           address,
			Seeds:             r.addresses,
			Bootstrap:         true,
			Voters:            len(r.addresses),
			ReplaceVoterAfter: time.Minute,
			DataFolder:        r.folders[i],
			ElectionTimeout:   300 * time.Millisecond,
			HeartbeatInterval: 50 * time.Millisecond,
		}, testTiming(), r.fleet, r.fleet, log)
		r.c.Assert(err, qt.IsNil)
		r.c.Assert(scheduler.Run(), qt.IsNil)
		r.schedulers = append(r.schedulers, scheduler)
	}
	r.eventually(waitTimeout, "an instance leads", func() bool {
		for _, scheduler := range r.schedulers {
			if scheduler.currentLeader.Load() != nil {
				r.scheduler = scheduler
				return true
			}
		}
		return false
	})
}

func (r *restartable) stopAll() {
	for _, scheduler := range r.schedulers {
		scheduler.Stop()
	}
}

// commit commits as many commands that change nothing.
func (r *restartable) commit(commands int64) {
	var left atomic.Int64
	left.Store(commands)
	var proposers sync.WaitGroup
	for range 20 {
		proposers.Go(func() {
			for left.Load() > 0 {
				for _, scheduler := range r.schedulers {
					l := scheduler.currentLeader.Load()
					if l == nil {
						continue
					}
					if _, fault := l.propose(l.ctx, graph.Command{Clear: &graph.ClearSuspicion{}}); fault == nil {
						left.Add(-1)
					}
				}
			}
		})
	}
	proposers.Wait()
}

// An acknowledged evacuation, or its withdrawal, must be in force after all processes were
// stopped and have started again, from the log and from a snapshot.
func TestEvacuationOutlivesAllProcesses(t *testing.T) {
	r := &restartable{fixture: &fixture{
		c:     qt.New(t),
		fleet: &fakeFleet{targets: map[string]*fakeTarget{}},
	}}
	for range 3 {
		r.addresses = append(r.addresses, local.UnusedAddress())
		r.folders = append(r.folders, t.TempDir())
	}
	t.Cleanup(r.stopAll)
	evacuated := func() {
		all, changes := r.scheduler.ledger.Evacuations()
		r.c.Assert(all, qt.HasLen, 1)
		r.c.Check(all[0].Domain, qt.Equals, "east")
		r.c.Check(changes, qt.Equals, uint64(3))
	}
	r.startAll()
	for _, scheduler := range r.schedulers {
		scheduler.domains = []string{"east", "west"}
	}
	for _, scheduler := range r.schedulers {
		fault := scheduler.Evacuate(r.ctx(), "west", false)
		r.c.Assert(fault == nil, qt.IsTrue)
	}
	r.evacuate("east", false)
	r.evacuate("west", true)
	r.stopAll()
	r.startAll()
	evacuated()
	// More commands than a snapshot is taken after.
	r.commit(5000)
	r.stopAll()
	r.startAll()
	evacuated()
}

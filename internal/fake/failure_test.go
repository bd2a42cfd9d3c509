package fake_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// TestLeaderKilled kills the leader twice while non-idempotent jobs run. No job
// may be lost or run twice at once, and placements must continue under the new
// leader.
func TestLeaderKilled(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 3}, 4)
	load := f.startLoad(8, nil)
	for range 2 {
		leader := f.cell.Leader()
		f.Assert(leader, qt.IsNotNil)
		time.Sleep(300 * time.Millisecond)
		leader.Kill()
		_, err := f.cell.WaitLeader(f.ctx, leader)
		f.Assert(err, qt.IsNil)
		before := load.resultCount()
		f.eventually("placements to continue", func() bool { return load.resultCount() > before+20 })
		f.Assert(leader.Start(false), qt.IsNil)
		f.Assert(f.cell.WaitReady(f.ctx), qt.IsNil)
	}
	load.stopAndCheck("succeeded")
}

// TestLeaderIsolated isolates the leader from its peers without closing its
// connections. It must become unready and refuse jobs while the others elect a
// leader and go on placing tasks.
func TestLeaderIsolated(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 3}, 4)
	load := f.startLoad(8, nil)
	oldLeader := f.cell.Leader()
	f.network.Isolate(oldLeader.Settings.Peers.Listen)
	isolatedAt := time.Now()
	_, err := f.cell.WaitLeader(f.ctx, oldLeader)
	f.Assert(err, qt.IsNil)
	time.Sleep(time.Until(isolatedAt.Add(4 * time.Second)))
	ready, _ := oldLeader.Daemon.Node().Ready()
	f.Check(ready, qt.IsFalse)
	isolatedClient := client.New([]string{"http://" + oldLeader.Settings.Callers.Listen}, client.WithCredential(f.keys["dispatch"]))
	_, err = submitOnce(f, isolatedClient)
	f.Check(errorCode(err), qt.Equals, wire.CodeStaleConfiguration)
	before := load.resultCount()
	f.eventually("placements to continue", func() bool { return load.resultCount() > before+50 })
	f.network.Heal(oldLeader.Settings.Peers.Listen)
	f.eventually("the old leader to be ready after the partition", func() bool {
		ready, _ := oldLeader.Daemon.Node().Ready()
		return ready
	})
	load.stopAndCheck("succeeded")
}

func submitOnce(f *fixture, c *client.Client) (entry.JobView, error) {
	ctx, cancel := shortContext(f)
	defer cancel()
	return c.Submit(ctx, f.newJob("dispatch", fake.TaskSpec{}), 0)
}

func errorCode(err error) wire.Code {
	var problem *client.Problem
	if errors.As(err, &problem) {
		return problem.Code
	}
	return ""
}

// TestWithdrawnKeyOnIsolatedInstance withdraws a key while one instance is
// isolated and can't learn of it. That instance must not accept the key for long.
func TestWithdrawnKeyOnIsolatedInstance(t *testing.T) {
	f := newFixture(t, fake.CellConfig{
		Voters:   3,
		Diskless: 1,
	}, 1)
	disklessInstance := f.cell.Instances[3]
	f.network.Isolate(disklessInstance.Settings.Peers.Listen)
	withdrawnAt := time.Now()
	f.noteNumber++
	_, err := f.cell.OperatorClient().ApplyNote(f.ctx, note.Note{
		Number: f.noteNumber,
		Changes: []note.Change{{
			Op:  note.OpWithdraw,
			Key: &note.Key{ID: "dispatch-key"},
		}},
	}, false, 0)
	f.Assert(err, qt.IsNil)
	// A withdrawn key must be refused by every instance after three seconds.
	time.Sleep(time.Until(withdrawnAt.Add(3 * time.Second)))
	for _, instance := range f.cell.Instances {
		c := client.New([]string{"http://" + instance.Settings.Callers.Listen}, client.WithCredential(f.keys["dispatch"]))
		_, err := submitOnce(f, c)
		code := errorCode(err)
		refused := code == wire.CodeInvalidKey || code == wire.CodeStaleConfiguration
		f.Check(refused, qt.IsTrue, qt.Commentf("%s: %v", instance.Settings.Name, err))
	}
	f.Check(f.recorder.AllRuns(), qt.HasLen, 0)
}

// TestWithdrawnKeyEndsQueuedJobs checks that withdrawing a key ends its queued
// jobs as not run and lets its running jobs finish.
func TestWithdrawnKeyEndsQueuedJobs(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 1}, 1)
	running := f.newJob("dispatch", fake.TaskSpec{RunMillis: 1000})
	running.Resources.CPU = 8000
	_, err := f.callerClient("dispatch").Submit(f.ctx, running, 0)
	f.Assert(err, qt.IsNil)
	f.eventually("the first job to run", func() bool { return len(f.recorder.Runs(running.RequestID)) == 1 })
	queued := f.newJob("dispatch", fake.TaskSpec{})
	queued.Resources.CPU = 8000
	_, err = f.callerClient("dispatch").Submit(f.ctx, queued, 0)
	f.Assert(err, qt.IsNil)
	f.applyNote(note.Change{
		Op:  note.OpWithdraw,
		Key: &note.Key{ID: "dispatch-key"},
	})
	jobs, err := f.cell.OperatorClient().List(f.ctx, false, 10)
	f.Assert(err, qt.IsNil)
	f.Check(jobs[0].Outcome, qt.Equals, "not-run")
	f.Check(jobs[0].Reason, qt.Equals, "key-withdrawn")
	f.eventually("the running job to finish", func() bool {
		jobs, err := f.cell.OperatorClient().List(f.ctx, false, 10)
		return err == nil && jobs[1].Outcome == "succeeded"
	})
	f.Check(f.recorder.Runs(queued.RequestID), qt.HasLen, 0)
}

// TestConcurrentNotes applies two different notes with the same number at once.
// Exactly one must be accepted, and applying that one again must succeed.
func TestConcurrentNotes(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 3}, 0)
	results := make(chan error, 2)
	newNote := func(team string) note.Note {
		return note.Note{
			Number: f.noteNumber + 1,
			Changes: []note.Change{{
				Op:   note.OpAdd,
				Team: &note.Team{Name: team},
			}},
		}
	}
	for _, team := range []string{"estates", "gardens"} {
		go func() {
			_, err := f.cell.OperatorClient().ApplyNote(f.ctx, newNote(team), false, 0)
			results <- err
		}()
	}
	first, second := <-results, <-results
	f.Assert((first == nil) != (second == nil), qt.IsTrue, qt.Commentf("%v, %v", first, second))
	if first == nil {
		first = second
	}
	f.Check(errorCode(first), qt.Equals, wire.CodeNoteConflict)
	inForce, err := f.cell.OperatorClient().ActiveConfig(f.ctx)
	f.Assert(err, qt.IsNil)
	// The request may reach an instance that has not received the note yet.
	f.eventually("an instance to report the accepted note", func() bool {
		inForce, err = f.cell.OperatorClient().ActiveConfig(f.ctx)
		return err == nil && inForce.InForce.Number == f.noteNumber+1
	})
	winner := "estates"
	if _, ok := inForce.InForce.Teams[winner]; !ok {
		winner = "gardens"
	}
	repeated, err := f.cell.OperatorClient().ApplyNote(f.ctx, newNote(winner), false, 0)
	f.Assert(err, qt.IsNil)
	f.Check(repeated.InForce.Number, qt.Equals, f.noteNumber+1)
}

// TestTargetCrash kills a target that runs an idempotent and a non-idempotent
// job. The idempotent job must still succeed; the other must end as unknown and
// must not run twice.
func TestTargetCrash(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 1}, 1)
	nonIdempotent := f.newJob("dispatch", fake.TaskSpec{Forever: true})
	idempotent := f.newJob("dispatch", fake.TaskSpec{RunMillis: 200})
	idempotent.Idempotent = true
	for _, request := range []entry.JobRequest{nonIdempotent, idempotent} {
		_, err := f.callerClient("dispatch").Submit(f.ctx, request, 0)
		f.Assert(err, qt.IsNil)
		f.eventually("the job to run", func() bool { return len(f.recorder.Runs(request.RequestID)) == 1 })
	}
	f.targets[0].Kill()
	f.addTarget("worker-new", false)
	f.Check(f.waitForOutcome("dispatch", nonIdempotent.RequestID).Outcome, qt.Equals, "unknown")
	f.Check(f.waitForOutcome("dispatch", idempotent.RequestID).Outcome, qt.Equals, "succeeded")
	f.Check(f.recorder.Runs(nonIdempotent.RequestID), qt.HasLen, 1)
	f.checkNoViolations()
}

// TestTargetReannounces starts a second target with the ID of a running one, as
// a restarted process does while its previous session may still be live. The
// non-idempotent job of the first must end as unknown and not run twice at once.
func TestTargetReannounces(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 1}, 1)
	nonIdempotent := f.newJob("dispatch", fake.TaskSpec{Forever: true})
	_, err := f.callerClient("dispatch").Submit(f.ctx, nonIdempotent, 0)
	f.Assert(err, qt.IsNil)
	f.eventually("the job to run", func() bool { return len(f.recorder.Runs(nonIdempotent.RequestID)) == 1 })
	// The first target keeps running while the second one with its ID starts.
	f.addTarget("worker-0", false)
	f.Check(f.waitForOutcome("dispatch", nonIdempotent.RequestID).Outcome, qt.Equals, "unknown")
	f.checkNoViolations()
}

// TestTargetLeaves checks that a leaving target gets no new tasks after two
// seconds, and that its tasks finish there or are moved.
func TestTargetLeaves(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 3}, 2)
	load := f.startLoad(4, func(r *entry.JobRequest) { r.Idempotent = true })
	time.Sleep(200 * time.Millisecond)
	f.Assert(f.targets[0].Leave(f.ctx), qt.IsNil)
	leftAt := time.Now()
	before := load.resultCount()
	f.eventually("jobs to complete", func() bool { return load.resultCount() > before+100 })
	load.stopAndCheck("succeeded")
	for _, run := range f.recorder.AllRuns() {
		if run.Target == "worker-0" {
			f.Check(run.Started.Before(leftAt.Add(2*time.Second)), qt.IsTrue)
		}
	}
}

// TestShutdownCompletesRequests shuts the leader down twice while callers wait
// on it. Each request must still get its answer.
func TestShutdownCompletesRequests(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 3}, 4)
	for range 2 {
		leader := f.cell.Leader()
		f.Assert(leader, qt.IsNotNil)
		leaderClient := client.New([]string{"http://" + leader.Settings.Callers.Listen}, client.WithCredential(f.keys["dispatch"]))
		results := make(chan error, 20)
		for range 20 {
			go func() {
				_, err := leaderClient.Submit(f.ctx, f.newJob("dispatch", fake.TaskSpec{RunMillis: 600}), 20*time.Second)
				results <- err
			}()
		}
		time.Sleep(200 * time.Millisecond)
		f.Check(leader.Daemon.Shutdown(), qt.IsNil)
		leader.Daemon = nil
		for range 20 {
			f.Check(<-results, qt.IsNil)
		}
		f.Assert(leader.Start(false), qt.IsNil)
		f.Assert(f.cell.WaitReady(f.ctx), qt.IsNil)
	}
	f.checkNoViolations()
}

// TestDiskLoss removes the data of a voter, waits until the spare has replaced
// it, and then kills the leader. Jobs must still complete, and the first instance
// must be able to rejoin.
func TestDiskLoss(t *testing.T) {
	f := newFixture(t, fake.CellConfig{
		Voters: 3,
		Spares: 1,
	}, 2)
	load := f.startLoad(4, nil)
	var victim *fake.Instance
	for _, instance := range f.cell.Instances[:3] {
		if !instance.Leading() {
			victim = instance
		}
	}
	victim.Kill()
	f.Assert(victim.RemoveData(), qt.IsNil)
	f.eventually("the spare to become a voter", func() bool {
		leader := f.cell.Leader()
		if leader == nil {
			return false
		}
		members := leader.Daemon.Node().Membership()
		voters := 0
		for _, member := range members.Members {
			if member.Voter && member.Name != victim.Settings.Name {
				voters++
			}
		}
		return voters == 3 && len(members.Voters()) == 3
	})
	secondVictim := f.cell.Leader()
	secondVictim.Kill()
	before := load.resultCount()
	f.eventually("jobs to complete", func() bool { return load.resultCount() > before+50 })
	f.Assert(secondVictim.Start(false), qt.IsNil)
	f.Assert(victim.Start(false), qt.IsNil)
	f.eventually("the instance without its data to rejoin under a new identity", func() bool {
		ready, _ := victim.Daemon.Node().Ready()
		return ready && len(victim.Daemon.Node().Membership().Members) == 4
	})
	load.stopAndCheck("succeeded")
}

// TestReplacedVoterReturns stops a voter until a spare has replaced it. Its disk is
// kept, and its log still lists it as a voter when it returns; it must become a member
// again all the same.
func TestReplacedVoterReturns(t *testing.T) {
	f := newFixture(t, fake.CellConfig{
		Voters: 3,
		Spares: 1,
	}, 0)
	victim := f.votingFollower()
	// leaderLists reports whether there is a leader whose membership has the victim, or
	// has it not.
	leaderLists := func(listed bool) bool {
		leader := f.cell.Leader()
		if leader == nil {
			return false
		}
		found := false
		for _, member := range leader.Daemon.Node().Membership().Members {
			found = found || member.Name == victim.Settings.Name
		}
		return found == listed
	}
	victim.Kill()
	f.eventually("the voter to be replaced", func() bool { return leaderLists(false) })
	f.Assert(victim.Start(false), qt.IsNil)
	f.eventually("the voter to be a member again", func() bool { return leaderLists(true) })
}

// votingFollower returns a voter that does not lead. Any three of the instances may have
// become the voters.
func (f *fixture) votingFollower() *fake.Instance {
	var found *fake.Instance
	f.eventually("a voter beside the leader", func() bool {
		leader := f.cell.Leader()
		if leader == nil {
			return false
		}
		for _, member := range leader.Daemon.Node().Membership().Members {
			for _, instance := range f.cell.Instances {
				if member.Voter && member.Name == instance.Settings.Name && instance != leader {
					found = instance
				}
			}
		}
		return found != nil
	})
	return found
}

// TestRestartAfterManyNotes restarts a voter and a diskless instance that missed
// 500 notes. Both must reach the last note.
func TestRestartAfterManyNotes(t *testing.T) {
	f := newFixture(t, fake.CellConfig{
		Voters:   3,
		Diskless: 1,
	}, 0)
	restarted := []*fake.Instance{f.cell.Instances[3]}
	for _, instance := range f.cell.Instances[:3] {
		if !instance.Leading() {
			restarted = append(restarted, instance)
			break
		}
	}
	for _, instance := range restarted {
		instance.Kill()
	}
	for i := range 500 {
		f.noteNumber++
		_, err := f.cell.OperatorClient().ApplyNote(f.ctx, note.Note{
			Number: f.noteNumber,
			Changes: []note.Change{{
				Op: note.OpChange,
				Share: &note.Share{
					Team:   "dispatch",
					Weight: float64(i + 1),
				},
			}},
		}, false, 0)
		f.Assert(err, qt.IsNil)
	}
	for _, instance := range restarted {
		f.Assert(instance.Start(false), qt.IsNil)
		f.eventually("the instance to have the last note", func() bool {
			state, fresh := instance.Daemon.Node().Config()
			return fresh && state.Number == f.noteNumber && state.Teams["dispatch"].Share == 500
		})
	}
}

// TestLoweredLimit lowers a team's limit below its current usage. The cell must
// stop tasks until the usage is at the limit, and no more.
func TestLoweredLimit(t *testing.T) {
	f := newFixture(t, fake.CellConfig{Voters: 1}, 1)
	for range 8 {
		request := f.newJob("dispatch", fake.TaskSpec{Forever: true})
		request.Idempotent = true
		_, err := f.callerClient("dispatch").Submit(f.ctx, request, 0)
		f.Assert(err, qt.IsNil)
	}
	f.eventually("all jobs to run", func() bool { used, _ := f.recorder.Usage(); return used.CPU == 4000 })
	f.noteNumber++
	_, err := f.cell.OperatorClient().ApplyNote(f.ctx, note.Note{
		Number: f.noteNumber,
		Changes: []note.Change{{
			Op: note.OpChange,
			Limit: &note.Limit{
				Team: "dispatch",
				Room: quota.Resources{
					CPU:    1000,
					Memory: 8192,
				},
			},
		}},
	}, false, 0)
	f.Assert(err, qt.IsNil)
	f.eventually("usage to drop to the limit", func() bool {
		used, _ := f.recorder.Usage()
		return used.CPU == 1000
	})
	time.Sleep(200 * time.Millisecond)
	used, _ := f.recorder.Usage()
	f.Check(int64(used.CPU), qt.Equals, int64(1000))
}

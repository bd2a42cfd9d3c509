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

// TestLeaderKilled kills the leader twice in the middle of non-idempotent
// work.
func TestLeaderKilled(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 3}, 4)
	crowd := f.crowd(8, nil)
	for range 2 {
		leader := f.cell.Leader()
		f.Assert(leader, qt.IsNotNil)
		time.Sleep(300 * time.Millisecond)
		leader.Kill()
		_, err := f.cell.WaitLeader(f.ctx, leader)
		f.Assert(err, qt.IsNil)
		before := crowd.count()
		f.eventually("placements go on", func() bool { return crowd.count() > before+20 })
		f.Assert(leader.Start(false), qt.IsNil)
		f.Assert(f.cell.WaitReady(f.ctx), qt.IsNil)
	}
	crowd.finish("succeeded")
}

// TestLeaderCutOff cuts the leader off without a word. It must stop
// answering, and the rest must go on.
func TestLeaderCutOff(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 3}, 4)
	crowd := f.crowd(8, nil)
	old := f.cell.Leader()
	f.links.Cut(old.Settings.Peers.Listen)
	cut := time.Now()
	_, err := f.cell.WaitLeader(f.ctx, old)
	f.Assert(err, qt.IsNil)
	time.Sleep(time.Until(cut.Add(4 * time.Second)))
	ready, _ := old.Daemon.Node().Ready()
	f.Check(ready, qt.IsFalse)
	alone := client.New([]string{"http://" + old.Settings.Callers.Listen}, client.WithCredential(f.keys["dispatch"]))
	_, err = submitOnce(f, alone)
	f.Check(codeOf(err), qt.Equals, wire.CodeStale)
	before := crowd.count()
	f.eventually("placements go on", func() bool { return crowd.count() > before+50 })
	f.links.Heal(old.Settings.Peers.Listen)
	f.eventually("the healed instance is ready", func() bool {
		ready, _ := old.Daemon.Node().Ready()
		return ready
	})
	crowd.finish("succeeded")
}

func submitOnce(f *field, c *client.Client) (entry.JobView, error) {
	ctx, cancel := shortContext(f)
	defer cancel()
	return c.Submit(ctx, f.job("dispatch", fake.Work{}), 0)
}

func codeOf(err error) wire.Code {
	var p *client.Problem
	if errors.As(err, &p) {
		return p.Code
	}
	return ""
}

// TestWithdrawnKeyOnCutOffInstance withdraws a key while one instance can't
// hear of it.
func TestWithdrawnKeyOnCutOffInstance(t *testing.T) {
	f := newField(t, fake.CellConfig{
		Voters:  3,
		Entries: 1,
	}, 1)
	entryInstance := f.cell.Instances[3]
	f.links.Cut(entryInstance.Settings.Peers.Listen)
	withdrawn := time.Now()
	f.number++
	_, err := f.cell.Operators().ApplyNote(f.ctx, note.Note{
		Number: f.number,
		Changes: []note.Change{{
			Op:  note.OpWithdraw,
			Key: &note.Key{ID: "dispatch-key"},
		}},
	}, false, 0)
	f.Assert(err, qt.IsNil)
	// The stated bound: from three seconds on the key works nowhere.
	time.Sleep(time.Until(withdrawn.Add(3 * time.Second)))
	for _, instance := range f.cell.Instances {
		c := client.New([]string{"http://" + instance.Settings.Callers.Listen}, client.WithCredential(f.keys["dispatch"]))
		_, err := submitOnce(f, c)
		code := codeOf(err)
		dead := code == wire.CodeKey || code == wire.CodeStale
		f.Check(dead, qt.IsTrue, qt.Commentf("%s: %v", instance.Settings.Name, err))
	}
	f.Check(f.witness.All(), qt.HasLen, 0)
}

// TestWithdrawnKeyEndsQueuedWork sees work that waits end as not run.
func TestWithdrawnKeyEndsQueuedWork(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 1}, 1)
	running := f.job("dispatch", fake.Work{RunMillis: 1000})
	running.Room.CPU = 8000
	_, err := f.caller("dispatch").Submit(f.ctx, running, 0)
	f.Assert(err, qt.IsNil)
	f.eventually("the first runs", func() bool { return len(f.witness.Runs(running.RequestID)) == 1 })
	queued := f.job("dispatch", fake.Work{})
	queued.Room.CPU = 8000
	_, err = f.caller("dispatch").Submit(f.ctx, queued, 0)
	f.Assert(err, qt.IsNil)
	f.note(note.Change{
		Op:  note.OpWithdraw,
		Key: &note.Key{ID: "dispatch-key"},
	})
	jobs, err := f.cell.Operators().List(f.ctx, false, 10)
	f.Assert(err, qt.IsNil)
	f.Check(jobs[0].Outcome, qt.Equals, "not-run")
	f.Check(jobs[0].Reason, qt.Equals, "key-withdrawn")
	f.eventually("running work goes on to its end", func() bool {
		jobs, err := f.cell.Operators().List(f.ctx, false, 10)
		return err == nil && jobs[1].Outcome == "succeeded"
	})
	f.Check(f.witness.Runs(queued.RequestID), qt.HasLen, 0)
}

// TestOperatorsRace has two operators apply notes of one number at once, and
// the winner send its own again.
func TestOperatorsRace(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 3}, 0)
	results := make(chan error, 2)
	rival := func(team string) note.Note {
		return note.Note{
			Number: f.number + 1,
			Changes: []note.Change{{
				Op:   note.OpAdd,
				Team: &note.Team{Name: team},
			}},
		}
	}
	for _, team := range []string{"estates", "gardens"} {
		go func() {
			_, err := f.cell.Operators().ApplyNote(f.ctx, rival(team), false, 0)
			results <- err
		}()
	}
	first, second := <-results, <-results
	f.Assert((first == nil) != (second == nil), qt.IsTrue, qt.Commentf("%v, %v", first, second))
	if first == nil {
		first = second
	}
	f.Check(codeOf(first), qt.Equals, wire.CodeConflict)
	inForce, err := f.cell.Operators().InForce(f.ctx)
	f.Assert(err, qt.IsNil)
	// Any instance answers, also one that does not have the note yet.
	f.eventually("an instance tells of the winner", func() bool {
		inForce, err = f.cell.Operators().InForce(f.ctx)
		return err == nil && inForce.InForce.Number == f.number+1
	})
	winner := "estates"
	if _, ok := inForce.InForce.Teams[winner]; !ok {
		winner = "gardens"
	}
	again, err := f.cell.Operators().ApplyNote(f.ctx, rival(winner), false, 0)
	f.Assert(err, qt.IsNil)
	f.Check(again.InForce.Number, qt.Equals, f.number+1)
}

// TestTargetLost kills a target under idempotent and non-idempotent work.
func TestTargetLost(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 1}, 1)
	once := f.job("dispatch", fake.Work{Forever: true})
	again := f.job("dispatch", fake.Work{RunMillis: 200})
	again.Idempotent = true
	for _, request := range []entry.JobRequest{once, again} {
		_, err := f.caller("dispatch").Submit(f.ctx, request, 0)
		f.Assert(err, qt.IsNil)
		f.eventually("it runs", func() bool { return len(f.witness.Runs(request.RequestID)) == 1 })
	}
	f.targets[0].Kill()
	f.addTarget("worker-new", false)
	f.Check(f.await("dispatch", once.RequestID).Outcome, qt.Equals, "unknown")
	f.Check(f.await("dispatch", again.RequestID).Outcome, qt.Equals, "succeeded")
	f.Check(f.witness.Runs(once.RequestID), qt.HasLen, 1)
	f.kept()
}

// TestTargetComesBack has a target announce itself anew under its own name
// while its earlier session may still be live.
func TestTargetComesBack(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 1}, 1)
	once := f.job("dispatch", fake.Work{Forever: true})
	_, err := f.caller("dispatch").Submit(f.ctx, once, 0)
	f.Assert(err, qt.IsNil)
	f.eventually("it runs", func() bool { return len(f.witness.Runs(once.RequestID)) == 1 })
	// The old process goes on; a second one of the same name starts.
	f.addTarget("worker-0", false)
	f.Check(f.await("dispatch", once.RequestID).Outcome, qt.Equals, "unknown")
	f.kept()
}

// TestTargetLeaves sees that a target that leaves gets nothing new after two
// seconds, and that its work is finished or moved.
func TestTargetLeaves(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 3}, 2)
	crowd := f.crowd(4, func(r *entry.JobRequest) { r.Idempotent = true })
	time.Sleep(200 * time.Millisecond)
	f.Assert(f.targets[0].Leave(f.ctx), qt.IsNil)
	left := time.Now()
	before := crowd.count()
	f.eventually("work goes on", func() bool { return crowd.count() > before+100 })
	crowd.finish("succeeded")
	for _, run := range f.witness.All() {
		if run.Target == "worker-0" {
			f.Check(run.Started.Before(left.Add(2*time.Second)), qt.IsTrue)
		}
	}
}

// TestShutdownCutsNothing stops one instance after the other while callers
// wait.
func TestShutdownCutsNothing(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 3}, 4)
	for range 2 {
		leader := f.cell.Leader()
		f.Assert(leader, qt.IsNotNil)
		direct := client.New([]string{"http://" + leader.Settings.Callers.Listen}, client.WithCredential(f.keys["dispatch"]))
		waits := make(chan error, 20)
		for range 20 {
			go func() {
				_, err := direct.Submit(f.ctx, f.job("dispatch", fake.Work{RunMillis: 600}), 20*time.Second)
				waits <- err
			}()
		}
		time.Sleep(200 * time.Millisecond)
		f.Check(leader.Daemon.Shutdown(), qt.IsNil)
		leader.Daemon = nil
		for range 20 {
			f.Check(<-waits, qt.IsNil)
		}
		f.Assert(leader.Start(false), qt.IsNil)
		f.Assert(f.cell.WaitReady(f.ctx), qt.IsNil)
	}
	f.kept()
}

// TestDiskLost loses the disk of a voter, waits for the repair, and then
// loses a second instance at once.
func TestDiskLost(t *testing.T) {
	f := newField(t, fake.CellConfig{
		Voters: 3,
		Spares: 1,
	}, 2)
	crowd := f.crowd(4, nil)
	var victim *fake.Instance
	for _, instance := range f.cell.Instances[:3] {
		if !instance.Leading() {
			victim = instance
		}
	}
	victim.Kill()
	f.Assert(victim.LoseDisk(), qt.IsNil)
	f.eventually("the spare is a voter", func() bool {
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
	second := f.cell.Leader()
	second.Kill()
	before := crowd.count()
	f.eventually("work goes on", func() bool { return crowd.count() > before+50 })
	f.Assert(second.Start(false), qt.IsNil)
	f.Assert(victim.Start(false), qt.IsNil)
	f.eventually("the lost one is back under a new identity", func() bool {
		ready, _ := victim.Daemon.Node().Ready()
		return ready && len(victim.Daemon.Node().Membership().Members) == 4
	})
	crowd.finish("succeeded")
}

// TestRestartAfterManyNotes restarts an instance that 500 notes have passed.
func TestRestartAfterManyNotes(t *testing.T) {
	f := newField(t, fake.CellConfig{
		Voters:  3,
		Entries: 1,
	}, 0)
	late := []*fake.Instance{f.cell.Instances[3]}
	for _, instance := range f.cell.Instances[:3] {
		if !instance.Leading() {
			late = append(late, instance)
			break
		}
	}
	for _, instance := range late {
		instance.Kill()
	}
	for i := range 500 {
		f.number++
		_, err := f.cell.Operators().ApplyNote(f.ctx, note.Note{
			Number: f.number,
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
	for _, instance := range late {
		f.Assert(instance.Start(false), qt.IsNil)
		f.eventually("it has the last note", func() bool {
			state, fresh := instance.Daemon.Node().Config()
			return fresh && state.Number == f.number && state.Teams["dispatch"].Share == 500
		})
	}
}

// TestLoweredLimit lowers a limit below what runs.
func TestLoweredLimit(t *testing.T) {
	f := newField(t, fake.CellConfig{Voters: 1}, 1)
	for range 8 {
		request := f.job("dispatch", fake.Work{Forever: true})
		request.Idempotent = true
		_, err := f.caller("dispatch").Submit(f.ctx, request, 0)
		f.Assert(err, qt.IsNil)
	}
	f.eventually("all run", func() bool { total, _ := f.witness.Running(); return total.CPU == 4000 })
	f.number++
	_, err := f.cell.Operators().ApplyNote(f.ctx, note.Note{
		Number: f.number,
		Changes: []note.Change{{
			Op: note.OpChange,
			Limit: &note.Limit{
				Team: "dispatch",
				Room: quota.Room{
					CPU:    1000,
					Memory: 8192,
				},
			},
		}},
	}, false, 0)
	f.Assert(err, qt.IsNil)
	f.eventually("the excess is drawn down", func() bool {
		total, _ := f.witness.Running()
		return total.CPU == 1000
	})
	time.Sleep(200 * time.Millisecond)
	total, _ := f.witness.Running()
	f.Check(int64(total.CPU), qt.Equals, int64(1000))
}

package fake_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/config"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const caseTimeout = 60 * time.Second

// field is a cell with two teams, stand-in targets and a witness.
type field struct {
	*qt.C
	ctx     context.Context
	cell    *fake.Cell
	links   *fake.Links
	witness *fake.Witness
	targets []*fake.Target
	keys    map[string]string
	number  uint64
}

// quick shortens the times of a cell, so that failures are seen soon.
func quick(s *config.Settings) {
	s.Timing.Election = config.Duration(300 * time.Millisecond)
	s.Timing.Heartbeat = config.Duration(50 * time.Millisecond)
	s.Timing.LeaseTTL = config.Duration(3 * time.Second)
	s.Timing.LeaseMargin = config.Duration(300 * time.Millisecond)
	s.Timing.Replace = config.Duration(2 * time.Second)
	s.Timing.Grace = config.Duration(500 * time.Millisecond)
	s.Timing.DrainAfter = config.Duration(500 * time.Millisecond)
}

func newField(t *testing.T, cfg fake.CellConfig, targets int) *field {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	t.Cleanup(cancel)
	f := &field{
		C:       c,
		ctx:     ctx,
		links:   fake.NewLinks(0),
		witness: fake.NewWitness(),
		keys:    map[string]string{},
	}
	cfg.Folder = t.TempDir()
	cfg.Links = f.links
	if cfg.Change == nil {
		cfg.Change = quick
	}
	cell, err := fake.StartCell(ctx, cfg)
	c.Assert(err, qt.IsNil)
	f.cell = cell
	t.Cleanup(cell.Kill)
	f.firstNote()
	for i := range targets {
		f.addTarget(fmt.Sprintf("worker-%d", i), false)
	}
	f.awaitTargets(targets)
	return f
}

func (f *field) addTarget(id string, broken bool) *fake.Target {
	target := fake.StartTarget(fake.TargetConfig{
		ID:     id,
		Rack:   "rack-1",
		Domain: "ba",
		Slots:  8,
		Broken: broken,
		Capacity: quota.Room{
			CPU:    8000,
			Memory: 8192,
		},
	}, f.cell.Targets(), f.witness)
	f.targets = append(f.targets, target)
	f.Cleanup(target.Kill)
	return target
}

func (f *field) awaitTargets(count int) {
	f.eventually("targets are announced", func() bool {
		cell, err := f.cell.Operators().Cell(f.ctx)
		return err == nil && len(cell.Targets) == count
	})
}

func (f *field) firstNote() {
	var changes []note.Change
	for _, team := range []string{"dispatch", "parks"} {
		shown, key, err := note.NewSecret(team+"-key", team)
		f.Assert(err, qt.IsNil)
		f.keys[team] = shown
		limit := quota.Room{
			CPU:    1 << 30,
			Memory: 1 << 30,
		}
		f.witness.SetLimit(team, limit)
		f.witness.SetOwner(team+"-work", team)
		changes = append(changes, note.Change{
			Op: note.OpAdd,
			Team: &note.Team{
				Name:  team,
				Limit: limit,
			},
		}, note.Change{
			Op: note.OpAdd,
			Service: &note.Service{
				Name: team + "-work",
				Team: team,
				Kind: note.KindService,
			},
		}, note.Change{
			Op:  note.OpAdd,
			Key: &key,
		})
	}
	f.note(changes...)
}

// note applies the next release note.
func (f *field) note(changes ...note.Change) {
	f.number++
	_, err := f.cell.Operators().ApplyNote(f.ctx, note.Note{
		Number:  f.number,
		Changes: changes,
	}, false, 5*time.Second)
	f.Assert(err, qt.IsNil)
}

func (f *field) eventually(what string, holds func() bool) {
	for !holds() {
		if f.ctx.Err() != nil {
			f.Fatalf("not in time: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *field) caller(team string) *client.Client {
	return f.cell.Callers(f.keys[team])
}

func (f *field) job(team string, work fake.Work) entry.JobRequest {
	id, err := dedup.NewID()
	f.Assert(err, qt.IsNil)
	work.Request = id
	return entry.JobRequest{
		RequestID: id,
		Service:   team + "-work",
		Payload:   work.Encode(),
		Room: quota.Room{
			CPU:    500,
			Memory: 64,
		},
	}
}

// await waits for the outcome, through any instance.
func (f *field) await(team, id string) entry.JobView {
	for {
		view, err := f.caller(team).Get(f.ctx, id, "", 10*time.Second)
		if err != nil || view.State == "over" {
			f.Assert(err, qt.IsNil)
			return view
		}
	}
}

// crowd hands in jobs from many callers until it is told to stop.
type crowd struct {
	f       *field
	mu      sync.Mutex
	answers []entry.JobView
	errors  []error
	stop    chan struct{}
	done    sync.WaitGroup
}

func (f *field) crowd(callers int, change func(*entry.JobRequest)) *crowd {
	c := &crowd{
		f:    f,
		stop: make(chan struct{}),
	}
	for range callers {
		c.done.Add(1)
		go c.run(change)
	}
	return c
}

func (c *crowd) run(change func(*entry.JobRequest)) {
	defer c.done.Done()
	for {
		select {
		case <-c.stop:
			return
		default:
		}
		request := c.f.job("dispatch", fake.Work{RunMillis: 5})
		if change != nil {
			change(&request)
		}
		view, err := c.f.caller("dispatch").Submit(c.f.ctx, request, 0)
		for err == nil && view.State != "over" {
			view, err = c.f.caller("dispatch").Get(c.f.ctx, request.RequestID, "", 10*time.Second)
		}
		c.mu.Lock()
		c.answers = append(c.answers, view)
		if err != nil {
			c.errors = append(c.errors, err)
		}
		c.mu.Unlock()
	}
}

// finish stops the crowd and sees that every caller had a whole and true
// answer.
func (c *crowd) finish(outcomes ...string) {
	close(c.stop)
	c.done.Wait()
	c.f.Check(c.errors, qt.HasLen, 0)
	right := map[string]bool{}
	for _, outcome := range outcomes {
		right[outcome] = true
	}
	for _, view := range c.answers {
		c.f.Check(right[view.Outcome], qt.IsTrue, qt.Commentf("%s %s %s", view.RequestID, view.Outcome, view.Reason))
		runs := c.f.witness.Runs(view.RequestID)
		if view.Outcome == "not-run" {
			c.f.Check(runs, qt.HasLen, 0)
		}
		if view.Outcome == "succeeded" {
			c.f.Check(string(view.Tasks[0].Output), qt.Equals, "done "+view.RequestID)
		}
	}
	c.f.kept()
}

func (c *crowd) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers)
}

// kept sees that the targets saw no promise broken.
func (f *field) kept() {
	f.Check(f.witness.Broken(), qt.Equals, fake.Broken{})
}

func shortContext(f *field) (context.Context, context.CancelFunc) {
	return context.WithTimeout(f.ctx, 2*time.Second)
}

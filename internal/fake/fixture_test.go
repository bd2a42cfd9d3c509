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

const testTimeout = 60 * time.Second

// fixture is a running cell with two teams, simulated targets and a recorder.
type fixture struct {
	*qt.C
	ctx        context.Context
	cell       *fake.Cell
	network    *fake.Network
	recorder   *fake.Recorder
	targets    []*fake.Target
	keys       map[string]string
	noteNumber uint64
}

// shortTimings shortens the timings of a cell, so that it detects failures soon.
func shortTimings(s *config.Settings) {
	s.Timing.Election = config.Duration(300 * time.Millisecond)
	s.Timing.Heartbeat = config.Duration(50 * time.Millisecond)
	s.Timing.LeaseTTL = config.Duration(3 * time.Second)
	s.Timing.LeaseMargin = config.Duration(300 * time.Millisecond)
	s.Timing.ReplaceVoterAfter = config.Duration(2 * time.Second)
	s.Timing.NeverFitsGrace = config.Duration(500 * time.Millisecond)
	s.Timing.DrainAfter = config.Duration(500 * time.Millisecond)
}

func newFixture(t *testing.T, cfg fake.CellConfig, targets int) *fixture {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f := &fixture{
		C:        c,
		ctx:      ctx,
		network:  fake.NewNetwork(0),
		recorder: fake.NewRecorder(),
		keys:     map[string]string{},
	}
	cfg.DataDir = t.TempDir()
	cfg.Network = f.network
	if cfg.ModifySettings == nil {
		cfg.ModifySettings = shortTimings
	}
	cell, err := fake.StartCell(ctx, cfg)
	c.Assert(err, qt.IsNil)
	f.cell = cell
	t.Cleanup(cell.Kill)
	f.applyInitialNote()
	for i := range targets {
		f.addTarget(fmt.Sprintf("worker-%d", i), false)
	}
	f.waitForTargets(targets)
	return f
}

func (f *fixture) addTarget(id string, failTasks bool) *fake.Target {
	target := fake.StartTarget(fake.TargetConfig{
		ID:        id,
		Rack:      "rack-1",
		Domain:    "ba",
		Slots:     8,
		FailTasks: failTasks,
		Capacity: quota.Resources{
			CPU:    8000,
			Memory: 8192,
		},
	}, f.cell.TargetClient(), f.recorder)
	f.targets = append(f.targets, target)
	f.Cleanup(target.Kill)
	return target
}

func (f *fixture) waitForTargets(count int) {
	f.eventually("all targets to announce themselves", func() bool {
		cell, err := f.cell.OperatorClient().Cell(f.ctx)
		return err == nil && len(cell.Targets) == count
	})
}

func (f *fixture) applyInitialNote() {
	var changes []note.Change
	for _, team := range []string{"dispatch", "parks"} {
		secret, key, err := note.NewKey(team+"-key", team)
		f.Assert(err, qt.IsNil)
		f.keys[team] = secret
		limit := quota.Resources{
			CPU:    1 << 30,
			Memory: 1 << 30,
		}
		f.recorder.SetLimit(team, limit)
		f.recorder.SetOwner(team+"-work", team)
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
	f.applyNote(changes...)
}

// applyNote applies the changes as the next release note.
func (f *fixture) applyNote(changes ...note.Change) {
	f.noteNumber++
	_, err := f.cell.OperatorClient().ApplyNote(f.ctx, note.Note{
		Number:  f.noteNumber,
		Changes: changes,
	}, false, 5*time.Second)
	f.Assert(err, qt.IsNil)
}

func (f *fixture) eventually(description string, condition func() bool) {
	for !condition() {
		if f.ctx.Err() != nil {
			f.Fatalf("timed out waiting for: %s", description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fixture) callerClient(team string) *client.Client {
	return f.cell.CallerClient(f.keys[team])
}

func (f *fixture) newJob(team string, spec fake.TaskSpec) entry.JobRequest {
	id, err := dedup.NewID()
	f.Assert(err, qt.IsNil)
	spec.RequestID = id
	return entry.JobRequest{
		RequestID: id,
		Service:   team + "-work",
		Payload:   spec.Encode(),
		Resources: quota.Resources{
			CPU:    500,
			Memory: 64,
		},
	}
}

// waitForOutcome polls any of the instances until the job is over.
func (f *fixture) waitForOutcome(team, requestID string) entry.JobView {
	for {
		view, err := f.callerClient(team).Get(f.ctx, requestID, "", 10*time.Second)
		if err != nil || view.State == "over" {
			f.Assert(err, qt.IsNil)
			return view
		}
	}
}

// clientLoad submits jobs from concurrent clients until it is stopped.
type clientLoad struct {
	fixture *fixture
	mu      sync.Mutex
	results []entry.JobView
	errors  []error
	stop    chan struct{}
	wg      sync.WaitGroup
}

func (f *fixture) startLoad(clients int, modify func(*entry.JobRequest)) *clientLoad {
	l := &clientLoad{
		fixture: f,
		stop:    make(chan struct{}),
	}
	for range clients {
		l.wg.Add(1)
		go l.submitLoop(modify)
	}
	return l
}

func (l *clientLoad) submitLoop(modify func(*entry.JobRequest)) {
	defer l.wg.Done()
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		request := l.fixture.newJob("dispatch", fake.TaskSpec{RunMillis: 5})
		if modify != nil {
			modify(&request)
		}
		view, err := l.fixture.callerClient("dispatch").Submit(l.fixture.ctx, request, 0)
		for err == nil && view.State != "over" {
			view, err = l.fixture.callerClient("dispatch").Get(l.fixture.ctx, request.RequestID, "", 10*time.Second)
		}
		l.mu.Lock()
		l.results = append(l.results, view)
		if err != nil {
			l.errors = append(l.errors, err)
		}
		l.mu.Unlock()
	}
}

// stopAndCheck stops the clients and checks that each received a complete answer
// with one of the outcomes, that jobs reported as not run never started, that
// successful jobs have their own output, and that no guarantee was violated.
func (l *clientLoad) stopAndCheck(outcomes ...string) {
	close(l.stop)
	l.wg.Wait()
	l.fixture.Check(l.errors, qt.HasLen, 0)
	allowed := map[string]bool{}
	for _, outcome := range outcomes {
		allowed[outcome] = true
	}
	for _, view := range l.results {
		l.fixture.Check(allowed[view.Outcome], qt.IsTrue, qt.Commentf("%s %s %s", view.RequestID, view.Outcome, view.Reason))
		runs := l.fixture.recorder.Runs(view.RequestID)
		if view.Outcome == "not-run" {
			l.fixture.Check(runs, qt.HasLen, 0)
		}
		if view.Outcome == "succeeded" {
			l.fixture.Check(string(view.Tasks[0].Output), qt.Equals, "done "+view.RequestID)
		}
	}
	l.fixture.checkNoViolations()
}

func (l *clientLoad) resultCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

// checkNoViolations checks that the recorder counted no violations.
func (f *fixture) checkNoViolations() {
	f.Check(f.recorder.Violations(), qt.Equals, fake.Violations{})
}

func shortContext(f *fixture) (context.Context, context.CancelFunc) {
	return context.WithTimeout(f.ctx, 2*time.Second)
}

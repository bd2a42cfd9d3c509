package push

import (
	"context"
	"io"
	"math"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/local"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// fakeRun is a run on a fake target.
type fakeRun struct {
	run     uint32
	started time.Time
	ends    time.Time
	until   time.Time
}

// percent returns the run's progress now.
func (r *fakeRun) percent() float64 {
	whole := r.ends.Sub(r.started)
	return math.Floor(100 * min(1, time.Since(r.started).Seconds()/whole.Seconds()))
}

// fakeTarget keeps the rules of a target: tokens, deadlines by its own clock,
// ends listed until they are acknowledged.
type fakeTarget struct {
	born     time.Time
	lifetime int64
	token    uint64
	deadline Clock
	running  map[graph.TaskRef]*fakeRun
	highest  map[graph.TaskRef]uint32
	ended    []Ended
	seq      uint64
	silent   bool
	// swallow has the next starts carried out late and without an answer.
	swallow int
	// lose has the next listings of ends lost on their way.
	lose int
}

// fakeFleet is a port to fake targets in memory. It notes what breaks a
// promise.
type fakeFleet struct {
	mu      sync.Mutex
	targets map[string]*fakeTarget
	work    time.Duration
	// stopTakes is how long a stopped run is in neither list.
	stopTakes time.Duration
	// lateBy is how much later swallowed starts are carried out.
	lateBy  time.Duration
	tickets bool
	starts  []Start
	refused int
	twice   []string
	good    map[string]string
	// hang is a task whose first run stands still.
	hang graph.TaskRef
}

var (
	_ Targets = (*fakeFleet)(nil)
	_ Advisor = (*fakeFleet)(nil)
)

func (t *fakeTarget) clock() Clock {
	return Clock(time.Since(t.born)) + Clock(time.Hour)
}

// advance ends what is due.
func (f *fakeFleet) advance(t *fakeTarget) {
	now := time.Now()
	lapsed := t.deadline != 0 && t.clock() > t.deadline
	for ref, r := range t.running {
		switch {
		case lapsed:
			f.end(t, ref, r.run, graph.HowLapsed)
		case !r.until.IsZero() && now.After(r.until):
			f.end(t, ref, r.run, graph.HowStopped)
		case now.After(r.ends):
			f.end(t, ref, r.run, graph.HowDone)
		}
	}
}

func (f *fakeFleet) end(t *fakeTarget, ref graph.TaskRef, run uint32, how graph.How) {
	delete(t.running, ref)
	t.seq++
	t.highest[ref] = max(t.highest[ref], run)
	t.ended = append(t.ended, Ended{
		Seq:  t.seq,
		Task: ref,
		Run:  run,
		How:  how,
	})
}

// find returns the target after some network delay, or an error.
func (f *fakeFleet) find(ctx context.Context, t *graph.Target, token uint64) (*fakeTarget, error) {
	f.mu.Lock()
	target := f.targets[t.ID.ID]
	if target == nil || target.silent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, ErrUnanswered
	}
	for _, other := range f.targets {
		f.advance(other)
	}
	if target.lifetime != t.ID.Born {
		return nil, ErrOtherLifetime
	}
	if token < target.token {
		return nil, ErrFenced
	}
	target.token = token
	return target, nil
}

func (f *fakeFleet) Start(ctx context.Context, t *graph.Target, order Start) (Clock, error) {
	target, err := f.find(ctx, t, order.Token)
	defer f.mu.Unlock()
	if err != nil {
		return 0, err
	}
	f.starts = append(f.starts, order)
	if target.swallow > 0 {
		target.swallow--
		time.AfterFunc(f.lateBy, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = f.take(target, t.ID.ID, order)
		})
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, ErrUnanswered
	}
	return target.clock(), f.take(target, t.ID.ID, order)
}

func (f *fakeFleet) take(target *fakeTarget, id string, order Start) error {
	f.advance(target)
	if r := target.running[order.Task]; r != nil && r.run == order.Run {
		return nil
	}
	if order.Run <= target.highest[order.Task] || order.Deadline < target.clock() ||
		f.tickets && order.Ticket != f.good[id] {
		f.refused++
		return ErrRefused
	}
	for other, t := range f.targets {
		if t.running[order.Task] != nil && !t.silent {
			f.twice = append(f.twice, order.Task.Name()+" on "+other+" and "+id)
		}
	}
	target.deadline = max(target.deadline, order.Deadline)
	target.running[order.Task] = &fakeRun{
		run:     order.Run,
		started: time.Now(),
		ends:    time.Now().Add(f.work),
	}
	if order.Task == f.hang && order.Run == 1 {
		target.running[order.Task].ends = time.Now().Add(time.Hour)
	}
	return nil
}

func (f *fakeFleet) Stop(ctx context.Context, t *graph.Target, order Stop) (Clock, error) {
	target, err := f.find(ctx, t, order.Token)
	defer f.mu.Unlock()
	if err != nil {
		return 0, err
	}
	target.highest[order.Task] = max(target.highest[order.Task], order.Run)
	if r := target.running[order.Task]; r != nil && r.until.IsZero() {
		r.until = time.Now().Add(f.stopTakes)
	}
	return target.clock(), nil
}

func (f *fakeFleet) Hold(ctx context.Context, t *graph.Target, order Hold) (Listing, error) {
	limit := time.Now().Add(order.Wait)
	for {
		target, err := f.find(ctx, t, order.Token)
		if err != nil {
			f.mu.Unlock()
			return Listing{}, err
		}
		target.deadline = max(target.deadline, order.Deadline)
		for len(target.ended) > 0 && target.ended[0].Seq <= order.Acked {
			target.ended = target.ended[1:]
		}
		if len(target.ended) > 0 && target.lose > 0 {
			target.lose--
			f.mu.Unlock()
			<-ctx.Done()
			return Listing{}, ErrUnanswered
		}
		if len(target.ended) > 0 || time.Now().After(limit) {
			listing := target.list()
			f.mu.Unlock()
			return listing, nil
		}
		f.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (t *fakeTarget) list() Listing {
	listing := Listing{
		Clock: t.clock(),
		Ended: append([]Ended(nil), t.ended...),
	}
	for ref, r := range t.running {
		// A run that is being stopped is in neither list for a while.
		if !r.until.IsZero() {
			continue
		}
		listing.Running = append(listing.Running, Running{
			Task:    ref,
			Run:     r.run,
			Percent: r.percent(),
		})
	}
	return listing
}

func (f *fakeFleet) Pace(context.Context, *graph.Target, Pace) (Clock, error) {
	return 0, nil
}

func (f *fakeFleet) Forget(*graph.Target) {}

func (f *fakeFleet) Advise(context.Context, graph.TaskRef, []string) (Advice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Advice{
		Good:  f.good,
		Valid: 2 * time.Second,
	}, nil
}

func (f *fakeFleet) read(look func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		f.advance(t)
	}
	look()
}

// scene is one instance that leads, with a fake fleet.
type scene struct {
	c     *qt.C
	part  *Part
	fleet *fakeFleet
}

func testTerms() Terms {
	terms := DefaultTerms()
	terms.TTL = 1500 * time.Millisecond
	terms.Margin = 100 * time.Millisecond
	terms.Wait = 200 * time.Millisecond
	terms.Call = 150 * time.Millisecond
	terms.Silent = 500 * time.Millisecond
	terms.Settle = 400 * time.Millisecond
	return terms
}

// startPart starts a part in a new group of its seeds.
func startPart(t *testing.T, cfg group.Config, terms Terms, targets Targets, advisor Advisor) *Part {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg.DataFolder = t.TempDir()
	cfg.Form = true
	cfg.Voters = len(cfg.Seeds)
	cfg.Replace = time.Minute
	part, err := NewPart(cfg, terms, targets, advisor, log)
	c.Assert(err, qt.IsNil)
	c.Assert(part.Run(), qt.IsNil)
	t.Cleanup(part.Stop)
	return part
}

func newScene(t *testing.T, advice bool, names ...string) *scene {
	return newSceneWith(t, testTerms(), advice, names...)
}

func newSceneWith(t *testing.T, terms Terms, advice bool, names ...string) *scene {
	c := qt.New(t)
	fleet := &fakeFleet{
		targets: map[string]*fakeTarget{},
		work:    100 * time.Millisecond,
		lateBy:  600 * time.Millisecond,
		tickets: advice,
		good:    map[string]string{},
	}
	address := local.Address()
	part := startPart(t, group.Config{
		Name:      "a",
		Address:   address,
		Seeds:     []string{address},
		Election:  200 * time.Millisecond,
		Heartbeat: 40 * time.Millisecond,
	}, terms, fleet, fleet)
	s := &scene{
		c:     c,
		part:  part,
		fleet: fleet,
	}
	s.configure(advice)
	for _, name := range names {
		fleet.good[name] = "ticket-" + name
		s.announce(name, 1)
	}
	return s
}

func (s *scene) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	s.c.Cleanup(cancel)
	return ctx
}

func (s *scene) configure(advice bool) {
	queue := graph.Queue{
		Name:     "q",
		Host:     "h",
		Prefix:   "/q/",
		Service:  "s",
		Timeout:  1000,
		Attempts: 3,
	}
	if advice {
		queue.Advice = &graph.Advice{
			Base:  5 * time.Millisecond,
			Valid: 2 * time.Second,
		}
	}
	fault := s.part.Configure(s.ctx(), &graph.Config{
		Version:  1,
		Queues:   []graph.Queue{queue},
		Services: []graph.Service{{Name: "s"}},
		Tenants: []graph.Tenant{{
			Name: "t",
			Keys: []string{"k"},
		}},
	})
	s.c.Assert(fault == nil, qt.IsTrue)
}

// announce starts a lifetime of a target, and keeps its heartbeats going
// while it is not silent.
func (s *scene) announce(name string, born int64) {
	s.announceAs(graph.Announce{
		ID: graph.TargetID{
			ID:   name,
			Born: born,
		},
		Service: "s",
		Address: name,
		Capacity: quota.Room{
			CPU:    4000,
			Memory: 4000,
		},
	})
}

// announceAs starts a lifetime of a target that tells of itself what is given.
func (s *scene) announceAs(announce graph.Announce) {
	target := &fakeTarget{
		born:     time.Now(),
		lifetime: announce.ID.Born,
		running:  map[graph.TaskRef]*fakeRun{},
		highest:  map[graph.TaskRef]uint32{},
	}
	s.fleet.read(func() { s.fleet.targets[announce.ID.ID] = target })
	beat := func() {
		var clock Clock
		silent := false
		s.fleet.read(func() { clock, silent = target.clock(), target.silent })
		if silent {
			return
		}
		_ = s.part.Beat(s.ctx(), &Beat{
			Announce: announce,
			Clock:    clock,
		})
	}
	beat()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				beat()
			}
		}
	}()
	s.c.Cleanup(func() {
		close(stop)
		<-done
	})
}

func (s *scene) address() graph.Address {
	return graph.Address{
		Host: "h",
		Path: "/q/x",
		Key:  "k",
	}
}

func (s *scene) submit(id graph.JobID, steps ...graph.Step) {
	answer, fault := s.part.Submit(s.ctx(), &graph.Submit{
		Address: s.address(),
		ID:      id,
		Spec:    graph.Spec{Steps: steps},
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.c.Assert(answer.Refusal, qt.Equals, graph.Refusal(""))
}

func (s *scene) state(id graph.JobID) graph.State {
	answer, fault := s.part.State(s.ctx(), &Query{
		Address: s.address(),
		ID:      id,
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	return answer.State
}

// completed waits until the job is.
func (s *scene) completed(id graph.JobID) {
	s.c.Helper()
	s.eventually(patience, "job completed", func() bool {
		return s.state(id) == graph.StateCompleted
	})
}

// eventually waits for the condition, up to the time.
func (s *scene) eventually(within time.Duration, what string, holds func() bool) {
	s.c.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.c.Fatalf("not within %s: %s", within, what)
}

func (s *scene) never() {
	s.c.Helper()
	s.fleet.read(func() { s.c.Assert(s.fleet.twice, qt.HasLen, 0) })
}

func tasks(count int) graph.Step {
	return graph.Step{
		Count: count,
		Room: quota.Room{
			CPU:    1000,
			Memory: 10,
		},
	}
}

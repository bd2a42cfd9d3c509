package push

import (
	"context"
	"io"
	"maps"
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
	endsAt  time.Time
	stopsAt time.Time
}

// percent returns the run's current progress.
func (r *fakeRun) percent() float64 {
	total := r.endsAt.Sub(r.started)
	return math.Floor(100 * min(1, time.Since(r.started).Seconds()/total.Seconds()))
}

// fakeTarget implements the protocol of a target: it checks fencing tokens,
// applies deadlines by its own clock, and lists ends until they are acknowledged.
type fakeTarget struct {
	startedAt   time.Time
	incarnation int64
	token       uint64
	deadline    Clock
	running     map[graph.TaskRef]*fakeRun
	// highestRun has the highest run number that has ended or been stopped, by
	// task. Starts up to that number are refused.
	highestRun map[graph.TaskRef]uint32
	ended      []EndedRun
	seq        uint64
	silent     bool
	// answersLost is true while the target carries orders out and its answers get lost.
	answersLost bool
	// clockBehind is by how much less than an hour the target's clock reads at its start.
	clockBehind Clock
	// down is true after a crash: nothing listens at the target's address.
	down bool
	// refuses is true while the link to the target is cut and refuses connections.
	refuses bool
	// silentFromStart makes the target fall silent at the next start, before it takes
	// it.
	silentFromStart bool
	// delayedStarts is the number of further starts that are carried out late and
	// not answered.
	delayedStarts int
	// lostStops is the number of further stops that are carried out and not answered.
	lostStops int
	// lostRunLists is the number of further listings with ends that are lost in
	// transit.
	lostRunLists int
	// unknownRuns are further runs that the target lists as running.
	unknownRuns []ActiveRun
}

// fakeFleet implements Targets and Advisor with fake targets in memory. It records
// refused starts and tasks that run on two targets at once.
type fakeFleet struct {
	mu      sync.Mutex
	targets map[string]*fakeTarget
	runTime time.Duration
	// maxLease is the longest lease that a target grants, or zero if it grants any.
	maxLease time.Duration
	// failedRuns is the highest run number of a task that ends as failed.
	failedRuns uint32
	// stopDelay is how long a run that is being stopped is in neither list.
	stopDelay time.Duration
	// startDelay is the delay of the starts counted by delayedStarts.
	startDelay     time.Duration
	checkTickets   bool
	starts         []Start
	paces          []Pace
	refused        int
	doubleRuns     []string
	ticketByTarget map[string]string
	// adviceValid is how long tickets are valid.
	adviceValid time.Duration
	// startTime is how long a start takes to reach its target.
	startTime time.Duration
	// stopTime is how long a stop takes to be answered. stopsInFlight counts the
	// stops that are not answered yet, and maxStopsInFlight is their maximum.
	stopTime         time.Duration
	stopsInFlight    int
	maxStopsInFlight int
	// stalledTask is a task whose first run makes no progress.
	stalledTask graph.TaskRef
	// checkpoint is the checkpoint of runs that are stopped.
	checkpoint string
	// deadlyTask is a task that crashes each target that starts it, and crashed is
	// called with the target's name then.
	deadlyTask graph.TaskRef
	crashed    func(id string)
}

var (
	_ Targets = (*fakeFleet)(nil)
	_ Advisor = (*fakeFleet)(nil)
)

func (t *fakeTarget) clock() Clock {
	return Clock(time.Since(t.startedAt)) + Clock(time.Hour) - t.clockBehind
}

// applyDueEnds ends the runs that are due to end.
func (f *fakeFleet) applyDueEnds(t *fakeTarget) {
	now := time.Now()
	leaseExpired := t.deadline != 0 && t.clock() > t.deadline
	for ref, r := range t.running {
		switch {
		case leaseExpired:
			f.end(t, ref, r.run, graph.OutcomeLeaseExpired)
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			f.end(t, ref, r.run, graph.OutcomeStopped)
		case now.After(r.endsAt) && r.run <= f.failedRuns:
			f.end(t, ref, r.run, graph.OutcomeFailed)
		case now.After(r.endsAt):
			f.end(t, ref, r.run, graph.OutcomeDone)
		}
	}
}

func (f *fakeFleet) end(t *fakeTarget, ref graph.TaskRef, run uint32, outcome graph.RunOutcome) {
	delete(t.running, ref)
	t.seq++
	t.highestRun[ref] = max(t.highestRun[ref], run)
	ended := EndedRun{
		Seq:     t.seq,
		Task:    ref,
		Run:     run,
		Outcome: outcome,
	}
	if outcome == graph.OutcomeStopped {
		ended.Checkpoint = f.checkpoint
	}
	t.ended = append(t.ended, ended)
}

// lockTarget returns the target, or an error if the target does not answer or
// rejects the token. It returns with the mutex held in either case. Whichever
// incarnation of the target runs carries out the order, as orders name only the id.
// The address of a target is its id.
func (f *fakeFleet) lockTarget(ctx context.Context, t *graph.Target, token uint64) (*fakeTarget, error) {
	f.mu.Lock()
	target := f.targets[t.Address]
	if target != nil && t.Address != t.ID.ID {
		return nil, ErrOtherTarget
	}
	if target == nil || target.silent {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, ErrNoAnswer
	}
	if target.down || target.refuses {
		return nil, ErrDown
	}
	for _, other := range f.targets {
		f.applyDueEnds(other)
	}
	if token < target.token {
		return nil, ErrFenced
	}
	target.token = token
	return target, nil
}

func (f *fakeFleet) Start(ctx context.Context, t *graph.Target, order Start) (Clock, error) {
	f.mu.Lock()
	startTime := f.startTime
	f.mu.Unlock()
	time.Sleep(startTime)
	target, err := f.lockTarget(ctx, t, order.Token)
	defer f.mu.Unlock()
	if err != nil {
		return 0, err
	}
	f.starts = append(f.starts, order)
	if order.Task == f.deadlyTask && f.crashed != nil {
		target.down = true
		clear(target.running)
		f.crashed(t.ID.ID)
		return 0, ErrNoAnswer
	}
	if target.answersLost {
		_ = f.acceptStart(target, t.ID.ID, order)
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, ErrNoAnswer
	}
	if target.silentFromStart {
		target.silent = true
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, ErrNoAnswer
	}
	if target.delayedStarts > 0 {
		target.delayedStarts--
		time.AfterFunc(f.startDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = f.acceptStart(f.targets[t.ID.ID], t.ID.ID, order)
		})
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, ErrNoAnswer
	}
	return target.clock(), f.acceptStart(target, t.ID.ID, order)
}

// acceptStart starts the run, or refuses it, as a target does.
func (f *fakeFleet) acceptStart(target *fakeTarget, id string, order Start) error {
	f.applyDueEnds(target)
	// A run that is being stopped is not started again.
	if r := target.running[order.Task]; r != nil && r.run == order.Run && r.stopsAt.IsZero() {
		return nil
	}
	if order.Run <= target.highestRun[order.Task] || order.Deadline < target.clock() ||
		f.checkTickets && order.Ticket != f.ticketByTarget[id] {
		f.refused++
		return ErrRefused
	}
	for other, t := range f.targets {
		if t.running[order.Task] != nil && !t.silent {
			f.doubleRuns = append(f.doubleRuns, order.Task.Name()+" on "+other+" and "+id)
		}
	}
	f.extendLease(target, order.Deadline)
	target.running[order.Task] = &fakeRun{
		run:     order.Run,
		started: time.Now(),
		endsAt:  time.Now().Add(f.runTime),
	}
	if order.Task == f.stalledTask && order.Run == 1 {
		target.running[order.Task].endsAt = time.Now().Add(time.Hour)
	}
	return nil
}

// extendLease extends the target's lease up to the deadline, as far as it grants one.
func (f *fakeFleet) extendLease(target *fakeTarget, deadline Clock) {
	if f.maxLease > 0 {
		deadline = min(deadline, target.clock()+Clock(f.maxLease))
	}
	target.deadline = max(target.deadline, deadline)
}

func (f *fakeFleet) Stop(ctx context.Context, t *graph.Target, order Stop) (Clock, error) {
	f.mu.Lock()
	f.stopsInFlight++
	f.maxStopsInFlight = max(f.maxStopsInFlight, f.stopsInFlight)
	f.mu.Unlock()
	time.Sleep(f.stopTime)
	defer func() { f.withLock(func() { f.stopsInFlight-- }) }()
	target, err := f.lockTarget(ctx, t, order.Token)
	defer f.mu.Unlock()
	if err != nil {
		return 0, err
	}
	target.highestRun[order.Task] = max(target.highestRun[order.Task], order.Run)
	if r := target.running[order.Task]; r != nil && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(f.stopDelay)
	}
	if target.lostStops > 0 {
		target.lostStops--
		return 0, ErrNoAnswer
	}
	return target.clock(), nil
}

func (f *fakeFleet) RenewLease(ctx context.Context, t *graph.Target, renewal LeaseRenewal) (RunList, error) {
	limit := time.Now().Add(renewal.Wait)
	for {
		target, err := f.lockTarget(ctx, t, renewal.Token)
		if err != nil {
			f.mu.Unlock()
			return RunList{}, err
		}
		f.extendLease(target, renewal.Deadline)
		if target.answersLost {
			f.mu.Unlock()
			<-ctx.Done()
			return RunList{}, ErrNoAnswer
		}
		for len(target.ended) > 0 && target.ended[0].Seq <= renewal.Acked {
			target.ended = target.ended[1:]
		}
		if len(target.ended) > 0 && target.lostRunLists > 0 {
			target.lostRunLists--
			f.mu.Unlock()
			<-ctx.Done()
			return RunList{}, ErrNoAnswer
		}
		if len(target.ended) > 0 || time.Now().After(limit) {
			list := target.list()
			f.mu.Unlock()
			if target.incarnation != t.ID.Incarnation {
				return RunList{}, &RestartedError{Incarnation: target.incarnation}
			}
			return list, nil
		}
		f.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

func (t *fakeTarget) list() RunList {
	list := RunList{
		Clock: t.clock(),
		Ended: append([]EndedRun(nil), t.ended...),

		Running: append([]ActiveRun(nil), t.unknownRuns...),
	}
	for ref, r := range t.running {
		// A run that is being stopped is in neither list until it has ended.
		if !r.stopsAt.IsZero() {
			continue
		}
		list.Running = append(list.Running, ActiveRun{
			Task:    ref,
			Run:     r.run,
			Percent: r.percent(),
		})
	}
	return list
}

func (f *fakeFleet) Pace(_ context.Context, _ *graph.Target, order Pace) (Clock, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces = append(f.paces, order)
	return 0, nil
}

func (f *fakeFleet) Release(*graph.Target) {}

func (f *fakeFleet) Advise(context.Context, graph.TaskRef, []string) (Advice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Advice{
		Good:  maps.Clone(f.ticketByTarget),
		Valid: f.adviceValid,
	}, nil
}

// withLock calls fn with the mutex held, after ending the runs that are due.
func (f *fakeFleet) withLock(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		f.applyDueEnds(t)
	}
	fn()
}

// fixture is a single leading instance with a fake fleet.
type fixture struct {
	c         *qt.C
	scheduler *Scheduler
	fleet     *fakeFleet
}

func testTiming() Timing {
	timing := DefaultTiming()
	timing.TTL = 1500 * time.Millisecond
	timing.LeaseMargin = 100 * time.Millisecond
	timing.RenewalWait = 200 * time.Millisecond
	timing.CallTimeout = 150 * time.Millisecond
	timing.MaxHeartbeatAge = 500 * time.Millisecond
	timing.StopSettleTime = 400 * time.Millisecond
	timing.FreshRunTime = 300 * time.Millisecond
	timing.ClearSuspectAfter = 600 * time.Millisecond
	return timing
}

// startScheduler starts a Scheduler in a new group formed by its seeds.
func startScheduler(t *testing.T, cfg group.Config, timing Timing, targets Targets, advisor Advisor) *Scheduler {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg.DataFolder = t.TempDir()
	cfg.Bootstrap = true
	cfg.Voters = len(cfg.Seeds)
	cfg.ReplaceVoterAfter = time.Minute
	scheduler, err := NewScheduler(cfg, timing, targets, advisor, log)
	c.Assert(err, qt.IsNil)
	c.Assert(scheduler.Run(), qt.IsNil)
	t.Cleanup(scheduler.Stop)
	return scheduler
}

func newFixture(t *testing.T, advice bool, names ...string) *fixture {
	return newFixtureWithTiming(t, testTiming(), advice, names...)
}

func newFixtureWithTiming(t *testing.T, timing Timing, advice bool, names ...string) *fixture {
	c := qt.New(t)
	fleet := &fakeFleet{
		targets:        map[string]*fakeTarget{},
		runTime:        100 * time.Millisecond,
		startDelay:     600 * time.Millisecond,
		checkTickets:   advice,
		ticketByTarget: map[string]string{},
		adviceValid:    2 * time.Second,
	}
	address := local.UnusedAddress()
	scheduler := startScheduler(t, group.Config{
		Name:              "a",
		Address:           address,
		Seeds:             []string{address},
		ElectionTimeout:   200 * time.Millisecond,
		HeartbeatInterval: 40 * time.Millisecond,
	}, timing, fleet, fleet)
	s := &fixture{
		c:         c,
		scheduler: scheduler,
		fleet:     fleet,
	}
	s.configure(advice)
	for _, name := range names {
		fleet.ticketByTarget[name] = "ticket-" + name
		s.startDefaultTarget(name, 1)
	}
	return s
}

func (s *fixture) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	s.c.Cleanup(cancel)
	return ctx
}

// configureTimeout bounds the first election of a fixture and its configuration.
const configureTimeout = 5 * time.Second

func (s *fixture) configure(advice bool) {
	queue := graph.Queue{
		Name:     "q",
		Host:     "h",
		Prefix:   "/q/",
		Service:  "s",
		Timeout:  1000,
		Attempts: 3,
	}
	if advice {
		queue.Advice = &graph.AdviceTiming{
			Base:  5 * time.Millisecond,
			Valid: 2 * time.Second,
		}
	}
	config := &graph.Config{
		Version:  1,
		Queues:   []graph.Queue{queue},
		Services: []graph.Service{{Name: "s"}},
		ClientAccounts: []graph.ClientAccount{{
			Name: "t",
			Keys: []string{"k"},
		}},
	}
	// Before its first election a lone instance refuses calls after half a second, as it hears
	// from no peer. An operator sends a configuration until it is accepted.
	s.eventually(configureTimeout, "configuration is accepted", func() bool {
		return s.scheduler.Configure(s.ctx(), config) == nil
	})
}

// startDefaultTarget starts an incarnation of a target with default capacity,
// and sends its heartbeats while it is not silent.
func (s *fixture) startDefaultTarget(name string, incarnation int64) {
	s.startTarget(defaultAnnouncement(name, incarnation))
}

// defaultAnnouncement returns the announcement of a target with default capacity.
func defaultAnnouncement(name string, incarnation int64) graph.Announcement {
	return graph.Announcement{
		ID: graph.TargetID{
			ID:          name,
			Incarnation: incarnation,
		},
		Service: "s",
		Address: name,
		Capacity: quota.Resources{
			CPU:    4000,
			Memory: 4000,
		},
	}
}

// newFakeTarget returns a target that has just started.
func newFakeTarget(incarnation int64) *fakeTarget {
	return &fakeTarget{
		startedAt:   time.Now(),
		incarnation: incarnation,
		running:     map[graph.TaskRef]*fakeRun{},
		highestRun:  map[graph.TaskRef]uint32{},
	}
}

// startTarget starts an incarnation of a target with the given announcement,
// and sends its heartbeats while it is not silent.
func (s *fixture) startTarget(announcement graph.Announcement) {
	target := newFakeTarget(announcement.ID.Incarnation)
	s.fleet.withLock(func() { s.fleet.targets[announcement.ID.ID] = target })
	sendHeartbeat := func() {
		var clock Clock
		silent := false
		s.fleet.withLock(func() {
			clock, silent = target.clock(), target.silent || target.down
			silent = silent || s.fleet.targets[announcement.ID.ID].answersLost
		})
		if silent {
			return
		}
		_ = s.scheduler.ForwardHeartbeat(s.ctx(), &Heartbeat{
			Announce: announcement,
			Clock:    clock,
		})
	}
	sendHeartbeat()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				sendHeartbeat()
			}
		}
	}()
	s.c.Cleanup(func() {
		close(stop)
		<-done
	})
}

func (s *fixture) address() graph.Address {
	return graph.Address{
		Host: "h",
		Path: "/q/x",
		Key:  "k",
	}
}

func (s *fixture) submit(id graph.JobID, steps ...graph.Step) {
	answer, fault := s.scheduler.Submit(s.ctx(), &graph.Submit{
		Address: s.address(),
		ID:      id,
		Spec:    graph.Spec{Steps: steps},
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	s.c.Assert(answer.Refusal, qt.Equals, graph.Refusal(""))
}

func (s *fixture) state(id graph.JobID) graph.State {
	answer, fault := s.scheduler.State(s.ctx(), &JobQuery{
		Address: s.address(),
		ID:      id,
	})
	s.c.Assert(fault == nil, qt.IsTrue)
	return answer.State
}

// waitCompleted waits until the job is completed.
func (s *fixture) waitCompleted(id graph.JobID) {
	s.c.Helper()
	s.eventually(waitTimeout, "job completed", func() bool {
		return s.state(id) == graph.StateCompleted
	})
}

// eventually waits for the condition, and fails the test after the given time.
func (s *fixture) eventually(within time.Duration, what string, condition func() bool) {
	s.c.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.c.Fatalf("condition not met within %s: %s", within, what)
}

// assertNoDoubleRuns checks that no task ran on two answering targets at once.
func (s *fixture) assertNoDoubleRuns() {
	s.c.Helper()
	s.fleet.withLock(func() { s.c.Assert(s.fleet.doubleRuns, qt.HasLen, 0) })
}

// tasks returns a step of count tasks, four of which fit on a default target.
func tasks(count int) graph.Step {
	return graph.Step{
		Count: count,
		Resources: quota.Resources{
			CPU:    1000,
			Memory: 10,
		},
	}
}

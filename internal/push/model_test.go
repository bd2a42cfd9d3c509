package push

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

var (
	modelSeeds   = flag.Int("model-seeds", 60, "number of seeds to run the model tests with")
	modelFirst   = flag.Uint64("model-first", 1, "first seed of the model tests")
	modelVerbose = flag.Bool("model-log", false, "print the script and the log of the model test")
)

const (
	modelTargets  = 5
	modelAttempts = 3
	// modelTroubleTime is how long troubles begin, and modelCalmTime how long nothing
	// disturbs the cell after them.
	modelTroubleTime = 25 * time.Second
	modelCalmTime    = 60 * time.Second
	modelHeartbeat   = 1500 * time.Millisecond
	modelRelay       = "relay:1"
	// modelLasting bounds the jobs whose tasks last, so that there is room for the others.
	modelLasting = 2
)

// modelCell is a cell in virtual time: a log that several leaders in turn write to, and a
// relay. It implements cell for the leader, and for the relay.
type modelCell struct {
	fleet     *modelFleet
	scheduler *Scheduler
	relay     *Scheduler
	started   time.Time

	mu     sync.Mutex
	random *rand.Rand
	// leading is true while the scheduler leads, and ends is closed when it ceases to.
	leading bool
	ends    chan struct{}
	term    uint64
	index   uint64
	// advised is true if the leader and the relay call the advisor, and slow is by how much
	// longer commits take now.
	advised bool
	slow    time.Duration
	// thawed is when the relay goes on.
	thawed time.Time
	// changing is a semaphore that is held while the leader changes. A wait for a mutex
	// would hold virtual time up.
	changing chan struct{}
}

var (
	_ cell = (*modelCell)(nil)

	errModelUncertain = errors.New("result is uncertain")
)

// Propose applies the command after the time of a commit. A proposal that the leader does not
// live to see committed may be applied all the same, but only before the next leader.
func (c *modelCell) Propose(ctx context.Context, data []byte) (any, error) {
	c.mu.Lock()
	ends, leading, slow := c.ends, c.leading, c.slow
	wait := slow + 5*time.Millisecond + time.Duration(c.random.Int64N(int64(15*time.Millisecond)))
	c.mu.Unlock()
	if !leading {
		return nil, raft.ErrNotLeader
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	case <-ends:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	survives := c.leading && c.ends == ends
	if !survives && c.ends != ends || !survives && c.random.IntN(2) == 0 {
		return nil, errModelUncertain
	}
	c.index++
	value := c.scheduler.Apply(c.index, data)
	if !survives || ctx.Err() != nil {
		return nil, errModelUncertain
	}
	return value, nil
}

func (c *modelCell) Read(context.Context) error { return nil }

func (c *modelCell) HoldsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading
}

func (c *modelCell) Address() string { return "leader:1" }

func (c *modelCell) Clock() wire.ProcessClock {
	return wire.ProcessClock{
		Process: 1,
		Reading: time.Since(c.started),
	}
}

func (c *modelCell) Peers() []raft.Member {
	return []raft.Member{{
		Address: modelRelay,
		Domain:  "d1",
	}}
}

func (c *modelCell) LiveAddresses(time.Duration) []string {
	if !c.advised {
		return nil
	}
	return []string{c.Address(), modelRelay}
}

// waitThawed waits until the relay goes on, as what is sent to it does in its sockets.
func (c *modelCell) waitThawed() {
	for {
		c.mu.Lock()
		wait := time.Until(c.thawed)
		c.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

func (c *modelCell) Ping(_ string, limit time.Duration) (wire.ProcessClock, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	reply := make(chan wire.ProcessClock, 1)
	go func() {
		c.waitThawed()
		reply <- c.Clock()
	}()
	select {
	case clock := <-reply:
		return clock, nil
	case <-ctx.Done():
		return wire.ProcessClock{}, ctx.Err()
	}
}

func (c *modelCell) AnnounceLeadership(time.Duration) {}

func (c *modelCell) Order(
	ctx context.Context, _ string, args *OrderArgs, limit time.Duration,
) (wire.Reply[OrderReply], error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	replies := make(chan wire.Reply[OrderReply], 1)
	// The relay gets a copy, as over a network: the leader changes a renewal that it repeats.
	sent := *args
	if args.Hold != nil {
		renewal := *args.Hold
		sent.Hold = &renewal
	}
	go func() {
		c.waitThawed()
		var reply wire.Reply[OrderReply]
		_ = (&rpcService{scheduler: c.relay}).Order(&sent, &reply)
		replies <- reply
	}()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return wire.Reply[OrderReply]{}, ctx.Err()
	}
}

// changeLeader has the leader lose its lead, and the next one gain it after some time.
func (c *modelCell) changeLeader(pause time.Duration) {
	c.changing <- struct{}{}
	defer func() { <-c.changing }()
	c.mu.Lock()
	c.leading = false
	close(c.ends)
	c.mu.Unlock()
	c.scheduler.LostLeadership()
	time.Sleep(pause)
	c.mu.Lock()
	c.leading = true
	c.ends = make(chan struct{})
	c.term++
	term := c.term
	c.mu.Unlock()
	c.scheduler.BecameLeader(term)
}

// model plays one script.
type model struct {
	t      *testing.T
	cell   *modelCell
	fleet  *modelFleet
	random *rand.Rand
	stop   chan struct{}
	tasks  sync.WaitGroup
	script []string
	// troubles are further troubles.
	troubles []func()
	// lasting counts the jobs whose tasks last.
	lasting int
	// evacuates are the failure domains that are evacuated at times.
	evacuates []string
}

func newModel(t *testing.T, seed uint64) *model {
	random := rand.New(rand.NewPCG(seed, 0))
	fleet := &modelFleet{
		random: rand.New(rand.NewPCG(seed, 1)),
		jobs:   map[graph.JobID]*modelJob{},
	}
	c := &modelCell{
		fleet:   fleet,
		random:  rand.New(rand.NewPCG(seed, 2)),
		started: time.Now(),
		ends:    make(chan struct{}),
		leading: true,
		term:    1,

		changing: make(chan struct{}, 1),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if *modelVerbose {
		log.SetOutput(t.Output())
	}
	timing := DefaultTiming()
	timing.MaxLease = modelMaxLease
	timing.StopSettleTime = 2*modelStopTime + 100*time.Millisecond
	c.scheduler = newScheduler(timing, fleet, fleet, log)
	c.scheduler.cell = c
	c.relay = newScheduler(timing, fleet, fleet, log)
	c.relay.cell = c
	m := &model{
		t:      t,
		cell:   c,
		fleet:  fleet,
		random: random,
		stop:   make(chan struct{}),
	}
	c.scheduler.Apply(0, mustEncode(graph.Command{Config: modelConfig()}))
	for i := range modelTargets {
		target := &modelTarget{
			fleet:  fleet,
			id:     fmt.Sprint("w", i),
			domain: fmt.Sprint("d", i%2),
		}
		target.startLife()
		fleet.targets = append(fleet.targets, target)
	}
	return m
}

func mustEncode(c graph.Command) []byte {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func modelConfig() *graph.Config {
	return &graph.Config{
		Version: 1,
		Queues: []graph.Queue{{
			Name:     "q",
			Host:     "h",
			Prefix:   "/q/",
			Service:  "s",
			Timeout:  3000,
			Attempts: modelAttempts,
			Stretch:  2,
		}},
		Services: []graph.Service{{Name: "s"}},
		ClientAccounts: []graph.ClientAccount{{
			Name: "t",
			Keys: []string{"k"},
		}},
	}
}

func modelAddress() graph.Address {
	return graph.Address{
		Host: "h",
		Path: "/q/x",
		Key:  "k",
	}
}

// pause waits for the time, and reports whether the play goes on.
func (m *model) pause(wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-m.stop:
		return false
	}
}

// sendHeartbeats sends the target's heartbeats. Some arrive seconds later, perhaps from a life
// that has ended since.
func (m *model) sendHeartbeats(t *modelTarget) {
	for {
		m.fleet.mu.Lock()
		m.fleet.advance()
		send := t.up && !t.mute && !t.deaf
		t.beats++
		heartbeat := t.heartbeat()
		late := m.fleet.random.Float64() < 0.03
		m.fleet.mu.Unlock()
		if send && late {
			m.tasks.Go(func() {
				if m.pause(3 * time.Second) {
					_ = m.beat(heartbeat)
				}
			})
		} else if send && m.beat(heartbeat) == nil && heartbeat.Announce.Leaving {
			m.set(func() { t.confirm(heartbeat.Announce.ID.Incarnation) })
		}
		if !m.pause(modelHeartbeat) {
			return
		}
	}
}

// heartbeat returns the target's heartbeat. The lock must be held.
func (t *modelTarget) heartbeat() *Heartbeat {
	heartbeat := &Heartbeat{
		Announce: graph.Announcement{
			ID: graph.TargetID{
				ID:          t.id,
				Incarnation: t.born,
			},
			Service: "s",
			Address: t.id,
			Domain:  t.domain,
			Capacity: quota.Resources{
				CPU:    modelCPU,
				Memory: modelCPU,
			},
			Leaving: t.leaving,
			Seq:     t.beats,
		},
		Clock: t.clock(),
	}
	if !t.leavesAt.IsZero() {
		heartbeat.Remaining = time.Until(t.leavesAt)
	}
	return heartbeat
}

// confirm records that the life of the target knows that its leaving is known.
func (t *modelTarget) confirm(born int64) {
	if t.born == born && t.confirmed.IsZero() {
		t.confirmed = time.Now()
	}
}

func (m *model) service() *rpcService { return &rpcService{scheduler: m.cell.scheduler} }

func (m *model) beat(h *Heartbeat) *wire.Fault {
	var reply wire.Reply[Empty]
	_ = m.service().Beat(h, &reply)
	return reply.Fault
}

// submitJobs submits random jobs, and cancels some.
func (m *model) submitJobs() {
	for n := range 14 {
		id := graph.JobID(fmt.Sprintf("job-%02d", n))
		steps := m.randomSteps()
		m.fleet.mu.Lock()
		m.fleet.jobs[id] = &modelJob{
			spec:   steps,
			done:   map[graph.TaskRef]bool{},
			noted:  map[graph.TaskRef]bool{},
			failed: map[graph.TaskRef]int{},

			ackedBy: map[graph.TaskRef]uint64{},
			ackedAt: map[graph.TaskRef]time.Time{},
		}
		m.fleet.mu.Unlock()
		m.note("submit %s: %d steps of %d tasks, gang %t, lasting %t", id, len(steps), steps[0].Count, steps[0].Gang, steps[0].LongRunning)
		m.retry(func() *wire.Fault {
			var reply wire.Reply[Answer]
			_ = m.service().Submit(&graph.Submit{
				Address: modelAddress(),
				ID:      id,
				Spec:    graph.Spec{Steps: steps},
			}, &reply)
			if reply.Fault == nil && reply.Value.Refusal == graph.RefusedQueueFull {
				m.refuse(id)
			}
			return reply.Fault
		})
		if m.random.IntN(8) == 0 {
			m.tasks.Go(func() {
				if m.pause(time.Second) {
					m.cancel(id)
				}
			})
		}
		if !m.pause(time.Duration(m.random.Int64N(int64(3 * time.Second)))) {
			return
		}
	}
}

func (m *model) cancel(id graph.JobID) {
	m.note("cancel %s", id)
	m.retry(func() *wire.Fault {
		var reply wire.Reply[Answer]
		_ = m.service().Cancel(&JobQuery{
			Address: modelAddress(),
			ID:      id,
		}, &reply)
		return reply.Fault
	})
	m.fleet.mu.Lock()
	m.fleet.jobs[id].cancelled = time.Now()
	m.fleet.mu.Unlock()
}

// refuse records that the job was refused because of a backlog.
func (m *model) refuse(id graph.JobID) {
	m.note("%s is refused", id)
	m.set(func() { m.fleet.jobs[id].refused = true })
}

// retry calls until there is no fault.
func (m *model) retry(call func() *wire.Fault) {
	for call() != nil && m.pause(100*time.Millisecond) {
	}
}

func (m *model) randomSteps() []graph.Step {
	step := graph.Step{
		Count: 1 + m.random.IntN(3),
		Resources: quota.Resources{
			CPU:    quota.MilliCPU(500 + 500*m.random.IntN(3)),
			Memory: 10,
		},
		Estimate: 1500,

		Checkpoints: len(m.evacuates) > 0,
	}
	kind := m.random.IntN(6)
	switch {
	case kind == 0:
		step.Gang = true
	case kind == 1 && m.lasting < modelLasting:
		m.lasting++
		step.LongRunning = true
		return []graph.Step{step}
	case kind == 2:
		step.MaxPerTarget = 1
	}
	steps := []graph.Step{step}
	if m.random.IntN(2) == 0 {
		next := step
		next.Gang = false
		next.DependsOn = []int{0}
		steps = append(steps, next)
	}
	return steps
}

func (m *model) note(format string, args ...any) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.script = append(m.script, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// makeTrouble disturbs the cell until its time is over, in series that overlap.
func (m *model) makeTrouble(random *rand.Rand) {
	until := time.Now().Add(modelTroubleTime)
	for time.Now().Before(until) && m.pause(time.Duration(random.Int64N(int64(4*time.Second)))) {
		target := m.fleet.targets[random.IntN(modelTargets)]
		span := 500*time.Millisecond + time.Duration(random.Int64N(int64(7*time.Second)))
		switch random.IntN(8) {
		case 0:
			m.note("%s crashes, and is back after %s", target.id, span/4)
			m.set(func() { target.crash() })
			m.pause(span / 4)
			m.set(func() { target.startLife() })
		case 1:
			m.note("%s is cut off for %s", target.id, span)
			m.set(func() { target.deaf = true })
			m.pause(span)
			m.set(func() { target.deaf = false })
		case 2:
			m.note("the answers of %s get lost for %s, it starts again", target.id, span)
			m.set(func() {
				target.mute = true
				target.crash()
			})
			m.pause(50 * time.Millisecond)
			m.set(func() { target.startLife() })
			m.pause(span)
			m.set(func() { target.mute = false })
		case 3:
			m.note("the answers of %s get lost for %s", target.id, span)
			m.set(func() { target.mute = true })
			m.pause(span)
			m.set(func() { target.mute = false })
		case 4:
			m.note("the leader changes")
			m.cell.changeLeader(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
		case 5:
			m.note("the relay is frozen for %s", span)
			m.cell.mu.Lock()
			m.cell.thawed = time.Now().Add(span)
			m.cell.mu.Unlock()
		case 6:
			m.note("orders are late and answers get lost for %s", span)
			m.set(func() { m.fleet.late, m.fleet.lost = 0.15, 0.1 })
			m.pause(span)
			m.set(func() { m.fleet.late, m.fleet.lost = 0, 0 })
		case 7:
			m.leave(target, span, random.IntN(2) == 0)
		}
	}
}

// leave has the target announce that it leaves, leave, and start again after some time. The
// leader may change while its runs are being stopped.
func (m *model) leave(t *modelTarget, span time.Duration, handOver bool) {
	m.note("%s leaves, and is back after %s; the leader changes meanwhile: %t", t.id, span, handOver)
	id := graph.TargetID{ID: t.id}
	m.set(func() {
		t.leaving = true
		id.Incarnation = t.born
	})
	m.pause(2 * modelHeartbeat)
	m.leaveOnce(id)
	m.pause(100 * time.Millisecond)
	if handOver {
		m.cell.changeLeader(20 * time.Millisecond)
	}
	m.pause(time.Second)
	m.set(func() {
		if t.born == id.Incarnation {
			t.crash()
		}
	})
	m.pause(span)
	m.set(func() {
		if t.born == id.Incarnation {
			t.startLife()
		}
	})
}

// leaveOnce has the incarnation say that it leaves, and reports whether that is confirmed.
func (m *model) leaveOnce(id graph.TargetID) bool {
	var reply wire.Reply[Empty]
	_ = m.service().Leave(&id, &reply)
	return reply.Fault == nil
}

// set changes the fleet.
func (m *model) set(change func()) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.advance()
	change()
}

// play plays the script and returns what was broken.
func (m *model) play() []string {
	m.cell.scheduler.BecameLeader(1)
	for _, target := range m.fleet.targets {
		m.tasks.Go(func() { m.sendHeartbeats(target) })
	}
	var troubles sync.WaitGroup
	for i := range 3 {
		random := rand.New(rand.NewPCG(m.random.Uint64(), uint64(i)))
		troubles.Go(func() { m.makeTrouble(random) })
	}
	for _, trouble := range m.troubles {
		troubles.Go(trouble)
	}
	for _, domain := range m.evacuates {
		random := rand.New(rand.NewPCG(m.random.Uint64(), 0))
		troubles.Go(func() { m.evacuateAtTimes(domain, random) })
	}
	troubles.Go(m.submitJobs)
	troubles.Wait()
	m.set(func() {
		for _, t := range m.fleet.targets {
			t.deaf, t.mute = false, false
			if !t.up {
				t.startLife()
			}
		}
	})
	m.note("calm")
	m.pause(modelCalmTime)
	m.checkJobs()
	close(m.stop)
	m.tasks.Wait()
	m.cell.mu.Lock()
	m.cell.leading = false
	close(m.cell.ends)
	m.cell.mu.Unlock()
	m.cell.scheduler.LostLeadership()
	// Calls of a frozen relay and of late orders end by themselves.
	time.Sleep(time.Minute)
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.fleet.broken
}

// checkJobs checks that each job is over, or is at work if its tasks last.
func (m *model) checkJobs() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.fleet.advance()
	for id, job := range m.fleet.jobs {
		state, refusal := m.cell.scheduler.ledger.StateOf(modelAddress(), id)
		switch {
		case job.refused && refusal == graph.RefusedNoJob:
		case job.refused:
			m.fleet.breakRule("REFUSED: %s was refused and is known as %s", id, state)
		case refusal != "":
			m.fleet.breakRule("LOST: %s is refused as %s", id, refusal)
		case !job.cancelled.IsZero():
		case job.spec[0].LongRunning:
			m.checkLasting(id, job, state)
		case state == graph.StateCompleted:
			m.checkDone(id, job)
		case state == graph.StateFailed && len(job.failed) > 0:
		default:
			m.fleet.breakRule("LOST: %s is shown as %s after a calm time", id, state)
		}
	}
}

// checkLasting checks that a job whose tasks last is shown as at work.
func (m *model) checkLasting(id graph.JobID, job *modelJob, state graph.State) {
	if state != graph.StateRunning {
		m.fleet.breakRule("LOST: %s lasts and is shown as %s", id, state)
	}
	for i := range job.spec[0].Count {
		ref := graph.TaskRef{
			Job:   id,
			Index: i,
		}
		_, _, run := m.cell.scheduler.ledger.RunOf(ref)
		if run == 0 {
			m.fleet.breakRule("LOST: task %d of %s was never placed", i, id)
		}
	}
}

// checkDone checks that all tasks of a completed job have ended done.
func (m *model) checkDone(id graph.JobID, job *modelJob) {
	for n, step := range job.spec {
		for i := range step.Count {
			ref := graph.TaskRef{
				Job:   id,
				Step:  n,
				Index: i,
			}
			if !job.done[ref] {
				m.fleet.breakRule("MIXED: %s is shown as completed, and %s is not done", id, ref.RunName(0))
			}
		}
	}
}

// Random jobs on random lives of targets, under changes of the leader, frozen relays, cuts and
// orders that are late, lost or carried out by another life: no rule is broken as the targets
// see it, and nothing is lost.
//
// To run more seeds:
//
//	go test ./internal/push -run TestModel$ -model-seeds 1000 -model-first 100
func TestModel(t *testing.T) {
	playModels(t, *modelFirst, *modelSeeds, func(*model) {})
}

// A start that was meant for one life of a target may be read by the next one and carried out
// seconds later. It extends the lease of all that runs there beyond what the leader counts, and
// a task runs twice if the target goes silent then.
func TestModelWithLateOrdersOfOlderLives(t *testing.T) {
	playModels(t, *modelFirst, *modelSeeds, func(m *model) { m.fleet.lateAcrossLives = true })
}

// playModels plays a row of seeds, each after a setup.
func playModels(t *testing.T, first uint64, seeds int, setUp func(*model)) {
	starts, messages, refused := 0, 0, 0
	for seed := first; seed < first+uint64(seeds); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, seed)
				setUp(m)
				broken := m.play()
				m.set(func() {
					starts += m.fleet.starts
					messages += m.fleet.messages
					refused += m.fleet.refusedTickets
				})
				qt.New(t).Check(broken, qt.HasLen, 0, qt.Commentf("%s", strings.Join(m.script, "\n")))
			})
		})
	}
	t.Logf("%d seeds, %d starts, %d messages, %d tickets refused", seeds, starts, messages, refused)
}

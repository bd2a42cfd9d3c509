package fake

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/jasmineward/jasmineward/internal/client"
	"github.com/jasmineward/jasmineward/internal/entry"
	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/lease"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

const (
	callTimeout = 4 * time.Second
	retryDelay  = 50 * time.Millisecond
	// maxBackoffDoublings limits the exponential backoff.
	maxBackoffDoublings = 4
	// A long poll waits for a third of the lease and times out after half of
	// it.
	pollWaitDivisor    = 3
	pollTimeoutDivisor = 2
	leaseCheckInterval = 50 * time.Millisecond
)

// TaskSpec describes the simulated execution of a task. It is carried as JSON in
// the payload of a job.
type TaskSpec struct {
	// RequestID lets the recorder map a run to the job it belongs to.
	RequestID string `json:"request"`
	RunMillis int64  `json:"run-ms"`
	ExitCode  int    `json:"exit-code"`
	// Forever keeps the task running until it is stopped.
	Forever bool `json:"forever"`
	// Usage is the resource usage that the target reports while the task runs.
	Usage quota.Resources `json:"uses"`
}

// Encode returns the spec as a job payload.
func (s TaskSpec) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return data
}

// TargetConfig configures a simulated target.
type TargetConfig struct {
	ID       string
	Rack     string
	Domain   string
	Capacity quota.Resources
	Slots    int
	// FailTasks makes every task end at once with exit code 1, except those that
	// run forever.
	FailTasks bool
}

// Target is a simulated worker. It holds a lease, simulates tasks with timers,
// and reports each run to the recorder.
type Target struct {
	cfg      TargetConfig
	client   *client.Client
	recorder *Recorder
	lease    lease.Holder

	mu      sync.Mutex
	session string
	ttl     time.Duration
	tasks   map[ledger.Attempt]*task
	events  []ledger.Event
	// consecutiveFailures counts polls and announcements that failed in a row.
	// Only the polling goroutine uses it.
	consecutiveFailures int
	reportSignal        chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

type task struct {
	order     wire.Order
	spec      TaskSpec
	run       *Run
	timer     *time.Timer
	held      bool
	ended     bool
	stopping  bool
	released  bool
	throttled bool
	lastEvent ledger.Event
}

// StartTarget starts a simulated target, which announces itself and polls for
// orders until it is killed.
func StartTarget(cfg TargetConfig, c *client.Client, recorder *Recorder) *Target {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		cfg:          cfg,
		client:       c.Clone(),
		recorder:     recorder,
		tasks:        map[ledger.Attempt]*task{},
		reportSignal: make(chan struct{}, 1),
		ctx:          ctx,
		cancel:       cancel,
	}
	recorder.SetCapacity(cfg.ID, cfg.Capacity)
	t.wg.Add(3)
	go t.pollLoop()
	go t.reportLoop()
	go t.watchLease()
	return t
}

// Kill stops the target as a crash would, without reporting anything to the
// cell.
func (t *Target) Kill() {
	t.cancel()
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropTasks()
}

// Leave asks the cell to give the target no new tasks.
func (t *Target) Leave(ctx context.Context) error {
	t.mu.Lock()
	session := t.session
	t.mu.Unlock()
	_, err := t.client.Leave(ctx, t.cfg.ID, entry.LeaveRequest{Session: session})
	if err != nil {
		return errors.Wrap(err, "leave")
	}
	return nil
}

func (t *Target) pollLoop() {
	defer t.wg.Done()
	for t.ctx.Err() == nil {
		if delay, ok := t.announce(); !ok {
			t.backOff(delay)
			continue
		}
		for t.ctx.Err() == nil && t.pollOnce() {
		}
	}
}

// backOff sleeps for the delay with jitter. Without a delay it uses exponential
// backoff on the number of consecutive failures.
func (t *Target) backOff(delay time.Duration) {
	if delay <= 0 {
		t.consecutiveFailures = min(t.consecutiveFailures+1, maxBackoffDoublings)
		delay = retryDelay << t.consecutiveFailures
	}
	select {
	case <-time.After(delay/2 + rand.N(delay)):
	case <-t.ctx.Done():
	}
}

// announce drops all tasks of the previous session and opens a new one. On
// failure it returns false and the delay that the cell asked for, or zero.
func (t *Target) announce() (time.Duration, bool) {
	session := uuid.NewString()
	t.mu.Lock()
	t.dropTasks()
	t.session = session
	t.lease.Release()
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	answer, err := t.client.Announce(ctx, t.cfg.ID, entry.AnnounceRequest{
		Session:  session,
		Capacity: t.cfg.Capacity,
		Slots:    t.cfg.Slots,
		Rack:     t.cfg.Rack,
		Domain:   t.cfg.Domain,
	})
	var problem *client.Problem
	if errors.As(err, &problem) {
		return time.Duration(problem.RetryAfter) * time.Millisecond, false
	}
	if err != nil {
		return 0, false
	}
	t.consecutiveFailures = 0
	ttl := time.Duration(answer.LeaseMillis) * time.Millisecond
	t.lease.Extend(sentAt, ttl)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ttl = ttl
	return 0, true
}

// pollOnce sends one long poll and carries out the orders in the answer. It
// returns false if the target needs a new session.
func (t *Target) pollOnce() bool {
	t.mu.Lock()
	ttl := t.ttl
	request := entry.PollRequest{
		Session:  t.session,
		Attempts: t.knownAttempts(),
		Wait:     note.Duration(ttl / pollWaitDivisor),
	}
	t.mu.Unlock()
	if t.consecutiveFailures > 0 {
		request.Wait = 0
	}
	ctx, cancel := context.WithTimeout(t.ctx, ttl/pollTimeoutDivisor)
	defer cancel()
	sentAt := time.Now()
	answer, err := t.client.Poll(ctx, t.cfg.ID, request)
	if err != nil {
		return t.handlePollError(err)
	}
	t.consecutiveFailures = 0
	// If the lease expired during the poll, the session is over and its tasks
	// have been dropped.
	if !t.lease.IsValid(time.Now()) {
		return false
	}
	t.lease.Extend(sentAt, time.Duration(answer.LeaseMillis)*time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, order := range answer.Orders {
		t.handleOrder(order)
	}
	for _, attempt := range answer.Settled {
		t.removeSettled(attempt)
	}
	return true
}

// handlePollError backs off unless the session is gone. It reports whether the
// target can poll again in the same session.
func (t *Target) handlePollError(err error) bool {
	var problem *client.Problem
	if errors.As(err, &problem) && problem.Code == wire.CodeSessionGone {
		return false
	}
	t.backOff(0)
	return t.lease.IsValid(time.Now())
}

func (t *Target) knownAttempts() []wire.AttemptStatus {
	statuses := make([]wire.AttemptStatus, 0, len(t.tasks))
	for attempt, task := range t.tasks {
		status := wire.AttemptStatus{
			Attempt:   attempt,
			Stopping:  task.stopping,
			Released:  task.released,
			Throttled: task.throttled,
		}
		if !task.ended && !task.held {
			status.Used = task.spec.Usage
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// watchLease drops all tasks once the lease has expired, because the cell may
// soon restart them on another target.
func (t *Target) watchLease() {
	defer t.wg.Done()
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		if !t.lease.IsValid(time.Now()) {
			t.dropTasks()
		}
		t.mu.Unlock()
	}
}

func (t *Target) dropTasks() {
	now := time.Now()
	for _, task := range t.tasks {
		if task.timer != nil {
			task.timer.Stop()
		}
		if task.run != nil {
			t.recorder.recordEnd(task.run, now)
		}
	}
	t.tasks = map[ledger.Attempt]*task{}
	t.events = nil
}

func (t *Target) removeSettled(attempt ledger.Attempt) {
	task, ok := t.tasks[attempt]
	if !ok {
		return
	}
	if task.timer != nil {
		task.timer.Stop()
	}
	if task.run != nil {
		t.recorder.recordEnd(task.run, time.Now())
	}
	delete(t.tasks, attempt)
}

// reportLoop sends events to the cell in order and retries until the cell has
// stored them or permanently refused them.
func (t *Target) reportLoop() {
	defer t.wg.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.reportSignal:
		}
		for t.ctx.Err() == nil && t.reportOnce() {
		}
	}
}

// permanentlyRefused reports whether the cell refused the request and a retry
// can't succeed. After any other error the events may not have been stored and
// are sent again.
func permanentlyRefused(err error) bool {
	var problem *client.Problem
	return errors.As(err, &problem) && !problem.Retryable() && !problem.IsOverloaded()
}

// reportOnce sends the queued events. It returns false if there were none.
func (t *Target) reportOnce() bool {
	t.mu.Lock()
	events := append([]ledger.Event(nil), t.events...)
	session := t.session
	t.mu.Unlock()
	if len(events) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	_, err := t.client.Report(ctx, t.cfg.ID, entry.ReportRequest{
		Session: session,
		Events:  events,
	})
	if err != nil && !permanentlyRefused(err) {
		select {
		case <-time.After(retryDelay + rand.N(retryDelay)):
		case <-t.ctx.Done():
		}
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.session == session && len(t.events) >= len(events) {
		t.events = append([]ledger.Event(nil), t.events[len(events):]...)
	}
	return true
}

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
	retryPause  = 50 * time.Millisecond
	// A pause doubles so often at most.
	maxDoublings = 4
	// A poll waits a third of the lease, and is given up after half of it.
	waitParts    = 3
	timeoutParts = 2
	watchEvery   = 50 * time.Millisecond
)

// Work is a stand-in task, carried as JSON in a job's payload.
type Work struct {
	// Request is the request id, so that the witness can tell whose it is.
	Request   string `json:"request"`
	RunMillis int64  `json:"run-ms"`
	ExitCode  int    `json:"exit-code"`
	// Forever tasks run until they are stopped.
	Forever bool       `json:"forever"`
	Uses    quota.Room `json:"uses"`
}

// Encode returns the work as a payload.
func (w Work) Encode() []byte {
	data, err := json.Marshal(w)
	if err != nil {
		return nil
	}
	return data
}

// TargetConfig sets up a stand-in target.
type TargetConfig struct {
	ID       string
	Rack     string
	Domain   string
	Capacity quota.Room
	Slots    int
	// Broken targets fail everything they start.
	Broken bool
}

// Target is a stand-in worker: it holds a lease, runs tasks by waiting, and
// tells the witness what it does.
type Target struct {
	cfg     TargetConfig
	client  *client.Client
	witness *Witness
	lease   lease.Holder

	mu      sync.Mutex
	session string
	ttl     time.Duration
	tasks   map[ledger.Attempt]*task
	events  []ledger.Event
	// failures counts polls and announcements that failed in a row. Only
	// the polling goroutine uses it.
	failures int
	wake     chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

type task struct {
	order     wire.Order
	work      Work
	run       *Run
	timer     *time.Timer
	held      bool
	over      bool
	stopping  bool
	released  bool
	throttled bool
	last      ledger.Event
}

// StartTarget starts a stand-in target.
func StartTarget(cfg TargetConfig, c *client.Client, witness *Witness) *Target {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		cfg:     cfg,
		client:  c.Fork(),
		witness: witness,
		tasks:   map[ledger.Attempt]*task{},
		wake:    make(chan struct{}, 1),
		ctx:     ctx,
		cancel:  cancel,
	}
	witness.SetCapacity(cfg.ID, cfg.Capacity)
	t.done.Add(3)
	go t.poll()
	go t.report()
	go t.watch()
	return t
}

// Kill ends the target as a crash would: nothing more is said.
func (t *Target) Kill() {
	t.cancel()
	t.done.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropAll()
}

// Leave has the target get no new work.
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

func (t *Target) poll() {
	defer t.done.Done()
	for t.ctx.Err() == nil {
		if wait, ok := t.announce(); !ok {
			t.sleep(wait)
			continue
		}
		for t.ctx.Err() == nil && t.pollOnce() {
		}
	}
}

// sleep waits for about the time given, and longer after each failure in a
// row when none is given.
func (t *Target) sleep(wait time.Duration) {
	if wait <= 0 {
		t.failures = min(t.failures+1, maxDoublings)
		wait = retryPause << t.failures
	}
	select {
	case <-time.After(wait/2 + rand.N(wait)):
	case <-t.ctx.Done():
	}
}

// announce opens a new session; what ran in an earlier one is gone by then.
// Without success it returns how long to wait.
func (t *Target) announce() (time.Duration, bool) {
	session := uuid.NewString()
	t.mu.Lock()
	t.dropAll()
	t.session = session
	t.lease.Drop()
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := t.client.Announce(ctx, t.cfg.ID, entry.AnnounceRequest{
		Session:  session,
		Capacity: t.cfg.Capacity,
		Slots:    t.cfg.Slots,
		Rack:     t.cfg.Rack,
		Domain:   t.cfg.Domain,
	})
	var p *client.Problem
	if errors.As(err, &p) {
		return time.Duration(p.RetryAfter) * time.Millisecond, false
	}
	if err != nil {
		return 0, false
	}
	t.failures = 0
	ttl := time.Duration(answer.LeaseMillis) * time.Millisecond
	t.lease.Extend(sent, ttl)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ttl = ttl
	return 0, true
}

// pollOnce polls, and tells false when a new session is needed.
func (t *Target) pollOnce() bool {
	t.mu.Lock()
	ttl := t.ttl
	request := entry.PollRequest{
		Session: t.session,
		Known:   t.known(),
		Wait:    note.Duration(ttl / waitParts),
	}
	t.mu.Unlock()
	if t.failures > 0 {
		request.Wait = 0
	}
	ctx, cancel := context.WithTimeout(t.ctx, ttl/timeoutParts)
	defer cancel()
	sent := time.Now()
	answer, err := t.client.Poll(ctx, t.cfg.ID, request)
	if err != nil {
		return t.pollFailed(err)
	}
	t.failures = 0
	// A lease that ended meanwhile took the session with it: what ran under
	// it has been dropped.
	if !t.lease.Live(time.Now()) {
		return false
	}
	t.lease.Extend(sent, time.Duration(answer.LeaseMillis)*time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, order := range answer.Orders {
		t.obey(order)
	}
	for _, attempt := range answer.Settled {
		t.settle(attempt)
	}
	return true
}

func (t *Target) pollFailed(err error) bool {
	var p *client.Problem
	if errors.As(err, &p) && p.Code == wire.CodeSession {
		return false
	}
	t.sleep(0)
	return t.lease.Live(time.Now())
}

func (t *Target) known() []wire.Known {
	known := make([]wire.Known, 0, len(t.tasks))
	for attempt, task := range t.tasks {
		k := wire.Known{
			Attempt:   attempt,
			Stopping:  task.stopping,
			Released:  task.released,
			Throttled: task.throttled,
		}
		if !task.over && !task.held {
			k.Used = task.work.Uses
		}
		known = append(known, k)
	}
	return known
}

// watch drops everything once the lease has ended: it may run elsewhere
// soon after.
func (t *Target) watch() {
	defer t.done.Done()
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		if !t.lease.Live(time.Now()) {
			t.dropAll()
		}
		t.mu.Unlock()
	}
}

func (t *Target) dropAll() {
	now := time.Now()
	for _, task := range t.tasks {
		if task.timer != nil {
			task.timer.Stop()
		}
		if task.run != nil {
			t.witness.end(task.run, now)
		}
	}
	t.tasks = map[ledger.Attempt]*task{}
	t.events = nil
}

func (t *Target) settle(attempt ledger.Attempt) {
	task, ok := t.tasks[attempt]
	if !ok {
		return
	}
	if task.timer != nil {
		task.timer.Stop()
	}
	if task.run != nil {
		t.witness.end(task.run, time.Now())
	}
	delete(t.tasks, attempt)
}

// report brings events to the cell, in their order, until they are kept.
func (t *Target) report() {
	defer t.done.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wake:
		}
		for t.ctx.Err() == nil && t.reportOnce() {
		}
	}
}

// final tells whether the cell has refused for good what was sent. Anything
// else may not have been kept, and is sent again.
func final(err error) bool {
	var p *client.Problem
	return errors.As(err, &p) && !p.Retryable() && !p.Busy()
}

// reportOnce sends what there is, and tells whether to go on.
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
	if err != nil && !final(err) {
		select {
		case <-time.After(retryPause + rand.N(retryPause)):
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

package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
)

func (t *Target) obey(order wire.Order) {
	known, ok := t.tasks[order.Attempt]
	switch order.Kind {
	case wire.OrderStart, wire.OrderHold:
		if ok {
			t.say(known.last)
			return
		}
		t.take(order)
	case wire.OrderRelease:
		if ok && known.held {
			known.released = true
			known.held = false
			t.begin(known)
		}
	case wire.OrderStop:
		t.stopTask(order, known)
	case wire.OrderThrottle:
		if ok {
			known.throttled = true
			known.work.Uses.CPU = order.Room.CPU
		}
	}
}

func (t *Target) take(order wire.Order) {
	if !t.lease.Live(time.Now()) {
		return
	}
	task := &task{order: order}
	_ = json.Unmarshal(order.Payload, &task.work)
	t.tasks[order.Attempt] = task
	if order.Kind == wire.OrderHold {
		task.held = true
		t.tell(task, ledger.Event{Kind: ledger.EventHeld})
		return
	}
	t.begin(task)
}

func (t *Target) begin(task *task) {
	order := task.order
	task.run = &Run{
		Attempt: order.Attempt,
		Target:  t.cfg.ID,
		Service: order.Service,
		Team:    order.Team,
		Request: task.work.Request,
		Room:    order.Room,
		Started: time.Now(),
	}
	t.witness.start(task.run)
	t.tell(task, ledger.Event{Kind: ledger.EventStarted})
	if task.work.Forever {
		return
	}
	ran := time.Duration(task.work.RunMillis) * time.Millisecond
	if t.cfg.Broken {
		ran = 0
	}
	task.timer = time.AfterFunc(ran, func() { t.finish(task) })
}

func (t *Target) finish(task *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tasks[task.order.Attempt] != task || task.over {
		return
	}
	task.over = true
	t.witness.end(task.run, time.Now())
	output := []byte("done " + task.work.Request)
	sum := sha256.Sum256(output)
	event := ledger.Event{
		Kind:     ledger.EventFinished,
		ExitCode: task.work.ExitCode,
		Output:   output,
		Checksum: hex.EncodeToString(sum[:]),
	}
	if t.cfg.Broken {
		event.ExitCode = 1
	}
	t.tell(task, event)
}

// stopTask stops an attempt, or remembers never to start it.
func (t *Target) stopTask(order wire.Order, known *task) {
	if known == nil {
		known = &task{
			order: order,
			over:  true,
		}
		t.tasks[order.Attempt] = known
		known.stopping = true
		t.tell(known, ledger.Event{Kind: ledger.EventFenced})
		return
	}
	known.stopping = true
	switch {
	case known.over:
		t.say(known.last)
	case known.held:
		known.over = true
		known.held = false
		t.tell(known, ledger.Event{Kind: ledger.EventFenced})
	default:
		if known.timer != nil {
			known.timer.Stop()
		}
		known.over = true
		t.witness.end(known.run, time.Now())
		t.tell(known, ledger.Event{
			Kind:       ledger.EventStopped,
			Checkpoint: "checkpoint of " + known.work.Request,
		})
	}
}

func (t *Target) tell(task *task, event ledger.Event) {
	event.Attempt = task.order.Attempt
	task.last = event
	t.say(event)
}

func (t *Target) say(event ledger.Event) {
	t.events = append(t.events, event)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

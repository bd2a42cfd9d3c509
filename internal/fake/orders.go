package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// handleOrder carries out an order. A start or hold order for a known attempt is
// a repeat and is answered with the last event of the attempt.
func (t *Target) handleOrder(order wire.Order) {
	existing, ok := t.tasks[order.Attempt]
	switch order.Kind {
	case wire.OrderStart, wire.OrderHold:
		if ok {
			t.queueEvent(existing.lastEvent)
			return
		}
		t.acceptTask(order)
	case wire.OrderRelease:
		if ok && existing.held {
			existing.released = true
			existing.held = false
			t.startRun(existing)
		}
	case wire.OrderStop:
		t.stopTask(order, existing)
	case wire.OrderThrottle:
		if ok {
			existing.throttled = true
			existing.spec.Usage.CPU = order.Resources.CPU
		}
	}
}

func (t *Target) acceptTask(order wire.Order) {
	if !t.lease.IsValid(time.Now()) {
		return
	}
	task := &task{order: order}
	_ = json.Unmarshal(order.Payload, &task.spec)
	t.tasks[order.Attempt] = task
	if order.Kind == wire.OrderHold {
		task.held = true
		t.recordEvent(task, ledger.Event{Kind: ledger.EventHeld})
		return
	}
	t.startRun(task)
}

func (t *Target) startRun(task *task) {
	order := task.order
	task.run = &Run{
		Attempt:   order.Attempt,
		Target:    t.cfg.ID,
		Service:   order.Service,
		Team:      order.Team,
		RequestID: task.spec.RequestID,
		Resources: order.Resources,
		Started:   time.Now(),
	}
	t.recorder.recordStart(task.run)
	t.recordEvent(task, ledger.Event{Kind: ledger.EventStarted})
	if task.spec.Forever {
		return
	}
	runTime := time.Duration(task.spec.RunMillis) * time.Millisecond
	if t.cfg.FailTasks {
		runTime = 0
	}
	task.timer = time.AfterFunc(runTime, func() { t.finishTask(task) })
}

func (t *Target) finishTask(task *task) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tasks[task.order.Attempt] != task || task.ended {
		return
	}
	task.ended = true
	t.recorder.recordEnd(task.run, time.Now())
	output := []byte("done " + task.spec.RequestID)
	sum := sha256.Sum256(output)
	event := ledger.Event{
		Kind:     ledger.EventFinished,
		ExitCode: task.spec.ExitCode,
		Output:   output,
		Checksum: hex.EncodeToString(sum[:]),
	}
	if t.cfg.FailTasks {
		event.ExitCode = 1
	}
	t.recordEvent(task, event)
}

// stopTask stops an attempt. For an unknown attempt it records that the attempt
// must never start.
func (t *Target) stopTask(order wire.Order, existing *task) {
	if existing == nil {
		existing = &task{
			order: order,
			ended: true,
		}
		t.tasks[order.Attempt] = existing
		existing.stopping = true
		t.recordEvent(existing, ledger.Event{Kind: ledger.EventFenced})
		return
	}
	existing.stopping = true
	switch {
	case existing.ended:
		t.queueEvent(existing.lastEvent)
	case existing.held:
		existing.ended = true
		existing.held = false
		t.recordEvent(existing, ledger.Event{Kind: ledger.EventFenced})
	default:
		if existing.timer != nil {
			existing.timer.Stop()
		}
		existing.ended = true
		t.recorder.recordEnd(existing.run, time.Now())
		t.recordEvent(existing, ledger.Event{
			Kind:       ledger.EventStopped,
			Checkpoint: "checkpoint of " + existing.spec.RequestID,
		})
	}
}

func (t *Target) recordEvent(task *task, event ledger.Event) {
	event.Attempt = task.order.Attempt
	task.lastEvent = event
	t.queueEvent(event)
}

func (t *Target) queueEvent(event ledger.Event) {
	t.events = append(t.events, event)
	select {
	case t.reportSignal <- struct{}{}:
	default:
	}
}

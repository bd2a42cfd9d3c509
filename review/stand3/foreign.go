package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// longTask is how long the tasks of the submission take.
	longTask = 15 * time.Second
	// settleTime is how long the tasks have been at work before the report comes.
	settleTime = 2 * time.Second
)

// foreignReport sends one status report of another writer under the id of a worker at
// work. It has the worker's service, but most of the fields of a status report are
// missing. It names no worker to use, so no task may start a second time.
func foreignReport(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(12, s.cell.subnet, longTask); err != nil {
		return err
	}
	if err := s.fleet.awaitCalls(15 * time.Second); err != nil {
		return err
	}
	id := newID()
	if !s.caller.submit(ctx, id, submission("run booking", map[string]any{
		"count":       4,
		"cpu":         2700,
		"mem_mb":      3900,
		"estimate_ms": longTask.Milliseconds(),
	})) {
		return errNotAccepted
	}
	w, _ := s.fleet.awaitHolder(id, 5*time.Second)
	if w == nil {
		return errNotAccepted
	}
	time.Sleep(settleTime)
	if s.trouble {
		s.sendForeign(ctx, w)
	}
	time.Sleep(longTask + settleTime)
	s.fleet.mu.Lock()
	twice := s.fleet.twice
	s.fleet.mu.Unlock()
	if len(twice) > 0 {
		return broken("%d tasks started while a run of theirs was at work on a worker that is up, first %s", len(twice), twice[0])
	}
	return nil
}

// sendForeign sends the report of another writer under the id of the worker.
func (s *stage) sendForeign(ctx context.Context, w *worker) {
	body, _ := json.Marshal(map[string]any{
		"service":  service,
		"address":  w.address,
		"state":    "ready",
		"capacity": w.capacity,
		"born":     time.Now().UnixMilli(),
	})
	address := s.fleet.control[0]
	s.rec.add("trouble: another writer reports %s to %s under the id %s", body, address, w.id)
	got := call(ctx, &http.Client{Timeout: time.Second}, http.MethodPost,
		"http://"+address+"/jasmineward/instances/"+w.id+"/heartbeat", "", body)
	s.rec.add("trouble: the report was answered %d %s", got.status, got.body)
}

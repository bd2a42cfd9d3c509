package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// sickTime is how long the worker is unhealthy.
	sickTime = 6500 * time.Millisecond
	// waiting is the number of submissions that wait for it.
	waiting = 6
	// visibleTime is the time after which a submission has to be counted: visible_ms
	// and two seconds.
	visibleTime = 5 * time.Second
)

// pending lets a worker be unhealthy: it answers each start with 503 and has then done
// nothing. Submissions that only it may run have not begun, and have to be counted as
// pending.
func pending(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(11, s.cell.subnet, 640*time.Millisecond); err != nil {
		return err
	}
	w, err := s.fleet.add("i-190", zones[0], s.cell.subnet+"190", []string{"b", "r1-9"}, 640*time.Millisecond)
	if err != nil {
		return err
	}
	if err := w.start(0); err != nil {
		return err
	}
	if err := s.fleet.awaitCalls(15 * time.Second); err != nil {
		return err
	}
	if s.trouble {
		s.rec.add("trouble: worker %s is unhealthy for %s", w.id, sickTime)
		s.fleet.setSick(w, true)
		time.AfterFunc(sickTime, func() { s.fleet.setSick(w, false) })
	}
	var ids []string
	for range waiting {
		id := newID()
		if !s.caller.submit(ctx, id, submission("walk signup", map[string]any{
			"count":          1,
			"cpu":            1300,
			"mem_mb":         1300,
			"estimate_ms":    640,
			"required_label": "b",
		})) {
			return errNotAccepted
		}
		ids = append(ids, id)
	}
	time.Sleep(visibleTime + 300*time.Millisecond)
	counted, err := s.caller.pending(ctx)
	if err != nil {
		return err
	}
	begun := 0
	for _, id := range ids {
		if s.fleet.hasBegun(id) {
			begun++
		}
	}
	state := s.caller.state(ctx, ids[0])
	if 2*counted < waiting-begun {
		return broken("%d submissions were accepted over %s before and have not begun, %d are given as pending, and the first is %s",
			waiting-begun, visibleTime, counted, state)
	}
	return nil
}

// pending returns how many submissions of the queue are given as pending.
func (c *caller) pending(ctx context.Context) (int, error) {
	var body struct {
		Pending int `json:"pending"`
	}
	got := c.do(ctx, http.MethodGet, c.cell.edges[0], "", nil)
	err := json.Unmarshal([]byte(got.body), &body)
	return body.Pending, err
}

func (f *fleet) setSick(w *worker, sick bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.sick = sick
}

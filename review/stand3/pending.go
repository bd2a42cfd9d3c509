package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// darkTime is how long the worker is down.
	darkTime = 4500 * time.Millisecond
	// waiting is the number of submissions.
	waiting = 6
	// visibleTime is the time after which a submission has to be counted: visible_ms
	// and two seconds.
	visibleTime = 5 * time.Second
)

// pending lets the worker that gets the next work crash and be dark for a while, right
// before submissions come. All others are sound and empty. Submissions that have not begun
// have to be counted as pending.
func pending(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(12, s.cell.subnet, 640*time.Millisecond); err != nil {
		return err
	}
	if err := s.fleet.awaitCalls(15 * time.Second); err != nil {
		return err
	}
	w, err := s.favourite(ctx)
	if err != nil {
		return err
	}
	if s.trouble {
		s.rec.add("trouble: worker %s is dark for %s", w.id, darkTime)
		w.darken()
		time.AfterFunc(darkTime, func() { _ = w.restart() })
	}
	var ids []string
	for range waiting {
		id := newID()
		if !s.caller.submit(ctx, id, smallJob()) {
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

// smallJob returns the body of a submission with one short task.
func smallJob() []byte {
	return submission("walk signup", map[string]any{
		"count":       1,
		"cpu":         1300,
		"mem_mb":      1300,
		"estimate_ms": 640,
	})
}

// favourite returns the worker that gets a task while all are empty.
func (s *stage) favourite(ctx context.Context) (*worker, error) {
	id := newID()
	if !s.caller.submit(ctx, id, smallJob()) {
		return nil, errNotAccepted
	}
	w, _ := s.fleet.awaitHolder(id, 5*time.Second)
	if w == nil {
		return nil, errNotAccepted
	}
	time.Sleep(2 * time.Second)
	return w, nil
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

package main

import (
	"context"
	"net/http"
	"time"
)

const (
	// slowAnswer is how long the slow worker takes to answer a start, and slowTime how
	// long it is slow.
	slowAnswer = 200 * time.Millisecond
	slowTime   = 7 * time.Second
	// manyTasks is the number of tasks of the submission.
	manyTasks = 100
	// drainAfter is the time from the first start to the report that it drains.
	drainAfter = 500 * time.Millisecond
)

// staleStarts lets a worker that answers starts slowly report that it drains while many
// tasks are placed on it. Later than drain_ms after the confirmation no task may start
// there.
func staleStarts(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(15, s.cell.subnet, 0); err != nil {
		return err
	}
	w, err := s.fleet.add("i-190", zones[0], s.cell.subnet+"190", []string{"b", "r1-9"}, 0)
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
		s.rec.add("trouble: worker %s answers each start after %s, for %s", w.id, slowAnswer, slowTime)
		s.fleet.setDelay(w, slowAnswer)
		time.AfterFunc(slowTime, func() { s.fleet.setDelay(w, 0) })
	}
	id := newID()
	if !s.caller.submit(ctx, id, submission("walk signup", map[string]any{
		"count":          manyTasks,
		"cpu":            100,
		"mem_mb":         100,
		"estimate_ms":    20000,
		"required_label": "b",
	})) {
		return errNotAccepted
	}
	if holder, _ := s.fleet.awaitHolder(id, 10*time.Second); holder == nil {
		return errNotAccepted
	}
	time.Sleep(drainAfter)
	confirmed := s.drain(ctx, w)
	time.Sleep(8 * time.Second)
	late, last := s.fleet.startsAfter(w, confirmed.Add(drainTime))
	if late > 0 {
		return broken("%d tasks were started on the worker later than %s after the confirmation that it drains, the last %s after it",
			late, drainTime, last.Sub(confirmed).Round(time.Millisecond))
	}
	return nil
}

// drain reports that the worker drains, until that is confirmed, and returns when it was.
func (s *stage) drain(ctx context.Context, w *worker) time.Time {
	s.fleet.mu.Lock()
	w.draining = true
	s.fleet.mu.Unlock()
	for at := 0; ; at++ {
		if w.report(ctx, &http.Client{Timeout: time.Second}, s.fleet.control[at%len(s.fleet.control)]) {
			return time.Now()
		}
	}
}

func (f *fleet) setDelay(w *worker, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.startDelay = delay
}

// startsAfter returns how many tasks began on the worker after the time, and the last one.
func (f *fleet) startsAfter(w *worker, after time.Time) (count int, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, start := range f.starts {
		if start.worker == w.id && start.at.After(after) {
			count++
			last = start.at
		}
	}
	return count, last
}

package main

import (
	"context"
	"errors"
	"time"
)

// errNotAccepted is returned if a submission that has to be accepted is not, and
// errNotNoted if the end that the case needs was not acknowledged.
var (
	errNotAccepted = errors.New("the submission was not accepted")
	errNotNoted    = errors.New("no end done of the gang was acknowledged")
)

const (
	// stepAhead is how far the time of day has jumped ahead on the worker's machine.
	stepAhead = 2400 * time.Millisecond
	// firstLife is how long the worker lives before it crashes, and restartTime how
	// long it takes to start again.
	firstLife   = 1200 * time.Millisecond
	restartTime = 500 * time.Millisecond
	// watchTime is how long the submission is watched.
	watchTime = 20 * time.Second
	// idleLimit is how long nothing of a submission may run although there is room.
	idleLimit = 3 * time.Second
	calmTime  = 4 * time.Second
)

// earlierStart lets a worker start while its machine's time of day is ahead, crash, and
// start again under its id after the time of day has jumped back: its new life was born
// earlier than the one before. Work that only this worker may do has to run.
func earlierStart(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(7, s.cell.subnet, 640*time.Millisecond); err != nil {
		return err
	}
	w, err := s.fleet.add("i-190", zones[0], s.cell.subnet+"190", []string{"b", "r1-9"}, 640*time.Millisecond)
	if err != nil {
		return err
	}
	if err := s.fleet.awaitCalls(15 * time.Second); err != nil {
		return err
	}
	if err := s.startTwice(w); err != nil {
		return err
	}
	time.Sleep(calmTime)
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
	accepted := time.Now()
	for time.Since(accepted) < watchTime {
		time.Sleep(time.Second)
		if s.caller.state(ctx, id) == "completed" {
			return nil
		}
	}
	if s.fleet.hasBegun(id) {
		return nil
	}
	return broken("nothing of the submission has run for %s, %d orders came to the only worker with its label",
		time.Since(accepted).Round(time.Second), s.fleet.callsTo(w))
}

// startTwice starts the worker, and with the trouble again as an earlier life.
func (s *stage) startTwice(w *worker) error {
	if !s.trouble {
		return w.start(0)
	}
	s.rec.add("trouble: the time of day of worker %s is %s ahead", w.id, stepAhead)
	if err := w.start(stepAhead); err != nil {
		return err
	}
	time.Sleep(firstLife)
	w.crash()
	s.rec.add("trouble: the time of day of worker %s jumps back", w.id)
	time.Sleep(restartTime)
	return w.start(0)
}

// hasBegun reports whether a task of the submission was ever started.
func (f *fleet) hasBegun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, start := range f.starts {
		if start.task[:len(id)] == id {
			return true
		}
	}
	return false
}

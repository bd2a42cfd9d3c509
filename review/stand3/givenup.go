package main

import (
	"context"
	"time"
)

const (
	// quietTime is how long the deployment runs before the submission comes.
	quietTime = 30 * time.Second
	// crashes is how many workers are lost at most, one after the other.
	crashes = 3
	// crashAfter is how long the task has run on a worker when that is lost.
	crashAfter = 500 * time.Millisecond
)

// givenUp lets workers be lost one after the other while a task that lasts runs on them.
// The submission has to go on: none of its runs ends failed, and nobody cancels it.
func givenUp(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(24, s.cell.subnet, 0); err != nil {
		return err
	}
	if err := s.fleet.awaitCalls(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(quietTime)
	id := newID()
	if !s.caller.submit(ctx, id, submission("pile watch", map[string]any{
		"count":        1,
		"cpu":          3400,
		"mem_mb":       4800,
		"estimate_ms":  500,
		"long_running": true,
	})) {
		return errNotAccepted
	}
	for n := range crashes {
		w, since := s.fleet.awaitHolder(id, 8*time.Second)
		if w == nil {
			break
		}
		time.Sleep(time.Until(since.Add(crashAfter)))
		if !s.trouble {
			continue
		}
		s.rec.add("trouble: crash %d of %d", n+1, crashes)
		w.crash()
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		if state := s.caller.state(ctx, id); state == "failed" && s.fleet.countFailed() == 0 {
			return broken("the submission is shown as failed, none of its runs has ended failed")
		}
	}
	if w, _ := s.fleet.holderOf(id); w == nil {
		s.rec.add("note: nothing of the submission runs at the end")
	}
	return nil
}

func (f *fleet) countFailed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

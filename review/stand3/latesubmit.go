package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// freezeTime is how long the edge node stands still.
const freezeTime = 6 * time.Second

// lateSubmit freezes an edge node that a submission is on its way to. The client leaves,
// and cancels the submission at another node. Nothing of it may start later than
// cancel_ms after that was confirmed.
func lateSubmit(ctx context.Context, s *stage) error {
	if err := s.open(ctx, 2, false); err != nil {
		return err
	}
	if err := s.caller.configure(ctx, newConfig()); err != nil {
		return err
	}
	if err := s.fleet.addSome(8, s.cell.subnet, 0); err != nil {
		return err
	}
	if err := s.fleet.awaitCalls(15 * time.Second); err != nil {
		return err
	}
	first, second := s.cell.edges[0], s.cell.edges[1]
	id := newID()
	body := submission("pile watch", map[string]any{
		"count":        1,
		"cpu":          3400,
		"mem_mb":       4800,
		"estimate_ms":  500,
		"long_running": true,
	})
	if s.trouble {
		s.cell.signal(first, syscall.SIGSTOP)
		if err := awaitStopped(first); err != nil {
			return err
		}
		time.AfterFunc(freezeTime, func() { s.cell.signal(first, syscall.SIGCONT) })
	}
	leave, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	s.caller.do(leave, http.MethodPost, first, id, body)
	cancel()
	got := s.caller.do(ctx, http.MethodDelete, second, id, nil)
	if got.status/100 != 2 && got.status != http.StatusGone {
		return errNotAccepted
	}
	confirmed := time.Now()
	time.Sleep(freezeTime + 4*time.Second)
	for _, start := range s.fleet.startsOf(id) {
		if start.at.After(confirmed.Add(cancelTime)) {
			state := s.caller.state(ctx, id)
			return broken("a task started %s after its submission's cancelling was confirmed, and the submission is %s",
				start.at.Sub(confirmed).Round(time.Millisecond), state)
		}
	}
	return nil
}

// awaitStopped waits until the process of the node stands still.
func awaitStopped(n *node) error {
	for range 200 {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
		if err != nil {
			return err
		}
		if strings.Contains(string(stat), ") T ") {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the process does not stand still")
}

// startsOf returns the starts of the submission's tasks.
func (f *fleet) startsOf(id string) []begun {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []begun
	for _, start := range f.starts {
		if start.task[:len(id)] == id {
			all = append(all, start)
		}
	}
	return all
}

package main

import (
	"context"
	"strings"
	"time"
)

const (
	// gangTime is how long the gang works, and cutAfter when its worker is cut off.
	gangTime = 4 * time.Second
	cutAfter = time.Second
	// cutTime is how long the worker is cut off.
	cutTime = 6 * time.Second
	// finishTime is finish_s.
	finishTime = 14 * time.Second
	gangSpec   = "run booking"
)

// lateGang cuts the worker of a gang off while that works. The gang ends done behind the
// cut, and its ends are acknowledged after it. The step that depends on it has to begin.
func lateGang(ctx context.Context, s *stage) error {
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
	id, err := s.startGang(ctx)
	if err != nil {
		return err
	}
	time.Sleep(cutAfter)
	if s.trouble {
		w.cut(cutTime)
	}
	time.Sleep(2 * time.Second)
	if err := s.submitLasting(ctx); err != nil {
		return err
	}
	time.Sleep(cutTime - 2*time.Second + finishTime)
	return s.checkNextStep(ctx, id)
}

// startGang submits a gang of two with a step that depends on it, and waits until it works.
func (s *stage) startGang(ctx context.Context) (string, error) {
	s.fleet.mu.Lock()
	s.fleet.taskTimes[gangSpec] = gangTime
	s.fleet.mu.Unlock()
	id := newID()
	accepted := s.caller.submit(ctx, id, submission(gangSpec, map[string]any{
		"count":          2,
		"cpu":            5000,
		"mem_mb":         3900,
		"estimate_ms":    4000,
		"gang":           true,
		"required_label": "b",
	}, map[string]any{
		"count":       1,
		"cpu":         1300,
		"mem_mb":      1300,
		"estimate_ms": 4000,
		"depends_on":  []int{0},
	}))
	if !accepted {
		return "", errNotAccepted
	}
	if holder, _ := s.fleet.awaitHolder(id, 5*time.Second); holder == nil {
		return "", errNotAccepted
	}
	return id, nil
}

// submitLasting submits urgent work that lasts, for the same worker.
func (s *stage) submitLasting(ctx context.Context) error {
	const spec = "playgroup season"
	s.fleet.mu.Lock()
	s.fleet.taskTimes[spec] = 0
	s.fleet.mu.Unlock()
	queue := *s.caller
	queue.prefix = urgent
	if !queue.submit(ctx, newID(), submission(spec, map[string]any{
		"count":          1,
		"cpu":            10000,
		"mem_mb":         4800,
		"estimate_ms":    500,
		"long_running":   true,
		"required_label": "b",
	})) {
		return errNotAccepted
	}
	return nil
}

// checkNextStep returns errBroken if the gang's ends done were acknowledged and the next
// step has not begun since.
func (s *stage) checkNextStep(ctx context.Context, id string) error {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	var noted time.Time
	ends := 0
	for task, at := range s.fleet.acknowledged {
		if strings.HasPrefix(task, id+".0.0.") {
			ends++
			noted = at
		}
	}
	for _, start := range s.fleet.starts {
		if strings.HasPrefix(start.task, id+".0.1.") {
			return nil
		}
	}
	if ends == 0 {
		return errNotNoted
	}
	since := time.Since(noted)
	s.fleet.mu.Unlock()
	state := s.caller.state(ctx, id)
	s.fleet.mu.Lock()
	return broken("%d ends done of the gang were acknowledged %s before, and its next step has not begun; the submission is %s",
		ends, since.Round(time.Millisecond), state)
}

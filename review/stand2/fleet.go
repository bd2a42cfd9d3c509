package main

import (
	"fmt"
	"strings"
	"time"
)

// spec is what a task does, as its submission says: how long it works, or zero for ever,
// and how it ends; and, for the first run only, after what time it ends and how.
type spec struct {
	work      time.Duration
	end       string
	firstWork time.Duration
	firstEnd  string
}

// parseSpec decodes a spec such as "work=2000ms end=done first=3s:failed".
func parseSpec(text string) spec {
	s := spec{end: "done"}
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "work":
			s.work, _ = time.ParseDuration(value)
		case "end":
			s.end = value
		case "first":
			after, how, _ := strings.Cut(value, ":")
			s.firstWork, _ = time.ParseDuration(after)
			s.firstEnd = how
		}
	}
	return s
}

// endOf returns how the run ends now, or "" if it goes on.
func (s *spec) endOf(run *taskRun) string {
	since := time.Since(run.started)
	switch {
	case run.run == 1 && s.firstEnd != "":
		if since >= s.firstWork {
			return s.firstEnd
		}
	case s.work > 0 && since >= s.work:
		return s.end
	}
	return ""
}

// allHeld reports whether each worker was asked what it runs.
func (f *fleet) allHeld() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if !w.held {
			return false
		}
	}
	return len(f.workers) > 0
}

// runsOf returns the events of the submission's tasks.
func (f *fleet) runsOf(id string) []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []event
	for _, e := range f.history {
		if strings.HasPrefix(e.task, id+".") {
			events = append(events, e)
		}
	}
	return events
}

// count returns how many of the events are of the kind.
func count(events []event, how string) int {
	n := 0
	for _, e := range events {
		if e.how == how {
			n++
		}
	}
	return n
}

// atWork returns how many tasks of the submission run.
func (f *fleet) atWork(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for task := range w.running {
			if strings.HasPrefix(task, id+".") {
				n++
			}
		}
	}
	return n
}

// worker returns the worker with the id.
func (f *fleet) worker(id string) *worker {
	for _, w := range f.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// workerOf returns a worker with a run of the submission, or nil.
func (f *fleet) workerOf(id string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for task := range w.running {
			if strings.HasPrefix(task, id+".") {
				return w
			}
		}
	}
	return nil
}

// breaksOfTwice returns the breaks of the rule TWICE.
func (f *fleet) breaksOfTwice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.twice...)
}

// sameLabels gives all workers a kind and a rack of three workers.
func sameLabels(i int) []string {
	return []string{"a", fmt.Sprintf("r1-%d", (i+2)/3)}
}

// oneOwnLabel gives the first worker a kind of its own.
func oneOwnLabel(i int) []string {
	labels := sameLabels(i)
	if i == 1 {
		labels[0] = "b"
	}
	return labels
}

// tasksAtWork returns how many tasks run on all workers.
func (f *fleet) tasksAtWork() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.running)
	}
	return n
}

// zoneLabels gives all workers of a zone a kind of their own.
func zoneLabels(i int) []string {
	labels := sameLabels(i)
	labels[0] = zoneOf(i)
	return labels
}

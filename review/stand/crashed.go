package main

import (
	"net/http"
	"time"
)

const (
	// darkTime is how long a crashed worker is down, as the site file has it.
	darkTime = 4500 * time.Millisecond
	// crashDelay is how long a run is at work when its worker crashes.
	crashDelay = time.Second
	crashes    = 2
)

// workerOf returns the worker that runs the task, or nil.
func (c *cell) workerOf(task string) *worker {
	for _, w := range c.workers {
		w.mu.Lock()
		r := w.running[task]
		w.mu.Unlock()
		if r != nil {
			return w
		}
	}
	return nil
}

// playCrashed has two workers crash, one after the other, each while it runs the same
// task of a submission. A crashed worker begins another life after darkTime. The task
// would be done on any worker that goes on.
func playCrashed(c *cell, trouble bool) error {
	queue := newRoute("r-queue", "/lohu930/", 4)
	if !c.configure(1, []route{queue}, []tenant{newTenant("owner", keyOne)}) {
		return errNotPlayed
	}
	owner := c.newCaller("owner", keyOne, 0)
	const id = "5c0e7a21d94b36f8"
	if !owner.submit(queue.PathPrefix+id, oneTask("4000 done", 4*time.Second, false)) {
		return errNotPlayed
	}
	for range crashes {
		if !c.waitActive(id+firstTask, 20*time.Second) {
			break
		}
		time.Sleep(crashDelay)
		w := c.workerOf(id + firstTask)
		if w == nil || !trouble {
			break
		}
		w.end("it crashes")
		time.Sleep(darkTime)
		if err := w.begin(); err != nil {
			return err
		}
	}
	got := owner.until(40*time.Second, http.MethodGet, queue.PathPrefix+id, "", isFinal)
	if got.state() == "failed" {
		c.record.violate("LOST: %s is shown as failed after %d runs of its task, none of which ended as failed",
			id, c.record.countStarts(id+firstTask))
	}
	return nil
}

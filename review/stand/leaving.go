package main

import (
	"net/http"
	"time"
)

const (
	// drainTime is the bound drain_ms of the site, and lingerTime how much longer a
	// worker goes on serving after that.
	drainTime  = 2 * time.Second
	lingerTime = time.Second
)

// leave ends the worker as a planned end goes: it reports that it is draining until that
// is confirmed, serves on for a while, deregisters, and ends when that is confirmed. A
// call without an answer for a second is sent to the next address.
func (w *worker) leave(deregisterAt []string) {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	for !w.report("heartbeat", w.status(), w.control) {
		time.Sleep(50 * time.Millisecond)
	}
	w.record.write("work  %s has the confirmation that it is draining", w.id)
	time.Sleep(drainTime + lingerTime)
	w.record.write("work  %s deregisters", w.id)
	if w.report("deregister", map[string]any{"born": w.born}, deregisterAt) {
		w.end("its deregistration is confirmed")
		return
	}
	w.end("its deregistration has got no answer")
}

// playLeaving has a worker leave while it runs a task. The connection on which it
// deregisters goes silent once the call has been sent.
func playLeaving(c *cell, trouble bool) error {
	queue := newRoute("r-queue", "/lohu930/", 4)
	if !c.configure(1, []route{queue}, []tenant{newTenant("owner", keyOne)}) {
		return errNotPlayed
	}
	owner := c.newCaller("owner", keyOne, 0)
	const id = "5c0e7a21d94b36f8"
	if !owner.submit(queue.PathPrefix+id, oneTask("12000 done", 12*time.Second, false)) ||
		!c.waitActive(id+firstTask, 10*time.Second) {
		return errNotPlayed
	}
	time.Sleep(contactTime)
	w := c.workerOf(id + firstTask)
	if w == nil {
		return errNotPlayed
	}
	deregisterAt := append([]string{}, c.control...)
	if trouble {
		proxy, err := newSilentProxy(c.address(4, 1), c.control[0])
		if err != nil {
			return err
		}
		defer proxy.close()
		deregisterAt[0] = proxy.address()
		c.record.write("fault the connection from %s to %s goes silent", w.id, c.control[0])
	}
	w.leave(deregisterAt)
	owner.until(40*time.Second, http.MethodGet, queue.PathPrefix+id, "", isFinal)
	return nil
}

package main

import (
	"net/http"
	"time"
)

const (
	// restartTime is how long a worker is down that crashes and starts again.
	restartTime = 500 * time.Millisecond
	// reportDelay is when the new life sends its first status report, well within
	// heartbeatInterval, and submitDelay when a client hands a submission in.
	reportDelay = 700 * time.Millisecond
	submitDelay = 200 * time.Millisecond
)

// playSameID has an idle worker crash and start again under the id that it had. Before
// its first status report a client hands a submission in.
func playSameID(c *cell, trouble bool) error {
	queue := newRoute("r-queue", "/lohu930/", 4)
	if !c.configure(1, []route{queue}, []tenant{newTenant("owner", keyOne)}) {
		return errNotPlayed
	}
	owner := c.newCaller("owner", keyOne, 0)
	// The first submission tells which worker the next one will get.
	const first, second = "5c0e7a21d94b36f7", "5c0e7a21d94b36f8"
	if !owner.submit(queue.PathPrefix+first, oneTask("1000 done", time.Second, false)) ||
		!c.waitActive(first+firstTask, 10*time.Second) {
		return errNotPlayed
	}
	w := c.workerOf(first + firstTask)
	if w == nil {
		return errNotPlayed
	}
	owner.until(20*time.Second, http.MethodGet, queue.PathPrefix+first, "", isFinal)
	time.Sleep(contactTime)
	if trouble {
		w.end("it crashes")
		time.Sleep(restartTime)
		w.firstReport = reportDelay
		if err := w.begin(); err != nil {
			return err
		}
		time.Sleep(submitDelay)
	}
	if !owner.submit(queue.PathPrefix+second, oneTask("5000 done", 5*time.Second, false)) {
		return errNotPlayed
	}
	owner.until(40*time.Second, http.MethodGet, queue.PathPrefix+second, "", isFinal)
	return nil
}

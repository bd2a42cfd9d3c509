package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// firstTask is the suffix of the name of a submission's first task.
	firstTask = ".0.0.0"
	keyOne    = "6x73d3zji9n73hh2b9wu"
	neverHeld = "zzzzzzzzzzzzzzzzzzzz"
)

// errNotPlayed is returned if the deployment did not get to the point at which the case
// begins.
var errNotPlayed = errors.New("the case did not begin")

// oneTask returns a submission with one task.
func oneTask(spec string, estimate time.Duration, lasting bool) string {
	more := ""
	if lasting {
		more = `,"long_running":true`
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":%d%s}]}`,
		spec, estimate.Milliseconds(), more)
}

// waitActive waits until a run of the task is at work.
func (c *cell) waitActive(task string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c.record.isActive(task) {
			return true
		}
	}
	return false
}

// playStranger has a configuration drop a queue while submissions run in it. Later than
// config_apply_ms after it was acknowledged, a stranger cancels them: one with a key that
// no configuration ever held, and one without a key.
func playStranger(c *cell, trouble bool) error {
	kept := newRoute("r-kept", "/kept/", 3)
	dropped := newRoute("r-dropped", "/lohu930/", 3)
	tenants := []tenant{newTenant("owner", keyOne)}
	if !c.configure(1, []route{kept, dropped}, tenants) {
		return errNotPlayed
	}
	owner := c.newCaller("owner", keyOne, 0)
	ids := []string{"5c0e7a21d94b36f8", "5c0e7a21d94b36f9"}
	for _, id := range ids {
		if !owner.submit(dropped.PathPrefix+id, oneTask("20000 done", 20*time.Second, false)) ||
			!c.waitActive(id+firstTask, 10*time.Second) {
			return errNotPlayed
		}
	}
	time.Sleep(contactTime)
	if trouble && !c.configure(2, []route{kept}, tenants) {
		return errNotPlayed
	}
	time.Sleep(contactTime + configApplyTime)
	strangers := []*caller{c.newCaller("stranger", neverHeld, 1), c.newCaller("keyless", "", 1)}
	for i, stranger := range strangers {
		if got := stranger.call(http.MethodDelete, dropped.PathPrefix+ids[i], ""); got.taken() {
			c.record.violate("ROUTE: DELETE of %s with the key %q, which no configuration ever held, is answered %d",
				ids[i], stranger.key, got.status)
		}
	}
	time.Sleep(stopTimeout + time.Second)
	if trouble && !c.configure(3, []route{kept, dropped}, tenants) {
		return errNotPlayed
	}
	time.Sleep(contactTime + configApplyTime)
	for _, id := range ids {
		got := owner.until(30*time.Second, http.MethodGet, dropped.PathPrefix+id, "", isFinal)
		if got.state() != "completed" {
			c.record.violate("LOST: %s, which its owner has not cancelled, is shown as %d %s", id, got.status, got.body)
		}
	}
	return nil
}

// isFinal reports whether the answer shows a submission that is over.
func isFinal(got response) bool {
	switch got.state() {
	case "completed", "failed", "cancelled":
		return true
	}
	return got.status == http.StatusGone
}

// playRestored has a configuration drop a queue, and the next one restore it. Between
// the two, the first run of a submission's task ends as failed. The queue allows four
// such runs, and the second run would be done.
func playRestored(c *cell, trouble bool) error {
	const maxAttempts = 4
	kept := newRoute("r-kept", "/kept/", maxAttempts)
	dropped := newRoute("r-dropped", "/lohu930/", maxAttempts)
	tenants := []tenant{newTenant("owner", keyOne)}
	if !c.configure(1, []route{kept, dropped}, tenants) {
		return errNotPlayed
	}
	owner := c.newCaller("owner", keyOne, 0)
	const id = "5c0e7a21d94b36f8"
	if !owner.submit(dropped.PathPrefix+id, oneTask("8000 failed done", 8*time.Second, false)) ||
		!c.waitActive(id+firstTask, 10*time.Second) {
		return errNotPlayed
	}
	time.Sleep(contactTime)
	if trouble && !c.configure(2, []route{kept}, tenants) {
		return errNotPlayed
	}
	for c.record.isActive(id + firstTask) {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble && !c.configure(3, []route{kept, dropped}, tenants) {
		return errNotPlayed
	}
	time.Sleep(contactTime + configApplyTime)
	got := owner.until(60*time.Second, http.MethodGet, dropped.PathPrefix+id, "", isFinal)
	starts := c.record.countStarts(id + firstTask)
	if got.state() != "completed" && starts < maxAttempts {
		c.record.violate("LOST: %s is shown as %d %s after %d runs of its task; its queue has max_attempts = %d",
			id, got.status, got.body, starts, maxAttempts)
	}
	return nil
}

// playPublic has a configuration replace a queue by a public one with the same host and
// prefix, while a lasting submission runs in it. Its owner, whose calls carry no key from
// then on, cancels the submission.
func playPublic(c *cell, trouble bool) error {
	private := newRoute("r-queue", "/pule252/", 3)
	public := private
	public.Public = true
	tenants := []tenant{newTenant("owner", keyOne)}
	if !c.configure(1, []route{private}, tenants) {
		return errNotPlayed
	}
	owner := c.newCaller("owner", keyOne, 0)
	const id = "5c0e7a21d94b36f8"
	if !owner.submit(private.PathPrefix+id, oneTask("lasts", time.Second, true)) ||
		!c.waitActive(id+firstTask, 10*time.Second) {
		return errNotPlayed
	}
	time.Sleep(contactTime)
	if trouble {
		if !c.configure(2, []route{public}, tenants) {
			return errNotPlayed
		}
		owner.key = ""
	}
	time.Sleep(contactTime + configApplyTime)
	ended := func(got response) bool { return got.taken() || got.status == http.StatusGone }
	got := owner.until(10*time.Second, http.MethodDelete, private.PathPrefix+id, "", ended)
	if !ended(got) {
		return errNotPlayed
	}
	// Whether 410 acknowledges the cancelling or not, it has waited long enough then.
	wait := ackTimeout + cancelTime + stopTimeout + time.Second
	time.Sleep(wait)
	shown := owner.call(http.MethodGet, private.PathPrefix+id, "")
	if c.record.isActive(id + firstTask) {
		c.record.violate("UNASKED: the cancelling of %s was answered %d, and its task still runs %s later; its state is %d %s",
			id, got.status, wait, shown.status, shown.body)
	}
	return nil
}

const (
	// cancelTime and ackTimeout are the bounds cancel_ms and ack_timeout_ms of the site.
	cancelTime = 3 * time.Second
	ackTimeout = 4 * time.Second
)

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playForeignReport sends one status report of another writer, which names a worker's id
// and a service that no configuration has. Rule TWICE.
func playForeignReport(r *rig, trouble bool) ([]string, error) {
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	id := newID()
	r.submit(r.edges[0], owner, id, "work=15s", step{
		"count": 4, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 15000,
	})
	if err := r.waitFor("the tasks at work", func() bool { return r.fleet.atWork(id) == 4 }); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := r.sendForeignReport(r.fleet.workerOf(id)); err != nil {
			return nil, err
		}
	}
	time.Sleep(16 * time.Second)
	r.stateOf(owner, id)
	return r.fleet.breaksOfTwice(), nil
}

// sendForeignReport sends a report that names the worker's id and an unknown service.
func (r *rig) sendForeignReport(w *worker) error {
	if w == nil {
		return fmt.Errorf("%w: no worker has a task", errSetup)
	}
	r.fleet.mu.Lock()
	report := w.status()
	r.fleet.mu.Unlock()
	report["service"] = "not-named-here"
	report["address"] = fmt.Sprintf("%s:%d", r.ip(5, 9), r.ports.worker)
	report["born"] = time.Now().UnixMilli()
	report["seq"] = 1
	body, err := json.Marshal(report)
	if err != nil {
		return err
	}
	for _, core := range r.cores {
		status := r.sendReport(core, w.id, body)
		r.record.add("disrupt", "another writer reports to %s: %s is answered %d", core.name, body, status)
		if status == http.StatusOK {
			break
		}
	}
	return nil
}

// playLastingDone has the first runs of tasks that last end: those of one submission
// failed, and with the disruption those of the other done. Rule LOST.
func playLastingDone(r *rig, trouble bool) ([]string, error) {
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	failing, ending := newID(), newID()
	lasting := step{
		"count": 2, "cpu": 2000, "mem_mb": 512, "estimate_ms": 500, "long_running": true,
	}
	text := "work=0s"
	if trouble {
		text = "work=0s first=4s:done"
		r.record.add("disrupt", "the first runs of %s will end done", ending)
	}
	r.submit(r.edges[0], owner, failing, "work=0s first=4s:failed", lasting)
	r.submit(r.edges[0], owner, ending, text, lasting)
	var breaks []string
	for _, id := range []string{failing, ending} {
		if err := r.waitFor("the tasks at work", func() bool { return len(r.fleet.runsOf(id)) >= 2 }); err != nil {
			return nil, err
		}
	}
	// The first runs end 4 s after their start. The rule gives 6 s from there on, and 3 s
	// in which a task does not run.
	time.Sleep(10500 * time.Millisecond)
	idle := map[string]int{}
	const looks = 35
	for range looks {
		for _, id := range []string{failing, ending} {
			if r.fleet.atWork(id) < 2 {
				idle[id]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, id := range []string{failing, ending} {
		state := r.stateOf(owner, id)
		if idle[id] == looks {
			breaks = append(breaks, fmt.Sprintf("LOST: for 3 s, later than 6 s after their last run, %d of 2 tasks of %s that last do not run; "+
				"nobody has cancelled it, it is shown as %s", 2-r.fleet.atWork(id), id, state))
		}
	}
	return breaks, nil
}

// playLostAnswer makes the connections between the instances go silent while a submission
// is on its way, and takes the client's key away. Rule REFUSED.
func playLostAnswer(r *rig, trouble bool) ([]string, error) {
	if err := r.start(sameLabels, true); err != nil {
		return nil, err
	}
	leader := r.leader()
	if leader == nil {
		return nil, fmt.Errorf("%w: no leader", errSetup)
	}
	time.Sleep(2 * time.Second)
	id := newID()
	if trouble {
		for i, core := range r.cores {
			if core == leader {
				sprung := r.proxies[i].arm(id)
				go func() {
					<-sprung
					time.Sleep(200 * time.Millisecond)
					tenants := r.tenants()
					tenants[0].Keys = []string{ownKey}
					r.configure(tenants, leader)
				}()
			}
		}
	}
	status := r.submit(r.edges[0], caller{
		queue: urgent,
		key:   lostKey,
	}, id, "work=1s", step{
		"count": 3, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000,
	})
	time.Sleep(5 * time.Second)
	r.stateOf(owner, id)
	starts := count(r.fleet.runsOf(id), "start")
	rejected := status >= 400 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout
	if rejected && starts > 0 {
		return []string{fmt.Sprintf("REFUSED: the only attempt to hand %s in was rejected with %d, and %d tasks of it have started", id, status, starts)}, nil
	}
	if status != http.StatusOK {
		r.record.add("result", "the submission was answered %d", status)
	}
	return nil, nil
}

// playPending has one of the idle workers answer each start with 503 for a while, and hands
// submissions in. Rule MIXED.
func playPending(r *rig, trouble bool) ([]string, error) {
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w := r.fleet.workers[0]
		r.record.add("disrupt", "%s is unhealthy for %s", w.id, unhealthyTime)
		w.setUnhealthy(true)
		time.AfterFunc(unhealthyTime, func() { w.setUnhealthy(false) })
	}
	var ids []string
	for range 6 {
		id := newID()
		status := r.submit(r.edges[0], owner, id, "work=2s", step{
			"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": 2000,
		})
		if status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	time.Sleep(visibleTime + 2*time.Second + 100*time.Millisecond)
	var breaks []string
	for range 5 {
		pending := r.pending(r.edges[0])
		waiting := 0
		for _, id := range ids {
			if len(r.fleet.runsOf(id)) == 0 {
				waiting++
			}
		}
		if pending >= 0 && 2*pending < waiting {
			breaks = append(breaks, fmt.Sprintf("MIXED: the queue gives %d as pending, and %d submissions that were accepted over 5 s before have not begun",
				pending, waiting))
		}
		time.Sleep(200 * time.Millisecond)
	}
	return breaks, nil
}

// playLateRequest freezes an edge machine before it reads a submission. The client gives
// up, and cancels through another machine; then the first one wakes. Rule UNASKED.
func playLateRequest(r *rig, trouble bool) ([]string, error) {
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	id := newID()
	const freeze = 4 * time.Second
	if trouble {
		r.edges[0].signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { r.edges[0].signal(syscall.SIGCONT) })
	}
	steps := []step{
		{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 3000},
		{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 3000, "depends_on": []int{0}},
		{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 3000, "depends_on": []int{1}},
	}
	r.submit(r.edges[0], owner, id, "work=3s", steps...)
	status := r.call(r.edges[1], owner, http.MethodDelete, id, nil)
	cancelled := time.Now()
	time.Sleep(freeze + 3*cancelTime)
	r.stateOf(owner, id)
	if status != http.StatusOK && status != http.StatusGone {
		return nil, fmt.Errorf("%w: the cancel was answered %d", errSetup, status)
	}
	var breaks []string
	for _, e := range r.fleet.runsOf(id) {
		if since := e.at.Sub(cancelled); e.how == "start" && since > cancelTime {
			breaks = append(breaks, fmt.Sprintf("UNASKED: %s starts on %s %.1f s after the cancel was answered %d",
				e.task, e.worker, since.Seconds(), status))
		}
	}
	return breaks, nil
}

// idleFor reports whether nothing of the submission runs for the span.
func (r *rig) idleFor(id string, span time.Duration) bool {
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if r.fleet.atWork(id) > 0 {
			return false
		}
	}
	return true
}

// playHopelessGang hands a gang in that is larger than its tenant may have running, among
// ordinary work, and then work of another tenant. Rule LOST.
func playHopelessGang(r *rig, trouble bool) ([]string, error) {
	r.limit = 100_000
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	const ordinary = 22
	for i := range ordinary {
		if i == ordinary/2 && trouble {
			r.record.add("disrupt", "a gang of 12 tasks of 12 cores each is handed in, of a tenant that may have 100 cores running")
			r.submit(r.edges[0], owner, newID(), "work=4s", step{
				"count": workerCount, "cpu": 12000, "mem_mb": 1024, "estimate_ms": 4000, "gang": true,
			})
		}
		r.submit(r.edges[i%edgeCount], owner, newID(), "work=500ms", step{
			"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500,
		})
		time.Sleep(100 * time.Millisecond)
	}
	other := caller{
		queue: batch,
		key:   otherKey,
	}
	var ids []string
	for range 3 {
		id := newID()
		if status := r.submit(r.edges[0], other, id, "work=5s", step{
			"count": 2, "cpu": 6000, "mem_mb": 1024, "estimate_ms": 5000,
		}); status != http.StatusOK {
			return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
		}
		ids = append(ids, id)
	}
	return r.checkServed(other, ids...)
}

// playReserved has a tenant run urgent work that lasts, and hands more of its work in.
// Rule LOST.
func playReserved(r *rig, trouble bool) ([]string, error) {
	r.limit = 10_000
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	if trouble {
		r.record.add("disrupt", "the tenant, which may have 10 cores running, hands in urgent work of 4.5 cores that lasts")
		r.submit(r.edges[0], owner, newID(), "work=0s", step{
			"count": 1, "cpu": 4500, "mem_mb": 512, "estimate_ms": 500, "long_running": true,
		})
		time.Sleep(2 * time.Second)
	}
	second := caller{
		queue: batch,
		key:   ownKey,
	}
	id := newID()
	if status := r.submit(r.edges[0], second, id, "work=5s", step{
		"count": 1, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 5000,
	}); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
	}
	return r.checkServed(second, id)
}

// checkServed waits for the time of finish_s, in which there is no traffic, and then checks
// for 3 s that each submission has something running or is over.
func (r *rig) checkServed(c caller, ids ...string) ([]string, error) {
	time.Sleep(finishTime)
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	most := 0
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			idle[id] = idle[id] && r.fleet.atWork(id) == 0
		}
		most = max(most, r.fleet.tasksAtWork())
	}
	var breaks []string
	for _, id := range ids {
		state := r.stateOf(c, id)
		if !idle[id] || state != "queued" && state != "running" {
			continue
		}
		breaks = append(breaks, fmt.Sprintf("LOST: %.0f s after the last request %s is shown as %s, with %d starts, and nothing of it has run for 3 s; "+
			"meanwhile %d tasks at most were at work on all %d workers", (finishTime+3*time.Second).Seconds(), id, state,
			count(r.fleet.runsOf(id), "start"), most, workerCount))
	}
	return breaks, nil
}

// playUnhealthy hands a submission of two steps in, and has the worker that ran the first
// step answer each start with 503 from the end of that step on. Rule LOST.
func playUnhealthy(r *rig, trouble bool) ([]string, error) {
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	id := newID()
	// The first step ends some time before the check, which begins finishTime after the
	// last request.
	const first = finishTime - 1500*time.Millisecond
	if status := r.submit(r.edges[0], owner, id, "work="+first.String(),
		step{"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": first.Milliseconds()},
		step{"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": first.Milliseconds(), "depends_on": []int{0}},
	); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
	}
	traffic := time.Now()
	if err := r.waitFor("the first step at work", func() bool { return r.fleet.atWork(id) == 1 }); err != nil {
		return nil, err
	}
	w := r.fleet.workerOf(id)
	time.Sleep(time.Until(traffic.Add(first - 200*time.Millisecond)))
	if trouble {
		r.record.add("disrupt", "%s answers each start with 503 for %s", w.id, unhealthyTime)
		w.setUnhealthy(true)
		time.AfterFunc(unhealthyTime, func() { w.setUnhealthy(false) })
	}
	time.Sleep(time.Until(traffic.Add(finishTime)))
	idle := r.idleFor(id, 3*time.Second)
	state := r.stateOf(owner, id)
	r.fleet.mu.Lock()
	refused := w.refused
	r.fleet.mu.Unlock()
	r.record.add("worker", "%s has answered %d starts with 503", w.id, refused)
	if !idle {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: for 3 s, from 14 s after the last request on, nothing of %s runs, though the turn of its second step has come; "+
		"it is shown as %s, %d of %d workers are idle and healthy, and %s has answered %d starts with 503",
		id, state, workerCount-1, workerCount, w.id, refused)}, nil
}

// playFrozenRelay freezes a core machine that does not lead while orders for the workers of
// its zone are on their way, and restarts one of these workers meanwhile. Rule TWICE.
func playFrozenRelay(r *rig, trouble bool) ([]string, error) {
	if err := r.start(zoneLabels, false); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	leader := r.leader()
	if leader == nil {
		return nil, fmt.Errorf("%w: no leader", errSetup)
	}
	number := 1
	if leader == r.cores[0] {
		number = 2
	}
	relay := r.cores[number-1]
	const (
		freeze = 4 * time.Second
		down   = time.Second
	)
	frozen := time.Now()
	if trouble {
		relay.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() { relay.signal(syscall.SIGCONT) })
	}
	id := newID()
	if status := r.submit(r.edges[0], owner, id, "work=500ms", step{
		"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500, "required_label": zoneOf(number),
	}); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
	}
	if err := r.waitFor("the end", func() bool { return r.stateOf(owner, id) == "completed" }); err != nil {
		return nil, err
	}
	events := r.fleet.runsOf(id)
	w := r.fleet.worker(events[len(events)-1].worker)
	if trouble {
		time.Sleep(time.Until(frozen.Add(freeze - 1500*time.Millisecond)))
		w.crash()
		time.Sleep(down)
		if err := w.startLife(); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	r.stateOf(owner, id)
	return r.fleet.breaksOfTwice(), nil
}

// playReborn has the answers and reports of a worker get lost, and has the worker crash and
// start again under its id meanwhile. Rule TWICE.
func playReborn(r *rig, trouble bool) ([]string, error) {
	if err := r.start(sameLabels, false); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	w := r.fleet.workers[0]
	if trouble {
		r.record.add("disrupt", "the answers and reports of %s get lost for %s", w.id, cutTime)
		w.setCut(true)
		time.AfterFunc(cutTime, func() {
			w.setCut(false)
			r.record.add("disrupt", "the answers and reports of %s arrive again", w.id)
		})
		w.crash()
		time.Sleep(50 * time.Millisecond)
		if err := w.startLife(); err != nil {
			return nil, err
		}
	}
	id := newID()
	if status := r.submit(r.edges[0], owner, id, "work=15s", step{
		"count": 2, "cpu": 2000, "mem_mb": 256, "estimate_ms": 15000,
	}); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
	}
	time.Sleep(12 * time.Second)
	r.stateOf(owner, id)
	return r.fleet.breaksOfTwice(), nil
}

// cutTime is for how long the answers of a worker get lost.
const cutTime = 5500 * time.Millisecond

// clockStep is by how much the time of day of a machine jumps.
const clockStep = 2400 * time.Millisecond

// playClockBack has a worker start while its time of day is ahead, and crash and start again
// under its id once that is over. Rules TWICE and LOST.
func playClockBack(r *rig, trouble bool) ([]string, error) {
	if trouble {
		r.record.add("disrupt", "the time of day of the first worker is ahead by %s", clockStep)
		r.skew = map[int]time.Duration{1: clockStep}
	}
	if err := r.start(oneOwnLabel, false); err != nil {
		return nil, err
	}
	w := r.fleet.workers[0]
	if trouble {
		time.Sleep(time.Until(w.started.Add(clockStep / 2)))
		w.crash()
		time.Sleep(300 * time.Millisecond)
		r.record.add("disrupt", "the time of day of %s is right again", w.id)
		w.skew = 0
		if err := w.startLife(); err != nil {
			return nil, err
		}
	}
	id := newID()
	if status := r.submit(r.edges[0], owner, id, "work=15s", step{
		"count": 2, "cpu": 2000, "mem_mb": 256, "estimate_ms": 15000,
	}); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
	}
	time.Sleep(8 * time.Second)
	own := newID()
	status := r.submit(r.edges[0], owner, own, "work=5s", step{
		"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": 5000, "required_label": "b",
	})
	breaks := r.fleet.breaksOfTwice()
	if status != http.StatusOK {
		return breaks, nil
	}
	lost, err := r.checkServed(owner, own)
	return append(breaks, lost...), err
}

// playLateDone cuts a worker off while the first step of a submission ends done there, and
// has urgent work wait for the same worker meanwhile. Rule LOST.
func playLateDone(r *rig, trouble bool) ([]string, error) {
	if err := r.start(oneOwnLabel, false); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	w := r.fleet.workers[0]
	c := caller{
		queue: batch,
		key:   ownKey,
	}
	id, lasting := newID(), newID()
	if status := r.submit(r.edges[0], c, id, "work=3s",
		step{"count": 1, "cpu": 10000, "mem_mb": 256, "estimate_ms": 3000, "required_label": "b"},
		step{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 3000, "depends_on": []int{0}},
	); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
	}
	if err := r.waitFor("the first step at work", func() bool { return r.fleet.atWork(id) == 1 }); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		const long = 6 * time.Second
		r.record.add("disrupt", "%s is cut off for %s", w.id, long)
		w.setDeaf(true)
		time.AfterFunc(long, func() {
			w.setDeaf(false)
			r.record.add("disrupt", "%s is reached again", w.id)
		})
	}
	time.Sleep(time.Second)
	if status := r.submit(r.edges[0], owner, lasting, "work=0s", step{
		"count": 1, "cpu": 10000, "mem_mb": 256, "estimate_ms": 500, "long_running": true, "required_label": "b",
	}); status != http.StatusOK {
		return nil, fmt.Errorf("%w: the submission was answered %d", errSetup, status)
	}
	return r.checkServed(c, id)
}

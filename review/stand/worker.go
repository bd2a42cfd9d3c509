package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "svc"
	// maxHold and stopTimeout are the bounds max_hold_ms and stop_timeout_ms of the
	// site, and heartbeatInterval is its heartbeat_ms.
	maxHold           = 6 * time.Second
	stopTimeout       = 900 * time.Millisecond
	heartbeatInterval = 1500 * time.Millisecond
	// stopTime is how long a run takes to stop.
	stopTime = 100 * time.Millisecond
	// clockOffset is the reading of a worker's clock at its start.
	clockOffset  = 1000
	maxListed    = 500
	workerCPU    = 16000
	workerMemory = 32768
	tickInterval = 5 * time.Millisecond
)

// run is a run of a task at work on a worker.
type run struct {
	number int
	// endsAt is when it ends by itself, and how says with which outcome. A run that
	// lasts has none.
	endsAt time.Time
	how    string
	// stopsAt is when it ends because it was told to.
	stopsAt time.Time
}

type endedRun struct {
	seq  int
	task string
	run  int
	how  string
}

// worker is a stand-in for a worker, as PROTOCOL.md describes it. A spec names the time
// of a run in milliseconds and how it ends, for each run number if these differ, such as
// "8000 failed done"; a run with the spec "lasts" does not end by itself.
type worker struct {
	record  *record
	id      string
	zone    string
	control []string
	// listen is its address, and announced the one that it tells.
	listen    string
	announced string
	// firstReport is how long after the start of a life its first status report is
	// sent.
	firstReport time.Duration
	server      *http.Server

	mu       sync.Mutex
	up       bool
	draining bool
	born     int64
	started  time.Time
	// token is the highest fencing token seen, and deadline the end of the lease by
	// the worker's clock.
	token    uint64
	deadline int64
	beats    int
	running  map[string]*run
	// over has the highest run of each task that was stopped or has ended.
	over map[string]int
	ends []endedRun
	seq  int
	done chan struct{}
}

// addWorker starts a worker in one of the zones.
func (c *cell) addWorker(n int) (*worker, error) {
	ip := c.address(3, n+1)
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	w := &worker{
		record:  c.record,
		id:      fmt.Sprintf("i-%d", n+1),
		zone:    fmt.Sprintf("zone%d", n%voterCount+1),
		control: c.control,
		listen:  fmt.Sprintf("%s:%d", ip, port),
	}
	w.announced = w.listen
	c.workers = append(c.workers, w)
	return w, w.begin()
}

// begin starts a life of the worker.
func (w *worker) begin() error {
	listener, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jasmineward/run-start", w.handle(w.start))
	mux.HandleFunc("POST /jasmineward/run-stop", w.handle(w.stopRun))
	mux.HandleFunc("POST /jasmineward/hold", w.handle(w.hold))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	w.up, w.draining = true, false
	w.started = time.Now()
	w.born = w.started.UnixMilli()
	w.token, w.deadline, w.seq, w.beats = 0, 0, 0, 0
	w.running, w.over, w.ends = map[string]*run{}, map[string]int{}, nil
	w.done = make(chan struct{})
	w.record.write("work  %s begins a life, born %d", w.id, w.born)
	server, done := w.server, w.done
	go func() { _ = server.Serve(listener) }()
	go w.tick(done)
	go w.sendHeartbeats(done)
	return nil
}

// end ends the worker's process, and all that runs on it.
func (w *worker) end(why string) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	close(w.done)
	server := w.server
	for task, r := range w.running {
		w.record.runEnded(w.id, task, r.number, "with its worker")
	}
	w.running = map[string]*run{}
	w.mu.Unlock()
	_ = server.Close()
	w.record.write("work  %s ends: %s", w.id, why)
}

// clock returns the reading of the worker's clock, in milliseconds.
func (w *worker) clock() int64 {
	return time.Since(w.started).Milliseconds() + clockOffset
}

// tick ends the runs that are due.
func (w *worker) tick(done chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		now := time.Now()
		for task, r := range w.running {
			switch {
			case w.clock() > w.deadline:
				w.endRun(task, r, "lapsed")
			case !r.stopsAt.IsZero() && now.After(r.stopsAt):
				w.endRun(task, r, "stopped")
			case !r.endsAt.IsZero() && now.After(r.endsAt):
				w.endRun(task, r, r.how)
			}
		}
		w.mu.Unlock()
	}
}

// endRun lists the end of a run. The lock must be held.
func (w *worker) endRun(task string, r *run, how string) {
	delete(w.running, task)
	w.over[task] = max(w.over[task], r.number)
	w.seq++
	w.ends = append(w.ends, endedRun{
		seq:  w.seq,
		task: task,
		run:  r.number,
		how:  how,
	})
	w.record.runEnded(w.id, task, r.number, how)
}

// order has the fields of all calls to a worker.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckedSeq     int    `json:"acked_seq"`
	WaitMs       int64  `json:"wait_ms"`
}

// handle decodes an order, checks for which life and with which fencing token it was
// sent, and has it carried out with the lock held.
func (w *worker) handle(carryOut func(http.ResponseWriter, *order)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		expected := r.Header.Get("X-Jasmineward-Expect-Instance")
		switch {
		case !w.up:
			return
		case expected != "" && expected != w.id:
			w.answer(out, http.StatusMisdirectedRequest, "")
		case o.FencingToken < w.token:
			w.answer(out, http.StatusConflict, "fence")
		default:
			w.token = o.FencingToken
			carryOut(out, &o)
		}
	}
}

func (w *worker) answer(out http.ResponseWriter, status int, reason string) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	body := map[string]any{"clock_ms": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	_ = json.NewEncoder(out).Encode(body)
}

// extend extends the lease, by at most maxHold from now.
func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(out http.ResponseWriter, o *order) {
	current := w.running[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		w.answer(out, http.StatusOK, "")
		return
	case o.DeadlineMs < w.clock():
		w.answer(out, http.StatusConflict, "late")
		return
	case o.Run <= w.over[o.Task] || current != nil && o.Run < current.number:
		w.extend(o.DeadlineMs)
		w.answer(out, http.StatusConflict, "old")
		return
	}
	w.extend(o.DeadlineMs)
	w.running[o.Task] = newRun(o)
	w.record.runStarted(w.id, o.Task, o.Run)
	w.answer(out, http.StatusOK, "")
}

func newRun(o *order) *run {
	r := &run{number: o.Run}
	words := strings.Fields(o.Spec)
	if ms, err := strconv.Atoi(words[0]); err == nil {
		r.endsAt = time.Now().Add(time.Duration(ms) * time.Millisecond)
		r.how = words[min(max(o.Run, 1), len(words)-1)]
	}
	return r
}

func (w *worker) stopRun(out http.ResponseWriter, o *order) {
	w.over[o.Task] = max(w.over[o.Task], o.Run)
	if current := w.running[o.Task]; current != nil && current.number <= o.Run && current.stopsAt.IsZero() {
		current.stopsAt = time.Now().Add(stopTime)
		w.record.write("work  %s is told to stop %s run %d", w.id, o.Task, o.Run)
	}
	w.answer(out, http.StatusOK, "")
}

func (w *worker) hold(out http.ResponseWriter, o *order) {
	w.extend(o.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0].seq <= o.AckedSeq {
		w.ends = w.ends[1:]
	}
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && w.up && time.Now().Before(until) {
		w.mu.Unlock()
		time.Sleep(tickInterval)
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", 100, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListed)] {
		ended = append(ended, []any{e.seq, e.task, e.run, e.how, ""})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{
		"clock_ms":   w.clock(),
		"born":       w.born,
		"running":    running,
		"ended_runs": ended,
	})
}

// status returns what the worker reports of itself.
func (w *worker) status() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return map[string]any{
		"service":           serviceName,
		"address":           w.announced,
		"zone":              w.zone,
		"version":           "v1",
		"slots":             8,
		"state":             state,
		"cold_remaining_ms": 0,
		"capacity": map[string]int{
			"cpu":    workerCPU,
			"mem_mb": workerMemory,
			"gpus":   0,
		},
		"labels":   []string{"a", "r-" + w.zone},
		"clock_ms": w.clock(),
		"born":     w.born,
		"seq":      w.beats,
		"machine":  "m-" + w.id,
	}
}

// report sends what the worker says of itself to the addresses, one after the other,
// until one acknowledges it. It returns false if none does.
func (w *worker) report(what string, body map[string]any, addresses []string) bool {
	data, err := json.Marshal(body)
	if err != nil {
		return false
	}
	for _, address := range addresses {
		url := "http://" + address + "/jasmineward/instances/" + w.id + "/" + what
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
		if err != nil {
			return false
		}
		req.Header.Set("Content-Type", "application/json")
		if send(req, time.Second).taken() {
			return true
		}
	}
	return false
}

// sendHeartbeats reports the worker's status until its life ends.
func (w *worker) sendHeartbeats(done chan struct{}) {
	time.Sleep(w.firstReport)
	for {
		acknowledged := w.report("heartbeat", w.status(), w.control)
		wait := heartbeatInterval
		if !acknowledged {
			wait = 50 * time.Millisecond
		}
		select {
		case <-done:
			return
		case <-time.After(wait):
		}
	}
}

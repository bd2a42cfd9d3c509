package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

const (
	workerCPU    = 16000
	workerMemory = 32768
	// tick is the time between two looks at what is due on the workers.
	tick = 5 * time.Millisecond
	// clockStart is the reading of a worker's clock at its start, in milliseconds.
	clockStart = 1000
)

// fleet are the workers. Its lock guards them and what they have run.
type fleet struct {
	rig     *rig
	mu      sync.Mutex
	workers []*worker
	history []event
	// twice has a sentence for each break of the rule TWICE.
	twice []string
	done  map[string]bool
	quit  chan struct{}
}

// event is the start or the end of a run.
type event struct {
	at     time.Time
	worker string
	task   string
	run    uint32
	// how is "start", or how the run ended.
	how string
}

// worker is one worker, which may have several lives.
type worker struct {
	fleet   *fleet
	id      string
	address string
	zone    string
	labels  []string
	server  *http.Server
	up      bool
	held    bool
	// unhealthy workers answer each start with 503.
	unhealthy bool
	// cut is true while none of the worker's answers and reports arrives, and deaf while
	// no order reaches it either.
	cut     bool
	deaf    bool
	refused int
	born    int64
	// skew is how far the time of day of the worker is ahead.
	skew    time.Duration
	started time.Time
	token   uint64
	lease   int64
	endSeq  uint64
	beats   uint64
	running map[string]*taskRun
	latest  map[string]uint32
	ended   []endedRun
}

// taskRun is a run in progress.
type taskRun struct {
	run     uint32
	spec    spec
	started time.Time
	stopAt  time.Time
}

// endedRun is an end that has not been taken note of.
type endedRun struct {
	seq  uint64
	task string
	run  uint32
	how  string
}

func newFleet(r *rig) *fleet {
	f := &fleet{
		rig:  r,
		done: map[string]bool{},
		quit: make(chan struct{}),
	}
	go f.advanceLoop()
	return f
}

// add starts a worker.
func (f *fleet) add(i int, labels []string) error {
	w := &worker{
		fleet:   f,
		id:      fmt.Sprintf("i-%08x", 0x7f3a0000+i),
		address: fmt.Sprintf("%s:%d", f.rig.ip(3, i), f.rig.ports.worker),
		zone:    zoneOf(i),
		labels:  labels,
		skew:    f.rig.skew[i],
	}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	return w.startLife()
}

// startLife starts a life of the worker, which knows nothing of those before.
func (w *worker) startLife() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jasmineward/run-start", w.order(w.runStart))
	mux.HandleFunc("POST /jasmineward/run-stop", w.order(w.runStop))
	mux.HandleFunc("POST /jasmineward/hold", w.order(w.hold))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: time.Second,
	}
	w.fleet.mu.Lock()
	w.server = server
	w.up = true
	w.started = time.Now()
	w.born = w.started.Add(w.skew).UnixMilli()
	w.token, w.lease, w.endSeq, w.beats = 0, 0, 0, 0
	w.running, w.latest, w.ended = map[string]*taskRun{}, map[string]uint32{}, nil
	w.fleet.rig.record.add("worker", "%s starts, born %d, labels %v", w.id, w.born, w.labels)
	born := w.born
	w.fleet.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.report(born)
	return nil
}

// crash ends the life of the worker and all that runs on it.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	server := w.server
	w.up = false
	w.fleet.rig.record.add("disrupt", "%s crashes", w.id)
	for task, run := range w.running {
		w.fleet.note(w, task, run.run, "lost")
	}
	w.running = map[string]*taskRun{}
	w.fleet.mu.Unlock()
	_ = server.Close()
}

// unhealthyTime is for how long a worker is unhealthy.
const unhealthyTime = 6500 * time.Millisecond

// setUnhealthy makes the worker unhealthy or healthy.
func (w *worker) setUnhealthy(unhealthy bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.unhealthy = unhealthy
}

// setCut makes the answers and reports of the worker arrive no more, or again.
func (w *worker) setCut(cut bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.cut = cut
}

// setDeaf cuts the worker off in both directions, or ends that.
func (w *worker) setDeaf(deaf bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.cut, w.deaf = deaf, deaf
}

// note records a start or an end. The lock must be held.
func (f *fleet) note(w *worker, task string, run uint32, how string) {
	f.history = append(f.history, event{
		at:     time.Now(),
		worker: w.id,
		task:   task,
		run:    run,
		how:    how,
	})
	f.rig.record.add("worker", "%s: %s run %d: %s", w.id, task, run, how)
}

// clock returns the worker's clock in milliseconds. The lock must be held.
func (w *worker) clock() int64 {
	return time.Since(w.started).Milliseconds() + clockStart
}

// report sends status reports until the life ends.
func (w *worker) report(born int64) {
	for {
		w.fleet.mu.Lock()
		if !w.up || w.born != born {
			w.fleet.mu.Unlock()
			return
		}
		w.beats++
		body, err := json.Marshal(w.status())
		next, cut := int(w.beats), w.cut
		w.fleet.mu.Unlock()
		if err != nil {
			return
		}
		for i := range coreCount {
			if cut {
				break
			}
			core := w.fleet.rig.cores[(next+i)%coreCount]
			if status := w.fleet.rig.sendReport(core, w.id, body); status == http.StatusOK {
				break
			}
		}
		time.Sleep(heartbeatTime)
	}
}

// status returns the worker's report about itself. The lock must be held.
func (w *worker) status() map[string]any {
	return map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "labels": w.labels, "machine": "m-" + w.id,
		"capacity": map[string]int{
			"cpu":    workerCPU,
			"mem_mb": workerMemory,
			"gpus":   0,
		},
		"clock_ms": w.clock(), "seq": w.beats, "born": w.born,
	}
}

// sendReport sends a status report to the core machine and returns the status.
func (r *rig) sendReport(core *machine, id string, body []byte) int {
	url := fmt.Sprintf("http://%s:%d/jasmineward/instances/%s/heartbeat", core.ip, r.ports.operators, id)
	status, _ := send(http.MethodPost, url, "", "", body, time.Second)
	return status
}

// orderBody has the fields of all orders.
type orderBody struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Acked    uint64 `json:"acked_seq"`
	Wait     int64  `json:"wait_ms"`
}

// order checks the intended life and the fence of an order, and carries it out with the
// lock held.
func (w *worker) order(carryOut func(http.ResponseWriter, *http.Request, orderBody)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var o orderBody
		err := json.NewDecoder(r.Body).Decode(&o)
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.deaf {
			w.fleet.mu.Unlock()
			<-r.Context().Done()
			w.fleet.mu.Lock()
			return
		}
		expected := r.Header.Get("X-Jasmineward-Expect-Instance")
		switch {
		case err != nil:
			out.WriteHeader(http.StatusBadRequest)
		case expected != "" && expected != w.id:
			out.WriteHeader(http.StatusMisdirectedRequest)
		case o.Token < w.token:
			w.answer(out, http.StatusConflict, "fence")
		case w.cut:
			w.token = o.Token
			carryOut(httptest.NewRecorder(), r, o)
			w.fleet.mu.Unlock()
			<-r.Context().Done()
			w.fleet.mu.Lock()
		default:
			w.token = o.Token
			carryOut(out, r, o)
		}
	}
}

// answer answers an order without lists. The lock must be held.
func (w *worker) answer(out http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

// extend extends the lease. The lock must be held.
func (w *worker) extend(deadline int64) {
	w.lease = max(w.lease, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) runStart(out http.ResponseWriter, _ *http.Request, o orderBody) {
	current := w.running[o.Task]
	switch {
	case w.unhealthy:
		w.refused++
		w.answer(out, http.StatusServiceUnavailable, "")
		return
	case o.Deadline < w.clock():
		w.answer(out, http.StatusConflict, "late")
		return
	case current != nil && current.run == o.Run:
		w.extend(o.Deadline)
		w.answer(out, http.StatusOK, "")
		return
	case o.Run <= w.latest[o.Task]:
		w.extend(o.Deadline)
		w.answer(out, http.StatusConflict, "old")
		return
	}
	w.extend(o.Deadline)
	w.fleet.checkStart(w, o)
	w.running[o.Task] = &taskRun{
		run:     o.Run,
		spec:    parseSpec(o.Spec),
		started: time.Now(),
	}
	w.fleet.note(w, o.Task, o.Run, "start")
	w.answer(out, http.StatusOK, "")
}

// checkStart checks the rule TWICE at a start. The lock must be held.
func (f *fleet) checkStart(w *worker, o orderBody) {
	for _, other := range f.workers {
		if run := other.running[o.Task]; other.up && run != nil {
			f.twice = append(f.twice, fmt.Sprintf("TWICE: run %d of %s starts on %s while run %d of it is at work on %s",
				o.Run, o.Task, w.id, run.run, other.id))
		}
	}
	if f.done[o.Task] {
		f.twice = append(f.twice, fmt.Sprintf("TWICE: run %d of %s starts on %s after an end done was taken note of", o.Run, o.Task, w.id))
	}
}

func (w *worker) runStop(out http.ResponseWriter, _ *http.Request, o orderBody) {
	w.latest[o.Task] = max(w.latest[o.Task], o.Run)
	if current := w.running[o.Task]; current != nil && current.run == o.Run && current.stopAt.IsZero() {
		current.stopAt = time.Now().Add(stopTime / 2)
	}
	w.answer(out, http.StatusOK, "")
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request, o orderBody) {
	w.held = true
	w.extend(o.Deadline)
	for len(w.ended) > 0 && w.ended[0].seq <= o.Acked {
		if w.ended[0].how == "done" {
			w.fleet.done[w.ended[0].task] = true
		}
		w.fleet.rig.record.add("worker", "%s: %s run %d: end taken note of", w.id, w.ended[0].task, w.ended[0].run)
		w.ended = w.ended[1:]
	}
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil && w.up {
		w.fleet.mu.Unlock()
		time.Sleep(tick)
		w.fleet.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.run, "", run.percent(), 1000})
	}
	for _, end := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{end.seq, end.task, end.run, end.how, ""})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{
		"clock_ms": w.clock(), "born": w.born, "running": running, "ended_runs": ended,
	})
}

// advanceLoop ends the runs that are due.
func (f *fleet) advanceLoop() {
	for {
		select {
		case <-f.quit:
			return
		case <-time.After(tick):
		}
		f.mu.Lock()
		for _, w := range f.workers {
			w.advance()
		}
		f.mu.Unlock()
	}
}

// advance ends the runs that are due. The lock must be held.
func (w *worker) advance() {
	for task, run := range w.running {
		how := run.spec.endOf(run)
		switch {
		case w.clock() > w.lease:
			how = "lapsed"
		case !run.stopAt.IsZero() && time.Now().After(run.stopAt):
			how = "stopped"
		}
		if how == "" {
			continue
		}
		delete(w.running, task)
		w.latest[task] = max(w.latest[task], run.run)
		w.endSeq++
		w.ended = append(w.ended, endedRun{
			seq:  w.endSeq,
			task: task,
			run:  run.run,
			how:  how,
		})
		w.fleet.note(w, task, run.run, how)
	}
}

// percent returns how much of the work is done.
func (t *taskRun) percent() int {
	if t.spec.work == 0 {
		return 100
	}
	return int(min(99, 100*time.Since(t.started)/t.spec.work))
}

func (f *fleet) close() {
	close(f.quit)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.up = false
		_ = w.server.Close()
	}
}

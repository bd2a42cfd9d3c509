package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stopTime is how long a run takes to stop, which is less than stop_timeout_ms.
const stopTime = 100 * time.Millisecond

// run is a run of a task on a worker.
type run struct {
	number  uint32
	begun   time.Time
	endsAt  time.Time
	stopsAt time.Time
}

// end is the end of a run, as a worker lists it.
type end struct {
	seq     uint64
	task    string
	number  uint32
	outcome string
}

// begun is a start, as the worker saw it.
type begun struct {
	worker string
	task   string
	number uint32
	at     time.Time
}

// fleet is the workers of the service.
type fleet struct {
	rec     *record
	control []string

	mu      sync.Mutex
	workers []*worker
	starts  []begun
	// failed counts the runs that ended failed.
	failed int
	// taskTimes has how long the tasks of a submission take, by its spec.
	taskTimes map[string]time.Duration
	// twice has the starts of tasks that were at work on another worker.
	twice []string
	// acknowledged has when the end done of a task was acknowledged.
	acknowledged map[string]time.Time
}

// worker is one life of a worker, and the next ones at its address. The fleet's lock
// guards it.
type worker struct {
	fleet    *fleet
	id       string
	zone     string
	address  string
	labels   []string
	capacity map[string]int
	// startDelay is added to the answer to each start.
	startDelay time.Duration
	// taskTime is how long a task runs; 0 is until it is stopped.
	taskTime time.Duration

	// healed is closed when the worker is no longer cut off; it is nil without a cut.
	healed chan struct{}
	// oneWay is set if a cut lets what the worker sends through.
	oneWay bool

	alive    bool
	draining bool
	born     int64
	started  time.Time
	token    uint64
	deadline int64
	seq      uint64
	beats    uint64
	running  map[string]*run
	settled  map[string]uint32
	ended    []end
	listener net.Listener
	conns    map[net.Conn]bool
	calls    int
	cancel   context.CancelFunc
}

// add adds a worker that is not started yet.
func (f *fleet) add(id, zone, ip string, labels []string, taskTime time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	_ = listener.Close()
	w := &worker{
		fleet:    f,
		id:       id,
		zone:     zone,
		address:  address,
		labels:   labels,
		taskTime: taskTime,
		capacity: map[string]int{
			"cpu":    16000,
			"mem_mb": 32768,
			"gpus":   0,
		},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
	return w, nil
}

// start begins a life of the worker, whose time of day is ahead by so much.
func (w *worker) start(ahead time.Duration) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.fleet.mu.Lock()
	w.alive, w.draining = true, false
	w.started = time.Now()
	w.born = w.started.Add(ahead).UnixMilli()
	w.token, w.deadline, w.seq, w.beats, w.calls = 0, 0, 0, 0, 0
	w.running, w.settled, w.ended = map[string]*run{}, map[string]uint32{}, nil
	w.listener, w.conns, w.cancel = listener, map[net.Conn]bool{}, cancel
	born := w.born
	w.fleet.mu.Unlock()
	w.fleet.rec.add("worker %s: a life begins at %s, born %d", w.id, w.address, born)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /jasmineward/run-start", w.serve(born, w.runStart))
	mux.HandleFunc("POST /jasmineward/run-stop", w.serve(born, w.runStop))
	mux.HandleFunc("POST /jasmineward/hold", w.serve(born, w.hold))
	mux.HandleFunc("POST /jasmineward/pace", w.serve(born, w.pace))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
		ConnState:         w.track,
	}
	go func() { _ = server.Serve(listener) }()
	go w.work(ctx)
	go w.beat(ctx)
	return nil
}

func (w *worker) track(conn net.Conn, state http.ConnState) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[conn] = true
	case http.StateClosed:
		delete(w.conns, conn)
	}
}

// crash ends the life: its port is closed and its connections are reset.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.alive = false
	w.cancel()
	for task, r := range w.running {
		w.fleet.rec.add("worker %s: run %d of %s is gone", w.id, r.number, task)
	}
	w.running, w.ended = map[string]*run{}, nil
	_ = w.listener.Close()
	for conn := range w.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	w.fleet.rec.add("worker %s: crashes", w.id)
}

func (w *worker) clock() int64 {
	return time.Since(w.started).Milliseconds() + 1000
}

// order has the fields of all orders.
type order struct {
	Task         string `json:"task"`
	Run          uint32 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	AckedSeq     uint64 `json:"acked_seq"`
	WaitMs       int64  `json:"wait_ms"`
}

// serve returns the handler of an order to one life of the worker. The order is carried
// out with the fleet's lock held.
func (w *worker) serve(born int64, carryOut func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var o order
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = json.Unmarshal(data, &o)
		}
		w.fleet.mu.Lock()
		w.passCut(r)
		expected := r.Header.Get("X-Jasmineward-Expect-Instance")
		status, body := http.StatusBadRequest, map[string]any{}
		switch {
		case !w.alive || w.born != born:
			w.fleet.mu.Unlock()
			panic(http.ErrAbortHandler)
		case expected != "" && expected != w.id:
			status = http.StatusMisdirectedRequest
		case err == nil && o.FencingToken < w.token:
			status, body["reason"] = http.StatusConflict, "fence"
		case err == nil:
			w.token = o.FencingToken
			w.calls++
			w.advance()
			status, body = carryOut(r, o)
			if !w.oneWay {
				w.passCut(r)
			}
		}
		body["clock_ms"], body["born"] = w.clock(), w.born
		w.fleet.mu.Unlock()
		answer, _ := json.Marshal(body)
		out.Header().Set("Content-Type", "application/json")
		out.WriteHeader(status)
		_, _ = out.Write(answer)
	}
}

// passCut waits while the worker is cut off, as what is on its way then waits. A call that
// its sender resets meanwhile is lost. The fleet's lock must be held.
func (w *worker) passCut(r *http.Request) {
	for w.healed != nil {
		healed := w.healed
		w.fleet.mu.Unlock()
		select {
		case <-healed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		w.fleet.mu.Lock()
	}
}

// refuse cuts the way from all machines of the system to the worker: what is sent on open
// connections waits, and new ones are refused. What the worker sends arrives.
func (w *worker) refuse(length time.Duration) {
	w.fleet.mu.Lock()
	w.oneWay = true
	_ = w.listener.Close()
	w.fleet.mu.Unlock()
	w.cut(length)
}

// cut cuts the worker off from all machines of the system, silently, for some time.
func (w *worker) cut(length time.Duration) {
	healed := make(chan struct{})
	w.fleet.mu.Lock()
	w.healed = healed
	w.fleet.mu.Unlock()
	w.fleet.rec.add("worker %s: is cut off", w.id)
	time.AfterFunc(length, func() {
		w.fleet.mu.Lock()
		w.healed = nil
		w.fleet.mu.Unlock()
		close(healed)
		w.fleet.rec.add("worker %s: is no longer cut off", w.id)
	})
}

// advance ends the runs that are due.
func (w *worker) advance() {
	now := time.Now()
	for task, r := range w.running {
		switch {
		case w.clock() > w.deadline:
			w.end(task, r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.end(task, r, "stopped")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.end(task, r, "done")
		}
	}
}

func (w *worker) end(task string, r *run, outcome string) {
	delete(w.running, task)
	w.seq++
	w.settled[task] = max(w.settled[task], r.number)
	w.ended = append(w.ended, end{
		seq:     w.seq,
		task:    task,
		number:  r.number,
		outcome: outcome,
	})
	if outcome == "failed" {
		w.fleet.failed++
	}
	w.fleet.rec.add("worker %s: run %d of %s ends %s", w.id, r.number, task, outcome)
}

func (w *worker) runStart(_ *http.Request, o order) (int, map[string]any) {
	current := w.running[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		return http.StatusOK, map[string]any{}
	case o.Run <= w.settled[o.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.DeadlineMs < w.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.deadline = max(w.deadline, min(o.DeadlineMs, w.clock()+maxHoldMs))
	r := &run{
		number: o.Run,
		begun:  time.Now(),
	}
	w.checkTwice(o)
	w.running[o.Task] = r
	w.setEnd(o, r)
	w.fleet.starts = append(w.fleet.starts, begun{
		worker: w.id,
		task:   o.Task,
		number: o.Run,
		at:     r.begun,
	})
	w.fleet.rec.add("worker %s: run %d of %s begins, spec %q", w.id, o.Run, o.Task, o.Spec)
	if delay := w.startDelay; delay > 0 {
		w.fleet.mu.Unlock()
		time.Sleep(delay)
		w.fleet.mu.Lock()
	}
	return http.StatusOK, map[string]any{}
}

// checkTwice records a start of a task that is at work on another worker that is up.
func (w *worker) checkTwice(o order) {
	for _, other := range w.fleet.workers {
		if other == w || !other.alive {
			continue
		}
		other.advance()
		if r := other.running[o.Task]; r != nil {
			text := fmt.Sprintf("run %d of %s on %s beside run %d on %s", o.Run, o.Task, w.id, r.number, other.id)
			w.fleet.twice = append(w.fleet.twice, text)
			w.fleet.rec.add("worker %s: at once, %s", w.id, text)
		}
	}
}

// setEnd sets when the run ends by itself. The members of a gang end together.
func (w *worker) setEnd(o order, r *run) {
	taskTime, known := w.fleet.taskTimes[o.Spec]
	if !known {
		taskTime = w.taskTime
	}
	if taskTime == 0 {
		return
	}
	r.endsAt = r.begun.Add(taskTime)
	step := o.Task[:strings.LastIndexByte(o.Task, '.')+1]
	for task, other := range w.running {
		if known && strings.HasPrefix(task, step) {
			other.endsAt = r.endsAt
		}
	}
}

func (w *worker) runStop(_ *http.Request, o order) (int, map[string]any) {
	w.settled[o.Task] = max(w.settled[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
		w.fleet.rec.add("worker %s: run %d of %s is told to stop", w.id, r.number, o.Task)
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) pace(_ *http.Request, _ order) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(r *http.Request, o order) (int, map[string]any) {
	if o.DeadlineMs > 0 {
		w.deadline = max(w.deadline, min(o.DeadlineMs, w.clock()+maxHoldMs))
	}
	for len(w.ended) > 0 && w.ended[0].seq <= o.AckedSeq {
		e := w.ended[0]
		w.ended = w.ended[1:]
		if e.outcome == "done" {
			w.fleet.acknowledged[e.task] = time.Now()
		}
		w.fleet.rec.add("worker %s: the end %s of run %d of %s is acknowledged", w.id, e.outcome, e.number, e.task)
	}
	born := w.born
	until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) && r.Context().Err() == nil && w.alive && w.born == born {
		w.fleet.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.fleet.mu.Lock()
		w.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.number, "", w.percent(r), 1000})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.seq, e.task, e.number, e.outcome, ""})
	}
	return http.StatusOK, map[string]any{
		"running":    running,
		"ended_runs": ended,
	}
}

func (w *worker) percent(r *run) int {
	if r.endsAt.IsZero() {
		return 100
	}
	return int(100 * time.Since(r.begun) / r.endsAt.Sub(r.begun))
}

// work lets the tasks of one life end in time.
func (w *worker) work(ctx context.Context) {
	for ctx.Err() == nil {
		w.fleet.mu.Lock()
		if ctx.Err() == nil {
			w.advance()
		}
		w.fleet.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// beat sends the status reports of one life.
func (w *worker) beat(ctx context.Context) {
	client := &http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	for at := 0; ctx.Err() == nil; at++ {
		address := w.fleet.control[at%len(w.fleet.control)]
		if !w.report(ctx, client, address) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// message returns the next status report. The fleet's lock must be held.
func (w *worker) message() map[string]any {
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return map[string]any{
		"service":           service,
		"address":           w.address,
		"zone":              w.zone,
		"version":           "v1",
		"slots":             8,
		"state":             state,
		"cold_remaining_ms": 0,
		"capacity":          w.capacity,
		"labels":            w.labels,
		"clock_ms":          w.clock(),
		"born":              w.born,
		"seq":               w.beats,
	}
}

// report sends one status report and reports whether it was acknowledged.
func (w *worker) report(ctx context.Context, client *http.Client, address string) bool {
	w.fleet.mu.Lock()
	if w.healed != nil {
		w.fleet.mu.Unlock()
		time.Sleep(time.Second)
		return false
	}
	message := w.message()
	body, _ := json.Marshal(message)
	w.fleet.mu.Unlock()
	got := call(ctx, client, http.MethodPost, "http://"+address+"/jasmineward/instances/"+w.id+"/heartbeat", "", body)
	w.fleet.rec.add("worker %s: report %d, %s, to %s was answered %d", w.id, message["seq"], message["state"], address, got.status)
	return got.status/100 == 2
}

// holderOf returns the worker on which a task of the submission runs, and since when, or
// nil.
func (f *fleet) holderOf(id string) (*worker, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if !w.alive {
			continue
		}
		w.advance()
		for task, r := range w.running {
			if task[:len(id)] == id {
				return w, r.begun
			}
		}
	}
	return nil, time.Time{}
}

// awaitHolder waits until a task of the submission runs.
func (f *fleet) awaitHolder(id string, limit time.Duration) (*worker, time.Time) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if w, since := f.holderOf(id); w != nil {
			return w, since
		}
	}
	return nil, time.Time{}
}

// callsTo returns how many orders this life of the worker has got.
func (f *fleet) callsTo(w *worker) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return w.calls
}

// awaitCalls waits until the system has called each of the workers.
func (f *fleet) awaitCalls(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, w := range f.workers {
		for w.alive && f.callsTo(w) == 0 {
			if time.Now().After(until) {
				return fmt.Errorf("worker %s was not called", w.id)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// addSome adds and starts workers with the label "a".
func (f *fleet) addSome(count int, subnet string, taskTime time.Duration) error {
	for i := range count {
		w, err := f.add("i-"+strconv.Itoa(101+i), zones[i%len(zones)], subnet+strconv.Itoa(101+i),
			[]string{"a", "r1-" + strconv.Itoa(1+i/6)}, taskTime)
		if err != nil {
			return err
		}
		if err := w.start(0); err != nil {
			return err
		}
	}
	return nil
}

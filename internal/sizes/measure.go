package sizes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/peer"
	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/sched"
	"github.com/jasmineward/jasmineward/pkg/walog"
)

const (
	loops      = 2000
	pacedCalls = 100
	pacedPause = 4 * time.Millisecond
	// manyCallers is how many call at once; a log has one.
	manyCallers = 8
	recordSize  = 200

	callTimeout = 5 * time.Second
)

// Measure measures every slope so many times.
func Measure(runs int) ([]Slope, error) {
	byName := map[string][]Slope{}
	var order []string
	for range runs {
		slopes, err := measureOnce()
		if err != nil {
			return nil, err
		}
		for _, s := range slopes {
			if byName[s.Name] == nil {
				order = append(order, s.Name)
			}
			byName[s.Name] = append(byName[s.Name], s)
		}
	}
	merged := make([]Slope, 0, len(order))
	for _, name := range order {
		merged = append(merged, Merge(byName[name]))
	}
	return merged, nil
}

func measureOnce() ([]Slope, error) {
	slopes := stateSlopes()
	slopes = append(slopes, applySlope(), decideSlope(), messageSlope(SlopePoll, 8))
	slopes = append(slopes, httpSlope(), logSlope())
	rpc, err := rpcSlope()
	if err != nil {
		return nil, err
	}
	disk, err := diskSlopes()
	return append(append(slopes, rpc), disk...), err
}

// Names of the slopes.
const (
	SlopeJob     = "state-job"
	SlopeTask    = "state-running-task"
	SlopeWorker  = "state-worker"
	SlopeKey     = "state-team-and-key"
	SlopeNote    = "state-note"
	SlopeApply   = "apply-command"
	SlopeDecide  = "decide-task"
	SlopePoll    = "poll-bytes"
	SlopeCodec   = "rpc-call"
	SlopeHTTP    = "http-request"
	SlopeLog     = "log-line"
	SlopeRecord  = "log-append"
	SlopeSync    = "log-sync"
	SlopeEngine  = "engine-worker"
	sizesOfState = 4
)

// micros returns the mean time of one call, in microseconds.
func micros(count int, call func()) float64 {
	began := time.Now()
	for range count {
		call()
	}
	return float64(time.Since(began)) / float64(time.Microsecond) / float64(count)
}

// cpuMicros returns the mean processor time of one call by the whole process,
// in microseconds. The calls come one by one from a few callers with pauses
// between, as they do in a cell that is not at its limit: a process that is
// woken for each call pays for the waking too. What the pauses alone cost is
// taken off.
func cpuMicros(callers int, call func()) float64 {
	busy, count := paced(callers, call)
	idle, _ := paced(callers, func() {})
	return float64(busy-idle) / float64(time.Microsecond) / float64(count)
}

func paced(callers int, call func()) (spent time.Duration, count int) {
	var wait sync.WaitGroup
	before := processTime()
	for range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range pacedCalls {
				call()
				time.Sleep(pacedPause)
			}
		}()
	}
	wait.Wait()
	return processTime() - before, callers * pacedCalls
}

func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// applySlope measures one command of a job's four against the live jobs.
func applySlope() Slope {
	var points []Point
	for _, n := range []int{2000, 5500, 11000} {
		l := jobsLedger(n, true)
		target := announce(l, 1<<20, 4096)
		points = append(points, Point{
			X: float64(n),
			Y: micros(loops, func() { runJob(l, target, false) }) / 4,
		})
	}
	return Fit(SlopeApply, "us", "running task", points)
}

func benchEngine(workers int) *sched.Engine {
	e := sched.NewEngine(sched.WithHeadroom(0))
	e.SetTeam(sched.Team{
		Name:   "team",
		Weight: 1,
		Limit: quota.Room{
			CPU:    1 << 40,
			Memory: 1 << 40,
		},
	})
	for i := range workers {
		e.SetWorker(sched.Worker{
			ID:     fmt.Sprintf("worker-%d", i),
			Slots:  8,
			Rack:   fmt.Sprintf("rack-%d", i/6),
			Domain: fmt.Sprintf("domain-%d", i%16),
			Capacity: quota.Room{
				CPU:    64000,
				Memory: 131072,
			},
		})
	}
	e.Decide(epoch, 1)
	return e
}

func decideSlope() Slope {
	var points []Point
	for _, workers := range []int{270, 1350, 2700, 5400} {
		e := benchEngine(workers)
		id := sched.JobID(0)
		at := epoch
		points = append(points, Point{
			X: float64(workers),
			Y: micros(loops, func() {
				id++
				at = at.Add(time.Millisecond)
				e.Submit(sched.Job{
					ID:        id,
					Team:      "team",
					Service:   "service",
					Kind:      sched.KindBatch,
					Tasks:     1,
					Submitted: at,
					Room: quota.Room{
						CPU:    4000,
						Memory: 4096,
					},
				})
				e.Decide(at, 1)
				e.Finished(id, 0, sched.Result{Now: at})
				e.Drop(id, at)
			}),
		})
	}
	return Fit(SlopeDecide, "us", "worker", points)
}

// messageSlope measures the bytes of a target's poll, headers included,
// against the attempts that it knows.
func messageSlope(name string, most int) Slope {
	var points []Point
	for n := 0; n <= most; n += 2 {
		points = append(points, Point{
			X: float64(n),
			Y: float64(pollBytes(n)),
		})
	}
	return Fit(name, "bytes", "known attempt", points)
}

// Frame is a message of a size.
type Frame struct {
	Payload []byte `cbor:"1,keyasint"`
}

// Mirror is the service that the calls are measured on.
type Mirror struct{}

// Back returns what it is given.
func (Mirror) Back(args *Frame, reply *Frame) error {
	*reply = *args
	return nil
}

// rpcSlope measures the processor time of a call over loopback, both sides.
func rpcSlope() (Slope, error) {
	server, err := peer.Listen("127.0.0.1:0", nil, &peer.Traffic{})
	if err != nil {
		return Slope{}, err
	}
	defer server.Close()
	if err := server.Concurrent("Mirror", &Mirror{}); err != nil {
		return Slope{}, err
	}
	server.Serve()
	client := peer.NewDialer(&peer.Traffic{}).NewClient(server.Address())
	defer client.Close()
	var points []Point
	for _, size := range []int{128, 1024, 4096, 16384} {
		message := &Frame{Payload: make([]byte, size)}
		points = append(points, Point{
			X: float64(size),
			Y: cpuMicros(manyCallers, func() {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				_ = client.Call(ctx, "Mirror.Back", message, &Frame{})
			}),
		})
	}
	return Fit(SlopeCodec, "us", "byte", points), nil
}

// httpSlope measures a request with its answer over loopback, both sides.
func httpSlope() Slope {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	var points []Point
	for _, size := range []int{256, 2048, 16384} {
		points = append(points, Point{
			X: float64(size),
			Y: cpuMicros(manyCallers, func() {
				response, err := http.Post(server.URL, "text/plain", newZeros(size))
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}),
		})
	}
	return Fit(SlopeHTTP, "us", "byte", points)
}

func newZeros(size int) io.Reader {
	return io.LimitReader(zeros{}, int64(size))
}

type zeros struct{}

// Read fills with zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// logSlope measures a log line against its number of fields.
func logSlope() Slope {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var points []Point
	for _, fields := range []int{1, 3, 6} {
		line := ""
		args := make([]any, 0, fields)
		for i := range fields {
			line += " field=%d"
			args = append(args, i)
		}
		points = append(points, Point{
			X: float64(fields),
			Y: micros(loops, func() { log.Infof("sched: placed"+line, args...) }),
		})
	}
	return Fit(SlopeLog, "us", "field", points)
}

// diskSlopes measure appends and syncs of the write-ahead log.
func diskSlopes() ([]Slope, error) {
	dir, err := os.MkdirTemp("", "slopes-")
	if err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log, err := walog.Open(dir, func([]byte) error { return nil })
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	var appends, syncs []Point
	for _, size := range []int{128, 1024, 8192} {
		record := make([]byte, size)
		appends = append(appends, Point{
			X: float64(size),
			Y: micros(loops/10, func() { _ = log.Append(record) }),
		})
		if err := log.Sync(); err != nil {
			return nil, errors.Wrap(err, "sync log")
		}
	}
	record := make([]byte, recordSize)
	for _, batch := range []int{1, 16, 64, 256} {
		syncs = append(syncs, Point{
			X: float64(batch),
			Y: cpuMicros(1, func() {
				for range batch {
					_ = log.Append(record)
				}
				_ = log.Sync()
			}),
		})
	}
	return []Slope{
		Fit(SlopeRecord, "us", "byte", appends),
		Fit(SlopeSync, "us", "record of 200 bytes", syncs),
	}, nil
}

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
	iterations     = 2000
	callsPerCaller = 100
	callInterval   = 4 * time.Millisecond
	// concurrentCallers is the number of concurrent RPC and HTTP callers. The
	// write-ahead log has a single caller.
	concurrentCallers = 8
	syncRecordBytes   = 200
	// stateSizeSteps is the number of sizes at which memory is measured.
	stateSizeSteps = 4

	callTimeout = 5 * time.Second
)

// Measure repeats every measurement runs times and returns the merged models.
func Measure(runs int) ([]LinearModel, error) {
	byModel := map[string][]LinearModel{}
	var order []string
	for range runs {
		models, err := measureAll()
		if err != nil {
			return nil, err
		}
		for _, m := range models {
			if byModel[m.Name] == nil {
				order = append(order, m.Name)
			}
			byModel[m.Name] = append(byModel[m.Name], m)
		}
	}
	merged := make([]LinearModel, 0, len(order))
	for _, name := range order {
		merged = append(merged, MergeRuns(byModel[name]))
	}
	return merged, nil
}

func measureAll() ([]LinearModel, error) {
	models := measureState()
	models = append(models, measureCommandApply(), measureScheduling(), measurePollSize(ModelPollSize, 8))
	models = append(models, measureHTTP(), measureLogLine())
	rpc, err := measureRPC()
	if err != nil {
		return nil, err
	}
	disk, err := measureWAL()
	return append(append(models, rpc), disk...), err
}

// Names of the models.
const (
	ModelEndedJobState    = "state-job"
	ModelRunningTaskState = "state-running-task"
	ModelWorkerState      = "state-worker"
	ModelTeamState        = "state-team-and-key"
	ModelNoteState        = "state-note"
	ModelCommandApply     = "apply-command"
	ModelScheduling       = "decide-task"
	ModelPollSize         = "poll-bytes"
	ModelRPC              = "rpc-call"
	ModelHTTP             = "http-request"
	ModelLogLine          = "log-line"
	ModelWALAppend        = "log-append"
	ModelWALSync          = "log-sync"
	ModelSchedulerState   = "engine-worker"
)

// meanMicros returns the mean duration of n calls to fn, in microseconds.
func meanMicros(n int, fn func()) float64 {
	start := time.Now()
	for range n {
		fn()
	}
	return float64(time.Since(start)) / float64(time.Microsecond) / float64(n)
}

// meanCPUMicros returns the mean CPU time that the process spends on one call
// to fn, in microseconds. Each caller pauses between its calls, as in a cell
// below its capacity, so the result includes the cost of waking up an idle
// process. The cost of the pauses alone is subtracted.
func meanCPUMicros(callers int, fn func()) float64 {
	busy, count := runPaced(callers, fn)
	idle, _ := runPaced(callers, func() {})
	return float64(busy-idle) / float64(time.Microsecond) / float64(count)
}

func runPaced(callers int, fn func()) (cpuTime time.Duration, count int) {
	var wg sync.WaitGroup
	before := processCPUTime()
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range callsPerCaller {
				fn()
				time.Sleep(callInterval)
			}
		}()
	}
	wg.Wait()
	return processCPUTime() - before, callers * callsPerCaller
}

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCommandApply measures the time to apply one of the four commands of a
// job, depending on the number of running tasks.
func measureCommandApply() LinearModel {
	var points []Point
	for _, n := range []int{2000, 5500, 11000} {
		l := newJobsLedger(n, true)
		target := announceWorker(l, 1<<20, 4096)
		points = append(points, Point{
			X: float64(n),
			Y: meanMicros(iterations, func() { runJob(l, target, false) }) / 4,
		})
	}
	return Fit(ModelCommandApply, "us", "running task", points)
}

func newEngine(workers int) *sched.Engine {
	engine := sched.NewEngine(sched.WithHeadroom(0))
	engine.SetTeam(sched.Team{
		Name:   "team",
		Weight: 1,
		Limit: quota.Resources{
			CPU:    1 << 40,
			Memory: 1 << 40,
		},
	})
	for i := range workers {
		engine.SetWorker(sched.Worker{
			ID:     fmt.Sprintf("worker-%d", i),
			Slots:  8,
			Rack:   fmt.Sprintf("rack-%d", i/6),
			Domain: fmt.Sprintf("domain-%d", i%16),
			Capacity: quota.Resources{
				CPU:    64000,
				Memory: 131072,
			},
		})
	}
	engine.Decide(startTime, 1)
	return engine
}

func measureScheduling() LinearModel {
	var points []Point
	for _, workers := range []int{270, 1350, 2700, 5400} {
		engine := newEngine(workers)
		id := sched.JobID(0)
		submitted := startTime
		points = append(points, Point{
			X: float64(workers),
			Y: meanMicros(iterations, func() {
				id++
				submitted = submitted.Add(time.Millisecond)
				engine.Submit(sched.Job{
					ID:        id,
					Team:      "team",
					Service:   "service",
					Kind:      sched.KindBatch,
					Tasks:     1,
					Submitted: submitted,
					Resources: quota.Resources{
						CPU:    4000,
						Memory: 4096,
					},
				})
				engine.Decide(submitted, 1)
				engine.Finished(id, 0, sched.Result{EndedAt: submitted})
				engine.RemoveJob(id, submitted)
			}),
		})
	}
	return Fit(ModelScheduling, "us", "worker", points)
}

// measurePollSize measures the size of a target's poll, including headers,
// depending on the number of attempts that it lists.
func measurePollSize(name string, maxAttempts int) LinearModel {
	var points []Point
	for n := 0; n <= maxAttempts; n += 2 {
		points = append(points, Point{
			X: float64(n),
			Y: float64(pollSize(n)),
		})
	}
	return Fit(name, "bytes", "known attempt", points)
}

// EchoMessage is an RPC message with a payload of variable size.
type EchoMessage struct {
	Payload []byte `cbor:"1,keyasint"`
}

// EchoService is the RPC service that measureRPC calls.
type EchoService struct{}

// Back copies its arguments to the reply.
func (EchoService) Back(args *EchoMessage, reply *EchoMessage) error {
	*reply = *args
	return nil
}

// measureRPC measures the CPU time of a call over loopback, client and server
// together.
func measureRPC() (LinearModel, error) {
	server, err := peer.Listen("127.0.0.1:0", nil, &peer.Traffic{})
	if err != nil {
		return LinearModel{}, err
	}
	defer server.Close()
	if err := server.RegisterConcurrent("Mirror", &EchoService{}); err != nil {
		return LinearModel{}, err
	}
	server.Serve()
	client := peer.NewDialer(&peer.Traffic{}).NewClient(server.Address())
	defer client.Close()
	var points []Point
	for _, size := range []int{128, 1024, 4096, 16384} {
		message := &EchoMessage{Payload: make([]byte, size)}
		points = append(points, Point{
			X: float64(size),
			Y: meanCPUMicros(concurrentCallers, func() {
				ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
				defer cancel()
				_ = client.Call(ctx, "Mirror.Back", message, &EchoMessage{})
			}),
		})
	}
	return Fit(ModelRPC, "us", "byte", points), nil
}

// measureHTTP measures the CPU time of a request over loopback, client and
// server together.
func measureHTTP() LinearModel {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	var points []Point
	for _, size := range []int{256, 2048, 16384} {
		points = append(points, Point{
			X: float64(size),
			Y: meanCPUMicros(concurrentCallers, func() {
				response, err := http.Post(server.URL, "text/plain", newZeroReader(size))
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}),
		})
	}
	return Fit(ModelHTTP, "us", "byte", points)
}

func newZeroReader(size int) io.Reader {
	return io.LimitReader(zeroReader{}, int64(size))
}

type zeroReader struct{}

// Read fills p with zeros.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// measureLogLine measures the time to write a log line, depending on its number
// of fields.
func measureLogLine() LinearModel {
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
			Y: meanMicros(iterations, func() { log.Infof("sched: placed"+line, args...) }),
		})
	}
	return Fit(ModelLogLine, "us", "field", points)
}

// measureWAL measures appends to the write-ahead log and its syncs.
func measureWAL() ([]LinearModel, error) {
	dir, err := os.MkdirTemp("", "slopes-")
	if err != nil {
		return nil, errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log, err := walog.Open(dir, func([]byte) error { return nil })
	if err != nil {
		return nil, errors.Wrap(err, "open write-ahead log")
	}
	defer func() { _ = log.Close() }()
	var appends, syncs []Point
	for _, size := range []int{128, 1024, 8192} {
		record := make([]byte, size)
		appends = append(appends, Point{
			X: float64(size),
			Y: meanMicros(iterations/10, func() { _ = log.Append(record) }),
		})
		if err := log.Sync(); err != nil {
			return nil, errors.Wrap(err, "sync write-ahead log")
		}
	}
	record := make([]byte, syncRecordBytes)
	for _, batch := range []int{1, 16, 64, 256} {
		syncs = append(syncs, Point{
			X: float64(batch),
			Y: meanCPUMicros(1, func() {
				for range batch {
					_ = log.Append(record)
				}
				_ = log.Sync()
			}),
		})
	}
	return []LinearModel{
		Fit(ModelWALAppend, "us", "byte", appends),
		Fit(ModelWALSync, "us", "record of 200 bytes", syncs),
	}, nil
}

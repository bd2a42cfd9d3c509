package load

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/jasmineward/jasmineward/internal/fake"
	"github.com/jasmineward/jasmineward/internal/note"
)

// NotesReport holds the results of a load test of release notes.
type NotesReport struct {
	Notes     int `json:"notes"`
	Instances int `json:"instances"`
	// Reverted counts how often an instance went back to an older note.
	Reverted int `json:"reverted"`
	// PropagationP50 and PropagationP99 are quantiles of the time from the
	// acceptance of a note until it is in force on every instance.
	PropagationP50 float64 `json:"everywhere-p50-ms"`
	PropagationP99 float64 `json:"everywhere-p99-ms"`
	AcceptP99      float64 `json:"accept-p99-ms"`
	// FeedBytes is the mean number of bytes per second that a diskless instance
	// read and wrote.
	FeedBytes float64 `json:"feed-bytes-per-second"`
}

// pollInterval is the interval between checks of the instances' configurations.
const pollInterval = 2 * time.Millisecond

// noteWatcher measures when each note is in force on all instances.
type noteWatcher struct {
	cell             *fake.Cell
	mu               sync.Mutex
	acceptedAt       map[uint64]time.Time
	propagationTimes []time.Duration
	// lastSeen is the number of the note last seen on each instance.
	lastSeen []uint64
	reverted int
	// inForce is the number of the last note that was seen in force on all
	// instances.
	inForce uint64
}

// RunNotes starts a cell in this process and applies release notes at the rate
// per second.
func RunNotes(ctx context.Context, o Options, rate float64) (NotesReport, error) {
	dataDir, err := os.MkdirTemp("", "jasload-")
	if err != nil {
		return NotesReport{}, errors.Wrap(err, "create data directory")
	}
	defer func() { _ = os.RemoveAll(dataDir) }()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cell, err := fake.StartCell(startCtx, fake.CellConfig{
		DataDir:  dataDir,
		Voters:   o.Voters,
		Diskless: o.DisklessInstances,
		Network:  fake.NewNetwork(o.Delay),
	})
	if err != nil {
		return NotesReport{}, err
	}
	defer cell.Kill()
	w := &noteWatcher{
		cell:       cell,
		acceptedAt: map[uint64]time.Time{},
		lastSeen:   make([]uint64, len(cell.Instances)),
	}
	return w.drive(ctx, o, rate)
}

func (w *noteWatcher) drive(ctx context.Context, o Options, rate float64) (NotesReport, error) {
	before := w.disklessBytes(o)
	startedAt := time.Now()
	pollCtx, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		w.pollLoop(pollCtx)
	}()
	acceptTimes, err := w.applyNotes(ctx, int(rate*o.Duration.Seconds()), rate)
	for w.isBehind(uint64(len(acceptTimes))) && ctx.Err() == nil && err == nil {
		time.Sleep(pollInterval)
	}
	seconds := time.Since(startedAt).Seconds()
	bytes := w.disklessBytes(o) - before
	stop()
	wg.Wait()
	return NotesReport{
		Notes:          len(acceptTimes),
		Instances:      len(w.lastSeen),
		Reverted:       w.reverted,
		PropagationP50: quantile(w.propagationTimes, 0.5),
		PropagationP99: quantile(w.propagationTimes, 0.99),
		AcceptP99:      quantile(acceptTimes, 0.99),
		FeedBytes:      bytes / seconds / float64(max(o.DisklessInstances, 1)),
	}, err
}

// applyNotes applies count notes one after the other at the rate. It returns how
// long each took to be accepted.
func (w *noteWatcher) applyNotes(ctx context.Context, count int, rate float64) ([]time.Duration, error) {
	operators := w.cell.OperatorClient()
	startedAt := time.Now()
	var acceptTimes []time.Duration
	for i := range count {
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		n := note.Note{Number: uint64(i + 1)}
		change := note.Change{
			Op:   note.OpAdd,
			Team: &note.Team{Name: "team"},
		}
		if i > 0 {
			change = note.Change{
				Op: note.OpChange,
				Share: &note.Share{
					Team:   "team",
					Weight: float64(i + 1),
				},
			}
		}
		n.Changes = []note.Change{change}
		sentAt := time.Now()
		if _, err := operators.ApplyNote(ctx, n, false, 0); err != nil {
			return acceptTimes, errors.Wrapf(err, "apply note %d", n.Number)
		}
		acceptTimes = append(acceptTimes, time.Since(sentAt))
		w.mu.Lock()
		w.acceptedAt[n.Number] = time.Now()
		w.mu.Unlock()
	}
	return acceptTimes, nil
}

func (w *noteWatcher) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		w.poll()
		time.Sleep(pollInterval)
	}
}

// poll reads the note number in force on each instance and records the
// propagation times of the notes that have reached all of them.
func (w *noteWatcher) poll() {
	lowest := ^uint64(0)
	for i, instance := range w.cell.Instances {
		state, _ := instance.Daemon.Node().Config()
		number := uint64(0)
		if state != nil {
			number = state.Number
		}
		if number < w.lastSeen[i] {
			w.reverted++
		}
		w.lastSeen[i] = number
		lowest = min(lowest, number)
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.inForce < lowest {
		at, ok := w.acceptedAt[w.inForce+1]
		if !ok {
			return
		}
		w.inForce++
		w.propagationTimes = append(w.propagationTimes, max(now.Sub(at), 0))
	}
}

// isBehind reports whether the note with the number was not yet seen in force on
// all instances.
func (w *noteWatcher) isBehind(number uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inForce < number
}

// disklessBytes returns the peer traffic of the diskless instances, which follow
// the voters in the list.
func (w *noteWatcher) disklessBytes(o Options) float64 {
	sum := 0.0
	for _, instance := range w.cell.Instances[o.Voters:] {
		read, written := instance.Daemon.Node().Traffic()
		sum += float64(read + written)
	}
	return sum
}

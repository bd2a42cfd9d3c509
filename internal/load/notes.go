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

// NotesReport is what a run of release notes found.
type NotesReport struct {
	Notes     int `json:"notes"`
	Instances int `json:"instances"`
	// Reverted counts instances that were seen to go back to an older note.
	Reverted int `json:"reverted"`
	// Everywhere is from a note's acceptance to its being in force on every
	// instance.
	EverywhereP50 float64 `json:"everywhere-p50-ms"`
	EverywhereP99 float64 `json:"everywhere-p99-ms"`
	AcceptP99     float64 `json:"accept-p99-ms"`
	// FeedBytes is the mean of what an instance without a disk read and
	// wrote a second.
	FeedBytes float64 `json:"feed-bytes-per-second"`
}

// watchEvery is how often the instances are looked at.
const watchEvery = 2 * time.Millisecond

// noteWatch notes when each note was in force on all instances.
type noteWatch struct {
	cell     *fake.Cell
	mu       sync.Mutex
	accepted map[uint64]time.Time
	times    []time.Duration
	seen     []uint64
	reverted int
	done     uint64
}

// DriveNotes starts a cell and applies release notes at the rate.
func DriveNotes(ctx context.Context, o Options, rate float64) (NotesReport, error) {
	folder, err := os.MkdirTemp("", "jasload-")
	if err != nil {
		return NotesReport{}, errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	forming, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	cell, err := fake.StartCell(forming, fake.CellConfig{
		DataDir:  folder,
		Voters:   o.Voters,
		Diskless: o.Entries,
		Network:  fake.NewNetwork(o.Delay),
	})
	if err != nil {
		return NotesReport{}, err
	}
	defer cell.Kill()
	w := &noteWatch{
		cell:     cell,
		accepted: map[uint64]time.Time{},
		seen:     make([]uint64, len(cell.Instances)),
	}
	return w.drive(ctx, o, rate)
}

func (w *noteWatch) drive(ctx context.Context, o Options, rate float64) (NotesReport, error) {
	before := w.entryBytes(o)
	began := time.Now()
	watching, stop := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		w.watch(watching)
	}()
	accepts, err := w.apply(ctx, int(rate*o.Length.Seconds()), rate)
	for w.behind(uint64(len(accepts))) && ctx.Err() == nil && err == nil {
		time.Sleep(watchEvery)
	}
	seconds := time.Since(began).Seconds()
	bytes := w.entryBytes(o) - before
	stop()
	done.Wait()
	return NotesReport{
		Notes:         len(accepts),
		Instances:     len(w.seen),
		Reverted:      w.reverted,
		EverywhereP50: quantile(w.times, 0.5),
		EverywhereP99: quantile(w.times, 0.99),
		AcceptP99:     quantile(accepts, 0.99),
		FeedBytes:     bytes / seconds / float64(max(o.Entries, 1)),
	}, err
}

// apply applies notes, each following the last, at the rate.
func (w *noteWatch) apply(ctx context.Context, count int, rate float64) ([]time.Duration, error) {
	operators := w.cell.OperatorClient()
	began := time.Now()
	var accepts []time.Duration
	for i := range count {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
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
		sent := time.Now()
		if _, err := operators.ApplyNote(ctx, n, false, 0); err != nil {
			return accepts, errors.Wrapf(err, "apply note %d", n.Number)
		}
		accepts = append(accepts, time.Since(sent))
		w.mu.Lock()
		w.accepted[n.Number] = time.Now()
		w.mu.Unlock()
	}
	return accepts, nil
}

func (w *noteWatch) watch(ctx context.Context) {
	for ctx.Err() == nil {
		w.look()
		time.Sleep(watchEvery)
	}
}

func (w *noteWatch) look() {
	least := ^uint64(0)
	for i, instance := range w.cell.Instances {
		state, _ := instance.Daemon.Node().Config()
		number := uint64(0)
		if state != nil {
			number = state.Number
		}
		if number < w.seen[i] {
			w.reverted++
		}
		w.seen[i] = number
		least = min(least, number)
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.done < least {
		at, ok := w.accepted[w.done+1]
		if !ok {
			return
		}
		w.done++
		w.times = append(w.times, max(now.Sub(at), 0))
	}
}

func (w *noteWatch) behind(last uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done < last
}

func (w *noteWatch) entryBytes(o Options) float64 {
	sum := 0.0
	for _, instance := range w.cell.Instances[o.Voters:] {
		read, written := instance.Daemon.Node().Traffic()
		sum += float64(read + written)
	}
	return sum
}

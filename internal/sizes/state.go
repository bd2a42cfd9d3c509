package sizes

import (
	"fmt"
	"runtime"
	"time"

	"github.com/jasmineward/jasmineward/internal/ledger"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/pkg/dedup"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// heapGrowth returns the bytes of heap that the result of newValue keeps alive.
func heapGrowth(newValue func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := newValue()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func measureState() []LinearModel {
	fitHeap := func(name, xUnit string, step int, newValue func(n int) any) LinearModel {
		var points []Point
		for i := 1; i <= stateSizeSteps; i++ {
			n := step * i
			points = append(points, Point{
				X: float64(n),
				Y: heapGrowth(func() any { return newValue(n) }),
			})
		}
		return Fit(name, "bytes", xUnit, points)
	}
	return []LinearModel{
		fitHeap(ModelEndedJobState, "kept job", 2000, func(n int) any { return newJobsLedger(n, false) }),
		fitHeap(ModelRunningTaskState, "running task", 2000, func(n int) any { return newJobsLedger(n, true) }),
		fitHeap(ModelWorkerState, "worker", 500, func(n int) any { return newWorkersLedger(n) }),
		fitHeap(ModelSchedulerState, "worker", 500, func(n int) any { return newEngine(n) }),
		fitHeap(ModelTeamState, "team with a key", 40, func(n int) any { return newTeamState(n) }),
		fitHeap(ModelNoteState, "note in the history", 200, func(n int) any { return newNoteHistory(n) }),
	}
}

var startTime = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func newTeamState(n int) *note.State {
	state := note.NewState()
	changes := make([]note.Change, 0, 3*n)
	for i := range n {
		team := fmt.Sprintf("team-%d", i)
		changes = append(changes, note.Change{
			Op: note.OpAdd,
			Team: &note.Team{
				Name: team,
				Limit: quota.Resources{
					CPU:    1 << 40,
					Memory: 1 << 40,
				},
			},
		}, note.Change{
			Op: note.OpAdd,
			Key: &note.Key{
				ID:     "key-" + team,
				Team:   team,
				Digest: fmt.Sprintf("%064d", i),
			},
		}, note.Change{
			Op: note.OpAdd,
			Service: &note.Service{
				Name: "service-" + team,
				Team: team,
				Kind: note.KindBatch,
			},
		})
	}
	next, err := state.Apply(note.Note{
		Number:  1,
		Changes: changes,
	})
	if err != nil {
		return state
	}
	return next
}

func newNoteHistory(n int) *note.State {
	state := newTeamState(1)
	for i := range n {
		next, err := state.Apply(note.Note{
			Number: state.Number + 1,
			Changes: []note.Change{{
				Op: note.OpChange,
				Share: &note.Share{
					Team:   "team-0",
					Weight: float64(i + 1),
				},
			}},
		})
		if err != nil {
			return state
		}
		state = next
	}
	return state
}

func newLedger() *ledger.Ledger {
	l := ledger.New(ledger.DefaultLimits())
	n := note.Note{Number: 1}
	n.Changes = append(n.Changes, note.Change{
		Op: note.OpAdd,
		Team: &note.Team{
			Name: "team",
			Limit: quota.Resources{
				CPU:    1 << 40,
				Memory: 1 << 40,
			},
		},
	}, note.Change{
		Op: note.OpAdd,
		Key: &note.Key{
			ID:     "key",
			Team:   "team",
			Digest: fmt.Sprintf("%064d", 0),
		},
	}, note.Change{
		Op: note.OpAdd,
		Service: &note.Service{
			Name: "service",
			Team: "team",
			Kind: note.KindBatch,
		},
	})
	l.Apply(ledger.Command{
		Time: nowMillis(),
		Note: &n,
	})
	return l
}

func nowMillis() ledger.Millis {
	return ledger.Millis(time.Now().UnixMilli())
}

func announceWorker(l *ledger.Ledger, index, slots int) string {
	id := fmt.Sprintf("worker-%d", index)
	l.Apply(ledger.Command{Announce: &ledger.Announce{
		Target:  id,
		Session: "0f9a2c11-64e1-4c3e-9f10-9d8f3f1f2b01",
		Slots:   slots,
		Rack:    fmt.Sprintf("rack-%d", index/6),
		Domain:  "ba",
		Capacity: quota.Resources{
			CPU:    1 << 30,
			Memory: 1 << 30,
		},
	}})
	return id
}

func newWorkersLedger(n int) *ledger.Ledger {
	l := newLedger()
	for i := range n {
		announceWorker(l, i, 8)
	}
	return l
}

// newJobsLedger returns a ledger with n jobs of one task each, which are
// running or have finished.
func newJobsLedger(n int, running bool) *ledger.Ledger {
	l := newLedger()
	target := ""
	for i := range n {
		if i%8 == 0 {
			target = announceWorker(l, i/8, 8)
		}
		runJob(l, target, running)
	}
	return l
}

func runJob(l *ledger.Ledger, target string, running bool) {
	id, err := dedup.NewID()
	if err != nil {
		return
	}
	result, _ := l.Apply(ledger.Command{
		Time: nowMillis(),
		Submit: &ledger.Submit{
			Request: ledger.RequestKey{
				Scope: ledger.TeamScope("team"),
				ID:    id,
			},
			Digest: fmt.Sprintf("%064d", 0),
			KeyID:  "key",
			Spec: ledger.Spec{
				Service: "service",
				Count:   1,
				Payload: make([]byte, 128),
				Resources: quota.Resources{
					CPU:    1000,
					Memory: 1024,
				},
			},
		},
	}).(ledger.SubmitResult)
	session := "0f9a2c11-64e1-4c3e-9f10-9d8f3f1f2b01"
	l.Apply(ledger.Command{Place: &ledger.Place{Groups: []ledger.JobPlacements{{
		Job: result.Job,
		Placements: []ledger.Placement{{
			Attempt: 1,
			Target:  target,
			Session: session,
		}},
	}}}})
	event := ledger.Event{
		Attempt: ledger.Attempt{
			Job:    result.Job,
			Number: 1,
		},
		Kind: ledger.EventStarted,
	}
	report := &ledger.Report{
		Target:  target,
		Session: session,
		Events:  []ledger.Event{event},
	}
	l.Apply(ledger.Command{Report: report})
	if running {
		return
	}
	report.Events[0].Kind = ledger.EventFinished
	report.Events[0].Checksum = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
	l.Apply(ledger.Command{Report: report})
}

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

// heap returns the bytes that what build returns keeps alive.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func stateSlopes() []Slope {
	series := func(name, per string, step int, build func(n int) any) Slope {
		var points []Point
		for i := 1; i <= sizesOfState; i++ {
			n := step * i
			points = append(points, Point{
				X: float64(n),
				Y: heap(func() any { return build(n) }),
			})
		}
		return Fit(name, "bytes", per, points)
	}
	return []Slope{
		series(SlopeJob, "kept job", 2000, func(n int) any { return jobsLedger(n, false) }),
		series(SlopeTask, "running task", 2000, func(n int) any { return jobsLedger(n, true) }),
		series(SlopeWorker, "worker", 500, func(n int) any { return workersLedger(n) }),
		series(SlopeEngine, "worker", 500, func(n int) any { return benchEngine(n) }),
		series(SlopeKey, "team with a key", 40, func(n int) any { return teams(n) }),
		series(SlopeNote, "note in the history", 200, func(n int) any { return history(n) }),
	}
}

var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

func teams(n int) *note.State {
	state := note.NewState()
	changes := make([]note.Change, 0, 3*n)
	for i := range n {
		team := fmt.Sprintf("team-%d", i)
		changes = append(changes, note.Change{
			Op: note.OpAdd,
			Team: &note.Team{
				Name: team,
				Limit: quota.Room{
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

func history(n int) *note.State {
	state := teams(1)
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
	l := ledger.New(ledger.DefaultBounds())
	n := note.Note{Number: 1}
	n.Changes = append(n.Changes, note.Change{
		Op: note.OpAdd,
		Team: &note.Team{
			Name: "team",
			Limit: quota.Room{
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
		Time: now(),
		Note: &n,
	})
	return l
}

func now() ledger.Millis {
	return ledger.Millis(time.Now().UnixMilli())
}

func announce(l *ledger.Ledger, i, slots int) string {
	id := fmt.Sprintf("worker-%d", i)
	l.Apply(ledger.Command{Announce: &ledger.Announce{
		Target:  id,
		Session: "0f9a2c11-64e1-4c3e-9f10-9d8f3f1f2b01",
		Slots:   slots,
		Rack:    fmt.Sprintf("rack-%d", i/6),
		Domain:  "ba",
		Capacity: quota.Room{
			CPU:    1 << 30,
			Memory: 1 << 30,
		},
	}})
	return id
}

func workersLedger(n int) *ledger.Ledger {
	l := newLedger()
	for i := range n {
		announce(l, i, 8)
	}
	return l
}

// jobsLedger returns a ledger with so many jobs of one task, which run or
// have ended.
func jobsLedger(n int, running bool) *ledger.Ledger {
	l := newLedger()
	target := ""
	for i := range n {
		if i%8 == 0 {
			target = announce(l, i/8, 8)
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
		Time: now(),
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
				Room: quota.Room{
					CPU:    1000,
					Memory: 1024,
				},
			},
		},
	}).(ledger.SubmitResult)
	session := "0f9a2c11-64e1-4c3e-9f10-9d8f3f1f2b01"
	l.Apply(ledger.Command{Place: &ledger.Place{Groups: []ledger.Group{{
		Job: result.Job,
		Spots: []ledger.Spot{{
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

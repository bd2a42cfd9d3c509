package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/jasmineward/jasmineward/internal/trace"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

// compared is the result of a replay beside that of the baseline.
type compared struct {
	Trace    string       `json:"trace"`
	Policy   trace.Result `json:"policy"`
	Baseline trace.Result `json:"baseline"`
}

// runReplay replays a trace and prints what came of it, or draws it.
func runReplay(path string, draw, asJSON bool) int {
	t, err := trace.Read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	got, err := trace.Replay(t, sched.NewEngine(sched.WithHeadroom(t.Headroom)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	base, err := trace.Replay(t, sched.NewBaseline())
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	if draw {
		return savePlots(path, t, got, base)
	}
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(compared{
			Trace:    t.Name,
			Policy:   got,
			Baseline: base,
		})
		if err != nil {
			return exitFailed
		}
	} else {
		printReplay(t, got, base)
	}
	if got.Wrong > 0 || got.Answered < got.Jobs {
		return exitBroken
	}
	return exitHeld
}

func printReplay(t trace.Trace, got, base trace.Result) {
	fmt.Printf("trace %s, %d jobs\n%-30s %14s %14s\n", t.Name, got.Jobs, "", "policy", "first-fit FIFO")
	row := func(name string, a, b float64) { fmt.Printf("%-30s %14.4g %14.4g\n", name, a, b) }
	for _, kind := range []string{"service", "gang", "batch"} {
		if got.Waits[kind].Count == 0 {
			continue
		}
		row(kind+" wait p50, ms", got.Waits[kind].P50, base.Waits[kind].P50)
		row(kind+" wait p99, ms", got.Waits[kind].P99, base.Waits[kind].P99)
	}
	row("packing", got.Packing, base.Packing)
	row("batch work, core-seconds", got.Work, base.Work)
	row("share distance", got.ShareDistance, base.ShareDistance)
	row("largest share difference", got.WorstShare, base.WorstShare)
	row("preemptions", float64(got.Preemptions), float64(base.Preemptions))
	row("answered", float64(got.Answered), float64(base.Answered))
	row("decide mean, us", got.DecideMean, base.DecideMean)
	row("decide p99, us", got.DecideP99, base.DecideP99)
}

func savePlots(path string, t trace.Trace, got, base trace.Result) int {
	stem := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	for _, figure := range trace.Figures(t, got, base) {
		name := stem + "-" + figure.Name + ".svg"
		if err := figure.Save(name); err != nil {
			fmt.Fprintln(os.Stderr, "jasload:", err)
			return exitFailed
		}
		fmt.Println("wrote", name)
	}
	return exitHeld
}

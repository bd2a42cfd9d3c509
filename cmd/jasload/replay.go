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

// comparison holds the results of a replay with the scheduling policy and with the
// baseline.
type comparison struct {
	Trace    string       `json:"trace"`
	Policy   trace.Result `json:"policy"`
	Baseline trace.Result `json:"baseline"`
}

// runReplay replays a trace with the policy and the baseline, and prints or plots
// the results.
func runReplay(path string, plot, asJSON bool) int {
	t, err := trace.Read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	policy, err := trace.Replay(t, sched.NewEngine(sched.WithHeadroom(t.Headroom)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	baseline, err := trace.Replay(t, sched.NewBaseline())
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	if plot {
		return savePlots(path, t, policy, baseline)
	}
	if asJSON {
		err = json.NewEncoder(os.Stdout).Encode(comparison{
			Trace:    t.Name,
			Policy:   policy,
			Baseline: baseline,
		})
		if err != nil {
			return exitFailed
		}
	} else {
		printReplay(t, policy, baseline)
	}
	if policy.InvalidPlacements > 0 || policy.EndedJobs < policy.Jobs {
		return exitViolated
	}
	return exitOK
}

func printReplay(t trace.Trace, policy, baseline trace.Result) {
	fmt.Printf("trace %s, %d jobs\n%-30s %14s %14s\n", t.Name, policy.Jobs, "", "policy", "first-fit FIFO")
	row := func(name string, p, b float64) { fmt.Printf("%-30s %14.4g %14.4g\n", name, p, b) }
	for _, kind := range []string{"service", "gang", "batch"} {
		if policy.WaitTimes[kind].Count == 0 {
			continue
		}
		row(kind+" wait p50, ms", policy.WaitTimes[kind].P50, baseline.WaitTimes[kind].P50)
		row(kind+" wait p99, ms", policy.WaitTimes[kind].P99, baseline.WaitTimes[kind].P99)
	}
	row("packing", policy.CPUUtilization, baseline.CPUUtilization)
	row("batch work, core-seconds", policy.BatchCoreSeconds, baseline.BatchCoreSeconds)
	row("share distance", policy.ShareDistance, baseline.ShareDistance)
	row("largest share difference", policy.MaxShareDifference, baseline.MaxShareDifference)
	row("preemptions", float64(policy.Preemptions), float64(baseline.Preemptions))
	row("answered", float64(policy.EndedJobs), float64(baseline.EndedJobs))
	row("decide mean, us", policy.MeanDecisionMicros, baseline.MeanDecisionMicros)
	row("decide p99, us", policy.P99DecisionMicros, baseline.P99DecisionMicros)
}

func savePlots(path string, t trace.Trace, policy, baseline trace.Result) int {
	prefix := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	for _, figure := range trace.Figures(t, policy, baseline) {
		name := prefix + "-" + figure.Name + ".svg"
		if err := figure.Save(name); err != nil {
			fmt.Fprintln(os.Stderr, "jasload:", err)
			return exitFailed
		}
		fmt.Println("wrote", name)
	}
	return exitOK
}

// Command jasload is a load generator for a cell. It submits a workload over HTTP
// and simulates targets that run tasks by sleeping, then reports the responses to
// callers and the observations of the targets. Without flags it starts a cell of
// three voters in its own process.
//
// The exit code is 0 if all guarantees held, 1 if one was violated or a response
// is missing, and 2 if the measurement failed.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jasmineward/jasmineward/internal/load"
)

const (
	exitOK       = 0
	exitViolated = 1
	exitFailed   = 2
)

func main() {
	os.Exit(run())
}

// flags holds the command-line flags.
type flags struct {
	callers      string
	targets      string
	operators    string
	token        string
	workload     string
	rate         float64
	duration     time.Duration
	voters       int
	diskless     int
	delay        time.Duration
	killAfter    time.Duration
	asJSON       bool
	replay       string
	plot         string
	measureCosts bool
	noteRate     float64
	runName      string
	capacity     string
}

func parseFlags() flags {
	var f flags
	flag.StringVar(&f.callers, "cell", "", "base `URLs` of the callers' API of a running cell, separated by commas")
	flag.StringVar(&f.targets, "targets", "", "base `URLs` of the targets' API of the running cell")
	flag.StringVar(&f.operators, "operators", "", "base `URLs` of the operators' API of the running cell")
	flag.StringVar(&f.token, "token", "", "operators' token")
	flag.StringVar(&f.workload, "workload", "", "workload `file` (default: a built-in sample)")
	flag.Float64Var(&f.rate, "rate", 0, "submit this many jobs per second, regardless of their progress")
	flag.DurationVar(&f.duration, "time", 10*time.Second, "how long to submit at the rate")
	flag.IntVar(&f.voters, "voters", 3, "number of voters of the in-process cell")
	flag.IntVar(&f.diskless, "entries", 0, "number of diskless instances of the in-process cell")
	flag.DurationVar(&f.delay, "delay", 0, "one-way network delay between the instances of the in-process cell")
	flag.DurationVar(&f.killAfter, "kill-leader", 0, "kill the leader of the in-process cell after this time")
	flag.BoolVar(&f.asJSON, "json", false, "print one JSON object")
	flag.StringVar(&f.replay, "replay", "", "replay a trace `file` and compare it with the baseline")
	flag.StringVar(&f.plot, "plot", "", "plot the replay of a trace `file` as SVG files in the current directory")
	flag.BoolVar(&f.measureCosts, "slopes", false, "measure marginal resource costs and write them to the capacity file")
	flag.Float64Var(&f.noteRate, "notes", 0, "apply this many release notes per second to an in-process cell")
	flag.StringVar(&f.runName, "held", "", "record the cost of this run against a running cell in the capacity file, as `name`")
	flag.StringVar(&f.capacity, "capacity", "docs/capacity.json", "capacity `file`")
	flag.Parse()
	return f
}

func run() int {
	f := parseFlags()
	switch {
	case f.replay != "":
		return runReplay(f.replay, false, f.asJSON)
	case f.noteRate > 0:
		return runNotes(f)
	case f.measureCosts:
		return measureCosts(f.capacity)
	case f.plot != "":
		return runReplay(f.plot, true, f.asJSON)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	options, err := newOptions(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	report, err := load.RunLoad(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	if f.runName != "" {
		if err := recordRun(f.capacity, f.runName, options, report); err != nil {
			fmt.Fprintln(os.Stderr, "jasload:", err)
			return exitFailed
		}
	}
	if f.asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return exitFailed
		}
	} else {
		report.Print(os.Stdout)
	}
	if report.HasViolations() {
		return exitViolated
	}
	return exitOK
}

func newOptions(f flags) (load.Options, error) {
	initialNote, err := load.SampleNote()
	if err != nil {
		return load.Options{}, err
	}
	workload, err := load.SampleWorkload()
	if f.workload != "" {
		workload, err = load.ReadWorkload(f.workload)
	}
	if err != nil {
		return load.Options{}, err
	}
	return load.Options{
		Workload:          workload,
		Note:              initialNote,
		Rate:              f.rate,
		Duration:          f.duration,
		Callers:           splitList(f.callers),
		Targets:           splitList(f.targets),
		Operators:         splitList(f.operators),
		Token:             f.token,
		Voters:            f.voters,
		DisklessInstances: f.diskless,
		Delay:             f.delay,
		KillLeader:        f.killAfter,
	}, nil
}

func splitList(value string) []string {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

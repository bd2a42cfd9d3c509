// Command jasload measures a cell: it hands in a workload over real HTTP,
// with stand-in targets that run it by waiting, and reports what callers were
// told and what the targets saw. Without flags it starts a cell of three
// voters in its own process.
//
// It exits with 0 when every promise held, 1 when one was broken or an answer
// is missing, and 2 when it could not measure.
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
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	os.Exit(run())
}

// flags are the command line.
type flags struct {
	callers   string
	targets   string
	operators string
	token     string
	workload  string
	rate      float64
	length    time.Duration
	voters    int
	entries   int
	delay     time.Duration
	kill      time.Duration
	asJSON    bool
	replay    string
	plot      string
	slopes    bool
	notes     float64
	held      string
	capacity  string
}

func parse() flags {
	var f flags
	flag.StringVar(&f.callers, "cell", "", "callers' base `URLs` of a running cell, with commas between")
	flag.StringVar(&f.targets, "targets", "", "targets' base `URLs` of the running cell")
	flag.StringVar(&f.operators, "operators", "", "operators' base `URLs` of the running cell")
	flag.StringVar(&f.token, "token", "", "operators' token")
	flag.StringVar(&f.workload, "workload", "", "workload `file`, instead of the sample")
	flag.Float64Var(&f.rate, "rate", 0, "hand in so many jobs a second, whatever becomes of them")
	flag.DurationVar(&f.length, "time", 10*time.Second, "how long to hand in at the rate")
	flag.IntVar(&f.voters, "voters", 3, "voters of the cell started here")
	flag.IntVar(&f.entries, "entries", 0, "instances without a disk of the cell started here")
	flag.DurationVar(&f.delay, "delay", 0, "delay one way between the instances started here")
	flag.DurationVar(&f.kill, "kill-leader", 0, "kill the leader of the cell started here after this time")
	flag.BoolVar(&f.asJSON, "json", false, "print one JSON object")
	flag.StringVar(&f.replay, "replay", "", "replay a trace `file`, beside the baseline")
	flag.StringVar(&f.plot, "plot", "", "draw the replay of a trace `file` into SVG files here")
	flag.BoolVar(&f.slopes, "slopes", false, "measure what things cost, and write it into the capacity file")
	flag.Float64Var(&f.notes, "notes", 0, "apply so many release notes a second to a cell started here")
	flag.StringVar(&f.held, "held", "", "add the cost of this run of a running cell to the capacity file, under the `name`")
	flag.StringVar(&f.capacity, "capacity", "docs/capacity.json", "capacity `file`")
	flag.Parse()
	return f
}

func run() int {
	f := parse()
	switch {
	case f.replay != "":
		return runReplay(f.replay, false, f.asJSON)
	case f.notes > 0:
		return runNotes(f)
	case f.slopes:
		return runSlopes(f.capacity)
	case f.plot != "":
		return runReplay(f.plot, true, f.asJSON)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	options, err := optionsOf(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	report, err := load.Drive(ctx, options)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	if f.held != "" {
		if err := addHeld(f.capacity, f.held, options, report); err != nil {
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
	if report.Broken() {
		return exitBroken
	}
	return exitHeld
}

func optionsOf(f flags) (load.Options, error) {
	base, err := load.SampleNote()
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
		Workload:   workload,
		Note:       base,
		Rate:       f.rate,
		Length:     f.length,
		Callers:    list(f.callers),
		Targets:    list(f.targets),
		Operators:  list(f.operators),
		Token:      f.token,
		Voters:     f.voters,
		Entries:    f.entries,
		Delay:      f.delay,
		KillLeader: f.kill,
	}, nil
}

func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

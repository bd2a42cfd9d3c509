package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/jasmineward/jasmineward/internal/load"
	"github.com/jasmineward/jasmineward/internal/sizes"
)

// costRuns is the number of times that each cost is measured.
const costRuns = 3

// measureCosts measures the marginal resource costs, writes them to the capacity
// file, and prints the projection for the planned size. Recorded runs in the file
// are kept.
func measureCosts(path string) int {
	file, err := sizes.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		file = sizes.File{}
	}
	costs, err := sizes.Measure(costRuns)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	file.Slopes = costs
	if err := sizes.WriteFile(path, file); err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	tables := file.Tables()
	fmt.Printf("%s\n%s\nwrote %s\n", tables["slopes"], tables["roles"], path)
	return exitOK
}

// recordRun adds the measured run of a whole cell to the capacity file, replacing
// an earlier run of the same name.
func recordRun(path, name string, o load.Options, report load.Report) error {
	file, err := sizes.ReadFile(path)
	if err != nil {
		return err
	}
	run := sizes.Held{
		Name:    name,
		Workers: len(o.Workload.Targets()),
		Running: report.Running,
		Starts:  report.PlacementsPerSecond,
		Jobs:    float64(report.Jobs) / report.Seconds,
		Kept:    report.Answered,
		Broken:  report.Broken(),
		WaitP99: report.WaitP99,
	}
	followers := 0
	for _, i := range report.Instances {
		cost := sizes.Cost{
			Cores: i.Cores,
			MiB:   i.MiB,
			Bytes: i.PeerBytes + i.HTTPBytes,
		}
		switch {
		case i.Leading:
			run.Leader = cost
		case i.Applying:
			run.Follower = addCost(run.Follower, cost)
			followers++
		default:
			run.Entry = addCost(run.Entry, cost)
			run.Entries++
		}
	}
	run.Follower = divideCost(run.Follower, followers)
	run.Entry = divideCost(run.Entry, run.Entries)
	file.Held = slices.DeleteFunc(file.Held, func(other sizes.Held) bool { return other.Name == name })
	file.Held = append(file.Held, run)
	return sizes.WriteFile(path, file)
}

func addCost(a, b sizes.Cost) sizes.Cost {
	return sizes.Cost{
		Cores: a.Cores + b.Cores,
		MiB:   a.MiB + b.MiB,
		Bytes: a.Bytes + b.Bytes,
	}
}

func divideCost(a sizes.Cost, n int) sizes.Cost {
	if n == 0 {
		return a
	}
	return sizes.Cost{
		Cores: a.Cores / float64(n),
		MiB:   a.MiB / float64(n),
		Bytes: a.Bytes / float64(n),
	}
}

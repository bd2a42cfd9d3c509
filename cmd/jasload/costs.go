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
	measurements, err := sizes.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		measurements = sizes.Measurements{}
	}
	costs, err := sizes.Measure(costRuns)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	measurements.Models = costs
	if err := sizes.WriteFile(path, measurements); err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	tables := measurements.Tables()
	fmt.Printf("%s\n%s\nwrote %s\n", tables["slopes"], tables["roles"], path)
	return exitOK
}

// recordRun adds the measured run of a whole cell to the capacity file, replacing
// an earlier run of the same name.
func recordRun(path, name string, o load.Options, report load.Report) error {
	measurements, err := sizes.ReadFile(path)
	if err != nil {
		return err
	}
	run := sizes.ClusterRun{
		Name:            name,
		Workers:         len(o.Workload.Targets()),
		RunningTasks:    report.MeanRunningTasks,
		StartsPerSecond: report.PlacementsPerSecond,
		JobsPerSecond:   float64(report.Jobs) / report.Seconds,
		RetainedJobs:    report.Answered,
		LimitsExceeded:  report.HasViolations(),
		WaitP99:         report.WaitP99,
	}
	followers := 0
	for _, i := range report.Instances {
		cost := sizes.Cost{
			Cores:          i.Cores,
			MiB:            i.MiB,
			BytesPerSecond: i.PeerBytes + i.HTTPBytes,
		}
		switch {
		case i.Leading:
			run.Leader = cost
		case i.Applying:
			run.Follower = addCost(run.Follower, cost)
			followers++
		default:
			run.Entry = addCost(run.Entry, cost)
			run.EntryInstances++
		}
	}
	run.Follower = divideCost(run.Follower, followers)
	run.Entry = divideCost(run.Entry, run.EntryInstances)
	measurements.ClusterRuns = slices.DeleteFunc(measurements.ClusterRuns, func(other sizes.ClusterRun) bool { return other.Name == name })
	measurements.ClusterRuns = append(measurements.ClusterRuns, run)
	return sizes.WriteFile(path, measurements)
}

func addCost(a, b sizes.Cost) sizes.Cost {
	return sizes.Cost{
		Cores:          a.Cores + b.Cores,
		MiB:            a.MiB + b.MiB,
		BytesPerSecond: a.BytesPerSecond + b.BytesPerSecond,
	}
}

func divideCost(a sizes.Cost, n int) sizes.Cost {
	if n == 0 {
		return a
	}
	return sizes.Cost{
		Cores:          a.Cores / float64(n),
		MiB:            a.MiB / float64(n),
		BytesPerSecond: a.BytesPerSecond / float64(n),
	}
}

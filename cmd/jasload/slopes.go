package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/jasmineward/jasmineward/internal/load"
	"github.com/jasmineward/jasmineward/internal/sizes"
)

// slopeRuns is how often each slope is measured.
const slopeRuns = 3

// runSlopes measures the slopes, writes them into the file, and prints what
// they mean at the planned size. Held runs in the file stay.
func runSlopes(path string) int {
	file, err := sizes.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		file = sizes.File{}
	}
	slopes, err := sizes.Measure(slopeRuns)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	file.Slopes = slopes
	if err := sizes.WriteFile(path, file); err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	tables := file.Tables()
	fmt.Printf("%s\n%s\nwrote %s\n", tables["slopes"], tables["roles"], path)
	return exitHeld
}

// addHeld adds a run of a whole cell to the file, in place of an earlier one
// of the name.
func addHeld(path, name string, o load.Options, report load.Report) error {
	file, err := sizes.ReadFile(path)
	if err != nil {
		return err
	}
	held := sizes.Held{
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
			held.Leader = cost
		case i.Applying:
			held.Follower = plus(held.Follower, cost)
			followers++
		default:
			held.Entry = plus(held.Entry, cost)
			held.Entries++
		}
	}
	held.Follower = over(held.Follower, followers)
	held.Entry = over(held.Entry, held.Entries)
	file.Held = slices.DeleteFunc(file.Held, func(other sizes.Held) bool { return other.Name == name })
	file.Held = append(file.Held, held)
	return sizes.WriteFile(path, file)
}

func plus(a, b sizes.Cost) sizes.Cost {
	return sizes.Cost{
		Cores: a.Cores + b.Cores,
		MiB:   a.MiB + b.MiB,
		Bytes: a.Bytes + b.Bytes,
	}
}

func over(a sizes.Cost, n int) sizes.Cost {
	if n == 0 {
		return a
	}
	return sizes.Cost{
		Cores: a.Cores / float64(n),
		MiB:   a.MiB / float64(n),
		Bytes: a.Bytes / float64(n),
	}
}

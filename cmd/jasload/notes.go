package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/jasmineward/jasmineward/internal/load"
)

// runNotes applies release notes at a rate and prints how long they take to become
// active on all instances.
func runNotes(f flags) int {
	report, err := load.RunNotes(context.Background(), load.Options{
		Voters:            f.voters,
		DisklessInstances: f.diskless,
		Delay:             f.delay,
		Duration:          f.duration,
	}, f.noteRate)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jasload:", err)
		return exitFailed
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return exitFailed
	}
	if report.Reverted > 0 {
		return exitViolated
	}
	return exitOK
}

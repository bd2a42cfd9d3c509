package load

import (
	"math"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/fake"
)

// usage returns the mean fraction of the fleet's CPU that was in use from the
// first submission to the last result. It also returns the distance between the
// teams' fractions of the used CPU time and their weights, as half the sum of the
// absolute differences.
func (r *Runner) usage(runs []fake.Run) (packing, distance float64) {
	total := r.workload.TotalResources()
	window := r.endedAt.Sub(r.startedAt).Seconds()
	if window <= 0 || total.CPU == 0 {
		return 0, 0
	}
	usedByTeam := map[string]float64{}
	sum := 0.0
	for _, run := range runs {
		ended := run.Ended
		if ended.IsZero() {
			ended = r.endedAt
		}
		seconds := overlap(run.Started, ended, r.startedAt, r.endedAt)
		cpuTime := seconds * float64(run.Resources.CPU)
		usedByTeam[run.Team] += cpuTime
		sum += cpuTime
	}
	packing = sum / (window * float64(total.CPU))
	weights := 0.0
	for team := range usedByTeam {
		weights += r.teams[team].Weight()
	}
	if sum == 0 || weights == 0 {
		return packing, 0
	}
	for team, cpuTime := range usedByTeam {
		distance += math.Abs(cpuTime/sum-r.teams[team].Weight()/weights) / 2
	}
	return packing, distance
}

// meanRunning returns the mean number of tasks running at a time.
func (r *Runner) meanRunning(runs []fake.Run) int {
	seconds := 0.0
	for _, run := range runs {
		ended := run.Ended
		if ended.IsZero() {
			ended = r.endedAt
		}
		seconds += overlap(run.Started, ended, r.startedAt, r.endedAt)
	}
	return int(seconds / r.endedAt.Sub(r.startedAt).Seconds())
}

// overlap returns how many seconds of an interval lie in the window.
func overlap(from, to, windowStart, windowEnd time.Time) float64 {
	if from.Before(windowStart) {
		from = windowStart
	}
	if to.After(windowEnd) {
		to = windowEnd
	}
	return max(to.Sub(from).Seconds(), 0)
}

// longestPause returns the longest time between two starts in the window. The
// start of the window counts as a start; its end does not.
func longestPause(runs []fake.Run, from, to time.Time) time.Duration {
	starts := []time.Time{from}
	for _, run := range runs {
		if run.Started.After(from) && run.Started.Before(to) {
			starts = append(starts, run.Started)
		}
	}
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	longest := time.Duration(0)
	for i := 1; i < len(starts); i++ {
		longest = max(longest, starts[i].Sub(starts[i-1]))
	}
	return longest
}

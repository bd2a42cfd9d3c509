package load

import (
	"math"
	"sort"
	"time"

	"github.com/jasmineward/jasmineward/internal/fake"
)

// usage returns the mean part of the fleet's processors that was taken while
// work was being handed in, and how far the teams' use of it was from their
// shares while it was contended, as half the sum of the differences.
func (r *Runner) usage(runs []fake.Run) (packing, distance float64) {
	total := r.workload.Total()
	window := r.ended.Sub(r.began).Seconds()
	if window <= 0 || total.CPU == 0 {
		return 0, 0
	}
	used := map[string]float64{}
	sum := 0.0
	for _, run := range runs {
		ended := run.Ended
		if ended.IsZero() {
			ended = r.ended
		}
		seconds := overlap(run.Started, ended, r.began, r.ended)
		cost := seconds * float64(run.Resources.CPU)
		used[run.Team] += cost
		sum += cost
	}
	packing = sum / (window * float64(total.CPU))
	weights := 0.0
	for team := range used {
		weights += r.teams[team].Weight()
	}
	if sum == 0 || weights == 0 {
		return packing, 0
	}
	for team, cost := range used {
		distance += math.Abs(cost/sum-r.teams[team].Weight()/weights) / 2
	}
	return packing, distance
}

// running returns the mean number of tasks that ran during the run.
func (r *Runner) running(runs []fake.Run) int {
	seconds := 0.0
	for _, run := range runs {
		ended := run.Ended
		if ended.IsZero() {
			ended = r.ended
		}
		seconds += overlap(run.Started, ended, r.began, r.ended)
	}
	return int(seconds / r.ended.Sub(r.began).Seconds())
}

func overlap(from, to, low, high time.Time) float64 {
	if from.Before(low) {
		from = low
	}
	if to.After(high) {
		to = high
	}
	return max(to.Sub(from).Seconds(), 0)
}

// longestPause returns the longest time without a start in the window.
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

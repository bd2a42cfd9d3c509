package load

import (
	"fmt"
	"io"
	"math"
	"sort"
	"time"
)

// Report holds the results of a run. All counts come from the answers that
// callers received and from what the simulated targets recorded, not from the
// cell's own state. Only the decision time and the usage of the control plane are
// read from its metrics.
type Report struct {
	Jobs               int `json:"jobs"`
	Answered           int `json:"answered"`
	Lost               int `json:"lost"`
	DoubleRuns         int `json:"double-runs"`
	OverCapacity       int `json:"over-capacity"`
	OverLimit          int `json:"over-limit"`
	WrongTeam          int `json:"wrong-team"`
	FalseNotRun        int `json:"untrue-not-run"`
	WrongAnswers       int `json:"wrong-answers"`
	UnexpectedOutcomes int `json:"unexpected-outcomes"`
	Refused            int `json:"refused"`

	// Errors counts the reasons for lost answers.
	Errors   map[string]int `json:"errors,omitempty"`
	Outcomes map[string]int `json:"outcomes"`
	// MeanRunningTasks is the mean number of tasks running at a time.
	MeanRunningTasks int `json:"tasks-running"`

	// WaitP50 to RefuseP99 are in milliseconds, DecideP99 is in microseconds.
	// Packing is the fraction of the fleet's CPU in use, and ControlBytes is per
	// second.
	Seconds             float64            `json:"seconds"`
	PlacementsPerSecond float64            `json:"placements-per-second"`
	WaitP50             float64            `json:"wait-p50-ms"`
	WaitP99             float64            `json:"wait-p99-ms"`
	WaitByService       map[string]float64 `json:"wait-p99-ms-by-service"`
	AdmitP99            float64            `json:"admit-p99-ms"`
	RefuseP99           float64            `json:"refuse-p99-ms"`
	DecideP99           float64            `json:"decide-p99-us"`
	Packing             float64            `json:"packing"`
	ShareDistance       float64            `json:"share-distance"`
	ControlCores        float64            `json:"control-cpu-cores"`
	ControlBytes        float64            `json:"control-bytes-per-second"`
	// Instances is the usage of each instance. Instances that share a process
	// each report the CPU time and memory of the whole process.
	Instances []InstanceUsage `json:"instances,omitempty"`
	// LongestPause is the longest time between two task starts while jobs were
	// being submitted, in milliseconds. At a steady rate it shows how long
	// placements were interrupted.
	LongestPause float64 `json:"longest-pause-ms"`
	// Recovery is the longest pause between two task starts after the leader was
	// killed, in milliseconds. It is zero if no leader was killed.
	Recovery float64 `json:"recovery-ms,omitempty"`
}

// HasViolations reports whether a guarantee was violated or an answer is
// missing.
func (r Report) HasViolations() bool {
	return r.Lost+r.DoubleRuns+r.OverCapacity+r.OverLimit+r.WrongTeam+r.FalseNotRun+
		r.WrongAnswers+r.UnexpectedOutcomes > 0
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%-28s %v\n", name, value) }
	row("jobs", r.Jobs)
	row("answered", r.Answered)
	row("refused", r.Refused)
	for _, outcome := range sortedKeys(r.Outcomes) {
		row("  "+outcome, r.Outcomes[outcome])
	}
	row("lost", r.Lost)
	for _, text := range sortedKeys(r.Errors) {
		row("  "+text, r.Errors[text])
	}
	row("double runs", r.DoubleRuns)
	row("over capacity", r.OverCapacity)
	row("over limit", r.OverLimit)
	row("wrong team", r.WrongTeam)
	row("untrue not-run", r.FalseNotRun)
	row("wrong answers", r.WrongAnswers)
	row("unexpected outcomes", r.UnexpectedOutcomes)
	row("placements per second", formatNumber(r.PlacementsPerSecond))
	row("waiting p50, ms", formatNumber(r.WaitP50))
	row("waiting p99, ms", formatNumber(r.WaitP99))
	for _, service := range sortedKeys(r.WaitByService) {
		row("  "+service+" p99, ms", formatNumber(r.WaitByService[service]))
	}
	row("admission p99, ms", formatNumber(r.AdmitP99))
	row("refusal p99, ms", formatNumber(r.RefuseP99))
	row("decide p99, us", formatNumber(r.DecideP99))
	row("packing", formatNumber(r.Packing))
	row("share distance", formatNumber(r.ShareDistance))
	row("control, cores", formatNumber(r.ControlCores))
	row("control, bytes a second", formatNumber(r.ControlBytes))
	row("longest pause, ms", formatNumber(r.LongestPause))
	if r.Recovery > 0 {
		row("recovery, ms", formatNumber(r.Recovery))
	}
}

func formatNumber(v float64) string {
	return fmt.Sprintf("%.3g", v)
}

func sortedKeys[V any](items map[string]V) []string {
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// quantile returns the q-quantile of the durations, in milliseconds.
func quantile(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), durations...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	index := int(math.Ceil(q*float64(len(sorted)))) - 1
	return float64(sorted[max(index, 0)]) / float64(time.Millisecond)
}

package trace

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/sched"
)

// rewriteTraces regenerates the trace files. It never changes the thresholds in
// the golden files.
var rewriteTraces = flag.Bool("record", false, "regenerate the trace files in testdata")

const traceSeed = 1

// thresholds is the content of a golden file. It states required bounds, not the
// results of an earlier replay.
type thresholds struct {
	// MaxWaitP50 and MaxWaitP99 limit the wait times by service kind, in
	// milliseconds.
	MaxWaitP50 map[string]float64 `json:"wait-p50-ms-at-most"`
	MaxWaitP99 map[string]float64 `json:"wait-p99-ms-at-most"`
	// The ratios are relative to the baseline in the same test run.
	MaxServiceP99Ratio    float64 `json:"service-p99-part-of-baseline-at-most"`
	MinBatchWorkRatio     float64 `json:"batch-work-part-of-baseline-at-least"`
	MaxShareDistanceRatio float64 `json:"share-distance-part-of-baseline-at-most"`
	MinCPUUtilization     float64 `json:"packing-at-least"`
	MaxShareDifference    float64 `json:"worst-share-at-most"`
	MaxPreemptions        int     `json:"preemptions-at-most"`
	// MinSuccessRatio is the fraction of jobs that must succeed.
	MinSuccessRatio float64 `json:"answers-at-least"`
}

func TestTracesMatchGenerator(t *testing.T) {
	for _, name := range Names() {
		data, err := Generate(name, traceSeed).Encode()
		qt.Assert(t, err, qt.IsNil)
		path := filepath.Join("testdata", name+".trace")
		if *rewriteTraces {
			qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
		}
		committed, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(committed) == string(data), qt.IsTrue, qt.Commentf("%s differs from the generated trace", name))
	}
}

func TestReplay(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tr, err := Read(filepath.Join("testdata", name+".trace"))
			c.Assert(err, qt.IsNil)
			data, err := os.ReadFile(filepath.Join("testdata", name+".golden.json"))
			c.Assert(err, qt.IsNil)
			var want thresholds
			c.Assert(json.Unmarshal(data, &want), qt.IsNil)
			got, err := Replay(tr, sched.NewEngine(sched.WithHeadroom(tr.Headroom)))
			c.Assert(err, qt.IsNil)
			baseline, err := Replay(tr, sched.NewBaseline())
			c.Assert(err, qt.IsNil)
			checkThresholds(c, want, got, baseline)
		})
	}
}

func checkThresholds(c *qt.C, want thresholds, got, baseline Result) {
	atMost := func(metric string, value, bound float64) {
		c.Check(value <= bound, qt.IsTrue, qt.Commentf("%s is %g, want at most %g", metric, value, bound))
	}
	c.Check(got.InvalidPlacements, qt.Equals, 0)
	for kind, bound := range want.MaxWaitP50 {
		atMost(kind+" p50", got.WaitTimes[kind].P50, bound)
	}
	for kind, bound := range want.MaxWaitP99 {
		atMost(kind+" p99", got.WaitTimes[kind].P99, bound)
	}
	if want.MaxServiceP99Ratio > 0 {
		atMost("service p99 wait compared with the baseline", got.WaitTimes["service"].P99, want.MaxServiceP99Ratio*baseline.WaitTimes["service"].P99)
	}
	if want.MaxShareDistanceRatio > 0 {
		atMost("share distance compared with the baseline", got.ShareDistance, want.MaxShareDistanceRatio*baseline.ShareDistance)
	}
	if want.MaxShareDifference > 0 {
		atMost("worst share", got.MaxShareDifference, want.MaxShareDifference)
	}
	atMost("preemptions", float64(got.Preemptions), float64(want.MaxPreemptions))
	atMost("batch work below the required amount", want.MinBatchWorkRatio*baseline.BatchCoreSeconds-got.BatchCoreSeconds, 0)
	atMost("packing below the required fraction", want.MinCPUUtilization-got.CPUUtilization, 0)
	atMost("success ratio below the required fraction", want.MinSuccessRatio-float64(got.Outcomes["succeeded"])/float64(got.Jobs), 0)
}

// Guards against nondeterministic decisions: two replays of a trace must yield
// the same result, except for the measured decision times.
func TestReplayIsDeterministic(t *testing.T) {
	tr := Generate(ParkRush, traceSeed)
	tr.Jobs = tr.Jobs[:2000]
	var previous string
	for range 2 {
		got, err := Replay(tr, sched.NewEngine(sched.WithHeadroom(tr.Headroom)))
		qt.Assert(t, err, qt.IsNil)
		got.MeanDecisionMicros, got.P99DecisionMicros = 0, 0
		data, err := json.Marshal(got)
		qt.Assert(t, err, qt.IsNil)
		if previous != "" {
			qt.Assert(t, string(data), qt.Equals, previous)
		}
		previous = string(data)
	}
}

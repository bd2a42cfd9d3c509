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

// record writes the traces anew; the stated outcomes are never rewritten.
var record = flag.Bool("record", false, "record the traces in testdata anew")

const traceSeed = 1

// stated is what a trace's golden file states: targets, not what came out.
type stated struct {
	// WaitP50 and WaitP99 bound the waiting times of a kind, in milliseconds.
	WaitP50 map[string]float64 `json:"wait-p50-ms-at-most"`
	WaitP99 map[string]float64 `json:"wait-p99-ms-at-most"`
	// Against the baseline in the same run.
	ServiceP99Part float64 `json:"service-p99-part-of-baseline-at-most"`
	WorkPart       float64 `json:"batch-work-part-of-baseline-at-least"`
	SharePart      float64 `json:"share-distance-part-of-baseline-at-most"`
	Packing        float64 `json:"packing-at-least"`
	WorstShare     float64 `json:"worst-share-at-most"`
	Preemptions    int     `json:"preemptions-at-most"`
	// Answers is the part of the jobs that succeed.
	Answers float64 `json:"answers-at-least"`
}

func TestTracesAreRecorded(t *testing.T) {
	for _, name := range Names() {
		data, err := Record(name, traceSeed).Encode()
		qt.Assert(t, err, qt.IsNil)
		path := filepath.Join("testdata", name+".trace")
		if *record {
			qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
		}
		kept, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(kept) == string(data), qt.IsTrue, qt.Commentf("%s differs from its recorder", name))
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
			var want stated
			c.Assert(json.Unmarshal(data, &want), qt.IsNil)
			got, err := Replay(tr, sched.NewEngine(sched.WithHeadroom(tr.Headroom)))
			c.Assert(err, qt.IsNil)
			base, err := Replay(tr, sched.NewBaseline())
			c.Assert(err, qt.IsNil)
			compare(c, want, got, base)
		})
	}
}

func compare(c *qt.C, want stated, got, base Result) {
	atMost := func(what string, value, bound float64) {
		c.Check(value <= bound, qt.IsTrue, qt.Commentf("%s is %g, stated at most %g", what, value, bound))
	}
	c.Check(got.Wrong, qt.Equals, 0)
	for kind, bound := range want.WaitP50 {
		atMost(kind+" p50", got.Waits[kind].P50, bound)
	}
	for kind, bound := range want.WaitP99 {
		atMost(kind+" p99", got.Waits[kind].P99, bound)
	}
	if want.ServiceP99Part > 0 {
		atMost("service p99 against the baseline", got.Waits["service"].P99, want.ServiceP99Part*base.Waits["service"].P99)
	}
	if want.SharePart > 0 {
		atMost("share distance against the baseline", got.ShareDistance, want.SharePart*base.ShareDistance)
	}
	if want.WorstShare > 0 {
		atMost("worst share", got.WorstShare, want.WorstShare)
	}
	atMost("preemptions", float64(got.Preemptions), float64(want.Preemptions))
	atMost("batch work missing", want.WorkPart*base.Work-got.Work, 0)
	atMost("packing missing", want.Packing-got.Packing, 0)
	atMost("answers missing", want.Answers-float64(got.Outcomes["succeeded"])/float64(got.Jobs), 0)
}

// TestReplayIsRepeatable sees that a replay decides the same each time.
func TestReplayIsRepeatable(t *testing.T) {
	tr := Record(ParkRush, traceSeed)
	tr.Jobs = tr.Jobs[:2000]
	var last string
	for range 2 {
		got, err := Replay(tr, sched.NewEngine(sched.WithHeadroom(tr.Headroom)))
		qt.Assert(t, err, qt.IsNil)
		got.DecideMean, got.DecideP99 = 0, 0
		data, err := json.Marshal(got)
		qt.Assert(t, err, qt.IsNil)
		if last != "" {
			qt.Assert(t, string(data), qt.Equals, last)
		}
		last = string(data)
	}
}

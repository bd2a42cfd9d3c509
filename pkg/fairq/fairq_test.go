package fairq

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serve serves requests until the total time is used up and returns the time
// that each flow got.
func serve(s *Share[string], costs map[string]time.Duration, flows []string, total time.Duration) map[string]time.Duration {
	used := map[string]time.Duration{}
	for spent := time.Duration(0); spent < total; {
		flow := flows[s.Next(flows)]
		s.Charge(flow, costs[flow])
		used[flow] += costs[flow]
		spent += costs[flow]
	}
	return used
}

// A queue whose calls take long and that always has another one must not keep
// one with short calls from its share.
func TestLongRequestsDoNotStarveShortOnes(t *testing.T) {
	c := qt.New(t)
	var s Share[string]
	costs := map[string]time.Duration{
		"long":  500 * time.Millisecond,
		"short": 20 * time.Millisecond,
	}
	used := serve(&s, costs, []string{"long", "short"}, 20*time.Second)
	c.Assert(used["short"] >= 9500*time.Millisecond, qt.IsTrue)
	c.Assert(used["long"] >= 9500*time.Millisecond, qt.IsTrue)
}

// A flow that returns after a pause goes first once, and then shares equally.
func TestPauseSavesNoShare(t *testing.T) {
	c := qt.New(t)
	var s Share[string]
	costs := map[string]time.Duration{
		"a": 100 * time.Millisecond,
		"b": 100 * time.Millisecond,
	}
	serve(&s, costs, []string{"a"}, 10*time.Second)
	used := serve(&s, costs, []string{"a", "b"}, 2*time.Second)
	c.Assert(used["b"] <= 1100*time.Millisecond, qt.IsTrue)
	c.Assert(used["b"] >= time.Second, qt.IsTrue)
}

func TestNoFlows(t *testing.T) {
	c := qt.New(t)
	var s Share[string]
	c.Assert(s.Next(nil), qt.Equals, -1)
}

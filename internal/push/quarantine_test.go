package push

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// A target on which tasks stand still must not get the next ones because it frees their room,
// and must be tried again after a while.
func TestTargetWithStalledTaskIsInQuarantine(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	q := newQuarantine()
	id := graph.TargetID{ID: "w"}
	c.Check(q.has(id, now), qt.IsFalse)
	c.Check(q.add(id, 100, now), qt.Equals, 2*time.Second)
	c.Check(q.add(id, 100, now.Add(time.Second)), qt.Equals, time.Duration(0))
	c.Check(q.has(id, now.Add(time.Second)), qt.IsTrue)
	c.Check(q.has(id, now.Add(2*time.Second)), qt.IsFalse)
	for i, want := range []time.Duration{4, 8, 8} {
		now = now.Add(10 * time.Second)
		c.Check(q.add(id, 100, now), qt.Equals, want*time.Second, qt.Commentf("time %d", i))
	}
	now = now.Add(time.Minute)
	c.Check(q.add(graph.TargetID{ID: "other"}, 100, now), qt.Equals, 2*time.Second)
	c.Check(q.add(id, 100, now), qt.Equals, 2*time.Second)
}

// Tasks that stand still everywhere, by their own fault, must not take the fleet out of use.
func TestQuarantineIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	q := newQuarantine()
	for i := range 80 {
		q.add(graph.TargetID{ID: fmt.Sprint("w", i)}, 80, now)
	}
	kept := 0
	for i := range 80 {
		if q.has(graph.TargetID{ID: fmt.Sprint("w", i)}, now) {
			kept++
		}
	}
	c.Check(kept, qt.Equals, 10)
	c.Check(newQuarantine().add(graph.TargetID{ID: "only"}, 1, now), qt.Equals, time.Duration(0))
}

package rate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/rate"
)

// send sends events at a steady rate and returns how many are within the limit.
func send(m *rate.Meter[string], source string, limit rate.Limit, perSecond int, from time.Time, d time.Duration) int {
	within := 0
	for at := time.Duration(0); at < d; at += time.Second / time.Duration(perSecond) {
		if !m.Exceeds(source, limit, from.Add(at)) {
			within++
		}
	}
	return within
}

// A source that sends seven times its rate must keep its rate, and must not take
// tokens from another source.
func TestSourceOverItsRateKeepsItsRate(t *testing.T) {
	c := qt.New(t)
	var m rate.Meter[string]
	limit := rate.Limit{
		PerSecond: 10,
		Burst:     20,
	}
	start := time.Unix(100, 0)
	c.Assert(send(&m, "hot", limit, 70, start, 10*time.Second), qt.Equals, 119)
	c.Assert(send(&m, "usual", limit, 10, start, 10*time.Second), qt.Equals, 100)
}

// A record of events that is read again, as by a process that takes over, must give the
// same answers, also if several have one time or the clock was set back.
func TestReplayGivesSameAnswers(t *testing.T) {
	c := qt.New(t)
	offsets := []int{0, 0, 0, 5, 400, 390, 400, 900, 2500, 2500, 2501, 2502}
	limit := rate.Limit{
		PerSecond: 1,
		Burst:     2,
	}
	replay := func() (answers []bool) {
		var m rate.Meter[string]
		for _, ms := range offsets {
			answers = append(answers, m.Exceeds("a", limit, time.UnixMilli(int64(ms))))
		}
		return answers
	}
	c.Assert(replay(), qt.DeepEquals, replay())
	c.Assert(replay()[:4], qt.DeepEquals, []bool{false, false, true, true})
}

// A source without a rate is unlimited, and a limit that is raised or lowered holds from
// the next event on.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	var m rate.Meter[string]
	at := time.Unix(100, 0)
	c.Assert(m.Exceeds("a", rate.Limit{}, at), qt.IsFalse)
	low := rate.Limit{PerSecond: 1}
	c.Assert(m.Exceeds("a", low, at), qt.IsFalse)
	c.Assert(m.Exceeds("a", low, at), qt.IsTrue)
	high := rate.Limit{
		PerSecond: 100,
		Burst:     100,
	}
	c.Assert(m.Exceeds("a", high, at.Add(10*time.Millisecond)), qt.IsFalse)
	m.Forget(func(string) bool { return false })
	c.Assert(m.Exceeds("a", low, at), qt.IsFalse)
}

package delay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testMinTimeout = 100 * time.Millisecond
	testMaxTimeout = 400 * time.Millisecond
)

func TestTimeoutStaysWithinBounds(t *testing.T) {
	c := qt.New(t)
	e := NewEstimator(testMinTimeout, testMaxTimeout)
	c.Assert(e.Timeout(), qt.Equals, testMaxTimeout)
	e.Observe(time.Millisecond)
	c.Assert(e.Timeout(), qt.Equals, testMinTimeout)
	e.Observe(time.Hour)
	c.Assert(e.Timeout(), qt.Equals, testMaxTimeout)
}

// Guards against late detection of requests lost in a burst while responses
// take a few milliseconds. The timeout must fall to its minimum, and fewer than
// 10 of 10,000 responses may exceed it.
func TestTimeoutIsShortWhenResponsesAreFast(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	e := NewEstimator(testMinTimeout, testMaxTimeout)
	timeouts := 0
	for range 10_000 {
		latency := time.Duration(2+random.ExpFloat64()*8) * time.Millisecond
		if latency > e.Timeout() {
			timeouts++
		}
		e.Observe(latency)
	}
	c.Assert(e.Timeout(), qt.Equals, testMinTimeout)
	c.Assert(timeouts < 10, qt.IsTrue, qt.Commentf("%d timeouts", timeouts))
}

// Guards against duplicate requests when the sender is short of CPU time, so
// that every response arrives late. The timeout must adapt: fewer than 20 of
// 1,000 slow responses may exceed it.
func TestTimeoutGrowsWhenResponsesAreSlow(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	e := NewEstimator(testMinTimeout, testMaxTimeout)
	e.Observe(5 * time.Millisecond)
	timeouts := 0
	for range 1000 {
		latency := time.Duration(150+random.IntN(100)) * time.Millisecond
		if latency > e.Timeout() {
			timeouts++
		}
		e.Observe(latency)
	}
	c.Assert(timeouts < 20, qt.IsTrue, qt.Commentf("%d timeouts", timeouts))
}

func ExampleEstimator() {
	e := NewEstimator(100*time.Millisecond, 400*time.Millisecond)
	e.Observe(60 * time.Millisecond)
	fmt.Println(e.Timeout())
	// Output: 180ms
}

package delay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	least = 100 * time.Millisecond
	most  = 400 * time.Millisecond
)

func TestLimits(t *testing.T) {
	c := qt.New(t)
	e := NewEstimator(least, most)
	c.Assert(e.Limit(), qt.Equals, most)
	e.Seen(time.Millisecond)
	c.Assert(e.Limit(), qt.Equals, least)
	e.Seen(time.Hour)
	c.Assert(e.Limit(), qt.Equals, most)
}

// Pattern: orders are lost at random in a burst, while answers take a few
// milliseconds. A lost one is noticed long before the longest wait, and hardly
// an answer is given up.
func TestLostOrdersAreNoticedSoon(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	e := NewEstimator(least, most)
	early := 0
	for range 10_000 {
		took := time.Duration(2+random.ExpFloat64()*8) * time.Millisecond
		if took > e.Limit() {
			early++
		}
		e.Seen(took)
	}
	c.Assert(e.Limit(), qt.Equals, least)
	c.Assert(early < 10, qt.IsTrue, qt.Commentf("%d", early))
}

// Pattern: the sender itself is short of processor time, so that every answer
// takes long. It must not send everything twice.
func TestSlowAnswersAreWaitedFor(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	e := NewEstimator(least, most)
	e.Seen(5 * time.Millisecond)
	early := 0
	for range 1000 {
		took := time.Duration(150+random.IntN(100)) * time.Millisecond
		if took > e.Limit() {
			early++
		}
		e.Seen(took)
	}
	c.Assert(early < 20, qt.IsTrue, qt.Commentf("%d", early))
}

func ExampleEstimator() {
	e := NewEstimator(100*time.Millisecond, 400*time.Millisecond)
	e.Seen(60 * time.Millisecond)
	fmt.Println(e.Limit())
	// Output: 180ms
}

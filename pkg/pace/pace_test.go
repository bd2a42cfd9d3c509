package pace_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/pace"
)

func Example() {
	var c pace.Controller
	now := time.Unix(0, 0)
	services := []pace.Service{{
		TailLatency:   90 * time.Millisecond,
		LatencyTarget: 100 * time.Millisecond,
	}}
	fmt.Println(c.Update(now, services))
	services[0].TailLatency = 120 * time.Millisecond
	fmt.Println(c.Update(now.Add(time.Second), services))
	services[0].TailLatency = 20 * time.Millisecond
	fmt.Println(c.Update(now.Add(2*time.Second), services))
	// Output:
	// 50
	// 0
	// 10
}

// Best-effort work increases the latency of a service in proportion to its speed
// while the load of the service changes. The service must not exceed its target
// for two seconds or more at a time, and the work must still make progress.
func TestServiceStaysUnderTarget(t *testing.T) {
	for _, disturbance := range []float64{0.2, 0.6, 1.5, 4} {
		c := qt.New(t)
		var controller pace.Controller
		now := time.Unix(0, 0)
		exceeded, longestExceeded, totalPercent := time.Duration(0), time.Duration(0), 0
		for tick := range 400 {
			now = now.Add(250 * time.Millisecond)
			load := 0.4
			if tick%100 > 60 {
				load = 0.55
			}
			ratio := load * (1 + disturbance*float64(controller.SpeedPercent())/pace.FullSpeed)
			exceeded += 250 * time.Millisecond
			if ratio <= 1 {
				exceeded = 0
			}
			longestExceeded = max(longestExceeded, exceeded)
			totalPercent += controller.Update(now, []pace.Service{{
				TailLatency:   time.Duration(ratio * float64(time.Second)),
				LatencyTarget: time.Second,
			}})
		}
		c.Assert(longestExceeded < 2*time.Second, qt.IsTrue, qt.Commentf("target exceeded for %s at disturbance %v", longestExceeded, disturbance))
		c.Assert(totalPercent > 0, qt.IsTrue)
	}
}

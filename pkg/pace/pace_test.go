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
		Tail:   90 * time.Millisecond,
		Target: 100 * time.Millisecond,
	}}
	fmt.Println(c.Update(now, services))
	services[0].Tail = 120 * time.Millisecond
	fmt.Println(c.Update(now.Add(time.Second), services))
	services[0].Tail = 20 * time.Millisecond
	fmt.Println(c.Update(now.Add(2*time.Second), services))
	// Output:
	// 50
	// 0
	// 10
}

// Pattern: best-effort work whose disturbance grows with its speed, beside a
// service whose own load changes. The service is over its target for less
// than two seconds on end, and work goes on where that does no harm.
func TestServiceStaysUnderTarget(t *testing.T) {
	for _, disturbance := range []float64{0.2, 0.6, 1.5, 4} {
		c := qt.New(t)
		var controller pace.Controller
		now := time.Unix(0, 0)
		overFor, worst, done := time.Duration(0), time.Duration(0), 0
		for tick := range 400 {
			now = now.Add(250 * time.Millisecond)
			load := 0.4
			if tick%100 > 60 {
				load = 0.55
			}
			ratio := load * (1 + disturbance*float64(controller.Percent())/pace.Full)
			overFor += 250 * time.Millisecond
			if ratio <= 1 {
				overFor = 0
			}
			worst = max(worst, overFor)
			done += controller.Update(now, []pace.Service{{
				Tail:   time.Duration(ratio * float64(time.Second)),
				Target: time.Second,
			}})
		}
		c.Assert(worst < 2*time.Second, qt.IsTrue, qt.Commentf("over for %s at %v", worst, disturbance))
		c.Assert(done > 0, qt.IsTrue)
	}
}

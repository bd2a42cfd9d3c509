package rate_test

import (
	"fmt"
	"time"

	"github.com/jasmineward/jasmineward/pkg/rate"
)

// A source with a rate of two events a second and a burst of two sends one event each
// quarter of a second.
func Example() {
	var meter rate.Meter[string]
	limit := rate.Limit{
		PerSecond: 2,
		Burst:     2,
	}
	start := time.Unix(0, 0)
	for i := range 8 {
		at := start.Add(time.Duration(i) * 250 * time.Millisecond)
		fmt.Println(at.Sub(start), meter.Exceeds("reports", limit, at))
	}
	// Output:
	// 0s false
	// 250ms false
	// 500ms false
	// 750ms true
	// 1s false
	// 1.25s true
	// 1.5s false
	// 1.75s true
}

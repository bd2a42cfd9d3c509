package fairq_test

import (
	"fmt"
	"time"

	"github.com/jasmineward/jasmineward/pkg/fairq"
)

// Two queues share a service; the requests of one take three times as long.
func Example() {
	var share fairq.Share[string]
	flows := []string{"renders", "quotes"}
	costs := map[string]time.Duration{
		"renders": 300 * time.Millisecond,
		"quotes":  100 * time.Millisecond,
	}
	for range 5 {
		flow := flows[share.Next(flows)]
		share.Charge(flow, costs[flow])
		fmt.Println(flow)
	}
	// Output:
	// renders
	// quotes
	// quotes
	// quotes
	// renders
}

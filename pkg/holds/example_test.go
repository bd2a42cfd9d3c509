package holds_test

import (
	"fmt"
	"time"

	"github.com/jasmineward/jasmineward/pkg/holds"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// A request for 8 accelerators waits until a task that uses 6 of them ends. A
// short task may run until then, a long one may not.
func Example() {
	now := time.Unix(0, 0)
	free := quota.Resources{Accelerators: 2}
	timeline := holds.NewTimeline(now, free, []holds.Release{{
		At:     now.Add(3 * time.Second),
		Amount: quota.Resources{Accelerators: 6},
	}})
	request := quota.Resources{Accelerators: 8}
	at, _ := timeline.EarliestFit(request)
	hold := holds.Hold{
		StartsAt: at,
		Surplus:  timeline.FreeAt(at).Sub(request),
	}
	fmt.Println("starts in", at.Sub(now))
	fmt.Println("short:", hold.RoomFor(free, now.Add(time.Second)).Accelerators)
	fmt.Println("long:", hold.RoomFor(free, now.Add(time.Minute)).Accelerators)
	// Output:
	// starts in 3s
	// short: 2
	// long: 0
}

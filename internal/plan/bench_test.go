package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// BenchmarkDecideBurst measures one decision during a burst: 350 targets, 150
// steps without advice and 50 steps whose tickets have expired.
func BenchmarkDecideBurst(b *testing.B) {
	f := newFixture(350, quota.Resources{
		CPU:    3_000_000,
		Memory: 3_000_000,
	})
	for i := range 200 {
		id := graph.JobID(fmt.Sprintf("j%03d", i))
		f.submit("advised", id, newStep(10, 2000))
		if i%4 > 0 {
			continue
		}
		advice := &StepAdvice{
			Approved:  map[string]Ticket{},
			Requested: map[string]bool{},
			InFlight:  true,
		}
		for k := range 30 {
			target := fmt.Sprintf("w%02d", (i+k)%350)
			advice.Requested[target] = true
			advice.Approved[target] = Ticket{ExpiresAt: f.now.Add(-time.Second)}
		}
		f.advice[StepKey{Job: id}] = advice
	}
	b.ReportAllocs()
	for b.Loop() {
		f.decide()
	}
}

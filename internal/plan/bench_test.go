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

// BenchmarkDecideBacklog measures one decision with 3,000 targets that are mostly
// full, 600 running jobs and 600 waiting steps whose tickets have expired, while no
// advice call can be made. Hardly anything has changed since the decision before.
func BenchmarkDecideBacklog(b *testing.B) {
	const targets = 3000
	f := newFixture(targets, quota.Resources{})
	for i := range 600 {
		f.submit("urgent", graph.JobID(fmt.Sprintf("r%03d", i)), newStep(10, 4000))
	}
	for range 20 {
		f.commit(f.decide())
	}
	f.advisorBusy = true
	for i := range 600 {
		id := graph.JobID(fmt.Sprintf("w%03d", i))
		f.submit("advised", id, newStep(10, 6000))
		advice := newAdvice(f.now.Add(-5 * time.Second))
		for k := range 30 {
			target := fmt.Sprintf("w%02d", (i*7+k*13)%targets)
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

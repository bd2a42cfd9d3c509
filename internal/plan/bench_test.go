package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// BenchmarkBurst is one decision in a burst: 350 targets, 150 steps that have
// no advice yet, and 50 that have it and fit nowhere.
func BenchmarkBurst(b *testing.B) {
	s := newSite(350, quota.Room{
		CPU:    3_000_000,
		Memory: 3_000_000,
	})
	for i := range 200 {
		id := graph.JobID(fmt.Sprintf("j%03d", i))
		s.submit("advised", id, step(10, 2000))
		if i%4 > 0 {
			continue
		}
		advised := &Advised{
			Good:  map[string]Ticket{},
			Asked: map[string]bool{},
			Busy:  true,
		}
		for k := range 30 {
			target := fmt.Sprintf("w%02d", (i+k)%350)
			advised.Asked[target] = true
			advised.Good[target] = Ticket{Until: s.now.Add(-time.Second)}
		}
		s.advice[StepKey{Job: id}] = advised
	}
	b.ReportAllocs()
	for b.Loop() {
		s.decide()
	}
}

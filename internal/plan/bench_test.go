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

// BenchmarkDecideShortage measures one decision with 350 full targets and 3,000 waiting steps
// of 40 accounts, with weights and without. Half of the steps need advice, and no call can be
// made.
func BenchmarkDecideShortage(b *testing.B) {
	for _, weight := range []float64{0, 1} {
		b.Run(fmt.Sprint("weight=", weight), func(b *testing.B) {
			f := newFixture(350, quota.Resources{})
			accounts := make([]graph.ClientAccount, 40)
			for i := range accounts {
				accounts[i].Name = fmt.Sprintf("a%02d", i)
				accounts[i].Weight = weight * float64(1+i%5)
			}
			f.setAccounts(accounts...)
			for i := range 140 {
				f.submitAs(accounts[i%40].Name, "urgent", graph.JobID(fmt.Sprintf("r%04d", i)), newStep(10, 2000))
			}
			for range 8 {
				f.commit(f.decide())
			}
			second := newStep(1, 1000)
			second.DependsOn = []int{0}
			for i := range 3000 {
				f.now = f.now.Add(2 * time.Millisecond)
				queue := []string{"advised", "batch", "urgent", "advised"}[i%4]
				f.submitAs(accounts[i*7%40].Name, queue, graph.JobID(fmt.Sprintf("w%04d", i)), newStep(1+i%3, 3000), second)
			}
			f.advisorBusy = true
			b.ReportAllocs()
			for b.Loop() {
				f.decide()
			}
		})
	}
}

// BenchmarkDecidePreempt measures one decision with 350 targets full of tasks that may be
// preempted, 1,000 urgent steps that wait for room, and 2,000 batch steps behind them.
func BenchmarkDecidePreempt(b *testing.B) {
	f := newFixture(350, quota.Resources{})
	f.setAccounts(weighted(1000, 1000)...)
	f.mayPreempt = func(graph.TaskRef) bool { return true }
	running := newStep(20, 1900)
	running.Estimate = 30_000
	running.Checkpoints = true
	for i := range 70 {
		f.submitAs("b", "batch", graph.JobID(fmt.Sprintf("r%04d", i)), running)
	}
	for range 8 {
		f.commit(f.decide())
	}
	f.advisorBusy = true
	for i := range 3000 {
		f.submitAs("a", []string{"urgent", "batch", "batch"}[i%3], graph.JobID(fmt.Sprintf("w%04d", i)), newStep(8, 1200))
	}
	b.ReportAllocs()
	for b.Loop() {
		f.decide()
	}
}

package sched_test

import (
	"fmt"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
	"github.com/jasmineward/jasmineward/pkg/sched"
)

func ExampleEngine() {
	now := time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	engine := sched.NewEngine()
	engine.SetWorker(sched.Worker{
		ID:     "ba-1",
		Domain: "ba",
		Rack:   "ba-rack-1",
		Slots:  8,
		Capacity: quota.Resources{
			CPU:    64000,
			Memory: 131072,
		},
	})
	engine.SetTeam(sched.Team{
		Name:   "dispatch",
		Weight: 1,
		Limit: quota.Resources{
			CPU:    64000,
			Memory: 131072,
		},
	})
	engine.Submit(sched.Job{
		ID:        1,
		Team:      "dispatch",
		Service:   "pickups",
		Kind:      sched.KindService,
		Tasks:     1,
		Submitted: now,
		Resources: quota.Resources{
			CPU:    500,
			Memory: 256,
		},
	})
	for _, d := range engine.Decide(now, 10) {
		fmt.Println("job", d.Job, "placed on", d.Placements[0].Worker, "by policy", d.Policy)
	}
	// Output: job 1 placed on ba-1 by policy service
}

// firstDomainPolicy is a custom policy that uses a single failure domain.
type firstDomainPolicy struct{}

func (firstDomainPolicy) Name() string { return "first-domain" }

func (firstDomainPolicy) AppliesTo(job *sched.Job) bool { return job.Service == "local" }

func (firstDomainPolicy) Choose(view *sched.View, job *sched.Job, _ int) ([]sched.Position, bool) {
	position, ok := view.FirstFit(job, view.DomainsByFreeCPU()[0])
	return view.Single(position), ok
}

func ExampleWithPolicy() {
	engine := sched.NewEngine(sched.WithPolicy(firstDomainPolicy{}, 50))
	engine.SetWorker(sched.Worker{
		ID:       "w1",
		Slots:    1,
		Capacity: quota.Resources{CPU: 1000},
	})
	engine.SetTeam(sched.Team{
		Name:  "a",
		Limit: quota.Resources{CPU: 1000},
	})
	engine.Submit(sched.Job{
		ID:        1,
		Team:      "a",
		Service:   "local",
		Kind:      sched.KindBatch,
		Tasks:     1,
		Resources: quota.Resources{CPU: 100},
	})
	fmt.Println(engine.Decide(time.Unix(0, 0), 1)[0].Policy)
	// Output: first-domain
}

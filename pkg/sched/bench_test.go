package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

var benchEpoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// benchFleet returns an engine with the given number of workers, a third of
// which have accelerators, and with 120 teams. It fills the fleet to about
// tasksPerWorker running tasks per worker.
func benchFleet(workers, tasksPerWorker int, opts ...Option) (*Engine, *benchWorkload) {
	e := NewEngine(append([]Option{WithSeed(7), WithHeadroom(0)}, opts...)...)
	for i := range workers {
		w := Worker{
			ID: fmt.Sprintf("worker-%05d", i),
			Capacity: quota.Resources{
				CPU:    64000,
				Memory: 131072,
			},
			Slots:  8,
			Rack:   fmt.Sprintf("rack-%d", i/6),
			Domain: fmt.Sprintf("domain-%d", i%16),
		}
		if i%3 == 0 {
			w.Capacity.Accelerators = 5
		}
		e.SetWorker(w)
	}
	for i := range 120 {
		e.SetTeam(Team{
			Name:   fmt.Sprintf("team-%d", i),
			Weight: float64(1 + i%4),
			Limit: quota.Resources{
				CPU:          1 << 40,
				Memory:       1 << 40,
				Accelerators: 1 << 40,
			},
		})
	}
	l := &benchWorkload{
		engine: e,
		random: rand.New(rand.NewPCG(1, 2)),
		now:    benchEpoch,
	}
	for len(l.running) < workers*tasksPerWorker {
		before := len(l.running)
		for range 512 {
			l.submit()
		}
		l.decide(512)
		if len(l.running) == before {
			break
		}
	}
	return e, l
}

type benchWorkload struct {
	engine  *Engine
	random  *rand.Rand
	now     time.Time
	next    JobID
	running []taskKey
}

func (l *benchWorkload) submit() {
	l.next++
	kind := KindBatch
	if l.random.IntN(5) == 0 {
		kind = KindService
	}
	job := Job{
		ID:        l.next,
		Team:      fmt.Sprintf("team-%d", l.random.IntN(120)),
		Service:   fmt.Sprintf("service-%d", l.random.IntN(300)),
		Kind:      kind,
		Tasks:     1,
		Submitted: l.now,
		Resources: quota.Resources{
			CPU:    quota.MilliCPU(1+l.random.IntN(24)) * 500,
			Memory: quota.MiB(1+l.random.IntN(24)) * 1024,
		},
	}
	if l.random.IntN(6) == 0 {
		job.Resources.Accelerators = 1
	}
	l.engine.Submit(job)
}

func (l *benchWorkload) decide(limit int) int {
	placed := 0
	for _, d := range l.engine.Decide(l.now, limit) {
		for _, placement := range d.Placements {
			l.running = append(l.running, taskKey{
				job:  d.Job,
				task: placement.Task,
			})
			placed++
		}
	}
	return placed
}

// finish ends a random running task.
func (l *benchWorkload) finish() {
	i := l.random.IntN(len(l.running))
	key := l.running[i]
	l.running[i] = l.running[len(l.running)-1]
	l.running = l.running[:len(l.running)-1]
	l.engine.Finished(key.job, key.task, Result{
		EndedAt: l.now,
		RunTime: time.Second,
		Started: true,
	})
	l.engine.RemoveJob(key.job, l.now)
}

// BenchmarkDecide measures one placement on a fleet in use: per operation
// one task ends, one job is submitted and one decision is made.
func BenchmarkDecide(b *testing.B) {
	for _, workers := range []int{270, 2700, 10800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			_, l := benchFleet(workers, 4)
			b.ReportAllocs()
			b.ResetTimer()
			placed := 0
			for range b.N {
				l.now = l.now.Add(time.Millisecond)
				l.finish()
				l.submit()
				placed += l.decide(1)
			}
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
		})
	}
}

// BenchmarkDecideIndex compares the indexes of free resources, on a fleet
// that is half in use and on one where almost nothing fits.
func BenchmarkDecideIndex(b *testing.B) {
	for _, index := range []struct {
		name string
		kind IndexKind
	}{
		{name: "tree", kind: IndexTree},
		{name: "buckets", kind: IndexBuckets},
		{name: "linear", kind: IndexLinear},
	} {
		for _, tasksPerWorker := range []int{4, 8} {
			b.Run(fmt.Sprintf("index=%s/tasks=%d", index.name, tasksPerWorker), func(b *testing.B) {
				_, l := benchFleet(2700, tasksPerWorker, WithIndex(index.kind))
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					l.now = l.now.Add(time.Millisecond)
					l.finish()
					l.submit()
					l.decide(1)
				}
			})
		}
	}
}

// BenchmarkGang places a gang of 64 tasks per operation.
func BenchmarkGang(b *testing.B) {
	e, l := benchFleet(2700, 4)
	b.ResetTimer()
	for range b.N {
		l.next++
		id := l.next
		e.Submit(Job{
			ID:        id,
			Team:      "team-1",
			Service:   "gang",
			Kind:      KindGang,
			Tasks:     64,
			Submitted: l.now,
			Resources: quota.Resources{
				CPU:    1000,
				Memory: 1024,
			},
		})
		for _, d := range e.Decide(l.now, 1) {
			for _, placement := range d.Placements {
				e.Finished(d.Job, placement.Task, Result{EndedAt: l.now})
			}
		}
		e.RemoveJob(id, l.now)
	}
}

// BenchmarkBaseline places one task by first fit per operation.
func BenchmarkBaseline(b *testing.B) {
	base := NewBaseline()
	_, l := benchFleet(2700, 4)
	for _, w := range l.engine.fleet.ordered {
		base.SetWorker(w.Worker)
	}
	for _, team := range l.engine.teams {
		base.SetTeam(team.Team)
	}
	var running []taskKey
	submit := func(id JobID) {
		base.Submit(Job{
			ID:    id,
			Team:  "team-1",
			Tasks: 1,
			Resources: quota.Resources{
				CPU:    quota.MilliCPU(1+l.random.IntN(24)) * 500,
				Memory: quota.MiB(1+l.random.IntN(24)) * 1024,
			},
		})
		for _, d := range base.Decide(l.now, 1) {
			running = append(running, taskKey{job: d.Job})
		}
	}
	id := JobID(0)
	for range 11000 {
		id++
		submit(id)
	}
	b.ResetTimer()
	for range b.N {
		i := l.random.IntN(len(running))
		base.Finished(running[i].job, 0, Result{})
		running[i] = running[len(running)-1]
		running = running[:len(running)-1]
		id++
		submit(id)
	}
}

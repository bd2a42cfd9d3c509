package sched

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/quota"
)

var testEpoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// shop is an engine with a clock, whose tasks end when the test says.
type shop struct {
	engine *Engine
	now    time.Time
	next   JobID
	// runs are the tasks that run, by job.
	runs map[JobID][]Spot
}

func newShop(workers int, opts ...Option) *shop {
	s := &shop{
		engine: NewEngine(append([]Option{WithHeadroom(0)}, opts...)...),
		now:    testEpoch,
		runs:   map[JobID][]Spot{},
	}
	for i := range workers {
		s.engine.SetWorker(Worker{
			ID:     fmt.Sprintf("w%02d", i),
			Slots:  8,
			Rack:   fmt.Sprintf("rack-%d", i/6),
			Domain: fmt.Sprintf("domain-%d", i/6%4),
			Capacity: quota.Room{
				CPU:    8000,
				Memory: 8192,
			},
		})
	}
	s.team("a", 1)
	return s
}

func (s *shop) team(name string, weight float64) {
	s.engine.SetTeam(Team{
		Name:   name,
		Weight: weight,
		Limit: quota.Room{
			CPU:          1 << 30,
			Memory:       1 << 30,
			Accelerators: 100,
		},
	})
}

// submit hands in a batch job of one idempotent task, changed as asked.
func (s *shop) submit(change func(*Job)) JobID {
	s.next++
	j := Job{
		ID:         s.next,
		Team:       "a",
		Service:    "s",
		Kind:       KindBatch,
		Tasks:      1,
		Idempotent: true,
		Submitted:  s.now,
		Room: quota.Room{
			CPU:    8000,
			Memory: 1024,
		},
	}
	if change != nil {
		change(&j)
	}
	s.engine.Submit(j)
	return j.ID
}

func (s *shop) decide() []Decision {
	decisions := s.engine.Decide(s.now, 1000)
	for _, d := range decisions {
		if d.Verb == VerbPlace {
			s.runs[d.Job] = append(s.runs[d.Job], d.Spots...)
		}
	}
	return decisions
}

// end ends every running task of the job.
func (s *shop) end(id JobID, failed bool) {
	for _, spot := range s.runs[id] {
		s.engine.Finished(id, spot.Task, Result{
			Now:     s.now,
			Ran:     time.Second,
			Started: true,
			Failed:  failed,
		})
		if failed {
			s.engine.Requeue(id, spot.Task, spot.Attempt, s.now)
		}
	}
	delete(s.runs, id)
	if !failed {
		s.engine.Drop(id, s.now)
	}
}

func (s *shop) pass(d time.Duration) {
	s.now = s.now.Add(d)
}

// TestNoStarvation hands in one job as large as a worker against a stream of
// small ones that would keep every worker in use for ever.
func TestNoStarvation(t *testing.T) {
	c := qt.New(t)
	const aging, longest = 5 * time.Second, 3 * time.Second
	s := newShop(4, WithAging(aging), WithAgingBelow(aging))
	ends := map[JobID]time.Time{}
	small := func() {
		id := s.submit(func(j *Job) { j.Room.CPU = 2000 })
		_ = id
	}
	for range 40 {
		small()
	}
	s.decide()
	large := s.submit(nil)
	began := s.now
	for s.now.Sub(began) < 5*time.Minute {
		for id := range s.runs {
			if _, ok := ends[id]; !ok {
				ends[id] = s.now.Add(longest - time.Duration(id%20)*100*time.Millisecond)
			}
		}
		for id, at := range ends {
			if id != large && !s.now.Before(at) && len(s.runs[id]) > 0 {
				s.end(id, false)
				small()
			}
		}
		s.decide()
		if len(s.runs[large]) > 0 {
			// The stated bound: aging, the longest task, and one look.
			c.Assert(s.now.Sub(began) <= aging+longest+2*ageEvery, qt.IsTrue, qt.Commentf("%s", s.now.Sub(began)))
			return
		}
		s.pass(50 * time.Millisecond)
	}
	c.Fatal("the large job starved")
}

// TestUrgentTakesRoom fills the fleet, and sees urgent work start as soon as
// the fewest possible victims have stopped.
func TestUrgentTakesRoom(t *testing.T) {
	c := qt.New(t)
	s := newShop(3)
	s.submit(func(j *Job) { j.Preemptible, j.Idempotent = true, false })
	small := func(j *Job) {
		j.Preemptible = true
		j.Room.CPU = 4000
	}
	for range 2 {
		s.submit(small)
	}
	s.submit(func(j *Job) { j.Preemptible = true })
	s.decide()
	urgent := s.submit(func(j *Job) { j.Kind, j.Urgent = KindService, true })
	decisions := s.decide()
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Verb, qt.Equals, VerbPreempt)
	// One victim frees a worker; the non-idempotent one is never taken.
	c.Assert(decisions[0].Victims, qt.HasLen, 1)
	victim := decisions[0].Victims[0]
	c.Assert(victim.Job, qt.Equals, JobID(4))
	c.Assert(s.decide(), qt.HasLen, 0, qt.Commentf("room is used before the stop is sure"))
	s.pass(300 * time.Millisecond)
	s.engine.Finished(victim.Job, victim.Task, Result{
		Now:     s.now,
		Started: true,
	})
	s.engine.Requeue(victim.Job, victim.Task, victim.Attempt, s.now)
	decisions = s.decide()
	c.Assert(decisions[0].Job, qt.Equals, urgent)
	c.Assert(decisions[0].Wait < 1700*time.Millisecond, qt.IsTrue)
}

// TestVictimIsSparedInTheEnd sees that the same task is not preempted again
// and again.
func TestVictimIsSparedInTheEnd(t *testing.T) {
	c := qt.New(t)
	s := newShop(1)
	batch := s.submit(func(j *Job) { j.Preemptible = true })
	s.decide()
	preempted := 0
	for range 5 {
		urgent := s.submit(func(j *Job) { j.Kind, j.Urgent = KindService, true })
		for _, d := range s.decide() {
			if d.Verb != VerbPreempt {
				continue
			}
			preempted++
			v := d.Victims[0]
			delete(s.runs, v.Job)
			s.engine.Finished(v.Job, v.Task, Result{Now: s.now})
			s.engine.Requeue(v.Job, v.Task, v.Attempt, s.now)
		}
		s.decide()
		if len(s.runs[urgent]) > 0 {
			s.end(urgent, false)
		} else {
			s.engine.Drop(urgent, s.now)
		}
		s.pass(time.Second)
		s.decide()
	}
	c.Assert(preempted, qt.Equals, defaultSettings().maxPreempted)
	c.Assert(s.runs[batch], qt.HasLen, 1)
}

// TestNeverFits sees each cause told with its reason once the grace has
// passed, while what is behind goes on.
func TestNeverFits(t *testing.T) {
	for _, tc := range []struct {
		reason string
		change func(*Job)
	}{
		{reason: ReasonTooLarge, change: func(j *Job) { j.Room.CPU = 9000 }},
		{reason: ReasonNoAccel, change: func(j *Job) { j.Room.Accelerators = 1 }},
		{reason: ReasonGangTooWide, change: func(j *Job) { j.Kind, j.Tasks = KindGang, 5 }},
		{reason: ReasonLimitTooLow, change: func(j *Job) { j.Team = "poor" }},
	} {
		t.Run(tc.reason, func(t *testing.T) {
			c := qt.New(t)
			s := newShop(4, WithGrace(time.Second))
			s.engine.SetTeam(Team{Name: "poor"})
			never := s.submit(tc.change)
			behind := s.submit(nil)
			decisions := s.decide()
			c.Assert(decisions, qt.HasLen, 1)
			c.Assert(decisions[0].Job, qt.Equals, behind)
			s.pass(time.Second)
			decisions = s.decide()
			c.Assert(decisions, qt.HasLen, 1)
			c.Assert(decisions[0].Job, qt.Equals, never)
			c.Assert(decisions[0].Verb, qt.Equals, VerbRefuse)
			c.Assert(decisions[0].Reason, qt.Equals, tc.reason)
		})
	}
}

// TestBadWorker has one worker fail whatever it starts.
func TestBadWorker(t *testing.T) {
	c := qt.New(t)
	s := newShop(12, WithBackoff(0, 0), WithProbeAfter(10*time.Second))
	const bad = "w03"
	failures := 0
	for range 200 {
		for i := range 12 {
			s.submit(func(j *Job) {
				j.Room.CPU = 4000
				j.Service = fmt.Sprintf("s%d", i%4)
			})
		}
		s.decide()
		for id, spots := range s.runs {
			failed := len(spots) > 0 && spots[0].Worker == bad
			if failed {
				failures++
			}
			s.end(id, failed)
		}
		s.pass(100 * time.Millisecond)
		if len(s.engine.Quarantined()) > 0 {
			break
		}
	}
	c.Assert(s.engine.Quarantined(), qt.DeepEquals, []string{bad})
	c.Assert(failures <= 6, qt.IsTrue, qt.Commentf("%d failures", failures))
	// Mended, it is probed and comes back.
	for range 400 {
		s.submit(func(j *Job) { j.Room.CPU = 4000 })
		s.decide()
		for id := range s.runs {
			s.end(id, false)
		}
		s.pass(100 * time.Millisecond)
	}
	c.Assert(s.engine.Quarantined(), qt.HasLen, 0)
}

// TestBadJobQuarantinesNobody has one service fail everywhere.
func TestBadJobQuarantinesNobody(t *testing.T) {
	c := qt.New(t)
	s := newShop(12, WithBackoff(0, 0))
	for range 100 {
		for range 6 {
			s.submit(func(j *Job) { j.Service = "broken" })
		}
		s.decide()
		for id, spots := range s.runs {
			last := spots[len(spots)-1].Worker
			s.end(id, true)
			s.decide()
			if again := s.runs[id]; len(again) > 0 {
				c.Assert(again[0].Worker, qt.Not(qt.Equals), last)
			}
			s.engine.Drop(id, s.now)
			delete(s.runs, id)
		}
		s.pass(100 * time.Millisecond)
	}
	c.Assert(len(s.engine.Quarantined()) <= 1, qt.IsTrue, qt.Commentf("%v", s.engine.Quarantined()))
}

// TestQuarantineIsCapped has every worker fail everything of many services.
func TestQuarantineIsCapped(t *testing.T) {
	s := newShop(48, WithBackoff(0, 0), WithProbeAfter(time.Hour))
	for round := range 100 {
		for i := range 48 {
			s.submit(func(j *Job) { j.Service = fmt.Sprintf("s%d-%d", round, i) })
		}
		s.decide()
		for id := range s.runs {
			s.end(id, true)
			s.engine.Drop(id, s.now)
		}
		s.pass(100 * time.Millisecond)
	}
	qt.Assert(t, len(s.engine.Quarantined()) <= 4, qt.IsTrue, qt.Commentf("%v", s.engine.Quarantined()))
}

// TestSpread places a service over failure domains and racks, so that the
// loss of one rack takes at most a quarter of it.
func TestSpread(t *testing.T) {
	c := qt.New(t)
	s := newShop(48)
	id := s.submit(func(j *Job) {
		j.Kind, j.Tasks = KindService, 16
		j.Room.CPU = 1000
	})
	s.decide()
	racks := map[string]int{}
	for _, spot := range s.runs[id] {
		racks[s.engine.fleet.byID[spot.Worker].Rack]++
	}
	for rack, count := range racks {
		c.Check(count <= 4, qt.IsTrue, qt.Commentf("%s has %d of 16", rack, count))
	}
}

// TestGangIsNear places a gang within one failure domain where it fits.
func TestGangIsNear(t *testing.T) {
	s := newShop(24)
	id := s.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 6 })
	s.decide()
	domains := map[string]bool{}
	for _, spot := range s.runs[id] {
		domains[s.engine.fleet.byID[spot.Worker].Domain] = true
	}
	qt.Assert(t, domains, qt.HasLen, 1)
}

// TestTwoGangsLetGo has two gangs wait for the same workers.
func TestTwoGangsLetGo(t *testing.T) {
	c := qt.New(t)
	s := newShop(4, WithAging(time.Second), WithAgingBelow(time.Second))
	blocker := s.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 4 })
	s.decide()
	first := s.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 3 })
	second := s.submit(func(j *Job) { j.Kind, j.Tasks = KindGang, 3 })
	s.pass(2 * time.Second)
	s.decide()
	s.end(blocker, false)
	s.decide()
	c.Assert(s.runs[first], qt.HasLen, 3)
	s.end(first, false)
	s.pass(time.Second)
	s.decide()
	c.Assert(s.runs[second], qt.HasLen, 3)
}

// TestLearnsSizes sees a service that uses more than it declares get room by
// what it uses.
func TestLearnsSizes(t *testing.T) {
	c := qt.New(t)
	s := newShop(1)
	declared := quota.Room{
		CPU:    1000,
		Memory: 1024,
	}
	actual := quota.Room{
		CPU:    1000,
		Memory: 4096,
	}
	s.engine.ObserveUsage("a", "s", declared, actual)
	for range 4 {
		s.submit(func(j *Job) { j.Room = declared })
	}
	s.decide()
	c.Assert(s.runs, qt.HasLen, 2)
	c.Assert(Enforce(declared, actual), qt.Equals, ActionStop)
	c.Assert(Enforce(actual, declared), qt.Equals, ActionNone)
}

// TestCancelWave drops 10,000 waiting jobs, and sees that others are placed
// in the next decision.
func TestCancelWave(t *testing.T) {
	c := qt.New(t)
	s := newShop(10)
	var wave []JobID
	for range 10000 {
		wave = append(wave, s.submit(nil))
	}
	s.decide()
	other := s.submit(func(j *Job) {
		j.Room.CPU = 100
		j.Kind = KindService
	})
	for _, id := range wave {
		s.engine.Drop(id, s.now)
		delete(s.runs, id)
	}
	s.decide()
	c.Assert(s.runs[other], qt.HasLen, 1)
	c.Assert(s.engine.Stats().Waiting, qt.Equals, 0)
}

// TestLimit sees that no team is given more than its limit.
func TestLimit(t *testing.T) {
	s := newShop(10)
	s.engine.SetTeam(Team{
		Name: "a",
		Limit: quota.Room{
			CPU:    16000,
			Memory: 8192,
		},
	})
	for range 5 {
		s.submit(nil)
	}
	s.decide()
	qt.Assert(t, s.runs, qt.HasLen, 2)
}

// TestRefusedAfterWorkerGone has a placement refused because its worker has
// gone: the task must wait again.
func TestRefusedAfterWorkerGone(t *testing.T) {
	c := qt.New(t)
	s := newShop(2)
	id := s.submit(nil)
	placed := s.decide()[0]
	s.engine.RemoveWorker(placed.Spots[0].Worker)
	s.engine.Refused(id, placed.Spots, s.now)
	c.Assert(s.engine.Stats().Waiting, qt.Equals, 1)
	again := s.decide()[0]
	c.Assert(again.Spots[0].Attempt, qt.Equals, placed.Spots[0].Attempt)
	// A job that is ending must not wait again.
	s.engine.Withdraw(id)
	s.engine.Refused(id, again.Spots, s.now)
	c.Assert(s.engine.Stats().Waiting, qt.Equals, 0)
}

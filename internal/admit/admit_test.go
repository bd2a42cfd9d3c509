package admit_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/admit"
)

// cell plays a cell that places a fixed number of jobs a second, in the order of their
// priority and rate, and asks a gate about each job that arrives.
type cell struct {
	gate *admit.Gate
	now  time.Time
	// perSecond is how many jobs get their first task each second.
	perSecond float64
	budget    float64
	waiting   []admit.Job
	arrived   int
	admitted  int
	refusals  map[admit.Rule]int
	longest   time.Duration
	since     map[string]time.Time
}

func newCell(perSecond float64) *cell {
	return &cell{
		gate:      admit.NewGate(),
		now:       time.Unix(1000, 0),
		perSecond: perSecond,
		refusals:  map[admit.Rule]int{},
		since:     map[string]time.Time{},
	}
}

const tick = 10 * time.Millisecond

// arrive offers a job to the gate.
func (p *cell) arrive(job admit.Job) (admit.Refusal, bool) {
	p.arrived++
	job.ID = fmt.Sprint(p.arrived)
	refusal, refused := p.gate.Decide(job, p.now)
	if refused {
		p.refusals[refusal.Rule]++
		return refusal, true
	}
	p.admitted++
	p.gate.Admitted(job)
	p.since[job.ID] = p.now
	p.waiting = append(p.waiting, job)
	return admit.Refusal{}, false
}

// step places what the cell can place in one tick.
func (p *cell) step() {
	p.now = p.now.Add(tick)
	p.budget = min(p.budget+p.perSecond*tick.Seconds(), 2)
	for p.budget >= 1 && len(p.waiting) > 0 {
		p.budget--
		job := p.takeNext()
		p.longest = max(p.longest, p.now.Sub(p.since[job.ID]))
		p.gate.Placed(job.ID, p.now)
	}
	waits := map[string]admit.WaitKind{}
	for _, job := range p.waiting {
		waits[job.ID] = admit.WaitShared
	}
	p.gate.Update(waits, p.now)
}

// takeNext removes the first job within its rate, or else the first.
func (p *cell) takeNext() admit.Job {
	next := 0
	for i, job := range p.waiting {
		if !job.OverRate {
			next = i
			break
		}
	}
	job := p.waiting[next]
	p.waiting = append(p.waiting[:next:next], p.waiting[next+1:]...)
	return job
}

// run offers jobs at a rate for some time.
func (p *cell) run(d time.Duration, perSecond float64, job func(i int) admit.Job) {
	due := 0.0
	for end := p.now.Add(d); p.now.Before(end); {
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			p.arrive(job(p.arrived))
		}
		p.step()
	}
}

func urgentJob(int) admit.Job {
	return admit.Job{
		Account:      "a",
		Objective:    2 * time.Second,
		CriticalPath: time.Second,
	}
}

// A cell that keeps up, or gets a short burst, must refuse nobody: the work is placed
// before it is late.
func TestNothingIsRefusedWithoutBacklog(t *testing.T) {
	c := qt.New(t)
	p := newCell(50)
	p.run(5*time.Second, 45, urgentJob)
	for range 100 {
		p.arrive(urgentJob(0))
	}
	p.run(5*time.Second, 10, urgentJob)
	c.Assert(p.refusals, qt.HasLen, 0)
}

// Twice as many jobs as can be placed make all of them late, if they are all taken on.
// Those that are taken on must be placed while they are of use.
func TestLongOverloadKeepsAdmittedJobsUseful(t *testing.T) {
	c := qt.New(t)
	p := newCell(40)
	p.run(20*time.Second, 80, urgentJob)
	c.Assert(p.refusals[admit.RuleTooLate] > 0, qt.IsTrue)
	c.Assert(p.longest < 6*time.Second, qt.IsTrue, qt.Commentf("longest wait %s", p.longest))
	// Work that could be placed is not refused: what is taken on keeps the cell busy.
	c.Assert(len(p.waiting) > 0, qt.IsTrue)
}

// One account sends seven times its rate beside others. What is over its rate is refused
// once work within the rates would be late, and nobody else is.
func TestAccountOverItsRateIsRefusedFirst(t *testing.T) {
	c := qt.New(t)
	p := newCell(45)
	others := 0
	p.run(10*time.Second, 90, func(i int) admit.Job {
		job := urgentJob(i)
		job.Account = "usual"
		if i%2 == 0 {
			job.Account = "hot"
			job.OverRate = i%14 != 0
		} else {
			others++
		}
		return job
	})
	c.Assert(p.refusals[admit.RuleTooLate], qt.Equals, 0)
	c.Assert(p.refusals[admit.RuleOverRate] > 0, qt.IsTrue)
	c.Assert(p.longest < 2*time.Second, qt.IsTrue, qt.Commentf("longest wait %s", p.longest))
}

// Work that waits for its own account's limit must not have the jobs of others refused.
func TestLimitOfOneAccountRefusesNoOther(t *testing.T) {
	c := qt.New(t)
	g := admit.NewGate()
	now := time.Unix(1000, 0)
	waits := map[string]admit.WaitKind{}
	for i := range 200 {
		job := urgentJob(i)
		job.ID = fmt.Sprint(i)
		g.Admitted(job)
		waits[job.ID] = admit.WaitAccount
	}
	g.Update(waits, now)
	now = now.Add(2 * time.Second)
	g.Update(waits, now)
	own := urgentJob(0)
	own.ID = "own"
	refusal, refused := g.Decide(own, now)
	c.Assert(refused, qt.IsTrue)
	c.Assert(refusal.Rule, qt.Equals, admit.RuleTooLate)
	other := urgentJob(0)
	other.ID, other.Account = "other", "b"
	_, refused = g.Decide(other, now)
	c.Assert(refused, qt.IsFalse)
	lasting := own
	lasting.ID, lasting.Deferrable = "lasting", true
	_, refused = g.Decide(lasting, now)
	c.Assert(refused, qt.IsFalse)
}

// Clients that were refused together must not come back together, nor before an attempt
// of the call that is still on its way is lost.
func TestRefusedClientsComeBackSpread(t *testing.T) {
	c := qt.New(t)
	p := newCell(10)
	bySecond := map[int]int{}
	total := 0
	p.run(12*time.Second, 80, urgentJob)
	for range 200 {
		refusal, refused := p.arrive(urgentJob(0))
		if refused {
			total++
			bySecond[int(refusal.RetryAfter/(500*time.Millisecond))]++
			c.Assert(refusal.RetryAfter >= 2*time.Second && refusal.RetryAfter <= 8*time.Second, qt.IsTrue)
		}
	}
	c.Assert(total, qt.Equals, 200)
	for _, n := range bySecond {
		c.Assert(n <= total/2, qt.IsTrue)
	}
}

// An attempt of a refused submission that arrives late, out of order, must not be admitted
// after its client was told that it never runs.
func TestLateAttemptOfRefusedJobIsRefused(t *testing.T) {
	c := qt.New(t)
	p := newCell(10)
	p.run(6*time.Second, 100, urgentJob)
	job := urgentJob(0)
	job.ID = "late"
	_, refused := p.gate.Decide(job, p.now)
	c.Assert(refused, qt.IsTrue)
	p.gate.Update(nil, p.now)
	refusal, refused := p.gate.Decide(job, p.now.Add(time.Second))
	c.Assert(refused, qt.IsTrue)
	c.Assert(refusal.Rule, qt.Equals, admit.RuleTooSoon)
	_, refused = p.gate.Decide(job, p.now.Add(2*time.Second))
	c.Assert(refused, qt.IsFalse)
}

// An account within its rate that sends a few enormous jobs, of which hardly any is placed,
// must not have the jobs of accounts refused that have nothing waiting: the order serves
// those first.
func TestBacklogOfOneAccountRefusesNoOther(t *testing.T) {
	c := qt.New(t)
	g := admit.NewGate()
	now := time.Unix(1000, 0)
	waits := map[string]admit.WaitKind{}
	for i := range 100 {
		job := urgentJob(i)
		job.ID = fmt.Sprint(i)
		job.Weight = 1000
		g.Admitted(job)
		waits[job.ID] = admit.WaitShared
	}
	g.Update(waits, now)
	now = now.Add(3 * time.Second)
	g.Update(waits, now)
	other := urgentJob(0)
	other.ID, other.Account, other.Weight = "other", "b", 10
	_, refused := g.Decide(other, now)
	c.Assert(refused, qt.IsFalse)
	own := urgentJob(0)
	own.ID = "own"
	refusal, refused := g.Decide(own, now)
	c.Assert(refused, qt.IsTrue)
	c.Assert(refusal.Rule, qt.Equals, admit.RuleTooLate)
}

// Accounts whose backlogs are in the ratio of their weights wait behind all of them, as
// each gets its share of the placements.
func TestBacklogsInTheRatioOfWeightsCountWhole(t *testing.T) {
	c := qt.New(t)
	g := admit.NewGate()
	now := time.Unix(1000, 0)
	waits := map[string]admit.WaitKind{}
	add := func(account string, weight float64, n int) {
		for i := range n {
			job := urgentJob(i)
			job.ID = fmt.Sprint(account, i)
			job.Account, job.Weight = account, weight
			g.Admitted(job)
			waits[job.ID] = admit.WaitShared
		}
	}
	add("a", 1, 10)
	add("b", 3, 30)
	g.Update(waits, now)
	now = now.Add(3 * time.Second)
	g.Update(waits, now)
	wait := func(account string, weight float64) time.Duration {
		job := urgentJob(0)
		job.ID, job.Account, job.Weight = account+"-new", account, weight
		refusal, refused := g.Decide(job, now)
		c.Assert(refused, qt.IsTrue)
		return refusal.Wait
	}
	c.Check(wait("a", 1), qt.Equals, 120*time.Second)
	c.Check(wait("b", 3), qt.Equals, 120*time.Second)
}

// A job for which there is no room is refused, and so are its late attempts.
func TestJobWithoutRoomIsRefused(t *testing.T) {
	c := qt.New(t)
	g := admit.NewGate()
	now := time.Unix(1000, 0)
	job := urgentJob(0)
	job.ID = "j"
	job.Deferrable = true
	job.NoRoom = true
	refusal, refused := g.Decide(job, now)
	c.Assert(refused, qt.IsTrue)
	c.Check(refusal.Rule, qt.Equals, admit.RuleNoRoom)
	c.Check(refusal.RetryAfter >= admit.MinRetryAfter, qt.IsTrue)
	job.NoRoom = false
	_, refused = g.Decide(job, now.Add(time.Second))
	c.Check(refused, qt.IsTrue)
}

// A job that was refused before it reached the leader must not be admitted by an attempt
// that is still on its way.
func TestJobRefusedElsewhereIsRefused(t *testing.T) {
	c := qt.New(t)
	g := admit.NewGate()
	now := time.Unix(1000, 0)
	g.Refuse("j", now)
	job := urgentJob(0)
	job.ID = "j"
	refusal, refused := g.Decide(job, now.Add(time.Second))
	c.Assert(refused, qt.IsTrue)
	c.Check(refusal.Rule, qt.Equals, admit.RuleTooSoon)
	_, refused = g.Decide(job, now.Add(admit.MinRetryAfter))
	c.Check(refused, qt.IsFalse)
}

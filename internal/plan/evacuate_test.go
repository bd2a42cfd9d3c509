package plan

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/pkg/quota"
)

// newDomainFixture returns a fixture with three targets in each of two failure domains, whose
// names begin with the domain's.
func newDomainFixture() *fixture {
	f := newFixture(0, quota.Resources{})
	for _, domain := range []string{"east", "west"} {
		for i := range 3 {
			f.ledger.Apply(graph.Command{Target: &graph.Announcement{
				ID:      graph.TargetID{ID: fmt.Sprint(domain, i)},
				Service: "s",
				Domain:  domain,
				Capacity: quota.Resources{
					CPU:    8000,
					Memory: 8000,
				},
			}})
		}
	}
	return f
}

func (f *fixture) evacuate(domain string, withdrawn bool) {
	f.ledger.Apply(graph.Command{Evacuate: &graph.Evacuate{
		Domain:    domain,
		Withdrawn: withdrawn,
	}})
}

// placedIn counts the placements of a decision by failure domain.
func placedIn(d Decision) map[string]int {
	counts := map[string]int{}
	for _, group := range d.Groups {
		for _, placement := range group {
			counts[placement.Target.ID[:4]]++
		}
	}
	return counts
}

// No task may be placed in an evacuated domain, also not if it has to wait for that, and the
// domain gets work again as soon as the evacuation is withdrawn.
func TestEvacuatedDomainGetsNoWork(t *testing.T) {
	c, f := qt.New(t), newDomainFixture()
	f.submit("batch", "a", newStep(48, 1000))
	f.evacuate("east", false)
	d := f.decide()
	c.Check(placedIn(d), qt.DeepEquals, map[string]int{"west": 24})
	c.Check(d.WaitReasons[StepKey{Job: "a"}], qt.Equals, ReasonNoCapacity)
	f.evacuate("west", false)
	d = f.decide()
	c.Check(placedIn(d), qt.HasLen, 0)
	c.Check(d.WaitReasons[StepKey{Job: "a"}], qt.Equals, ReasonEvacuated)
	f.evacuate("east", true)
	c.Check(placedIn(f.decide()), qt.DeepEquals, map[string]int{"east": 24})
}

// A gang that fits only with the targets of an evacuated domain has to wait, and no room may be
// held for it there.
func TestNoRoomIsHeldInEvacuatedDomain(t *testing.T) {
	c, f := qt.New(t), newDomainFixture()
	gang := newStep(4, 8000)
	gang.Gang = true
	f.submit("batch", "a", gang)
	f.evacuate("east", false)
	d := f.decide()
	c.Check(placedIn(d), qt.HasLen, 0)
	for _, hold := range d.Holds {
		for _, held := range hold.Targets {
			c.Check(held.ID[:4], qt.Equals, "west")
		}
	}
	f.evacuate("east", true)
	c.Check(f.decide().Groups, qt.HasLen, 1)
}

// The advisor's time must not be spent on targets that get no work.
func TestNoAdviceForEvacuatedDomain(t *testing.T) {
	c, f := qt.New(t), newDomainFixture()
	f.submit("advised", "a", newStep(48, 1000))
	step := StepKey{Job: "a"}
	f.evacuate("east", false)
	requests := f.decide().AdviceRequests
	c.Assert(requests, qt.HasLen, 1)
	for _, id := range requests[0].Targets {
		c.Check(id[:4], qt.Equals, "west")
	}
	// Approved targets in the domain are neither used nor renewed.
	f.advice[step] = newAdvice(f.now)
	for i := range 3 {
		id := fmt.Sprint("east", i)
		f.advice[step].Requested[id] = true
		f.advice[step].Approved[id] = Ticket{ExpiresAt: f.now.Add(time.Minute * time.Duration(i%2))}
	}
	f.evacuate("west", false)
	d := f.decide()
	c.Check(d.Groups, qt.HasLen, 0)
	c.Check(d.AdviceRequests, qt.HasLen, 0)
	c.Check(d.WaitReasons[step], qt.Equals, ReasonEvacuated)
}

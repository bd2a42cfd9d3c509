package push

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/graph"
	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/pkg/fairq"
)

func adviceRequests(queue string, priority, count int, callTime time.Duration) []plan.AdviceRequest {
	var requests []plan.AdviceRequest
	for i := range count {
		requests = append(requests, plan.AdviceRequest{
			Step: plan.StepKey{Job: graph.JobID(fmt.Sprint(queue, i))},
			Queue: graph.Queue{
				Name:     queue,
				Priority: priority,
				Advice:   &graph.AdviceTiming{Base: callTime},
			},
		})
	}
	return requests
}

// slotsOf returns slots of idle instances.
func slotsOf(idle, reserved int, horizon time.Duration) *callSlots {
	slots := &callSlots{
		horizon:  horizon,
		reserved: reserved,
	}
	for i := range idle {
		slots.free = append(slots.free, callSlot{address: fmt.Sprint("i", i)})
	}
	return slots
}

func countByQueue(calls []assignedCall) map[string]int {
	counts := map[string]int{}
	for _, call := range calls {
		counts[call.request.Queue.Name]++
	}
	return counts
}

// When long advice calls occupy all unreserved instances, further long calls are
// postponed, and urgent calls still get an instance without waiting.
func TestUrgentAdviceCallsBypassLongOnes(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	long := adviceRequests("long", 1, 20, 600*time.Millisecond)
	calls := newAdviceBacklog(long, 0).assign(&share, slotsOf(8, 2, minDecisionPause))
	c.Assert(calls, qt.HasLen, 6)
	both := slices.Concat(long, adviceRequests("urgent", 0, 1, 20*time.Millisecond))
	calls = newAdviceBacklog(both, 0).assign(&share, slotsOf(2, 2, minDecisionPause))
	c.Assert(countByQueue(calls), qt.DeepEquals, map[string]int{"urgent": 1})
	c.Assert(calls[0].until, qt.Equals, 20*time.Millisecond)
}

// A queue whose waiting gangs always want another long call must not keep the
// calls of a less urgent queue waiting: of the instances' time both get half.
func TestGangAdviceDoesNotStarveBatchAdvice(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	requests := slices.Concat(adviceRequests("gangs", 1, 40, 450*time.Millisecond),
		adviceRequests("batch", 2, 40, 150*time.Millisecond))
	calls := newAdviceBacklog(requests, 0).assign(&share, slotsOf(16, 0, minDecisionPause))
	c.Assert(countByQueue(calls), qt.DeepEquals, map[string]int{
		"gangs": 4,
		"batch": 12,
	})
}

// Within a queue the most urgent request, which comes first, is served first.
func TestAdviceOrderWithinQueue(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	requests := adviceRequests("q", 1, 3, 100*time.Millisecond)
	calls := newAdviceBacklog(requests, 0).assign(&share, slotsOf(2, 0, minDecisionPause))
	c.Assert(calls, qt.HasLen, 2)
	c.Assert(calls[0].request.Step, qt.Equals, requests[0].Step)
	c.Assert(calls[1].request.Step, qt.Equals, requests[1].Step)
}

// Requests of work that goes behind all queues, such as work beyond its account's rate, must
// not take the calls of a less urgent queue's work, and get what is left.
func TestRequestsOfHigherTierAreServedLast(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	over := adviceRequests("urgent", 0, 8, 20*time.Millisecond)
	for i := range over {
		over[i].Tier = 1
	}
	requests := slices.Concat(over, adviceRequests("batch", 2, 4, 150*time.Millisecond))
	calls := newAdviceBacklog(requests, 0).assign(&share, slotsOf(6, 0, minDecisionPause))
	c.Assert(countByQueue(calls), qt.DeepEquals, map[string]int{
		"urgent": 2,
		"batch":  4,
	})
	c.Assert(calls[0].request.Queue.Name, qt.Equals, "batch")
}

// After a change of the leader, many steps wait for advice, few instances have found
// the new leader, and its decisions are long and far apart. The instances get as many
// short calls as fill the time until the next decision, not one each.
func TestShortCallsFillTimeBetweenDecisions(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	slots := slotsOf(2, 0, 100*time.Millisecond)
	c.Assert(slots.count(25*time.Millisecond), qt.Equals, 8)
	requests := adviceRequests("short", 0, 40, 25*time.Millisecond)
	calls := newAdviceBacklog(requests, 0).assign(&share, slots)
	c.Assert(calls, qt.HasLen, 8)
	c.Assert(calls[7].until, qt.Equals, 100*time.Millisecond)
	slots = slotsOf(2, 0, 100*time.Millisecond)
	c.Assert(slots.count(450*time.Millisecond), qt.Equals, 2)
	calls = newAdviceBacklog(adviceRequests("long", 0, 40, 450*time.Millisecond), 0).assign(&share, slots)
	c.Assert(calls, qt.HasLen, 2)
}

// An instance takes calls until it is busy beyond the horizon, none while a call is
// overdue, and none for a while after a failure. A quarter of the instances is
// reserved, busy or not.
func TestCallSlots(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	const horizon = 50 * time.Millisecond
	callers := newCallers(func() []string { return []string{"d", "c", "b", "a"} })
	free := func(at time.Time) []string {
		var addresses []string
		for _, slot := range callers.slots(at, horizon).free {
			addresses = append(addresses, slot.address)
		}
		return addresses
	}
	c.Assert(free(now), qt.DeepEquals, []string{"a", "b", "c", "d"})
	c.Assert(callers.slots(now, horizon).reserved, qt.Equals, 1)
	callers.start("a", now, 400*time.Millisecond)
	callers.start("b", now, 20*time.Millisecond)
	callers.start("c", now, 20*time.Millisecond)
	callers.fail("c", now)
	c.Assert(free(now), qt.DeepEquals, []string{"d", "b"})
	c.Assert(free(now.Add(380*time.Millisecond)), qt.DeepEquals, []string{"d", "a"})
	callers.finish("b")
	c.Assert(free(now.Add(failedInstanceBackoff)), qt.DeepEquals, []string{"b", "c", "d"})
}

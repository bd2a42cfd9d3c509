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

func countByQueue(requests []plan.AdviceRequest) map[string]int {
	counts := map[string]int{}
	for _, request := range requests {
		counts[request.Queue.Name]++
	}
	return counts
}

// When long advice calls occupy all unreserved instances, further long calls are
// postponed, and urgent calls still get an instance without waiting.
func TestUrgentAdviceCallsBypassLongOnes(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	long := adviceRequests("long", 1, 20, 600*time.Millisecond)
	chosen := newAdviceBacklog(long, 0).choose(&share, 8, 2)
	c.Assert(chosen, qt.HasLen, 6)
	both := slices.Concat(long, adviceRequests("urgent", 0, 1, 20*time.Millisecond))
	chosen = newAdviceBacklog(both, 0).choose(&share, 2, 2)
	c.Assert(countByQueue(chosen), qt.DeepEquals, map[string]int{"urgent": 1})
}

// A queue whose waiting gangs always want another long call must not keep the
// calls of a less urgent queue waiting: of the instances' time both get half.
func TestGangAdviceDoesNotStarveBatchAdvice(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	requests := slices.Concat(adviceRequests("gangs", 1, 40, 450*time.Millisecond),
		adviceRequests("batch", 2, 40, 150*time.Millisecond))
	chosen := newAdviceBacklog(requests, 0).choose(&share, 16, 0)
	c.Assert(countByQueue(chosen), qt.DeepEquals, map[string]int{
		"gangs": 4,
		"batch": 12,
	})
}

// Within a queue the most urgent request, which comes first, is served first.
func TestAdviceOrderWithinQueue(t *testing.T) {
	c := qt.New(t)
	var share fairq.Share[string]
	requests := adviceRequests("q", 1, 3, 100*time.Millisecond)
	chosen := newAdviceBacklog(requests, 0).choose(&share, 2, 0)
	c.Assert(chosen, qt.HasLen, 2)
	c.Assert(chosen[0].Step, qt.Equals, requests[0].Step)
	c.Assert(chosen[1].Step, qt.Equals, requests[1].Step)
}

// An instance makes one call at a time, and none for a while after a failure. A
// quarter of the instances is reserved, busy or not.
func TestIdleCallers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	callers := newCallers(func() []string { return []string{"d", "c", "b", "a"} })
	idle, reserved := callers.idle(now)
	c.Assert(idle, qt.DeepEquals, []string{"a", "b", "c", "d"})
	c.Assert(reserved, qt.Equals, 1)
	callers.calling["a"] = true
	callers.fail("b", now)
	idle, _ = callers.idle(now)
	c.Assert(idle, qt.DeepEquals, []string{"c", "d"})
	idle, _ = callers.idle(now.Add(failedInstanceBackoff))
	c.Assert(idle, qt.DeepEquals, []string{"b", "c", "d"})
}

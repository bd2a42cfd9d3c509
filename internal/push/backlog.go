package push

import (
	"time"

	"github.com/jasmineward/jasmineward/internal/plan"
	"github.com/jasmineward/jasmineward/pkg/fairq"
)

// adviceBacklog holds the requests for advice of one decision by queue, each
// queue's in the order of urgency.
type adviceBacklog struct {
	queues   []string
	requests map[string][]plan.AdviceRequest
	// urgentPriority is the priority of the queues whose requests may use
	// reserved instances.
	urgentPriority int
}

func newAdviceBacklog(requests []plan.AdviceRequest, urgentPriority int) *adviceBacklog {
	b := &adviceBacklog{
		requests:       map[string][]plan.AdviceRequest{},
		urgentPriority: urgentPriority,
	}
	for _, request := range requests {
		name := request.Queue.Name
		if len(b.requests[name]) == 0 {
			b.queues = append(b.queues, name)
		}
		b.requests[name] = append(b.requests[name], request)
	}
	return b
}

// assignedCall is a request that an instance is to serve.
type assignedCall struct {
	request plan.AdviceRequest
	address string
	// until is the expected time until the call is answered.
	until time.Duration
}

// assign removes the requests that the instances can serve now and returns them
// with their instances. Requests of a lower tier go first; within one tier, the queues share
// the time of the instances.
func (b *adviceBacklog) assign(share *fairq.Share[string], slots *callSlots) []assignedCall {
	var calls []assignedCall
	for !slots.isEmpty() {
		queues := b.queuesToServe(slots.isForUrgent())
		i := share.Next(queues)
		if i < 0 {
			break
		}
		name := queues[i]
		request := b.requests[name][0]
		b.requests[name] = b.requests[name][1:]
		callTime := expectedCallTime(request)
		share.Charge(name, callTime)
		address, until := slots.take(callTime)
		calls = append(calls, assignedCall{
			request: request,
			address: address,
			until:   until,
		})
	}
	return calls
}

// queuesToServe returns the queues with requests, or the urgent ones of them. It leaves out
// those whose next request goes behind that of another queue.
func (b *adviceBacklog) queuesToServe(urgentOnly bool) []string {
	var queues []string
	lowest := 0
	for _, name := range b.queues {
		waiting := b.requests[name]
		if len(waiting) == 0 || urgentOnly && waiting[0].Queue.Priority > b.urgentPriority {
			continue
		}
		tier := waiting[0].Tier
		if len(queues) == 0 || tier < lowest {
			queues, lowest = queues[:0], tier
		}
		if tier == lowest {
			queues = append(queues, name)
		}
	}
	return queues
}

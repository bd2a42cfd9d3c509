package push

import (
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

// choose removes and returns the requests to serve now, at most one for each
// idle instance. The last reserved ones of them go to urgent requests only.
func (b *adviceBacklog) choose(share *fairq.Share[string], idle, reserved int) []plan.AdviceRequest {
	var chosen []plan.AdviceRequest
	for ; idle > 0; idle-- {
		queues := b.queuesToServe(idle <= reserved)
		i := share.Next(queues)
		if i < 0 {
			break
		}
		name := queues[i]
		request := b.requests[name][0]
		b.requests[name] = b.requests[name][1:]
		share.Charge(name, expectedCallTime(request))
		chosen = append(chosen, request)
	}
	return chosen
}

// queuesToServe returns the queues with requests, or the urgent ones of them.
func (b *adviceBacklog) queuesToServe(urgentOnly bool) []string {
	var queues []string
	for _, name := range b.queues {
		waiting := b.requests[name]
		if len(waiting) > 0 && (!urgentOnly || waiting[0].Queue.Priority <= b.urgentPriority) {
			queues = append(queues, name)
		}
	}
	return queues
}

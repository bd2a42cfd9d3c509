// Package fairq shares a resource that serves one request at a time among
// flows, in proportion to the time that their requests take. It implements
// start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): a flow that
// has used little of the resource goes before those that have used much, and
// a flow cannot save up its share while it has no requests.
package fairq

import "time"

// Share orders flows by how much of the resource they have used. The zero value
// is ready for use. It is not safe for concurrent use.
type Share[F comparable] struct {
	// virtualTime is the start tag of the request that was served last.
	virtualTime time.Duration
	// finish has the finish tag of the last request by flow. Flows whose tag
	// is not later than the virtual time are left out.
	finish map[F]time.Duration
}

// Next returns the position of the flow to serve next, or -1 if there are no
// flows. Of flows that have used equally much it returns the first.
func (s *Share[F]) Next(flows []F) int {
	best := -1
	for i, flow := range flows {
		if best < 0 || s.startTag(flow) < s.startTag(flows[best]) {
			best = i
		}
	}
	return best
}

// Charge records that a request of the flow is served and takes the given time.
func (s *Share[F]) Charge(flow F, cost time.Duration) {
	if s.finish == nil {
		s.finish = map[F]time.Duration{}
	}
	s.virtualTime = s.startTag(flow)
	s.finish[flow] = s.virtualTime + cost
	for other, tag := range s.finish {
		if tag <= s.virtualTime {
			delete(s.finish, other)
		}
	}
}

// startTag returns the tag at which the next request of the flow starts.
func (s *Share[F]) startTag(flow F) time.Duration {
	return max(s.finish[flow], s.virtualTime)
}

package push

import "github.com/go-faster/errors"

// What proves that the process of an incarnation is over, and its runs with it, is decided
// here alone. Most of what the leader observes has more than one explanation: another writer
// may send a heartbeat, a message may be late, and a link that is cut may refuse connections.
// Such an observation is a reason to ask the target or to send it nothing new. Only what has
// no other explanation ends runs: endIncarnations refuses the rest.

// observation is what the leader has observed of the process of an incarnation.
type observation uint8

const (
	// observedSilence is a call without an answer: the process, its machine or the link
	// may be slow, frozen or cut.
	observedSilence observation = iota + 1
	// observedRefusal is a refused connection. So may a link that is cut refuse
	// connections, to all instances at once.
	observedRefusal
	// observedHeartbeat is a heartbeat in the name of another incarnation of the target. It
	// may be late, or come from another writer.
	observedHeartbeat
	// observedLeave is the message of the target that it leaves. The process goes on until
	// that is confirmed, or for some time without a confirmation.
	observedLeave
	// observedOtherIncarnation is the answer of another incarnation at the target's address,
	// to an order that was sent while this one was known. One process has the address.
	observedOtherIncarnation
	// observedOtherTarget is the answer of another target at the target's address.
	observedOtherTarget
	// observedLeaseEnd is the end of the longest lease that any order may have granted to
	// the process that holds the runs.
	observedLeaseEnd
	// observedNoRuns means that the ledger has no run of the incarnation any more, so that
	// nothing ends with it.
	observedNoRuns
)

// consequence is the most that an observation may change.
type consequence uint8

const (
	// consequenceRetry is to call the target again.
	consequenceRetry consequence = iota + 1
	// consequenceAsk is to ask the address which incarnation has it.
	consequenceAsk
	// consequenceRetire is to send the target neither new work nor a longer lease, and to
	// stop its runs.
	consequenceRetire
	// consequenceEnd is to commit that the incarnation is over, with all runs that no other
	// incarnation can have taken. Their tasks may start elsewhere.
	consequenceEnd
)

// consequence returns the most that the observation may change.
func (o observation) consequence() consequence {
	switch o {
	case observedOtherIncarnation, observedOtherTarget, observedLeaseEnd, observedNoRuns:
		return consequenceEnd
	case observedLeave:
		return consequenceRetire
	case observedHeartbeat:
		return consequenceAsk
	}
	return consequenceRetry
}

// String returns the text that log messages give as the reason.
func (o observation) String() string {
	switch o {
	case observedSilence:
		return "no answer"
	case observedRefusal:
		return "connection refused"
	case observedHeartbeat:
		return "heartbeat of another lifetime"
	case observedLeave:
		return "target leaves"
	case observedOtherIncarnation:
		return "another lifetime has its address"
	case observedOtherTarget:
		return "another target has its address"
	case observedLeaseEnd:
		return "lease over"
	case observedNoRuns:
		return "no run left"
	}
	return "unknown"
}

// observationOf returns what the error of an order tells of the target's process.
func observationOf(err error) observation {
	switch {
	case errors.Is(err, ErrOtherTarget):
		return observedOtherTarget
	case errors.Is(err, ErrOtherIncarnation):
		return observedOtherIncarnation
	case errors.Is(err, ErrDown):
		return observedRefusal
	}
	return observedSilence
}

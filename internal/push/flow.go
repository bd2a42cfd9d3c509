package push

import (
	"math"
	"time"
)

const (
	// maxProposalsInFlight bounds the decisions that are being committed, and
	// maxPlacementsProposed the tasks placed by one of them, while commits are fast.
	maxProposalsInFlight  = 3
	maxPlacementsProposed = 400
	// minPlacementsProposed is the bound on the tasks of a decision while commits are
	// slowest, so that placements go on.
	minPlacementsProposed = 20
	// slowCommitFraction is the part of a ticket's validity above which a commit is slow:
	// 312 ms of 2.5 s. A ticket is used for a placement while it is valid for 300 ms, so a
	// faster commit completes before the ticket expires.
	slowCommitFraction = 0.125
	// commitTimeWeight is the weight of the newest commit in the moving average of their
	// times.
	commitTimeWeight = 0.3
)

// commitFlow bounds the placements that are proposed at once by how long commits took lately
// and how long the oldest of those under way has taken. A log that commits slowly is sent no
// more than it commits while the tickets are valid. It is not safe for concurrent use.
type commitFlow struct {
	// average is a moving average of the times of commits.
	average time.Duration
	// open has the times at which the commits under way began, by number.
	open map[uint64]time.Time
	last uint64
}

// flowLimits are the bounds on proposals of placements.
type flowLimits struct {
	// proposals bounds the decisions that are being committed, and placements the tasks
	// placed by the next.
	proposals  int
	placements int
}

func newCommitFlow() *commitFlow {
	return &commitFlow{open: map[uint64]time.Time{}}
}

// begin records that a commit begins, and returns its number.
func (f *commitFlow) begin(now time.Time) uint64 {
	f.last++
	f.open[f.last] = now
	return f.last
}

// end records that a commit has ended. Its time counts unless it was refused at once.
func (f *commitFlow) end(number uint64, now time.Time, refused bool) {
	began, found := f.open[number]
	delete(f.open, number)
	if !found || refused {
		return
	}
	f.average += time.Duration(commitTimeWeight * float64(now.Sub(began)-f.average))
}

// commitTime returns how long a commit takes now.
func (f *commitFlow) commitTime(now time.Time) time.Duration {
	longest := f.average
	for _, began := range f.open {
		longest = max(longest, now.Sub(began))
	}
	return longest
}

// limits returns the bounds for tickets of the given validity. Without tickets, which is a
// validity of zero, nothing expires and the bounds are those of fast commits.
func (f *commitFlow) limits(now time.Time, valid time.Duration) flowLimits {
	limits := flowLimits{
		proposals:  maxProposalsInFlight,
		placements: maxPlacementsProposed,
	}
	slow := slowCommitFraction * float64(valid)
	if slow <= 0 {
		return limits
	}
	ratio := float64(f.commitTime(now)) / slow
	if ratio <= 1 {
		return limits
	}
	limits.proposals = max(1, int(math.Floor(maxProposalsInFlight/ratio)))
	limits.placements = max(minPlacementsProposed, int(maxPlacementsProposed/ratio))
	return limits
}

package push

import (
	"sync"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// largestShare is the part of the room for jobs that one client account may use while no
// other does, and so the part that the largest job may take.
const largestShare = 2

// jobRoom bounds the memory that the jobs of a cell take, by their footprints. A client
// account may use as much as remains free, so a single one leaves half of the room to
// others, and the next one half of that. It counts the jobs in the ledger and those whose
// submission is being committed.
type jobRoom struct {
	ledger *graph.Ledger
	// limit is in bytes; zero means no limit.
	limit int64

	// The ledger is read with the lock held. It must not be taken during a decision, which
	// reads the ledger as well.
	mu       sync.Mutex
	proposed int64
	accounts map[string]int64
}

func newJobRoom(ledger *graph.Ledger, limit int64) *jobRoom {
	return &jobRoom{
		ledger:   ledger,
		limit:    limit,
		accounts: map[string]int64{},
	}
}

// canHold reports whether a job with the footprint has room when there is no other.
func (r *jobRoom) canHold(footprint int64) bool {
	return r.limit == 0 || footprint <= r.limit/largestShare
}

// reserve reserves room for a job of the client account until the returned function is
// called, which has no effect when it is called again. It returns false if there is none.
func (r *jobRoom) reserve(account string, footprint int64) (release func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	total, ofAccount := r.ledger.Stored(account)
	total += r.proposed + footprint
	ofAccount += r.accounts[account] + footprint
	if r.limit > 0 && ofAccount > r.limit-total {
		return func() {}, false
	}
	r.add(account, footprint)
	return sync.OnceFunc(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.add(account, -footprint)
	}), true
}

// add adds the bytes to what is being committed. The lock must be held.
func (r *jobRoom) add(account string, bytes int64) {
	r.proposed += bytes
	r.accounts[account] += bytes
	if r.accounts[account] == 0 {
		delete(r.accounts, account)
	}
}

// callRoom bounds the submissions that an instance handles for other instances, by their
// footprints. They wait for a quorum, whose loss would let them pile up.
type callRoom struct {
	// limit is in bytes; zero means no limit.
	limit int64

	mu   sync.Mutex
	used int64
}

// acquire reserves room for a submission, and reports whether there is any. One fits
// whatever its size while there is no other.
func (r *callRoom) acquire(footprint int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit > 0 && r.used > 0 && r.used+footprint > r.limit {
		return false
	}
	r.used += footprint
	return true
}

func (r *callRoom) release(footprint int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= footprint
}

package peer

import (
	"context"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// failureTTL is how long an address that failed to answer is rejected as the
// leader's: peers may keep reporting it for a while after the leader has gone.
const failureTTL = 300 * time.Millisecond

// Table holds what an instance knows about the other instances: the clients for
// each address, the membership and the address of the leader. It is safe for
// concurrent use.
type Table struct {
	dialer *Dialer

	mu            sync.Mutex
	pairs         map[string]*Pair
	leader        string
	failedAddress string
	failedAt      time.Time
	membership    raft.Membership
	// searchDone is closed when the search in progress ends. It is nil if none
	// is running.
	searchDone chan struct{}
}

// NewTable returns an empty table whose clients connect through the dialer.
func NewTable(dialer *Dialer) *Table {
	return &Table{
		dialer: dialer,
		pairs:  map[string]*Pair{},
	}
}

// Client returns the client for the address, which it creates on first use.
func (t *Table) Client(address string) *Client {
	return t.Pair(address).first
}

// Pair returns the pair of clients for the address, which it creates on first use.
func (t *Table) Pair(address string) *Pair {
	t.mu.Lock()
	defer t.mu.Unlock()
	pair := t.pairs[address]
	if pair == nil {
		pair = t.dialer.NewPair(address)
		t.pairs[address] = pair
	}
	return pair
}

// Leader returns the leader's address, or "" while none is known.
func (t *Table) Leader() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader
}

// SetLeader sets the address of the confirmed leader, or "" if none is known.
func (t *Table) SetLeader(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader = address
}

// SuggestLeader sets the leader to an address reported by a peer, unless the
// address is empty or has recently failed to answer.
func (t *Table) SuggestLeader(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address != "" && !t.recentlyFailed(address) {
		t.leader = address
	}
}

// MarkFailed records that the address failed to answer, and clears the leader
// if it had that address.
func (t *Table) MarkFailed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAddress = address
	t.failedAt = time.Now()
	if t.leader == address {
		t.leader = ""
	}
}

// RecentlyFailed reports whether the address failed to answer within failureTTL.
func (t *Table) RecentlyFailed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recentlyFailed(address)
}

func (t *Table) recentlyFailed(address string) bool {
	return address == t.failedAddress && time.Since(t.failedAt) < failureTTL
}

// FindLeader runs search and waits until it returns or the context ends.
// Concurrent calls share one search.
func (t *Table) FindLeader(ctx context.Context, search func()) {
	t.mu.Lock()
	done := t.searchDone
	if done == nil {
		done = make(chan struct{})
		t.searchDone = done
		go t.runSearch(done, search)
	}
	t.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (t *Table) runSearch(done chan struct{}, search func()) {
	search()
	t.mu.Lock()
	t.searchDone = nil
	t.mu.Unlock()
	close(done)
}

// Membership returns the membership learned last.
func (t *Table) Membership() raft.Membership {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.membership
}

// MembershipAtLeader returns the membership that the leader has last told, or the one in
// the status if that is the leader's own. The log of another replica does not tell
// whether it is a member: the entry that removes a member is not sent to it.
func (t *Table) MembershipAtLeader(status raft.Status) raft.Membership {
	if status.Role == raft.RoleLeader {
		return status.Membership
	}
	return t.Membership()
}

// SetMembership replaces the known membership, unless m is empty.
func (t *Table) SetMembership(m raft.Membership) {
	if len(m.Members) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.membership = m
}

// AddressOf returns the address of the member, or "" if it is not known or
// replica is nil. The replica's membership is preferred; the membership learned
// last from peers is the fallback.
func (t *Table) AddressOf(replica *raft.Replica, id raft.ID) string {
	if replica == nil {
		return ""
	}
	member, _ := replica.Status().Membership.Find(id)
	if member.Address == "" {
		member, _ = t.Membership().Find(id)
	}
	return member.Address
}

// Close closes all clients.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, pair := range t.pairs {
		pair.Close()
	}
}

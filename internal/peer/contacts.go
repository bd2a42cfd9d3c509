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

// Table holds what an instance knows about the other instances: a client for
// each address, the membership and the address of the leader. It is safe for
// concurrent use.
type Table struct {
	dialer *Dialer

	mu            sync.Mutex
	clients       map[string]*Client
	leader        string
	failedAddress string
	failedAt      time.Time
	members       raft.Membership
	// searchDone is closed when the search in progress ends. It is nil if none
	// is running.
	searchDone chan struct{}
}

// NewTable returns empty contacts whose clients connect through the dialer.
func NewTable(dialer *Dialer) *Table {
	return &Table{
		dialer:  dialer,
		clients: map[string]*Client{},
	}
}

// Client returns the client for the address, which it creates on first use.
func (c *Table) Client(address string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = c.dialer.NewClient(address)
		c.clients[address] = client
	}
	return client
}

// Leader returns the leader's address, or "" while none is known.
func (c *Table) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// SetLeader sets the address of the confirmed leader, or "" if none is known.
func (c *Table) SetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// SuggestLeader sets the leader to an address reported by a peer, unless the address is
// empty or has recently failed to answer.
func (c *Table) SuggestLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != "" && !c.recentlyFailed(address) {
		c.leader = address
	}
}

// MarkFailed records that the address failed to answer, and clears the leader if it
// had that address.
func (c *Table) MarkFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAddress = address
	c.failedAt = time.Now()
	if c.leader == address {
		c.leader = ""
	}
}

// RecentlyFailed reports whether the address failed to answer within failureTTL.
func (c *Table) RecentlyFailed(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentlyFailed(address)
}

func (c *Table) recentlyFailed(address string) bool {
	return address == c.failedAddress && time.Since(c.failedAt) < failureTTL
}

// FindLeader runs search and waits until it returns or the context ends. Concurrent
// calls share one search.
func (c *Table) FindLeader(ctx context.Context, search func()) {
	c.mu.Lock()
	done := c.searchDone
	if done == nil {
		done = make(chan struct{})
		c.searchDone = done
		go c.runSearch(done, search)
	}
	c.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (c *Table) runSearch(done chan struct{}, search func()) {
	search()
	c.mu.Lock()
	c.searchDone = nil
	c.mu.Unlock()
	close(done)
}

// Membership returns the membership learned last.
func (c *Table) Membership() raft.Membership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// SetMembership replaces the known membership, unless m is empty.
func (c *Table) SetMembership(m raft.Membership) {
	if len(m.Members) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = m
}

// AddressOf returns the address of the member, or "" if it is not known or
// replica is nil. The replica's membership is preferred; the membership learned
// last from peers is the fallback.
func (c *Table) AddressOf(replica *raft.Replica, id raft.ID) string {
	if replica == nil {
		return ""
	}
	member, _ := replica.Status().Membership.Find(id)
	if member.Address == "" {
		member, _ = c.Membership().Find(id)
	}
	return member.Address
}

// Close closes all clients.
func (c *Table) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

package peer

import (
	"context"
	"sync"
	"time"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// failedFor is how long an address that did not answer is not taken for the
// leader's again: peers may name it for a while after it has gone.
const failedFor = 300 * time.Millisecond

// Contacts is what an instance knows of the others: a client for each address,
// who the members are and who leads. It is safe for several goroutines.
type Contacts struct {
	dialer *Dialer

	mu       sync.Mutex
	clients  map[string]*Client
	leader   string
	failed   string
	failedAt time.Time
	members  raft.Membership
	// finding is closed when the search under way is over.
	finding chan struct{}
}

// NewContacts returns contacts that know nobody.
func NewContacts(dialer *Dialer) *Contacts {
	return &Contacts{
		dialer:  dialer,
		clients: map[string]*Client{},
	}
}

// Client returns the client for the address.
func (c *Contacts) Client(address string) *Client {
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
func (c *Contacts) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// SetLeader notes who surely leads, or with "" that nobody is known to.
func (c *Contacts) SetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// Learn notes who is said to lead, unless it has just failed to answer.
func (c *Contacts) Learn(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != "" && !c.hasFailed(address) {
		c.leader = address
	}
}

// Forget notes that the address did not answer.
func (c *Contacts) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = address
	c.failedAt = time.Now()
	if c.leader == address {
		c.leader = ""
	}
}

// HasFailed tells whether the address has just failed to answer.
func (c *Contacts) HasFailed(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasFailed(address)
}

func (c *Contacts) hasFailed(address string) bool {
	return address == c.failed && time.Since(c.failedAt) < failedFor
}

// Find runs the search for the leader, and waits for it or the context's end.
// Those who come meanwhile share one search.
func (c *Contacts) Find(ctx context.Context, search func()) {
	c.mu.Lock()
	finding := c.finding
	if finding == nil {
		finding = make(chan struct{})
		c.finding = finding
		go c.find(finding, search)
	}
	c.mu.Unlock()
	select {
	case <-finding:
	case <-ctx.Done():
	}
}

func (c *Contacts) find(done chan struct{}, search func()) {
	search()
	c.mu.Lock()
	c.finding = nil
	c.mu.Unlock()
	close(done)
}

// Members returns the newest membership known.
func (c *Contacts) Members() raft.Membership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

// LearnMembers takes a membership, unless it is empty.
func (c *Contacts) LearnMembers(m raft.Membership) {
	if len(m.Members) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = m
}

// AddressOf returns where the member is reached, or "": by what the replica
// knows, which may be nil, or else by the newest membership heard of.
func (c *Contacts) AddressOf(replica *raft.Replica, id raft.ID) string {
	if replica == nil {
		return ""
	}
	member, _ := replica.Status().Membership.Find(id)
	if member.Address == "" {
		member, _ = c.Members().Find(id)
	}
	return member.Address
}

// Close closes the clients.
func (c *Contacts) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

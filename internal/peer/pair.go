package peer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// spareTTL is how long the second connection to an address is kept unused.
	spareTTL = 30 * time.Second
	// A hedged call adds hedgeShare to the number of calls that may be made twice, up
	// to maxHedges. So a peer that is slow for lack of processor time is not sent all
	// of its calls twice.
	hedgeShare = 0.2
	maxHedges  = 32
)

// Pair makes calls to one address. It uses a second connection while the first one is
// overdue: calls were waiting on it, and nothing was received for some time. A lost
// packet holds up all calls of a connection until it is retransmitted.
type Pair struct {
	first *Client
	spare *Client

	mu sync.Mutex
	// overdueSince is when the first connection was found overdue, or zero. It is in
	// use again once anything has been received on it after that.
	overdueSince time.Time
	hedges       float64
	// expiry closes the spare connection after spareTTL without use.
	expiry *time.Timer
}

// NewPair returns a pair of clients whose calls the server handles concurrently.
func (d *Dialer) NewPair(address string) *Pair {
	return &Pair{
		first:  d.NewClient(address),
		spare:  d.NewClient(address),
		hedges: maxHedges,
	}
}

// Call calls a method like Client.Call, over the spare connection if the first one is
// overdue. The call is made once.
func (p *Pair) Call(ctx context.Context, method string, args, reply any) error {
	return p.choose().Call(ctx, method, args, reply)
}

// choose returns the client for the next call. A first connection that stays overdue for
// deadSilence is closed, so that it is established again.
func (p *Pair) choose() *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.overdueSince.IsZero() {
		return p.first
	}
	if p.first.receivedSince(p.overdueSince) {
		p.overdueSince = time.Time{}
		return p.first
	}
	if time.Since(p.overdueSince) > deadSilence {
		p.overdueSince = time.Time{}
		p.first.Reset()
		return p.first
	}
	p.useSpare()
	return p.spare
}

// useSpare keeps the spare connection for a while. The caller holds the lock.
func (p *Pair) useSpare() {
	if p.expiry != nil {
		p.expiry.Stop()
	}
	p.expiry = time.AfterFunc(spareTTL, p.spare.Reset)
}

// claimHedge returns the client for the second attempt of a call that the given client
// does not answer, or nil if the call is not to be made twice.
func (p *Pair) claimHedge(overdue *Client) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if overdue == p.first && p.overdueSince.IsZero() {
		p.overdueSince = time.Now()
	}
	if p.hedges < 1 {
		return nil
	}
	p.hedges--
	if overdue == p.spare {
		return p.first
	}
	p.useSpare()
	return p.spare
}

// Reset closes both connections. Their pending calls fail.
func (p *Pair) Reset() {
	p.first.Reset()
	p.spare.Reset()
}

// Close closes both clients.
func (p *Pair) Close() {
	p.mu.Lock()
	if p.expiry != nil {
		p.expiry.Stop()
	}
	p.mu.Unlock()
	p.first.Close()
	p.spare.Close()
}

// isConnectionError reports whether the error says nothing about the call itself, so that
// another attempt may succeed.
func isConnectionError(err error) bool {
	return errors.Is(err, ErrNoReply) || errors.Is(err, ErrUnreachable)
}

// hedgedResult is the outcome of one attempt of a hedged call.
type hedgedResult[V any] struct {
	value *V
	err   error
}

// CallHedged makes an idempotent call and returns its reply. If nothing is received on
// the connection for the given time while the call waits, the call is made a second time
// over the other connection, and the first reply counts. The other attempt is cancelled.
func CallHedged[V any](ctx context.Context, p *Pair, method string, args any, after time.Duration) (*V, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hedgedResult[V], 2)
	attempt := func(client *Client) {
		value := new(V)
		err := client.Call(ctx, method, args, value)
		results <- hedgedResult[V]{
			value: value,
			err:   err,
		}
	}
	p.mu.Lock()
	p.hedges = min(p.hedges+hedgeShare, maxHedges)
	p.mu.Unlock()
	client := p.choose()
	go attempt(client)
	attempts := 1
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case result := <-results:
			attempts--
			if result.err == nil || attempts == 0 || !isConnectionError(result.err) {
				return result.value, result.err
			}
		case <-timer.C:
			if client.receivedSince(time.Now().Add(-after)) {
				timer.Reset(after)
				continue
			}
			if other := p.claimHedge(client); other != nil {
				attempts++
				go attempt(other)
			}
		}
	}
}

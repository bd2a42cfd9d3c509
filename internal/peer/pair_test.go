package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// heldConn is a connection on which nothing arrives until it is released.
type heldConn struct {
	net.Conn

	released <-chan struct{}
}

// Read waits for the release.
func (c heldConn) Read(p []byte) (int, error) {
	<-c.released
	return c.Conn.Read(p)
}

// holdFirst returns a dialer of which the first connection is held up until release is
// called, and the number of its connections.
func holdFirst(t *testing.T) (dialer *Dialer, release func(), conns *atomic.Int32) {
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	conns = &atomic.Int32{}
	return NewDialer(&Traffic{}, WithConnWrapper(func(_ string, conn net.Conn) net.Conn {
		if conns.Add(1) > 1 {
			return conn
		}
		return heldConn{
			Conn:     conn,
			released: released,
		}
	})), release, conns
}

// One lost packet on the connection to the leader or to a relay held up each call on it,
// and failed the check that others depended on.
func TestCallsBearOneHeldUpConnection(t *testing.T) {
	c := qt.New(t)
	server := startServer(t, nil)
	dialer, release, conns := holdFirst(t)
	pair := dialer.NewPair(server.Address())
	defer pair.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	reply, err := CallHedged[StepArgs](ctx, pair, "Echo.Say", &StepArgs{Cell: "a"}, 50*time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Check(reply.Cell, qt.Equals, "a")
	// Calls that are made once avoid the first connection as long as it is held up.
	var single StepArgs
	c.Assert(pair.Call(ctx, "Echo.Say", &StepArgs{Cell: "b"}, &single), qt.IsNil)
	c.Check(pair.choose(), qt.Equals, pair.spare)
	release()
	for pair.choose() != pair.first && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	c.Check(pair.choose(), qt.Equals, pair.first)
	c.Check(conns.Load(), qt.Equals, int32(2))
}

// A connection that is not overdue must cost no second one and no second call, and one
// that is overdue no more than the allowance.
func TestHedgesAreBounded(t *testing.T) {
	c := qt.New(t)
	server := startServer(t, nil)
	dialer, release, conns := holdFirst(t)
	release()
	pair := dialer.NewPair(server.Address())
	defer pair.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 100 {
		_, err := CallHedged[StepArgs](ctx, pair, "Echo.Say", &StepArgs{Cell: "a"}, time.Second)
		c.Assert(err, qt.IsNil)
	}
	c.Check(conns.Load(), qt.Equals, int32(1))
	hedged := 0
	for range 1000 {
		pair.mu.Lock()
		pair.hedges = min(pair.hedges+hedgeShare, maxHedges)
		pair.mu.Unlock()
		if pair.claimHedge(pair.first) != nil {
			hedged++
		}
	}
	c.Check(hedged <= maxHedges+1000*hedgeShare, qt.IsTrue, qt.Commentf("%d", hedged))
}

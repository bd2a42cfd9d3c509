// Package accept limits the open connections of an HTTP server. At the limit, a
// new connection replaces the one that has been idle longest. Clients that keep
// connections to several instances open, though they use one at a time, thereby
// do not keep others out. Where none is idle, it replaces one that has sent nothing,
// or one that the server is asked to close.
package accept

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// silentTime is how long a connection may send nothing before it may be replaced.
	// Clients send their first request at once.
	silentTime = time.Second
	// retryInterval is how often the listener looks for a connection to close.
	retryInterval = 100 * time.Millisecond
	// At the limit, the server is asked to close 1/reclaimDivisor of the connections
	// at once, because it takes a while to close one.
	reclaimDivisor = 8
)

// Listener limits the open connections of the HTTP server that it is used with.
// The server's ConnState must be set to the listener's ConnState method.
type Listener struct {
	net.Listener

	limit int

	mu sync.Mutex
	// freed signals that a connection was closed, or became idle.
	freed *sync.Cond
	open  map[net.Conn]bool
	// idle has the idle connections, the one that became idle first in front.
	idle     *list.List
	elements map[net.Conn]*list.Element
	// silent has the connections that have sent nothing yet, in the order of arrival.
	silent         *list.List
	silentElements map[net.Conn]*list.Element
	closed         bool
	// reclaim asks the server to close at most n connections that are in use, and
	// returns how many it does.
	reclaim func(n int) int
}

// silentConn is a connection that has sent nothing yet.
type silentConn struct {
	conn net.Conn
	at   time.Time
}

// Option changes a Listener.
type Option func(*Listener)

// WithReclaim sets a function that is called at the limit, if no connection is idle.
// It makes the server close at most n connections, and returns how many.
func WithReclaim(reclaim func(n int) int) Option {
	return func(l *Listener) { l.reclaim = reclaim }
}

var _ net.Listener = (*Listener)(nil)

// NewListener returns a listener that keeps at most limit connections open.
func NewListener(inner net.Listener, limit int, opts ...Option) *Listener {
	l := &Listener{
		Listener:       inner,
		limit:          limit,
		open:           map[net.Conn]bool{},
		idle:           list.New(),
		elements:       map[net.Conn]*list.Element{},
		silent:         list.New(),
		silentElements: map[net.Conn]*list.Element{},
		reclaim:        func(int) int { return 0 },
	}
	l.freed = sync.NewCond(&l.mu)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Accept returns the next connection. At the limit it closes the connection that
// has been idle longest, or one that has sent nothing for silentTime. If there is
// none, it asks the server to close some, and waits until one is closed or idle. It
// returns net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reclaimed := 0
	for len(l.open) >= l.limit && !l.closed {
		if l.closeIdle() || l.closeSilent() {
			continue
		}
		if reclaimed == 0 {
			reclaimed = l.reclaim(max(l.limit/reclaimDivisor, 1))
		}
		retry := time.AfterFunc(retryInterval, l.freed.Broadcast)
		l.freed.Wait()
		retry.Stop()
	}
	if l.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.open[conn] = true
	l.silentElements[conn] = l.silent.PushBack(silentConn{
		conn: conn,
		at:   time.Now(),
	})
	return conn, nil
}

// closeSilent closes the oldest connection that has sent nothing, if it is old enough,
// and reports whether there was one. The lock must be held.
func (l *Listener) closeSilent() bool {
	front := l.silent.Front()
	if front == nil {
		return false
	}
	oldest, _ := front.Value.(silentConn)
	if time.Since(oldest.at) < silentTime {
		return false
	}
	l.forget(oldest.conn)
	_ = oldest.conn.Close()
	return true
}

// closeIdle closes the connection that has been idle longest, and reports whether
// there was one. The lock must be held.
func (l *Listener) closeIdle() bool {
	front := l.idle.Front()
	if front == nil {
		return false
	}
	conn, _ := front.Value.(net.Conn)
	l.forget(conn)
	_ = conn.Close()
	return true
}

// forget removes a connection from the open ones. The lock must be held.
func (l *Listener) forget(conn net.Conn) {
	delete(l.open, conn)
	l.setActive(conn)
}

// setActive removes a connection from the idle and silent ones. The lock must be held.
func (l *Listener) setActive(conn net.Conn) {
	if element := l.elements[conn]; element != nil {
		l.idle.Remove(element)
		delete(l.elements, conn)
	}
	if element := l.silentElements[conn]; element != nil {
		l.silent.Remove(element)
		delete(l.silentElements, conn)
	}
}

// ConnState records the state of a connection, as reported by the server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		l.setActive(conn)
	case http.StateIdle:
		if l.open[conn] {
			l.elements[conn] = l.idle.PushBack(conn)
			l.freed.Signal()
		}
	case http.StateClosed, http.StateHijacked:
		l.forget(conn)
		l.freed.Signal()
	}
}

// Close closes the listener. Open connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.freed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

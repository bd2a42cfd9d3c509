// Package accept limits the open connections of an HTTP server. At the limit, a
// new connection replaces the one that has been idle longest. Clients that keep
// connections to several instances open, though they use one at a time, thereby
// do not keep others out. Where none is idle, it replaces one that has sent nothing or
// no complete header, or one that the server is asked to close.
package accept

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// defaultSilentTime is longer than a client takes to send its first request, and short
	// enough that a crowd which opens connections anew is worked off before others give up.
	defaultSilentTime = 250 * time.Millisecond
	// retryInterval is how often the listener looks for a connection to close.
	retryInterval = 100 * time.Millisecond
	// At the limit, the server is asked to close 1/reclaimDivisor of the connections
	// at once, because it takes a while to close one.
	reclaimDivisor = 8
)

// Listener limits the open connections of the HTTP server that it is used with.
// The server's ConnState and ConnContext must be set to the listener's methods, and its
// handler be wrapped by Handler.
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
	// partial has the connections that have sent a part of a header, or not yet the rest of a
	// request that was answered, in the order in which that began.
	partial         *list.List
	partialElements map[net.Conn]*list.Element
	closed          bool
	// reclaim asks the server to close at most n connections that are in use, and
	// returns how many it does.
	reclaim func(n int) int
	// silentTime is how long a connection may send nothing, or no complete header, before
	// it may be replaced.
	silentTime time.Duration
}

// waitingConn is a connection of which something is awaited since a time.
type waitingConn struct {
	conn net.Conn
	at   time.Time
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Option changes a Listener.
type Option func(*Listener)

// WithSilentTime sets how long a connection may send nothing, no complete header, or not the
// rest of a request that was answered, before it may be replaced.
func WithSilentTime(d time.Duration) Option {
	return func(l *Listener) { l.silentTime = d }
}

// WithReclaim sets a function that is called at the limit, if no connection is idle.
// It makes the server close at most n connections, and returns how many.
func WithReclaim(reclaim func(n int) int) Option {
	return func(l *Listener) { l.reclaim = reclaim }
}

var _ net.Listener = (*Listener)(nil)

// NewListener returns a listener that keeps at most limit connections open.
func NewListener(inner net.Listener, limit int, opts ...Option) *Listener {
	l := &Listener{
		Listener:        inner,
		limit:           limit,
		open:            map[net.Conn]bool{},
		idle:            list.New(),
		elements:        map[net.Conn]*list.Element{},
		silent:          list.New(),
		silentElements:  map[net.Conn]*list.Element{},
		partial:         list.New(),
		partialElements: map[net.Conn]*list.Element{},
		reclaim:         func(int) int { return 0 },
		silentTime:      defaultSilentTime,
	}
	l.freed = sync.NewCond(&l.mu)
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Accept returns the next connection. At the limit it closes the connection that
// has been idle longest, or one that has sent nothing, or no complete request, for some
// time. If there is none, it asks the server to close some, and waits until one is closed or idle. It
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
		if l.closeIdle() || l.closeOldest(l.silent) || l.closeOldest(l.partial) {
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
	l.silentElements[conn] = l.silent.PushBack(waitingConn{
		conn: conn,
		at:   time.Now(),
	})
	return conn, nil
}

// closeOldest closes the oldest connection of which something is awaited, if it is old
// enough, and reports whether there was one. The lock must be held.
func (l *Listener) closeOldest(conns *list.List) bool {
	front := conns.Front()
	if front == nil {
		return false
	}
	oldest, _ := front.Value.(waitingConn)
	if time.Since(oldest.at) < l.silentTime {
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
	remove(l.partial, l.partialElements, conn)
}

// setActive removes a connection from the idle and silent ones. The lock must be held.
func (l *Listener) setActive(conn net.Conn) {
	remove(l.idle, l.elements, conn)
	remove(l.silent, l.silentElements, conn)
}

// remove removes a connection from a list, if it is in it.
func remove(conns *list.List, elements map[net.Conn]*list.Element, conn net.Conn) {
	if element := elements[conn]; element != nil {
		conns.Remove(element)
		delete(elements, conn)
	}
}

// ConnContext puts the connection into the context of its requests.
func (l *Listener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Handler returns a handler that records while next serves a request, whose connection is
// not replaced meanwhile.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(net.Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		l.mu.Lock()
		remove(l.partial, l.partialElements, conn)
		l.mu.Unlock()
		next.ServeHTTP(w, r)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.awaitRest(conn)
	})
}

// awaitRest records that a part of a request is awaited on the connection. The lock must be
// held.
func (l *Listener) awaitRest(conn net.Conn) {
	if l.open[conn] && l.partialElements[conn] == nil {
		l.partialElements[conn] = l.partial.PushBack(waitingConn{
			conn: conn,
			at:   time.Now(),
		})
	}
}

// ConnState records the state of a connection, as reported by the server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		l.setActive(conn)
		l.awaitRest(conn)
	case http.StateIdle:
		remove(l.partial, l.partialElements, conn)
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

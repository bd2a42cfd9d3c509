// Package accept limits the open connections of an HTTP server. At the limit, a
// new connection replaces the one that has been idle longest. Clients that keep
// connections to several instances open, though they use one at a time, thereby
// do not keep others out.
package accept

import (
	"container/list"
	"net"
	"net/http"
	"sync"
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
	closed   bool
}

var _ net.Listener = (*Listener)(nil)

// NewListener returns a listener that keeps at most limit connections open.
func NewListener(inner net.Listener, limit int) *Listener {
	l := &Listener{
		Listener: inner,
		limit:    limit,
		open:     map[net.Conn]bool{},
		idle:     list.New(),
		elements: map[net.Conn]*list.Element{},
	}
	l.freed = sync.NewCond(&l.mu)
	return l
}

// Accept returns the next connection. At the limit it closes the connection that
// has been idle longest, or waits until there is one or another is closed. It
// returns net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.open) >= l.limit && !l.closed {
		if !l.closeIdle() {
			l.freed.Wait()
		}
	}
	if l.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.open[conn] = true
	return conn, nil
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

// setActive removes a connection from the idle ones. The lock must be held.
func (l *Listener) setActive(conn net.Conn) {
	if element := l.elements[conn]; element != nil {
		l.idle.Remove(element)
		delete(l.elements, conn)
	}
}

// ConnState records the state of a connection, as reported by the server.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
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

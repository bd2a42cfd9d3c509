package peer

import (
	"crypto/tls"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// The first byte of a connection selects how its requests are served.
const (
	// modeOrdered serves requests one at a time, in order.
	modeOrdered = 'o'
	// modeConcurrent serves each request in its own goroutine.
	modeConcurrent = 'c'

	// modeTimeout bounds the wait for the mode byte of a new connection.
	modeTimeout = 5 * time.Second
)

// Traffic counts the bytes read and written on peer connections.
type Traffic struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// ServerOption changes a Server.
type ServerOption func(*Server)

// WithMaxConns bounds the open connections. A new one beyond it replaces the oldest one
// that has sent no call, or else the one whose last call is the oldest. Zero means no
// limit.
func WithMaxConns(limit int) ServerOption {
	return func(s *Server) { s.maxConns = limit }
}

// Server serves RPC calls from other instances.
type Server struct {
	listener   net.Listener
	ordered    *rpc.Server
	concurrent *rpc.Server
	traffic    *Traffic
	maxConns   int

	mu     sync.Mutex
	conns  map[net.Conn]*serverConn
	closed bool
	wg     sync.WaitGroup
}

// serverConn is what a server knows of an open connection.
type serverConn struct {
	opened time.Time
	// calledAt is when the last call came, in nanoseconds of Unix time, or zero.
	calledAt atomic.Int64
}

// isCloserToEnd reports whether the connection is to be closed before the other one.
func (c *serverConn) isCloserToEnd(other *serverConn) bool {
	a, b := c.calledAt.Load(), other.calledAt.Load()
	if a == 0 && b == 0 {
		return c.opened.Before(other.opened)
	}
	return a < b
}

// Listen returns a server that listens on the address. With a nil TLS
// configuration it uses plain TCP.
func Listen(address string, config *tls.Config, traffic *Traffic, opts ...ServerOption) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	s := &Server{
		listener:   listener,
		ordered:    rpc.NewServer(),
		concurrent: rpc.NewServer(),
		traffic:    traffic,
		conns:      map[net.Conn]*serverConn{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// RegisterOrdered registers a service for connections whose requests are served
// one at a time, in order.
func (s *Server) RegisterOrdered(name string, service any) error {
	if err := s.ordered.RegisterName(name, service); err != nil {
		return errors.Wrap(err, "register service")
	}
	return nil
}

// RegisterConcurrent registers a service for connections whose requests are
// served concurrently.
func (s *Server) RegisterConcurrent(name string, service any) error {
	if err := s.concurrent.RegisterName(name, service); err != nil {
		return errors.Wrap(err, "register service")
	}
	return nil
}

// Serve starts accepting connections in the background.
func (s *Server) Serve() {
	s.wg.Add(1)
	go s.acceptLoop()
}

func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		tracked := s.track(conn)
		if tracked == nil {
			return
		}
		go s.serveConn(conn, tracked)
	}
}

// track records the connection, so that Close closes it. If the server is closed, it
// closes the connection itself and returns nil.
func (s *Server) track(conn net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return nil
	}
	if s.maxConns > 0 && len(s.conns) >= s.maxConns {
		s.closeOne()
	}
	tracked := &serverConn{opened: time.Now()}
	s.conns[conn] = tracked
	s.wg.Add(1)
	return tracked
}

// closeOne closes the connection that is closest to its end. The lock must be held.
func (s *Server) closeOne() {
	var first net.Conn
	for conn, tracked := range s.conns {
		if first == nil || tracked.isCloserToEnd(s.conns[first]) {
			first = conn
		}
	}
	delete(s.conns, first)
	_ = first.Close()
}

func (s *Server) serveConn(conn net.Conn, tracked *serverConn) {
	defer s.wg.Done()
	defer s.untrack(conn)
	_ = conn.SetReadDeadline(time.Now().Add(modeTimeout))
	var mode [1]byte
	if _, err := io.ReadFull(conn, mode[:]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	codec := serverCodec{
		framedConn: newFramedConn(countingConn{
			Conn:    conn,
			traffic: s.traffic,
		}),
		calledAt: &tracked.calledAt,
	}
	switch mode[0] {
	case modeConcurrent:
		s.concurrent.ServeCodec(codec)
	case modeOrdered:
		s.serveOrdered(codec)
	}
}

func (s *Server) serveOrdered(codec serverCodec) {
	for {
		if err := s.ordered.ServeRequest(codec); err != nil {
			_ = codec.Close()
			return
		}
	}
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes the listener and all connections, and waits for the goroutines
// that serve them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// countingConn counts the bytes of a connection, and sets a deadline on each
// write.
type countingConn struct {
	net.Conn
	traffic *Traffic
	// received takes the time of each read, in nanoseconds of Unix time, unless it is
	// nil.
	received *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	if c.received != nil && n > 0 {
		c.received.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes to the connection within writeTimeout and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	// Without a deadline, a write to a peer behind a network partition that drops
	// packets silently blocks until the kernel times out, long after the partition
	// has healed.
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	return n, err
}

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

// The first byte of a connection tells how its requests are served.
const (
	// modeOrdered serves requests one after the other.
	modeOrdered = 'o'
	// modeConcurrent serves each request in its own goroutine.
	modeConcurrent = 'c'

	helloTimeout = 5 * time.Second
)

// Traffic counts the bytes that an instance has read and written.
type Traffic struct {
	Read    atomic.Int64
	Written atomic.Int64
}

// Server serves the calls of other instances.
type Server struct {
	listener net.Listener
	ordered  *rpc.Server
	calls    *rpc.Server
	traffic  *Traffic

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	done   sync.WaitGroup
}

// Listen opens the address. A TLS configuration of nil means plain TCP.
func Listen(address string, config *tls.Config, traffic *Traffic) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return &Server{
		listener: listener,
		ordered:  rpc.NewServer(),
		calls:    rpc.NewServer(),
		traffic:  traffic,
		conns:    map[net.Conn]bool{},
	}, nil
}

// Address returns where the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Ordered registers a service whose requests are served in their order.
func (s *Server) Ordered(name string, service any) error {
	if err := s.ordered.RegisterName(name, service); err != nil {
		return errors.Wrap(err, "register service")
	}
	return nil
}

// Concurrent registers a service whose requests are served side by side.
func (s *Server) Concurrent(name string, service any) error {
	if err := s.calls.RegisterName(name, service); err != nil {
		return errors.Wrap(err, "register service")
	}
	return nil
}

// Serve starts taking connections.
func (s *Server) Serve() {
	s.done.Add(1)
	go s.accept()
}

func (s *Server) accept() {
	defer s.done.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.track(conn) {
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = true
	s.done.Add(1)
	return true
}

func (s *Server) serve(conn net.Conn) {
	defer s.done.Done()
	defer s.untrack(conn)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	var mode [1]byte
	if _, err := io.ReadFull(conn, mode[:]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	codec := serverCodec{newFrames(counted{
		Conn:    conn,
		traffic: s.traffic,
	})}
	switch mode[0] {
	case modeConcurrent:
		s.calls.ServeCodec(codec)
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

// Close closes the listener and every connection, and waits for the
// goroutines that read them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Read.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c counted) Write(p []byte) (int, error) {
	// Without it a write to a peer that was cut off in silence waits for the
	// kernel to give up, long after the cut has healed.
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "set write deadline")
	}
	n, err := c.Conn.Write(p)
	c.traffic.Written.Add(int64(n))
	return n, err
}

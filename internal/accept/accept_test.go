package accept

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// server is an HTTP server with a limit of connections. Requests to /wait are
// answered once release is closed.
type server struct {
	c        *qt.C
	address  string
	waiting  chan struct{}
	released chan struct{}
}

func newServer(t *testing.T, limit int, opts ...Option) *server {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &server{
		c:        c,
		address:  "http://" + inner.Addr().String(),
		waiting:  make(chan struct{}, limit),
		released: make(chan struct{}),
	}
	listener := NewListener(inner, limit, opts...)
	httpServer := &http.Server{
		ReadHeaderTimeout: time.Minute,
		ConnState:         listener.ConnState,
		ConnContext:       listener.ConnContext,
		Handler: listener.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				s.waiting <- struct{}{}
				<-s.released
			}
		})),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = httpServer.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = httpServer.Close()
		<-done
	})
	return s
}

// get sends a request on a connection of its own, which stays open.
func (s *server) get(path string, timeout time.Duration) error {
	transport := &http.Transport{}
	s.c.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{
		Transport: transport,
		Timeout:   timeout,
	}
	response, err := client.Get(s.address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// After a time without a leader, each of thousands of targets has an idle
// connection to each core instance. They took up all that a listener allows, so
// that heartbeats found no place, went on to the next instance, and none of them
// was answered for as long as the idle connections stayed open.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s := newServer(t, 2)
	for range 20 {
		s.c.Assert(s.get("/", 5*time.Second), qt.IsNil)
	}
}

// A connection with a request in progress is not closed: a new one waits until
// the request is answered.
func TestBusyConnectionsStayOpen(t *testing.T) {
	s := newServer(t, 1)
	first := make(chan error, 1)
	go func() { first <- s.get("/wait", time.Minute) }()
	<-s.waiting
	s.c.Assert(s.get("/", 100*time.Millisecond), qt.IsNotNil)
	close(s.released)
	s.c.Assert(<-first, qt.IsNil)
	s.c.Assert(s.get("/", 5*time.Second), qt.IsNil)
}

// Connections that send nothing took up all that a listener allows, until their header
// time was over, and new ones did so again.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := newServer(t, 2)
	for range 4 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(s.address, "http://"))
		s.c.Assert(err, qt.IsNil)
		s.c.Cleanup(func() { _ = conn.Close() })
	}
	s.c.Assert(s.get("/", 10*time.Second), qt.IsNil)
}

// Where no connection is idle, the server is asked to give up some that are in use. It
// is asked again until it does.
func TestServerGivesUpConnections(t *testing.T) {
	asked := make(chan int, 10)
	var s *server
	s = newServer(t, 1, WithReclaim(func(n int) int {
		asked <- n
		if len(asked) < 2 {
			return 0
		}
		close(s.released)
		return n
	}))
	first := make(chan error, 1)
	go func() { first <- s.get("/wait", time.Minute) }()
	<-s.waiting
	s.c.Assert(s.get("/", 10*time.Second), qt.IsNil)
	s.c.Assert(<-first, qt.IsNil)
	s.c.Check(<-asked, qt.Equals, 1)
}

// Connections whose header never ends, or that do not send the rest of a request which was
// answered, took up all that a listener allows until their time was over.
func TestPartialRequestsMakeRoom(t *testing.T) {
	for name, text := range map[string]string{
		"header": "GET / HTTP/1.1\r\nHost: h\r\nX-Long: a",
		"body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\na",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, 2, WithSilentTime(50*time.Millisecond))
			for range 4 {
				conn, err := net.Dial("tcp", strings.TrimPrefix(s.address, "http://"))
				s.c.Assert(err, qt.IsNil)
				s.c.Cleanup(func() { _ = conn.Close() })
				_, err = io.WriteString(conn, text)
				s.c.Assert(err, qt.IsNil)
			}
			s.c.Assert(s.get("/", 10*time.Second), qt.IsNil)
		})
	}
}

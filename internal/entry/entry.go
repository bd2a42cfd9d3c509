// Package entry is the HTTP side of an instance: callers, targets, operators
// and the platform, each on a listener of its own. It turns requests into
// typed messages, and faults into problem details (RFC 9457).
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"github.com/jasmineward/jasmineward/internal/meter"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// Backend is what the HTTP side needs of the instance.
type Backend interface {
	Submit(ctx context.Context, args wire.SubmitArgs) (wire.JobReply, *wire.Fault)
	Wait(ctx context.Context, args wire.WaitArgs) (wire.JobReply, *wire.Fault)
	Cancel(ctx context.Context, args wire.CancelArgs) (wire.JobReply, *wire.Fault)
	List(ctx context.Context, args wire.ListArgs) (wire.ListReply, *wire.Fault)
	Announce(ctx context.Context, args wire.AnnounceArgs) (wire.PollReply, *wire.Fault)
	Poll(ctx context.Context, args wire.PollArgs) (wire.PollReply, *wire.Fault)
	Report(ctx context.Context, args wire.ReportArgs) (wire.ReportReply, *wire.Fault)
	Leave(ctx context.Context, args wire.LeaveArgs) (wire.LeaveReply, *wire.Fault)
	ApplyNote(ctx context.Context, args wire.NoteArgs) (wire.NoteReply, *wire.Fault)
	Status(ctx context.Context) (wire.Status, *wire.Fault)
	RemoveMember(ctx context.Context, args wire.MemberArgs) (wire.Joined, *wire.Fault)
	// Config returns the configuration here, and whether it is fresh.
	Config() (*note.State, bool)
	// Ready tells whether callers should be sent here, and if not why.
	Ready() (bool, string)
	Meter() *meter.Meter
	Name() string
}

// Limits bounds what a listener takes.
type Limits struct {
	// Connections and Requests bound what is open at once.
	Connections int
	Requests    int
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int
	BodyBytes   int64
	// Header, Body and Idle bound the times of a connection.
	Header time.Duration
	Body   time.Duration
	Idle   time.Duration
	// Answer bounds how long an answer may take, waits included.
	Answer time.Duration
}

// DefaultLimits returns the limits that an instance starts with.
func DefaultLimits() Limits {
	return Limits{
		Connections: 4096,
		Requests:    4096,
		HeaderBytes: 16 << 10,
		BodyBytes:   1 << 20,
		Header:      5 * time.Second,
		Body:        10 * time.Second,
		Idle:        60 * time.Second,
		Answer:      75 * time.Second,
	}
}

// Listener is one HTTP listener of an instance.
type Listener struct {
	name   string
	server *http.Server
	socket net.Listener
	log    *logrus.Logger
	done   chan struct{}
}

// Open opens the address and serves the handler there. A TLS configuration
// of nil means plain HTTP.
func Open(
	name, address string, handler http.Handler, limits Limits, config *tls.Config,
	log *logrus.Logger, m *meter.Meter,
) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	limited := netutil.LimitListener(counting{
		Listener: socket,
		meter:    m,
	}, limits.Connections)
	if config != nil {
		limited = tls.NewListener(limited, config)
	}
	l := &Listener{
		name:   name,
		socket: socket,
		log:    log,
		done:   make(chan struct{}),
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: limits.Header,
			IdleTimeout:       limits.Idle,
			WriteTimeout:      limits.Answer + limits.Body,
			MaxHeaderBytes:    limits.HeaderBytes,
		},
	}
	go l.serve(limited)
	return l, nil
}

func (l *Listener) serve(socket net.Listener) {
	defer close(l.done)
	if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		l.log.Errorf("entry: %s stopped: %s", l.name, err)
	}
}

// Address returns where the listener listens.
func (l *Listener) Address() string {
	return l.socket.Addr().String()
}

// Shutdown takes no more requests and waits for those in flight.
func (l *Listener) Shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	<-l.done
	if err != nil {
		return errors.Wrapf(err, "shut down %s", l.name)
	}
	return nil
}

// Close closes the listener and cuts what is in flight.
func (l *Listener) Close() {
	_ = l.server.Close()
	<-l.done
}

// counting counts the bytes of the connections that it accepts.
type counting struct {
	net.Listener
	meter *meter.Meter
}

// Accept accepts a connection.
func (c counting) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{
		Conn:  conn,
		meter: c.meter,
	}, nil
}

type countedConn struct {
	net.Conn
	meter *meter.Meter
}

// Read reads and counts.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.HTTPRead.Add(float64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.HTTPWritten.Add(float64(n))
	return n, err
}

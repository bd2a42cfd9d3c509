// Package entry implements the HTTP APIs of an instance for callers, targets,
// operators and the platform, each on its own listener. It translates requests
// into typed messages, and faults into problem details (RFC 9457).
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/accept"
	"github.com/jasmineward/jasmineward/internal/intake"
	"github.com/jasmineward/jasmineward/internal/meter"
	"github.com/jasmineward/jasmineward/internal/note"
	"github.com/jasmineward/jasmineward/internal/wire"
)

// Backend is the part of an instance that the HTTP handlers depend on.
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
	RemoveMember(ctx context.Context, args wire.MemberArgs) (wire.MembershipReply, *wire.Fault)
	// Config returns the local configuration, and whether it is fresh.
	Config() (*note.State, bool)
	// Ready reports whether the instance should receive traffic, and the
	// reason if it should not.
	Ready() (bool, string)
	Metrics() *meter.Metrics
	Name() string
}

// Limits bounds the resources that one listener uses.
type Limits struct {
	// MaxConnections and MaxRequests bound what is open concurrently.
	MaxConnections int
	MaxRequests    int
	// MaxHeaderBytes and MaxBodyBytes bound one request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout, BodyTimeout and IdleTimeout apply to each connection.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	// StallTimeout is the longest time without a byte of a body, and WriteTimeout the
	// time in which a client must take each piece of a response.
	StallTimeout time.Duration
	WriteTimeout time.Duration
	// IntakeBytes bounds the bodies that one listener receives at the same time. Zero
	// derives it from the memory limit of the runtime.
	IntakeBytes int64
	// AddressPercent and KeyPercent are the parts of IntakeBytes that the large bodies
	// of one client address and of one API key may use. Zero means the default.
	AddressPercent int64
	KeyPercent     int64
	// ResponseTimeout bounds the time to respond, including the wait that the
	// client asks for.
	ResponseTimeout time.Duration
}

// DefaultLimits returns the default limits of a listener.
func DefaultLimits() Limits {
	return Limits{
		MaxConnections:  4096,
		MaxRequests:     4096,
		MaxHeaderBytes:  16 << 10,
		MaxBodyBytes:    1 << 20,
		HeaderTimeout:   5 * time.Second,
		BodyTimeout:     10 * time.Second,
		IdleTimeout:     60 * time.Second,
		StallTimeout:    intake.DefaultTiming().Stall,
		WriteTimeout:    intake.DefaultConnLimits().Write,
		ResponseTimeout: 75 * time.Second,
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

// Listen listens on the address and serves the handler on it. A nil TLS
// configuration selects plain HTTP.
func Listen(
	name, address string, handler http.Handler, limits Limits, tlsConfig *tls.Config,
	log *logrus.Logger, m *meter.Metrics, opts ...Option,
) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	connLimits := intake.DefaultConnLimits()
	connLimits.Write = limits.WriteTimeout
	var counted net.Listener = countingListener{
		Listener: intake.NewListener(socket, connLimits),
		metrics:  m,
	}
	if tlsConfig != nil {
		counted = tls.NewListener(counted, tlsConfig)
	}
	in := newOptions(opts).intake
	limited := accept.NewListener(counted, limits.MaxConnections, accept.WithReclaim(func(n int) int {
		if in == nil {
			return 0
		}
		return in.reclaim(name, n)
	}))
	l := &Listener{
		name:   name,
		socket: socket,
		log:    log,
		done:   make(chan struct{}),
		server: &http.Server{
			Handler:           limited.Handler(handler),
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			WriteTimeout:      limits.ResponseTimeout + limits.BodyTimeout,
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ConnState:         limited.ConnState,
			ConnContext:       limited.ConnContext,
		},
	}
	go l.serve(limited)
	return l, nil
}

func (l *Listener) serve(socket net.Listener) {
	defer close(l.done)
	if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		l.log.Errorf("entry: listener %s stopped: %s", l.name, err)
	}
}

// Address returns the address that the listener is bound to.
func (l *Listener) Address() string {
	return l.socket.Addr().String()
}

// Shutdown stops accepting requests and waits for those in flight.
func (l *Listener) Shutdown(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	<-l.done
	if err != nil {
		return errors.Wrapf(err, "shut down %s", l.name)
	}
	return nil
}

// Close closes the listener and its connections without waiting for requests
// in flight.
func (l *Listener) Close() {
	_ = l.server.Close()
	<-l.done
}

// countingListener counts the bytes read and written on accepted connections.
type countingListener struct {
	net.Listener
	metrics *meter.Metrics
}

// Accept implements net.Listener.
func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{
		Conn:    conn,
		metrics: c.metrics,
	}, nil
}

type countingConn struct {
	net.Conn
	metrics *meter.Metrics
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.HTTPRead.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.HTTPWritten.Add(float64(n))
	return n, err
}

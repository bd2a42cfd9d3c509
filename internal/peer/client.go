package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout = time.Second
	// writeTimeout bounds how long a write may block on a peer that does not read.
	writeTimeout = time.Second
	// redialDelay is the minimum time between a failed dial and the next one to
	// the same address.
	redialDelay = 100 * time.Millisecond
	// A connection counts as dead when deadTimeouts consecutive calls have timed
	// out and no call has received a reply for deadSilence. A connection that is
	// only busy still delivers replies.
	deadTimeouts = 2
	deadSilence  = time.Second
)

// Errors returned by calls.
var (
	// ErrUnreachable is returned when no connection could be established. The
	// peer has definitely not received the call.
	ErrUnreachable = errors.New("instance is unreachable")
	// ErrNoReply is returned when the connection broke or the call timed out.
	// The peer may have received the call.
	ErrNoReply = errors.New("no reply received")
)

// Dialer opens connections to other instances.
type Dialer struct {
	tlsConfig *tls.Config
	traffic   *Traffic
	wrapConn  func(address string, conn net.Conn) net.Conn
}

// DialerOption configures a Dialer.
type DialerOption func(*Dialer)

// WithConnWrapper sets a function that wraps each connection, for example to
// delay its traffic.
func WithConnWrapper(wrap func(address string, conn net.Conn) net.Conn) DialerOption {
	return func(d *Dialer) { d.wrapConn = wrap }
}

// WithTLS sets the TLS configuration.
func WithTLS(config *tls.Config) DialerOption {
	return func(d *Dialer) { d.tlsConfig = config }
}

// NewDialer returns a dialer that counts the bytes of its connections in
// traffic.
func NewDialer(traffic *Traffic, opts ...DialerOption) *Dialer {
	d := &Dialer{traffic: traffic}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// dial establishes a connection that records in received when bytes are read.
func (d *Dialer) dial(ctx context.Context, address string, mode byte, received *atomic.Int64) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %s", address, err)
	}
	if d.wrapConn != nil {
		conn = d.wrapConn(address, conn)
	}
	if d.tlsConfig != nil {
		conn = tls.Client(conn, d.tlsConfig)
	}
	if _, err := conn.Write([]byte{mode}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(ErrUnreachable, "%s: %s", address, err)
	}
	return rpc.NewClientWithCodec(clientCodec{newFramedConn(countingConn{
		Conn:     conn,
		traffic:  d.traffic,
		received: received,
	})}), nil
}

// Client makes calls to one address over a single connection, which it
// re-establishes after a failure.
type Client struct {
	dialer  *Dialer
	address string
	mode    byte

	mu   sync.Mutex
	conn *rpc.Client
	// dialing is closed when the dial in progress ends. It is nil if there is none.
	dialing  chan struct{}
	redialAt time.Time
	closed   bool
	// timeouts counts the calls that have timed out since the last reply.
	timeouts  int
	lastReply time.Time
	// received is when bytes were last read, in nanoseconds of Unix time.
	received atomic.Int64
}

// receivedSince reports whether anything was received on a connection of the client
// after the time.
func (c *Client) receivedSince(at time.Time) bool {
	return c.received.Load() > at.UnixNano()
}

// NewClient returns a client whose calls the server handles concurrently.
func (d *Dialer) NewClient(address string) *Client {
	return &Client{
		dialer:  d,
		address: address,
		mode:    modeConcurrent,
	}
}

// NewOrderedClient returns a client whose calls the server handles one at a
// time, in the order in which they were sent.
func (d *Dialer) NewOrderedClient(address string) *Client {
	return &Client{
		dialer:  d,
		address: address,
		mode:    modeOrdered,
	}
}

// connect returns the connection, which it establishes if there is none. The lock is
// not held during the dial, so that a lost SYN holds up neither Reset nor callers whose
// context ends earlier.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	for {
		c.mu.Lock()
		conn, pending, err := c.conn, c.dialing, c.checkDialable()
		if conn == nil && pending == nil && err == nil {
			c.dialing = make(chan struct{})
		}
		c.mu.Unlock()
		switch {
		case err != nil:
			return nil, err
		case conn != nil:
			return conn, nil
		case pending == nil:
			return c.dial(ctx)
		}
		select {
		case <-pending:
		case <-ctx.Done():
			return nil, errors.Wrapf(ErrUnreachable, "%s: %s", c.address, ctx.Err())
		}
	}
}

// checkDialable returns ErrUnreachable if there is no connection and none may be
// established now. The caller holds the lock.
func (c *Client) checkDialable() error {
	switch {
	case c.closed:
		return ErrUnreachable
	case c.conn == nil && time.Now().Before(c.redialAt):
		return errors.Wrap(ErrUnreachable, c.address)
	}
	return nil
}

// dial establishes the connection and ends the dial in progress.
func (c *Client) dial(ctx context.Context) (*rpc.Client, error) {
	conn, err := c.dialer.dial(ctx, c.address, c.mode, &c.received)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.dialing)
	c.dialing = nil
	if err != nil {
		// A dial that its caller has cancelled says nothing about the address.
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.redialAt = time.Now().Add(redialDelay)
		}
		return nil, err
	}
	if c.closed {
		_ = conn.Close()
		return nil, ErrUnreachable
	}
	c.conn = conn
	c.timeouts = 0
	c.lastReply = time.Now()
	return conn, nil
}

// Call calls a method and waits for its reply until the context ends. A single
// timeout does not close the connection, which other calls share: it is closed
// only when no call has received a reply for some time. After an error the
// caller must not read reply, because a late response may still be decoded into
// it. Call fails with ErrUnreachable, ErrNoReply, ErrUnsendable, or the error text
// returned by the method.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(conn, call.Error)
	case <-ctx.Done():
		// A caller that cancels has not waited for the peer's reply.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.recordTimeout(conn)
		}
		return errors.Wrapf(ErrNoReply, "%s to %s: %s", method, c.address, ctx.Err())
	}
}

// Go calls a method without waiting for the reply. The completed call is
// delivered on done.
func (c *Client) Go(ctx context.Context, method string, args, reply any, done chan *rpc.Call) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	conn.Go(method, args, reply, done)
	return nil
}

// finish records the outcome of a completed call, and closes the connection if
// the error came from the connection and not from the method.
func (c *Client) finish(conn *rpc.Client, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		c.mu.Lock()
		c.timeouts = 0
		c.lastReply = time.Now()
		c.mu.Unlock()
		return err
	}
	if errors.Is(err, ErrUnsendable) {
		return err
	}
	c.drop(conn)
	return errors.Wrapf(ErrNoReply, "%s: %s", c.address, err)
}

// recordTimeout records a call without a reply, and closes the connection if it
// counts as dead.
func (c *Client) recordTimeout(conn *rpc.Client) {
	c.mu.Lock()
	c.timeouts++
	dead := c.timeouts >= deadTimeouts && time.Since(c.lastReply) > deadSilence
	c.mu.Unlock()
	if dead {
		c.drop(conn)
	}
}

func (c *Client) drop(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	_ = conn.Close()
}

// Reset closes the connection. The next call opens a new one.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the client. Later calls fail with ErrUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

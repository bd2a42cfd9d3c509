package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout = time.Second
	// writeTimeout is how long a write may wait for the peer to read.
	writeTimeout = time.Second
	// redialAfter is how long an address that could not be reached is left
	// alone.
	redialAfter = 100 * time.Millisecond
	// A connection is taken for dead when so many calls in a row ran out of
	// time and no reply of any call came for so long. A busy one still
	// brings replies.
	deadCalls = 2
	deadAfter = time.Second
)

// Errors of calls.
var (
	// ErrUnreachable is returned when no connection could be made. The call
	// was surely not received.
	ErrUnreachable = errors.New("instance is unreachable")
	// ErrLost is returned when the connection broke or time ran out. The
	// call may have been received.
	ErrLost = errors.New("call was lost")
)

// Dialer opens connections to other instances.
type Dialer struct {
	tls     *tls.Config
	traffic *Traffic
	wrap    func(address string, conn net.Conn) net.Conn
}

// DialerOption changes how connections are opened.
type DialerOption func(*Dialer)

// WithWrap sets a function that wraps each connection, such as to delay it.
func WithWrap(wrap func(address string, conn net.Conn) net.Conn) DialerOption {
	return func(d *Dialer) { d.wrap = wrap }
}

// WithTLS sets the TLS configuration.
func WithTLS(config *tls.Config) DialerOption {
	return func(d *Dialer) { d.tls = config }
}

// NewDialer returns a dialer that counts its bytes in traffic.
func NewDialer(traffic *Traffic, opts ...DialerOption) *Dialer {
	d := &Dialer{traffic: traffic}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

func (d *Dialer) dial(ctx context.Context, address string, mode byte) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var plain net.Dialer
	conn, err := plain.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %s", address, err)
	}
	if d.wrap != nil {
		conn = d.wrap(address, conn)
	}
	if d.tls != nil {
		conn = tls.Client(conn, d.tls)
	}
	if _, err := conn.Write([]byte{mode}); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(ErrUnreachable, "%s: %s", address, err)
	}
	return rpc.NewClientWithCodec(clientCodec{newFrames(counted{
		Conn:    conn,
		traffic: d.traffic,
	})}), nil
}

// Client makes calls to one address over one connection, which it opens
// again when it has broken.
type Client struct {
	dialer  *Dialer
	address string
	mode    byte

	mu      sync.Mutex
	conn    *rpc.Client
	retryAt time.Time
	closed  bool
	// lost counts calls that ran out of time since the last reply.
	lost      int
	lastReply time.Time
}

// NewClient returns a client for calls that are served side by side.
func (d *Dialer) NewClient(address string) *Client {
	return &Client{
		dialer:  d,
		address: address,
		mode:    modeConcurrent,
	}
}

// NewStream returns a client for calls that are served in their order.
func (d *Dialer) NewStream(address string) *Client {
	return &Client{
		dialer:  d,
		address: address,
		mode:    modeOrdered,
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrUnreachable
	}
	if c.conn != nil {
		return c.conn, nil
	}
	if time.Now().Before(c.retryAt) {
		return nil, errors.Wrap(ErrUnreachable, c.address)
	}
	conn, err := c.dialer.dial(ctx, c.address, c.mode)
	if err != nil {
		c.retryAt = time.Now().Add(redialAfter)
		return nil, err
	}
	c.conn = conn
	c.lost = 0
	c.lastReply = time.Now()
	return conn, nil
}

// Call calls a method and waits for its reply until the context ends. A call
// that runs out of time says little about the connection, which others use: it
// is given up only when no call has had a reply for a while. After an error the
// reply must not be looked at, as it may still be written. It fails with
// ErrUnreachable, ErrLost, or the error text of the method.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.ended(conn, call.Error)
	case <-ctx.Done():
		c.timedOut(conn)
		return errors.Wrapf(ErrLost, "%s to %s: %s", method, c.address, ctx.Err())
	}
}

// Start calls a method without waiting. The reply is dropped; the channel
// gets the finished call.
func (c *Client) Start(ctx context.Context, method string, args, reply any, done chan *rpc.Call) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	conn.Go(method, args, reply, done)
	return nil
}

func (c *Client) ended(conn *rpc.Client, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		c.mu.Lock()
		c.lost = 0
		c.lastReply = time.Now()
		c.mu.Unlock()
		return err
	}
	c.drop(conn)
	return errors.Wrapf(ErrLost, "%s: %s", c.address, err)
}

// timedOut notes a call without a reply, and gives a dead connection up.
func (c *Client) timedOut(conn *rpc.Client) {
	c.mu.Lock()
	c.lost++
	dead := c.lost >= deadCalls && time.Since(c.lastReply) > deadAfter
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

// Reset closes the connection; the next call opens another.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the client for good.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

package intake

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// writePiece is how many bytes of a response must be taken within the write time. A
// client with a link of 1.5 Mbit/s takes them in 0.4 s.
const writePiece = 64 << 10

// ConnLimits bounds what one connection may use.
type ConnLimits struct {
	// Write is the time in which a client must take each piece of a response.
	Write time.Duration
	// ReceiveBuffer is the size of the socket's receive buffer, which holds what a
	// client sends while nothing reads it; zero leaves it to the system.
	ReceiveBuffer int
}

// DefaultConnLimits returns limits that a client with a slow link does not exceed.
func DefaultConnLimits() ConnLimits {
	return ConnLimits{
		Write:         10 * time.Second,
		ReceiveBuffer: 128 << 10,
	}
}

// Listener limits its connections.
type Listener struct {
	net.Listener
	limits ConnLimits
}

// NewListener returns a listener whose connections have the limits.
func NewListener(inner net.Listener, limits ConnLimits) *Listener {
	return &Listener{
		Listener: inner,
		limits:   limits,
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := inner.(*net.TCPConn); ok && l.limits.ReceiveBuffer > 0 {
		_ = tcp.SetReadBuffer(l.limits.ReceiveBuffer)
	}
	return &conn{
		Conn: inner,
		time: l.limits.Write,
	}, nil
}

// conn is a connection whose writes must make progress.
type conn struct {
	net.Conn
	time time.Duration
	// deadline is the write deadline that the server has set, in Unix nanoseconds, or
	// zero.
	deadline atomic.Int64
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.remember(t)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.remember(t)
	return c.Conn.SetDeadline(t)
}

func (c *conn) remember(t time.Time) {
	if t.IsZero() {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(t.UnixNano())
}

// Write writes in pieces, each of which must be taken in time.
func (c *conn) Write(p []byte) (int, error) {
	if c.time <= 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		end := time.Now().Add(c.time)
		if set := c.deadline.Load(); set != 0 {
			if at := time.Unix(0, set); at.Before(end) {
				end = at
			}
		}
		if err := c.Conn.SetWriteDeadline(end); err != nil {
			return written, errors.Wrap(err, "set write deadline")
		}
		n, err := c.Conn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

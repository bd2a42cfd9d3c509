package fake

import (
	"net"
	"sync"
	"time"
)

// Network delays the connections between instances and isolates instances. The
// connections of an isolated instance silently drop what is written to them, as
// in a network partition.
type Network struct {
	mu       sync.Mutex
	delay    time.Duration
	isolated map[string]bool
}

// NewNetwork returns a network with the given one-way delay.
func NewNetwork(delay time.Duration) *Network {
	return &Network{
		delay:    delay,
		isolated: map[string]bool{},
	}
}

// Isolate cuts the instance at the address off from all others, in both
// directions, until Heal.
func (n *Network) Isolate(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[address] = true
}

// Heal ends the isolation of the instance. New connections work again; those
// that lost data stay blocked.
func (n *Network) Heal(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, address)
}

// isIsolated reports whether one of the instances at the addresses is isolated.
func (n *Network) isIsolated(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[a] || n.isolated[b]
}

// Wrap adds the network's delay and partitions to the connection that the
// instance at address from opened to the one at address to.
func (n *Network) Wrap(from, to string, conn net.Conn) net.Conn {
	c := &delayedConn{
		Conn:    conn,
		network: n,
		from:    from,
		to:      to,
		writes:  make(chan chunk, queueLength),
		reads:   make(chan chunk, queueLength),
		closed:  make(chan struct{}),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

const (
	// queueLength is the number of chunks that each direction of a connection
	// buffers.
	queueLength     = 4096
	readBufferBytes = 64 << 10
)

type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// delayedConn delays both directions of a connection and blocks once it loses
// data to a partition.
type delayedConn struct {
	net.Conn
	network       *Network
	from, to      string
	writes, reads chan chunk
	unread        []byte
	closeOnce     sync.Once
	closed        chan struct{}
}

// Write queues the data, which is sent after the delay.
func (c *delayedConn) Write(p []byte) (int, error) {
	item := chunk{
		data: append([]byte(nil), p...),
		due:  time.Now().Add(c.network.delay),
	}
	select {
	case c.writes <- item:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *delayedConn) writeLoop() {
	for {
		select {
		case <-c.closed:
			return
		case item := <-c.writes:
			c.sleepUntil(item.due)
			if c.network.isIsolated(c.from, c.to) {
				c.blockUntilClosed()
				return
			}
			if _, err := c.Conn.Write(item.data); err != nil {
				return
			}
		}
	}
}

// blockUntilClosed keeps a partitioned connection open but silent until it is
// closed. It never recovers, because the dropped data is lost and real TCP would
// have timed out by then.
func (c *delayedConn) blockUntilClosed() {
	<-c.closed
}

func (c *delayedConn) sleepUntil(due time.Time) {
	for time.Until(due) > 0 {
		time.Sleep(time.Until(due))
	}
}

func (c *delayedConn) readLoop() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.Conn.Read(buffer)
		if c.network.isIsolated(c.from, c.to) {
			c.blockUntilClosed()
			return
		}
		item := chunk{
			data: append([]byte(nil), buffer[:n]...),
			due:  time.Now().Add(c.network.delay),
			err:  err,
		}
		select {
		case c.reads <- item:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read returns received data after the delay.
func (c *delayedConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		select {
		case item := <-c.reads:
			c.sleepUntil(item.due)
			if item.err != nil && len(item.data) == 0 {
				return 0, item.err
			}
			c.unread = item.data
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close closes the connection and stops both directions.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

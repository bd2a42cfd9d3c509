package fake

import (
	"net"
	"sync"
	"time"
)

// Links delays and cuts the connections between instances. A cut link loses
// what is written to it without a word, as a silent partition does.
type Links struct {
	mu    sync.Mutex
	delay time.Duration
	cut   map[string]bool
}

// NewLinks returns links with the given delay one way.
func NewLinks(delay time.Duration) *Links {
	return &Links{
		delay: delay,
		cut:   map[string]bool{},
	}
}

// Cut makes the instance at the address unreachable, and unable to reach
// others, until Heal.
func (l *Links) Cut(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[address] = true
}

// Heal ends the cut.
func (l *Links) Heal(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cut, address)
}

func (l *Links) isCut(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[a] || l.cut[b]
}

// Wrap wraps the connection that one instance opened to another.
func (l *Links) Wrap(from, to string, conn net.Conn) net.Conn {
	w := &link{
		Conn:  conn,
		links: l,
		from:  from,
		to:    to,
		out:   make(chan packet, linkDepth),
		in:    make(chan packet, linkDepth),
		done:  make(chan struct{}),
	}
	go w.pump()
	go w.pull()
	return w
}

const (
	linkDepth  = 4096
	readBuffer = 64 << 10
)

type packet struct {
	data []byte
	due  time.Time
	err  error
}

// link delays both directions of a connection.
type link struct {
	net.Conn
	links    *Links
	from, to string
	out, in  chan packet
	rest     []byte
	once     sync.Once
	done     chan struct{}
}

// Write queues the data for after the delay.
func (w *link) Write(p []byte) (int, error) {
	item := packet{
		data: append([]byte(nil), p...),
		due:  time.Now().Add(w.links.delay),
	}
	select {
	case w.out <- item:
		return len(p), nil
	case <-w.done:
		return 0, net.ErrClosed
	}
}

func (w *link) pump() {
	for {
		select {
		case <-w.done:
			return
		case item := <-w.out:
			w.wait(item.due)
			if w.links.isCut(w.from, w.to) {
				w.stall()
				return
			}
			if _, err := w.Conn.Write(item.data); err != nil {
				return
			}
		}
	}
}

// stall keeps a cut connection open and silent for good: what it lost can't
// come back, as TCP would have given up by then.
func (w *link) stall() {
	<-w.done
}

func (w *link) wait(due time.Time) {
	for time.Until(due) > 0 {
		time.Sleep(time.Until(due))
	}
}

func (w *link) pull() {
	buffer := make([]byte, readBuffer)
	for {
		n, err := w.Conn.Read(buffer)
		if w.links.isCut(w.from, w.to) {
			w.stall()
			return
		}
		item := packet{
			data: append([]byte(nil), buffer[:n]...),
			due:  time.Now().Add(w.links.delay),
			err:  err,
		}
		select {
		case w.in <- item:
		case <-w.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read returns what has come, after the delay.
func (w *link) Read(p []byte) (int, error) {
	if len(w.rest) == 0 {
		select {
		case item := <-w.in:
			w.wait(item.due)
			if item.err != nil && len(item.data) == 0 {
				return 0, item.err
			}
			w.rest = item.data
		case <-w.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, w.rest)
	w.rest = w.rest[n:]
	return n, nil
}

// Close closes the connection.
func (w *link) Close() error {
	w.once.Do(func() { close(w.done) })
	return w.Conn.Close()
}

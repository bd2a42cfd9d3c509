package local

import (
	"net"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// guardHost is where every reserved port is held for as long as it is reserved, by
	// whichever process has reserved it.
	guardHost = "127.79.255.254"
	// firstReserved keeps reserved ports apart from those of UnusedAddress.
	firstReserved = 10000
	reservedCount = 10000
)

// ErrNoPort is returned if every port is in use at one of the hosts.
var ErrNoPort = errors.New("no port is unused at all hosts")

// Port is a port number that no other Port of any process has, and that is held at each
// of its hosts until it is released there.
type Port struct {
	// Number is the port number.
	Number int

	guard net.Listener

	mu   sync.Mutex
	held map[string]net.Listener
}

// nextReserved counts the ports tried so far.
var nextReserved int

var reserveMu sync.Mutex

// ReservePort returns a port that is unused at all of the hosts, which are IP addresses.
func ReservePort(hosts ...string) (*Port, error) {
	reserveMu.Lock()
	defer reserveMu.Unlock()
	for range reservedCount {
		number := firstReserved + nextReserved%reservedCount
		nextReserved++
		if p := hold(number, hosts); p != nil {
			return p, nil
		}
	}
	return nil, ErrNoPort
}

// hold holds the port at the guard and at the hosts, or returns nil if it is in use at
// one of them.
func hold(number int, hosts []string) *Port {
	guard, err := net.Listen("tcp", address(guardHost, number))
	if err != nil {
		return nil
	}
	p := &Port{
		Number: number,
		guard:  guard,
		held:   map[string]net.Listener{},
	}
	for _, host := range hosts {
		listener, err := net.Listen("tcp", address(host, number))
		if err != nil {
			p.Close()
			return nil
		}
		p.held[host] = listener
	}
	return p
}

func address(host string, number int) string {
	return net.JoinHostPort(host, strconv.Itoa(number))
}

// Release lets a server listen at the host, and returns the address for it. It may be
// called again.
func (p *Port) Release(host string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if listener := p.held[host]; listener != nil {
		_ = listener.Close()
		delete(p.held, host)
	}
	return address(host, p.Number)
}

// Close gives the port up.
func (p *Port) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listener := range p.held {
		_ = listener.Close()
	}
	clear(p.held)
	_ = p.guard.Close()
}

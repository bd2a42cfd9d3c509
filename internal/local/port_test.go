package local_test

import (
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/local"
)

// Tests drew a port as unused at one address, let it go and listened at others. Two
// draws could be the same number, and another process could take it meanwhile.
func TestReservedPortsAreHeld(t *testing.T) {
	c := qt.New(t)
	const reserved = 200
	hosts := []string{"127.79.0.1", "127.79.0.2"}
	numbers := map[int]bool{}
	for range reserved {
		port, err := local.ReservePort(hosts...)
		c.Assert(err, qt.IsNil)
		defer port.Close()
		c.Assert(numbers[port.Number], qt.IsFalse)
		numbers[port.Number] = true
		for _, host := range hosts {
			_, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port.Number))
			c.Assert(err, qt.IsNotNil)
			listener, err := net.Listen("tcp", port.Release(host))
			c.Assert(err, qt.IsNil)
			c.Assert(listener.Close(), qt.IsNil)
		}
	}
}

// A port that is in use at one of the hosts is passed over.
func TestReservedPortIsUnusedAtAllHosts(t *testing.T) {
	c := qt.New(t)
	first, err := local.ReservePort()
	c.Assert(err, qt.IsNil)
	defer first.Close()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.79.0.3:%d", first.Number+1))
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	second, err := local.ReservePort("127.79.0.3", "127.79.0.4")
	c.Assert(err, qt.IsNil)
	defer second.Close()
	c.Check(second.Number != first.Number+1, qt.IsTrue)
}

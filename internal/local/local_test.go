package local_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/local"
)

// TestAddressStaysUnused opens many listeners and outgoing connections between
// the allocation of addresses and their use. Tests running in parallel do the
// same, and must not take an allocated port.
func TestAddressStaysUnused(t *testing.T) {
	c := qt.New(t)
	const allocated, opened = 200, 1500
	var addresses []string
	for range allocated {
		addresses = append(addresses, local.UnusedAddress())
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = server.Close() }()
	for range opened {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = listener.Close() }()
		conn, err := net.Dial("tcp", server.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Check(listener.Close(), qt.IsNil)
	}
}

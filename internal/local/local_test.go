package local_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/internal/local"
)

// TestAddressIsNotTaken opens many listeners and outgoing connections, as
// tests beside this one do, between handing addresses out and using them.
func TestAddressIsNotTaken(t *testing.T) {
	c := qt.New(t)
	const handed, opened = 200, 1500
	var addresses []string
	for range handed {
		addresses = append(addresses, local.Address())
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

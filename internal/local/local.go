// Package local hands out unused loopback addresses to tests whose servers must
// know their address before they listen.
package local

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// firstPort keeps the ports below the range from which Linux assigns
	// ephemeral ports to outgoing connections.
	firstPort = 20000
	// portCount is the number of addresses returned before they repeat.
	portCount = 10000
)

// allocated counts the addresses returned so far.
var allocated atomic.Uint32

// processHost returns a loopback host, 127.x.y.z, derived from the process ID.
// Linux process IDs have at most 22 bits, so no two processes share a host.
func processHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16, pid>>8&0xff, pid&0xff)
}

// UnusedAddress returns a host and port that this process has not been given
// before. Addresses repeat after portCount calls.
func UnusedAddress() string {
	return fmt.Sprintf("%s:%d", processHost(), firstPort+allocated.Add(1)%portCount)
}

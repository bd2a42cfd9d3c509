// Package local hands out loopback addresses that no other process and no
// outgoing connection uses, for servers that have to know their address before
// they listen.
package local

import (
	"fmt"
	"os"
	"sync/atomic"
)

const (
	// firstPort is below the ports that Linux gives to outgoing connections.
	firstPort = 20000
	// ports is how many addresses a process is given before they repeat.
	ports = 10000
)

// handed counts the addresses that this process has been given.
var handed atomic.Uint32

// Host returns this process's own loopback host, 127.x.y.z. Linux numbers
// processes with 22 bits at most, so no two have the same.
func Host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16, pid>>8&0xff, pid&0xff)
}

// Address returns an address on Host that has not been returned before.
func Address() string {
	return fmt.Sprintf("%s:%d", Host(), firstPort+handed.Add(1)%ports)
}

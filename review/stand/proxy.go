package main

import (
	"io"
	"net"
)

// silentProxy forwards what it receives on a connection to the address and drops what
// comes back: a connection that has gone silent without a reset.
type silentProxy struct {
	listener net.Listener
	to       string
}

func newSilentProxy(ip, to string) (*silentProxy, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &silentProxy{
		listener: listener,
		to:       to,
	}
	go p.serve()
	return p, nil
}

// address returns the address of the proxy.
func (p *silentProxy) address() string {
	return p.listener.Addr().String()
}

func (p *silentProxy) close() {
	_ = p.listener.Close()
}

func (p *silentProxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *silentProxy) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	_, _ = io.Copy(server, conn)
}

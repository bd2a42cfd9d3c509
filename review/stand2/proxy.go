package main

import (
	"bytes"
	"net"
	"sync"
)

// proxy passes connections on to a peer port. It can make open connections silent.
type proxy struct {
	listener net.Listener
	server   string
	record   *record

	mu    sync.Mutex
	conns []*proxyConn
	// trap is the text after which all open connections for calls go silent.
	trap   []byte
	sprung chan struct{}
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	client, server net.Conn
	// calls is true on connections for calls, and false on those for the log.
	calls  bool
	silent bool
}

func newProxy(address, server string, record *record) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: listener,
		server:   server,
		record:   record,
	}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.server)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxyConn{
			client: client,
			server: server,
		}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go p.pass(c, true)
		go p.pass(c, false)
	}
}

// pass passes the bytes of one direction on. Those of a silent connection are dropped.
func (p *proxy) pass(c *proxyConn, toServer bool) {
	from, to := c.server, c.client
	if toServer {
		from, to = c.client, c.server
	}
	buffer := make([]byte, 64<<10)
	for first := true; ; first = false {
		n, err := from.Read(buffer)
		if err != nil {
			_ = c.client.Close()
			_ = c.server.Close()
			return
		}
		p.mu.Lock()
		if first && toServer {
			c.calls = buffer[0] == 'c'
		}
		silent := c.silent
		if toServer && !silent && len(p.trap) > 0 && bytes.Contains(buffer[:n], p.trap) {
			p.spring()
		}
		p.mu.Unlock()
		if !silent {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// spring makes the open connections for calls silent. The lock must be held.
func (p *proxy) spring() {
	p.trap = nil
	count := 0
	for _, c := range p.conns {
		if c.calls {
			c.silent = true
			count++
		}
	}
	p.record.add("disrupt", "the open connections for calls to %s go silent", p.server)
	close(p.sprung)
}

// arm makes the open connections silent once a request with the text has passed. The
// channel is closed then.
func (p *proxy) arm(text string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trap = []byte(text)
	p.sprung = make(chan struct{})
	return p.sprung
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

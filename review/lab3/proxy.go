//go:build review

package main

import (
	"net"
	"sync"
)

// proxy passes channels on to an address. Channels that were silenced pass nothing any more, in neither
// direction, and stay open.
type proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex // guards the following
	conns map[*proxied]bool
}

// proxied is one channel through a proxy.
type proxied struct {
	client, server net.Conn
	silent         chan struct{}
	once           sync.Once
}

// newProxy starts a proxy on a free loopback address.
func (d *deployment) newProxy(target string) (*proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{lis: lis, target: target, conns: map[*proxied]bool{}}
	d.closers = append(d.closers, p.close)
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.lis.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.lis.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxied{client: client, server: server, silent: make(chan struct{})}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.pump(c, client, server)
		go p.pump(c, server, client)
	}
}

// pump passes bytes on until the channel ends or is silenced. Of a silenced channel it reads on and drops
// everything.
func (p *proxy) pump(c *proxied, from, to net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-c.silent:
			if err == nil {
				continue
			}
		default:
		}
		if err == nil {
			_, err = to.Write(b[:n])
		}
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.client.Close()
	_ = c.server.Close()
}

// silence makes all open channels silent and returns their number. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.once.Do(func() { close(c.silent) })
	}
	return len(p.conns)
}

func (p *proxy) close() {
	_ = p.lis.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

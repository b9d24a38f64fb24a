// Package rpc carries the protocol between masticwing's processes over drpc.
// It converts between messages and the types of package port, adds heartbeats
// and silence timeouts to every stream, and gives each failure its verdict.
package rpc

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// HeartbeatEvery is the longest time that a sender leaves a stream silent.
	HeartbeatEvery = 500 * time.Millisecond
	// SilenceTimeout is the time after which a silent stream counts as lost.
	// It allows three heartbeats to be late.
	SilenceTimeout = 2 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// idleExpiry closes connections that no request has used. It is longer than
	// the turn of eight neighbours, 8 s.
	idleExpiry = 20 * time.Second
	// idlePerAddress bounds the idle connections kept for one address.
	idlePerAddress = 64
)

type addressPool = drpcpool.Pool[fleet.Address, drpcpool.Conn]

// Client calls other processes. Connections are pooled by address; a drpc
// connection carries one stream at a time, so TCP's flow control holds back
// each stream by itself.
type Client struct {
	pools *shard.Map[fleet.Address, *addressPool]
	// Source is the IP that connections leave from. Set it before the first
	// call; the zero value leaves the choice to the system.
	Source netip.Addr
	// Meter counts the bytes sent and received.
	Meter *Meter
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pools: shard.New[fleet.Address, *addressPool](0), Meter: &Meter{}}
}

// dialError marks a failure before any byte was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

func (c *Client) dial(ctx context.Context, addr fleet.Address) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if c.Source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.Source, 0))
	}
	conn, err := d.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, dialError{err}
	}
	return drpcconn.NewWithOptions(countedConn{conn, &c.Meter.connections}, connOptions()), nil
}

const (
	// sendBuffer, splitBytes and keptBytes bound the buffers that a connection
	// keeps after it has sent a large message. An entry has a connection for
	// each request in progress, so their sum counts.
	sendBuffer = 1 << 10
	splitBytes = 8 << 10
	keptBytes  = 4 << 10
)

func connOptions() drpcconn.Options {
	return drpcconn.Options{Manager: drpcmanager.Options{
		WriterBufferSize: sendBuffer,
		Stream:           drpcstream.Options{SplitSize: splitBytes, MaximumBufferSize: keptBytes},
	}}
}

func (c *Client) conn(ctx context.Context, addr fleet.Address) drpc.Conn {
	var p *addressPool
	c.pools.Update(addr, func(old *addressPool, ok bool) (*addressPool, bool) {
		if !ok {
			old = drpcpool.New[fleet.Address, drpcpool.Conn](drpcpool.Options{
				Expiration:  idleExpiry,
				KeyCapacity: idlePerAddress,
			})
		}
		p = old
		return old, true
	})
	return meteredConn{p.Get(ctx, addr, c.dial), c.Meter}
}

// Drop closes the idle connections to an address. It is called when one of
// them went silent, since the others are likely lost as well.
func (c *Client) Drop(addr fleet.Address) {
	var p *addressPool
	c.pools.Update(addr, func(old *addressPool, _ bool) (*addressPool, bool) {
		p = old
		return nil, false
	})
	if p != nil {
		_ = p.Close()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	var addrs []fleet.Address
	c.pools.Range(func(a fleet.Address, _ *addressPool) bool {
		addrs = append(addrs, a)
		return true
	})
	for _, a := range addrs {
		c.Drop(a)
	}
}

// errSilent means that a stream carried nothing for SilenceTimeout.
var errSilent = errors.New("stream is silent")

// silence cancels a stream that receives nothing. It runs only while a receive
// is in progress, so that a receiver that applies back pressure does not count
// as a silent sender.
type silence struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newSilence(ctx context.Context) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &silence{cancel: cancel}
	s.timer = time.AfterFunc(SilenceTimeout, func() { cancel(errSilent) })
	s.timer.Stop()
	return ctx, s
}

func (s *silence) watch(recv func() error) error {
	s.timer.Reset(SilenceTimeout)
	err := recv()
	s.timer.Stop()
	return err
}

func (s *silence) close() {
	s.timer.Stop()
	s.cancel(context.Canceled)
}

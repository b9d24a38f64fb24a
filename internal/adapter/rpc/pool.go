// Package rpc implements the protocol between masticwing's processes over drpc.
// It converts between messages and the types of package port, sends heartbeats on
// the streams of requests, ends streams after a heartbeat timeout, and assigns a
// verdict to each failed request.
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
	"storj.io/drpc/drpcwire"

	"github.com/masticwing/masticwing/internal/adapter/tcpreset"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// HeartbeatInterval is the maximum time between two messages of a sender on a
	// stream.
	HeartbeatInterval = 500 * time.Millisecond
	// HeartbeatTimeout is the time without a message after which a stream is
	// considered lost. It tolerates three late heartbeats.
	HeartbeatTimeout = 2 * time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed. It is
	// longer than the 8 s between two exchanges with the same neighbour: a process
	// has eight neighbours and takes them in turn.
	idleTimeout = 20 * time.Second
	// maxIdlePerAddress limits the idle connections to one address.
	maxIdlePerAddress = 64
)

type addressPool = drpcpool.Pool[fleet.Address, drpcpool.Conn]

// Client calls other processes. It pools connections by address. A drpc connection
// carries one stream at a time, so TCP's flow control applies to each stream
// separately.
type Client struct {
	pools *shard.Map[fleet.Address, *addressPool]
	// fetchGrace is the time that an empty chunk may take.
	fetchGrace time.Duration
	// Source is the local address of connections. It must be set before the first
	// call; the zero value leaves the choice to the system.
	Source netip.Addr
	// Meter counts the bytes sent and received.
	Meter *Meter
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pools: shard.New[fleet.Address, *addressPool](0), fetchGrace: fetchGrace, Meter: &Meter{}}
}

// dialError is a failure to connect: nothing of the request was sent.
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
	// A connection is closed if its stream is canceled, or while it is idle.
	tcpreset.OnClose(conn)
	return drpcconn.NewWithOptions(countedConn{conn, &c.Meter.connections}, connOptions()), nil
}

const (
	// These sizes limit the buffers that a connection keeps after it has sent a
	// large message. They are small because an entry has a connection for each
	// request in progress.
	writeBufferBytes = 1 << 10
	frameBytes       = 8 << 10
	maxKeptBytes     = 4 << 10
)

// maxMessageBytes bounds a message that a process receives. The longest are a
// manifest of manifest.MaxChunks chunks and a request with its body. A connection
// whose peer sends more is closed.
const maxMessageBytes = 4 << 20

func readerOptions() drpcwire.ReaderOptions {
	return drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}
}

func connOptions() drpcconn.Options {
	return drpcconn.Options{Manager: drpcmanager.Options{
		WriterBufferSize: writeBufferBytes,
		Reader:           readerOptions(),
		Stream:           drpcstream.Options{SplitSize: frameBytes, MaximumBufferSize: maxKeptBytes},
	}}
}

func (c *Client) conn(ctx context.Context, addr fleet.Address) drpc.Conn {
	var p *addressPool
	c.pools.Update(addr, func(old *addressPool, ok bool) (*addressPool, bool) {
		if !ok {
			old = drpcpool.New[fleet.Address, drpcpool.Conn](drpcpool.Options{
				Expiration:  idleTimeout,
				KeyCapacity: maxIdlePerAddress,
			})
		}
		p = old
		return old, true
	})
	return boundedConn{meteredConn{p.Get(ctx, addr, c.dial), c.Meter}}
}

// CloseIdle closes the idle connections to an address. It is called after a
// timeout on one connection, since the others are likely broken as well.
func (c *Client) CloseIdle(addr fleet.Address) {
	var p *addressPool
	c.pools.Update(addr, func(old *addressPool, _ bool) (*addressPool, bool) {
		p = old
		return nil, false
	})
	if p != nil {
		_ = p.Close()
	}
}

// Retain closes the idle connections to addresses that are not live. It implements
// port.PeerConnections.
func (c *Client) Retain(live func(fleet.Address) bool) {
	var gone []fleet.Address
	c.pools.Range(func(a fleet.Address, _ *addressPool) bool {
		if !live(a) {
			gone = append(gone, a)
		}
		return true
	})
	for _, a := range gone {
		c.CloseIdle(a)
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
		c.CloseIdle(a)
	}
}

// awaitPooled waits until the connection of a stream that both sides have closed is back
// in the pool, or ctx ends. The last message may be received a moment earlier. A call
// that starts in this moment opens another connection, and a cancel of the stream closes
// its connection. The pool ends the stream's context after it has the connection.
func awaitPooled(ctx context.Context, s drpc.Stream) {
	select {
	case <-s.Context().Done():
	case <-ctx.Done():
	}
}

// errHeartbeatTimeout means that nothing was received for HeartbeatTimeout.
var errHeartbeatTimeout = errors.New("nothing received within the heartbeat timeout")

// recvWatchdog cancels a stream on which nothing is received for HeartbeatTimeout.
// The timer runs only during a receive, so that back pressure by the receiver does
// not cause a timeout.
type recvWatchdog struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newRecvWatchdog(ctx context.Context) (context.Context, *recvWatchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &recvWatchdog{cancel: cancel}
	w.timer = time.AfterFunc(HeartbeatTimeout, func() { cancel(errHeartbeatTimeout) })
	w.timer.Stop()
	return ctx, w
}

// run calls receive with the timer running.
func (w *recvWatchdog) run(receive func() error) error {
	return w.runFor(HeartbeatTimeout, receive)
}

// runFor is like run, with another timeout.
func (w *recvWatchdog) runFor(timeout time.Duration, receive func() error) error {
	w.timer.Reset(timeout)
	err := receive()
	w.timer.Stop()
	return err
}

func (w *recvWatchdog) close() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

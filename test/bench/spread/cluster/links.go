package cluster

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/ratelimit"
	"github.com/masticwing/masticwing/internal/port"
)

// pieceBytes is the largest read for which a region link makes one reservation.
const pieceBytes = 16 << 10

// RegionLink is the link of a region to everything outside it.
type RegionLink struct {
	name    fleet.Region
	link    ratelimit.Link
	in, out atomic.Int64
}

func newRegionLink(name fleet.Region, rate int64) *RegionLink {
	return &RegionLink{name: name, link: ratelimit.NewLink(rate, rate, time.Now())}
}

// gate blocks the traffic of a frozen machine.
type gate struct {
	mu      sync.Mutex
	passing chan struct{} // closed while traffic passes
	blocked bool          // the machine is frozen or stopped
	closed  chan struct{} // closed when the machine is stopped
	once    sync.Once
}

func newGate() *gate {
	g := &gate{passing: make(chan struct{}), closed: make(chan struct{})}
	close(g.passing)
	return g
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.blocked {
		g.blocked, g.passing = true, make(chan struct{})
	}
}

func (g *gate) isBlocked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.blocked
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.blocked = true
	g.once.Do(func() { close(g.closed) })
}

// waitOpen blocks while the machine is frozen. It returns an error if the machine is
// stopped or done is closed.
func (g *gate) waitOpen(done <-chan struct{}) error {
	g.mu.Lock()
	passing := g.passing
	g.mu.Unlock()
	select {
	case <-passing:
		select {
		case <-g.closed:
			return net.ErrClosed
		default:
			return nil
		}
	case <-g.closed:
		return net.ErrClosed
	case <-done:
		return context.Canceled
	}
}

type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if e := c.gate.waitOpen(nil); e != nil {
		return 0, e
	}
	return n, err
}

func (c gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.waitOpen(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// originClient is a machine's client of the origin, limited by the region's link.
type originClient struct {
	port.Origin
	agent      *Agent
	regionLink *RegionLink
}

// manifestChunkBytes is the size of one chunk's line in the JSON manifest.
const manifestChunkBytes = 92

// Manifest implements port.Origin. The region's link counts the bytes, but
// its rate limit does not apply to them.
func (o *originClient) Manifest(ctx context.Context, v fleet.Version) (manifest.Manifest, error) {
	m, err := o.Origin.Manifest(ctx, v)
	o.regionLink.in.Add(int64(manifestChunkBytes * len(m.Chunks)))
	return m, err
}

// Chunk implements port.Origin.
func (o *originClient) Chunk(ctx context.Context, v fleet.Version, i int) (io.ReadCloser, error) {
	rc, err := o.Origin.Chunk(ctx, v, i)
	if err != nil {
		return nil, err
	}
	r := &linkReader{ReadCloser: rc, ctx: ctx, gate: o.agent.gate, in: o.regionLink}
	if c := o.agent.cluster; c.Config.OriginInRegion {
		originLink := c.Regions[0]
		if r.out = originLink; o.regionLink == originLink {
			r.in, r.out = nil, nil
		}
	}
	return r, nil
}

// peerClient is a machine's client of other machines.
type peerClient struct {
	port.PeerClient
	agent       *Agent
	regionIndex int
}

// WatchChunks implements port.PeerClient.
func (p *peerClient) WatchChunks(
	ctx context.Context, addr fleet.Address, v fleet.Version, from fleet.VM,
) (port.ChunkStream, error) {
	if err := p.agent.gate.waitOpen(ctx.Done()); err != nil {
		return nil, err
	}
	s, err := p.PeerClient.WatchChunks(ctx, addr, v, from)
	if err != nil {
		return nil, err
	}
	return &gatedStream{s, ctx, p.agent.gate}, nil
}

type gatedStream struct {
	port.ChunkStream
	ctx  context.Context
	gate *gate
}

func (s *gatedStream) Next() (port.ChunkUpdate, error) {
	u, err := s.ChunkStream.Next()
	if e := s.gate.waitOpen(s.ctx.Done()); e != nil {
		return u, e
	}
	return u, err
}

// FetchChunk implements port.PeerClient.
func (p *peerClient) FetchChunk(ctx context.Context, addr fleet.Address, r port.ChunkRequest) (io.ReadCloser, error) {
	if err := p.agent.gate.waitOpen(ctx.Done()); err != nil {
		return nil, err
	}
	rc, err := p.PeerClient.FetchChunk(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	c := p.agent.cluster
	out := &linkReader{ReadCloser: rc, ctx: ctx, gate: p.agent.gate}
	if other, ok := c.regionOf[addr]; ok && other != p.regionIndex {
		out.in, out.out = c.Regions[p.regionIndex], c.Regions[other]
	}
	if rand.Float64() < c.Config.Corrupt {
		out.corrupt = true
	}
	return out, nil
}

// linkReader counts the bytes that cross region links and limits their rate.
type linkReader struct {
	io.ReadCloser
	ctx     context.Context
	gate    *gate
	in, out *RegionLink
	corrupt bool
}

func (r *linkReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b[:min(len(b), pieceBytes)])
	if e := r.gate.waitOpen(r.ctx.Done()); e != nil {
		return 0, e
	}
	if n > 0 && r.corrupt {
		b[0] ^= 1
		r.corrupt = false
	}
	now := time.Now()
	var wait time.Duration
	if r.in != nil {
		r.in.in.Add(int64(n))
		wait = r.in.link.In.Reserve(now, n)
	}
	if r.out != nil {
		r.out.out.Add(int64(n))
		wait = max(wait, r.out.link.Out.Reserve(now, n))
	}
	if wait <= 0 {
		return n, err
	}
	select {
	case <-time.After(wait):
		return n, err
	case <-r.ctx.Done():
		return n, r.ctx.Err()
	}
}

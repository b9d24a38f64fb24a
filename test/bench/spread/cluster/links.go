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

// pieceBytes is the unit in which region links are paced.
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

// gate blocks a machine's traffic while it is frozen.
type gate struct {
	mu     sync.Mutex
	open   chan struct{} // closed while traffic passes
	shut   bool
	closed chan struct{}
	once   sync.Once
}

func newGate() *gate {
	g := &gate{open: make(chan struct{}), closed: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.shut {
		g.shut, g.open = true, make(chan struct{})
	}
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = true
	g.once.Do(func() { close(g.closed) })
}

// pass waits while the machine is frozen.
func (g *gate) pass(done <-chan struct{}) error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
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
	if e := c.gate.pass(nil); e != nil {
		return 0, e
	}
	return n, err
}

func (c gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.pass(nil); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// pacedOrigin sends what comes from the origin through the region's link.
type pacedOrigin struct {
	port.Origin
	agent *Agent
	link  *RegionLink
}

// manifestChunkBytes is the size of one chunk's line in the JSON manifest.
const manifestChunkBytes = 92

// Manifest implements port.Origin. It counts the bytes on the region's link but
// does not pace them.
func (o *pacedOrigin) Manifest(ctx context.Context, v fleet.Version) (manifest.Manifest, error) {
	m, err := o.Origin.Manifest(ctx, v)
	o.link.in.Add(int64(manifestChunkBytes * len(m.Chunks)))
	return m, err
}

// Chunk implements port.Origin.
func (o *pacedOrigin) Chunk(ctx context.Context, v fleet.Version, i int) (io.ReadCloser, error) {
	rc, err := o.Origin.Chunk(ctx, v, i)
	if err != nil {
		return nil, err
	}
	r := &reader{ReadCloser: rc, ctx: ctx, gate: o.agent.gate, in: o.link}
	if c := o.agent.cluster; c.Config.OriginInside {
		home := c.Regions[0]
		if r.out = home; o.link == home {
			r.in, r.out = nil, nil
		}
	}
	return r, nil
}

// peers is a machine's client of other machines.
type peers struct {
	port.PeerClient
	agent  *Agent
	region int
}

// WatchChunks implements port.PeerClient.
func (p *peers) WatchChunks(
	ctx context.Context, addr fleet.Address, v fleet.Version, from fleet.VM,
) (port.ChunkStream, error) {
	if err := p.agent.gate.pass(ctx.Done()); err != nil {
		return nil, err
	}
	s, err := p.PeerClient.WatchChunks(ctx, addr, v, from)
	if err != nil {
		return nil, err
	}
	return &stream{s, ctx, p.agent.gate}, nil
}

type stream struct {
	port.ChunkStream
	ctx  context.Context
	gate *gate
}

func (s *stream) Next() (port.ChunkUpdate, error) {
	u, err := s.ChunkStream.Next()
	if e := s.gate.pass(s.ctx.Done()); e != nil {
		return u, e
	}
	return u, err
}

// FetchChunk implements port.PeerClient.
func (p *peers) FetchChunk(ctx context.Context, addr fleet.Address, r port.ChunkRequest) (io.ReadCloser, error) {
	if err := p.agent.gate.pass(ctx.Done()); err != nil {
		return nil, err
	}
	rc, err := p.PeerClient.FetchChunk(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	c := p.agent.cluster
	out := &reader{ReadCloser: rc, ctx: ctx, gate: p.agent.gate}
	if other, ok := c.regionOf[addr]; ok && other != p.region {
		out.in, out.out = c.Regions[p.region], c.Regions[other]
	}
	if rand.Float64() < c.Config.Corrupt {
		out.corrupt = true
	}
	return out, nil
}

// reader paces and counts what crosses region links.
type reader struct {
	io.ReadCloser
	ctx     context.Context
	gate    *gate
	in, out *RegionLink
	corrupt bool
}

func (r *reader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b[:min(len(b), pieceBytes)])
	if e := r.gate.pass(r.ctx.Done()); e != nil {
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

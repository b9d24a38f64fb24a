package rpc

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/port"
)

var (
	_ port.PeerClient   = (*Client)(nil)
	_ port.MemberClient = (*Client)(nil)
)

// callTimeout bounds a unary call between processes.
const callTimeout = 2 * time.Second

// Manifest implements port.PeerClient.
func (c *Client) Manifest(ctx context.Context, addr fleet.Address, v fleet.Version) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := pb.NewDRPCPeerClient(c.conn(ctx, addr)).GetManifest(ctx, &pb.GetManifestRequest{Version: string(v)})
	if drpcerr.Code(err) == codeManifestUnknown {
		return manifest.Manifest{}, port.ErrManifestUnknown
	}
	if err != nil {
		c.dropOnTimeout(ctx, addr)
		return manifest.Manifest{}, errors.Wrap(err, "asking peer for manifest")
	}
	return manifestFromPB(m), nil
}

// WatchChunks implements port.PeerClient.
func (c *Client) WatchChunks(
	ctx context.Context, addr fleet.Address, v fleet.Version, from fleet.VM,
) (port.ChunkStream, error) {
	ctx, sil := newSilence(ctx)
	s := &chunkStream{ctx: ctx, sil: sil, drop: func() { c.Drop(addr) }}
	req := &pb.WatchChunksRequest{Version: string(v), From: string(from)}
	err := sil.watch(func() (err error) {
		s.stream, err = pb.NewDRPCPeerClient(c.conn(ctx, addr)).WatchChunks(ctx, req)
		return err
	})
	if err != nil {
		dropIfSilent(ctx, s.drop)
		sil.close()
		return nil, errors.Wrap(err, "watching chunks of peer")
	}
	return s, nil
}

type chunkStream struct {
	ctx    context.Context
	sil    *silence
	drop   func()
	stream pb.DRPCPeer_WatchChunksClient
}

// Next implements port.ChunkStream.
func (s *chunkStream) Next() (port.ChunkUpdate, error) {
	var m *pb.ChunkUpdate
	err := s.sil.watch(func() (err error) {
		m, err = s.stream.Recv()
		return err
	})
	if err != nil {
		dropIfSilent(s.ctx, s.drop)
		return port.ChunkUpdate{}, errors.Wrap(err, "chunk stream ended")
	}
	u := port.ChunkUpdate{Bitmap: m.GetBitmap(), Heartbeat: m.GetHeartbeat()}
	for _, i := range m.GetAdded() {
		u.Added = append(u.Added, int(i))
	}
	return u, nil
}

// Close implements port.ChunkStream.
func (s *chunkStream) Close() error {
	s.sil.close()
	return s.stream.Close()
}

// FetchChunk implements port.PeerClient.
func (c *Client) FetchChunk(ctx context.Context, addr fleet.Address, r port.ChunkRequest) (io.ReadCloser, error) {
	ctx, sil := newSilence(ctx)
	p := &pieces{ctx: ctx, sil: sil, drop: func() { c.Drop(addr) }}
	req := &pb.FetchChunkRequest{
		Version:    string(r.Version),
		Index:      uint32(r.Index),
		From:       string(r.From),
		FromRegion: string(r.FromRegion),

		AnnounceOnly: r.AnnounceOnly,
	}
	err := sil.watch(func() (err error) {
		p.stream, err = pb.NewDRPCPeerClient(c.conn(ctx, addr)).FetchChunk(ctx, req)
		return err
	})
	if err != nil {
		dropIfSilent(ctx, p.drop)
		sil.close()
		return nil, errors.Wrap(err, "asking peer for chunk")
	}
	if err := p.fill(); err != nil && !errors.Is(err, io.EOF) {
		_ = p.Close()
		return nil, err
	}
	return p, nil
}

// pieces reads a chunk that arrives in pieces.
type pieces struct {
	ctx    context.Context
	sil    *silence
	drop   func()
	stream pb.DRPCPeer_FetchChunkClient
	rest   []byte
	err    error
	// ended is set if the stream ended after a refusal.
	ended bool
}

func (p *pieces) fill() error {
	if p.err != nil {
		return p.err
	}
	var m *pb.ChunkPiece
	err := p.sil.watch(func() (err error) {
		m, err = p.stream.Recv()
		return err
	})
	switch {
	case err != nil:
		dropIfSilent(p.ctx, p.drop)
		p.err = err
	case m.GetBusy():
		p.refused(port.ErrPeerBusy)
	case m.GetMissing():
		p.refused(port.ErrChunkMissing)
	default:
		p.rest = m.GetBytes()
	}
	return p.err
}

// refused records a refusal and reads the end of the stream. Without the end,
// Close would cancel the stream, which closes the connection.
func (p *pieces) refused(reason error) {
	p.err = reason
	err := p.sil.watch(func() error {
		_, err := p.stream.Recv()
		return err
	})
	p.ended = errors.Is(err, io.EOF)
}

// Read implements io.Reader.
func (p *pieces) Read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		if err := p.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (p *pieces) Close() error {
	if p.ended || errors.Is(p.err, io.EOF) {
		err := p.stream.Close()
		// The connection is back in the pool once the stream is done. Without the
		// wait, the next fetch may come first and dial a new one.
		select {
		case <-p.stream.Context().Done():
		case <-p.ctx.Done():
		}
		p.sil.close()
		return err
	}
	p.sil.close()
	return p.stream.Close()
}

// Exchange implements port.MemberClient.
func (c *Client) Exchange(
	ctx context.Context, addr fleet.Address, m port.ExchangeMessage,
) (port.ExchangeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := pb.NewDRPCMemberClient(c.conn(ctx, addr)).Exchange(ctx, exchangeToPB(m))
	if err != nil {
		c.dropOnTimeout(ctx, addr)
		return port.ExchangeMessage{}, errors.Wrap(err, "exchange")
	}
	return exchangeFromPB(out), nil
}

// Declaration implements port.MemberClient.
func (c *Client) Declaration(ctx context.Context, addr fleet.Address) (port.StoredDeclaration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := pb.NewDRPCMemberClient(c.conn(ctx, addr)).GetDeclaration(ctx, &pb.GetDeclarationRequest{})
	if err != nil {
		c.dropOnTimeout(ctx, addr)
		return port.StoredDeclaration{}, errors.Wrap(err, "asking for declaration")
	}
	return port.StoredDeclaration{Revision: out.GetRevision(), Stored: out.GetStored(), Age: ageFromMillis(out.GetAgeMs())}, nil
}

// Members implements port.MemberClient.
func (c *Client) Members(ctx context.Context, addr fleet.Address) (port.ExchangeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := pb.NewDRPCMemberClient(c.conn(ctx, addr)).ListMembers(ctx, &pb.ListMembersRequest{})
	if err != nil {
		c.dropOnTimeout(ctx, addr)
		return port.ExchangeMessage{}, errors.Wrap(err, "listing members")
	}
	m := port.ExchangeMessage{From: out.GetFrom(), Revision: out.GetRevision(), Age: ageFromMillis(out.GetAgeMs())}
	for _, r := range out.GetRecords() {
		m.Records = append(m.Records, memberFromPB(r))
	}
	return m, nil
}

// dropIfSilent closes the pooled connections to a peer whose stream went silent,
// since something between the two ends may have lost track of all of them.
func dropIfSilent(ctx context.Context, drop func()) {
	if errors.Is(context.Cause(ctx), errSilent) {
		drop()
	}
}

// dropOnTimeout closes the pooled connections of an address that did not
// answer in time, since they may be silent for good.
func (c *Client) dropOnTimeout(ctx context.Context, addr fleet.Address) {
	if ctx.Err() != nil {
		c.Drop(addr)
	}
}

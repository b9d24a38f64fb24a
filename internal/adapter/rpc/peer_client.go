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

const (
	// callTimeout limits a unary call between processes.
	callTimeout = 2 * time.Second
	// fetchGrace and minFetchBytesPerSecond bound the time for which a fetch of a
	// chunk may wait for the peer in total. A peer sends pieces of 16 KiB, each of
	// which has to arrive within HeartbeatTimeout, which takes twice this rate.
	fetchGrace             = 10 * time.Second
	minFetchBytesPerSecond = 4 << 10
)

// Manifest implements port.PeerClient.
func (c *Client) Manifest(ctx context.Context, addr fleet.Address, v fleet.Version) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := pb.NewDRPCPeerClient(c.conn(ctx, addr)).GetManifest(ctx, &pb.GetManifestRequest{Version: string(v)})
	if drpcerr.Code(err) == codeManifestUnknown {
		return manifest.Manifest{}, port.ErrManifestUnknown
	}
	if err != nil {
		c.closeIdleOnTimeout(ctx, addr)
		return manifest.Manifest{}, errors.Wrap(err, "requesting the manifest from a peer")
	}
	return manifestFromPB(m), nil
}

// WatchChunks implements port.PeerClient.
func (c *Client) WatchChunks(
	ctx context.Context, addr fleet.Address, v fleet.Version, from fleet.VM,
) (port.ChunkStream, error) {
	ctx, watchdog := newRecvWatchdog(ctx)
	s := &chunkStream{ctx: ctx, watchdog: watchdog, closeIdle: func() { c.CloseIdle(addr) }}
	req := &pb.WatchChunksRequest{Version: string(v), From: string(from)}
	err := watchdog.run(func() (err error) {
		s.stream, err = pb.NewDRPCPeerClient(c.conn(ctx, addr)).WatchChunks(ctx, req)
		return err
	})
	if err != nil {
		closeIdleOnHeartbeatTimeout(ctx, s.closeIdle)
		watchdog.close()
		return nil, errors.Wrap(err, "watching the chunks of a peer")
	}
	return s, nil
}

type chunkStream struct {
	ctx       context.Context
	watchdog  *recvWatchdog
	closeIdle func()
	stream    pb.DRPCPeer_WatchChunksClient
}

// Next implements port.ChunkStream.
func (s *chunkStream) Next() (port.ChunkUpdate, error) {
	var m *pb.ChunkUpdate
	err := s.watchdog.run(func() (err error) {
		m, err = s.stream.Recv()
		return err
	})
	if err != nil {
		closeIdleOnHeartbeatTimeout(s.ctx, s.closeIdle)
		return port.ChunkUpdate{}, errors.Wrap(err, "receiving chunk updates")
	}
	u := port.ChunkUpdate{Bitmap: m.GetBitmap(), Heartbeat: m.GetHeartbeat()}
	for _, i := range m.GetAdded() {
		u.Added = append(u.Added, int(i))
	}
	return u, nil
}

// Close implements port.ChunkStream.
func (s *chunkStream) Close() error {
	s.watchdog.close()
	return s.stream.Close()
}

// FetchChunk implements port.PeerClient.
func (c *Client) FetchChunk(ctx context.Context, addr fleet.Address, r port.ChunkRequest) (io.ReadCloser, error) {
	ctx, watchdog := newRecvWatchdog(ctx)
	p := &chunkReader{ctx: ctx, watchdog: watchdog, closeIdle: func() { c.CloseIdle(addr) }, left: c.fetchGrace}
	req := &pb.FetchChunkRequest{
		Version:    string(r.Version),
		Index:      uint32(r.Index),
		From:       string(r.From),
		FromRegion: string(r.FromRegion),

		AnnounceOnly: r.AnnounceOnly,
	}
	err := watchdog.run(func() (err error) {
		p.stream, err = pb.NewDRPCPeerClient(c.conn(ctx, addr)).FetchChunk(ctx, req)
		return err
	})
	if err != nil {
		closeIdleOnHeartbeatTimeout(ctx, p.closeIdle)
		watchdog.close()
		return nil, errors.Wrap(err, "requesting a chunk from a peer")
	}
	if err := p.receivePiece(); err != nil && !errors.Is(err, io.EOF) {
		_ = p.Close()
		return nil, err
	}
	return p, nil
}

// chunkReader reads a chunk that arrives in several messages.
type chunkReader struct {
	ctx       context.Context
	watchdog  *recvWatchdog
	closeIdle func()
	stream    pb.DRPCPeer_FetchChunkClient
	unread    []byte
	// left is the time for which the reader may wait for further pieces. Each byte adds
	// to it.
	left time.Duration
	err  error
	// streamEnded is set if the peer closed the stream after a refusal.
	streamEnded bool
}

// receivePiece receives the next message into unread. It returns p.err.
func (p *chunkReader) receivePiece() error {
	if p.err != nil {
		return p.err
	}
	var m *pb.ChunkPiece
	start := time.Now()
	err := p.watchdog.runFor(max(0, min(HeartbeatTimeout, p.left)), func() (err error) {
		m, err = p.stream.Recv()
		return err
	})
	p.left += time.Duration(len(m.GetBytes()))*time.Second/minFetchBytesPerSecond - time.Since(start)
	switch {
	case err != nil:
		closeIdleOnHeartbeatTimeout(p.ctx, p.closeIdle)
		p.err = err
	case m.GetBusy():
		p.setRefused(port.ErrPeerBusy)
	case m.GetMissing():
		p.setRefused(port.ErrChunkMissing)
	default:
		p.unread = m.GetBytes()
	}
	return p.err
}

// setRefused records a refusal and waits for the end of the stream. Otherwise
// Close would cancel the stream, which closes the connection.
func (p *chunkReader) setRefused(reason error) {
	p.err = reason
	err := p.watchdog.run(func() error {
		_, err := p.stream.Recv()
		return err
	})
	p.streamEnded = errors.Is(err, io.EOF)
}

// Read implements io.Reader.
func (p *chunkReader) Read(b []byte) (int, error) {
	for len(p.unread) == 0 {
		if err := p.receivePiece(); err != nil {
			return 0, err
		}
	}
	n := copy(b, p.unread)
	p.unread = p.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (p *chunkReader) Close() error {
	if p.streamEnded || errors.Is(p.err, io.EOF) {
		err := p.stream.Close()
		awaitPooled(p.ctx, p.stream)
		p.watchdog.close()
		return err
	}
	p.watchdog.close()
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
		c.closeIdleOnTimeout(ctx, addr)
		return port.ExchangeMessage{}, errors.Wrap(err, "exchanging member records")
	}
	return exchangeFromPB(out), nil
}

// Declaration implements port.MemberClient.
func (c *Client) Declaration(ctx context.Context, addr fleet.Address) (port.StoredDeclaration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := pb.NewDRPCMemberClient(c.conn(ctx, addr)).GetDeclaration(ctx, &pb.GetDeclarationRequest{})
	if err != nil {
		c.closeIdleOnTimeout(ctx, addr)
		return port.StoredDeclaration{}, errors.Wrap(err, "requesting the declaration")
	}
	return port.StoredDeclaration{Revision: out.GetRevision(), Stored: out.GetStored(), Age: ageFromMillis(out.GetAgeMs())}, nil
}

// Members implements port.MemberClient.
func (c *Client) Members(ctx context.Context, addr fleet.Address) (port.ExchangeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := pb.NewDRPCMemberClient(c.conn(ctx, addr)).ListMembers(ctx, &pb.ListMembersRequest{})
	if err != nil {
		c.closeIdleOnTimeout(ctx, addr)
		return port.ExchangeMessage{}, errors.Wrap(err, "listing members")
	}
	m := port.ExchangeMessage{From: out.GetFrom(), Revision: out.GetRevision(), Age: ageFromMillis(out.GetAgeMs())}
	for _, r := range out.GetRecords() {
		m.Records = append(m.Records, memberFromPB(r))
	}
	return m, nil
}

// closeIdleOnHeartbeatTimeout closes the pooled connections to a peer after a
// heartbeat timeout, since a middlebox may have dropped the state of all of them.
func closeIdleOnHeartbeatTimeout(ctx context.Context, closeIdle func()) {
	if errors.Is(context.Cause(ctx), errHeartbeatTimeout) {
		closeIdle()
	}
}

// closeIdleOnTimeout closes the pooled connections to an address that did not
// respond in time, since they may be broken as well.
func (c *Client) closeIdleOnTimeout(ctx context.Context, addr fleet.Address) {
	if ctx.Err() != nil {
		c.CloseIdle(addr)
	}
}

package rpc

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// countingListener numbers the accepted connections from 1. Data that arrives on
// connections with a number up to mutedUpTo is discarded.
type countingListener struct {
	net.Listener
	accepted  atomic.Int64
	mutedUpTo atomic.Int64
}

type mutedConn struct {
	net.Conn
	n int64 // number of the connection
	l *countingListener
}

func (c mutedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || c.n > c.l.mutedUpTo.Load() {
			return n, err
		}
	}
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return mutedConn{c, l.accepted.Add(1), l}, nil
}

type chunkPeer struct {
	port.PeerHandler
	err  error
	data []byte
}

func (p *chunkPeer) SendChunk(_ context.Context, _ port.ChunkRequest, w io.Writer) error {
	if p.err != nil {
		return p.err
	}
	_, err := w.Write(p.data)
	return err
}

// servePeer serves h on loopback and returns the address and the listener.
func servePeer(t *testing.T, h port.PeerHandler) (fleet.Address, *countingListener) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv, err := NewServer(Handlers{Peer: h})
	if err != nil {
		t.Fatal(err)
	}
	lis := &countingListener{Listener: inner}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(ctx, lis) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return fleet.Address(lis.Addr().String()), lis
}

// TestFetchChunkReusesConnection guards against a connection that is closed after
// a refused or a complete chunk: peers under load refuse often, and each new
// connection costs a round trip and a port.
func TestFetchChunkReusesConnection(t *testing.T) {
	for name, p := range map[string]*chunkPeer{
		"busy":     {err: port.ErrPeerBusy},
		"missing":  {err: port.ErrChunkMissing},
		"complete": {data: make([]byte, 3*pieceBytes+1)},
	} {
		addr, lis := servePeer(t, p)
		c := NewClient()
		for range 20 {
			rc, err := c.FetchChunk(context.Background(), addr, port.ChunkRequest{})
			if !errors.Is(err, p.err) {
				t.Fatalf("%s: %v", name, err)
			}
			if rc == nil {
				continue
			}
			if b, err := io.ReadAll(rc); err != nil || len(b) != len(p.data) {
				t.Fatalf("%s: %d bytes, %v", name, len(b), err)
			}
			_ = rc.Close()
		}
		if n := lis.accepted.Load(); n > 2 {
			t.Errorf("%s: 20 calls used %d connections", name, n)
		}
		c.Close()
	}
}

// TestFetchChunkClosesSilentConnections guards against fetches that time out on
// one pooled connection after the other when none of them carries data anymore.
func TestFetchChunkClosesSilentConnections(t *testing.T) {
	p := &chunkPeer{data: []byte("chunk")}
	addr, lis := servePeer(t, p)
	c := NewClient()
	defer c.Close()
	open := make([]io.ReadCloser, 3)
	for i := range open {
		var err error
		if open[i], err = c.FetchChunk(context.Background(), addr, port.ChunkRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, rc := range open {
		_, _ = io.ReadAll(rc)
		_ = rc.Close()
	}
	lis.mutedUpTo.Store(lis.accepted.Load())
	if _, err := c.FetchChunk(context.Background(), addr, port.ChunkRequest{}); err == nil {
		t.Fatal("a silent connection answered")
	}
	rc, err := c.FetchChunk(context.Background(), addr, port.ChunkRequest{})
	if err != nil {
		t.Fatalf("the second fetch used a silent connection as well: %v", err)
	}
	_ = rc.Close()
}

// tricklingPeer sends a chunk as single bytes, or as pieces without bytes, for as
// long as its caller reads.
type tricklingPeer struct {
	port.PeerHandler
	pieceBytes int
}

func (p *tricklingPeer) SendChunk(ctx context.Context, _ port.ChunkRequest, w io.Writer) error {
	for ctx.Err() == nil {
		stream := w.(pieceWriter).stream
		if err := stream.Send(&pb.ChunkPiece{Bytes: make([]byte, p.pieceBytes)}); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return ctx.Err()
}

// TestTrickleEndsFetch guards against a fetch that lasts for hours because each
// message restarts the timer for silence.
func TestTrickleEndsFetch(t *testing.T) {
	for _, n := range []int{0, 1} {
		addr := startServer(t, Handlers{Peer: &tricklingPeer{pieceBytes: n}})
		c := NewClient()
		defer c.Close()
		c.fetchGrace = 200 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		rc, err := c.FetchChunk(ctx, addr, port.ChunkRequest{Version: "v"})
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, rc)
		_ = rc.Close()
		if err == nil || ctx.Err() != nil {
			t.Errorf("pieces of %d bytes: %v, %v", n, err, ctx.Err())
		}
	}
}

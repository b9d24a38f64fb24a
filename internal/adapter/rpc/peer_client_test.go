package rpc

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// countingListener counts connections. While mute is set, what arrives on the
// connections accepted so far is lost.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
	mute     atomic.Int64
}

type mutedConn struct {
	net.Conn
	n int64
	l *countingListener
}

func (c mutedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || c.n > c.l.mute.Load() {
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

// servePeer serves a handler and returns its address and its listener.
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

// TestFetchChunkKeepsConnection guards against a refused or a whole chunk that
// costs its connection: peers under load refuse often, and each lost connection
// costs a round trip and a port.
func TestFetchChunkKeepsConnection(t *testing.T) {
	for name, p := range map[string]*chunkPeer{
		"busy":    {err: port.ErrPeerBusy},
		"missing": {err: port.ErrChunkMissing},
		"whole":   {data: make([]byte, 3*pieceBytes+1)},
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

// TestFetchChunkDropsSilentConnections guards against a fetch that waits for
// each pooled connection in turn after all of them went silent for good.
func TestFetchChunkDropsSilentConnections(t *testing.T) {
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
	lis.mute.Store(lis.accepted.Load())
	if _, err := c.FetchChunk(context.Background(), addr, port.ChunkRequest{}); err == nil {
		t.Fatal("a silent connection answered")
	}
	rc, err := c.FetchChunk(context.Background(), addr, port.ChunkRequest{})
	if err != nil {
		t.Fatalf("the second fetch used a silent connection as well: %v", err)
	}
	_ = rc.Close()
}

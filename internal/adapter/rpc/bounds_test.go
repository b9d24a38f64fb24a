package rpc

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/port"
)

// sendEndlessMessage writes frames of one message that never ends until writing fails
// or the message is far beyond its bound.
func sendEndlessMessage(conn net.Conn, kind drpcwire.Kind) {
	fr := drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind, Data: make([]byte, 32<<10)}
	b := drpcwire.AppendFrame(nil, fr)
	for sent := 0; sent < 8*maxMessageBytes; sent += len(b) {
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

// sendEndlessFrame is like sendEndlessMessage with one frame.
func sendEndlessFrame(conn net.Conn, kind drpcwire.Kind) {
	b := binary.AppendUvarint([]byte{byte(kind) << 1, 1, 1}, 1<<40)
	for sent := 0; sent < 8*maxMessageBytes; sent += len(b) {
		if _, err := conn.Write(b); err != nil {
			return
		}
		b = make([]byte, 32<<10)
	}
}

// TestMessageBytesAreBounded guards against a peer that fills the memory of a client
// or a server with one message without end.
func TestMessageBytesAreBounded(t *testing.T) {
	for name, send := range map[string]func(net.Conn, drpcwire.Kind){"message": sendEndlessMessage, "frame": sendEndlessFrame} {
		t.Run("client, "+name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var wg conc.WaitGroup
			defer wg.Wait()
			defer func() { _ = lis.Close() }()
			wg.Go(func() {
				if conn, err := lis.Accept(); err == nil {
					send(conn, drpcwire.KindMessage)
					_ = conn.Close()
				}
			})
			c := NewClient()
			defer c.Close()
			if _, err := c.Feed(t.Context(), fleet.Address(lis.Addr().String()), port.FeedRequest{Wait: time.Second}); err == nil {
				t.Error("the reply was accepted")
			}
			checkBytesIn(t, c.Meter)
		})
		t.Run("server, "+name, func(t *testing.T) {
			meter := &Meter{}
			addr := startServer(t, Handlers{Meter: meter, Feed: feedHandlerFunc(
				func(context.Context, port.FeedRequest) (port.FeedReply, error) { return port.FeedReply{}, nil })})
			conn, err := net.Dial("tcp", string(addr))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			send(conn, drpcwire.KindInvoke)
			checkBytesIn(t, meter)
		})
	}
}

// checkBytesIn checks that hardly more than the longest message was received.
func checkBytesIn(t *testing.T, m *Meter) {
	t.Helper()
	if n := m.connections.In.Load(); n < maxMessageBytes || n > 3*maxMessageBytes {
		t.Errorf("%d bytes were received, the longest message has %d", n, maxMessageBytes)
	}
}

// TestMessageFieldsAreBounded guards against a message of the longest size whose
// elements are empty: decoded, they take up to a hundred times as much memory.
func TestMessageFieldsAreBounded(t *testing.T) {
	var m atomic.Pointer[pb.FeedReply]
	srv := drpcmux.New()
	if err := pb.DRPCRegisterFeed(srv, rawFeed{&m}); err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = drpcserver.New(srv).Serve(ctx, lis) })
	c := NewClient()
	defer c.Close()
	for n, ok := range map[int]bool{manifest.MaxChunks: true, 2 * manifest.MaxChunks: false} {
		reply := &pb.FeedReply{}
		for range n {
			reply.Changes = append(reply.Changes, &pb.FeedChange{})
		}
		m.Store(reply)
		r, err := c.Feed(ctx, fleet.Address(lis.Addr().String()), port.FeedRequest{Wait: time.Second})
		if (err == nil) != ok {
			t.Errorf("%d empty changes: got %d, %v", n, len(r.Changes), err)
		}
	}
}

// rawFeed replies with a message as it is.
type rawFeed struct{ reply *atomic.Pointer[pb.FeedReply] }

func (f rawFeed) Read(context.Context, *pb.FeedRequest) (*pb.FeedReply, error) {
	return f.reply.Load(), nil
}

// TestRequestFieldsAreBounded is like TestMessageFieldsAreBounded for a server.
func TestRequestFieldsAreBounded(t *testing.T) {
	addr := startServer(t, Handlers{Member: echoMember{}})
	c := NewClient()
	defer c.Close()
	m := port.ExchangeMessage{Want: make([]string, 2*manifest.MaxChunks)}
	if r, err := c.Exchange(t.Context(), addr, m); err == nil {
		t.Errorf("a message with %d fields was accepted: %+v", len(m.Want), r)
	}
}

// echoMember replies to exchanges with an empty message.
type echoMember struct{ port.MemberHandler }

func (echoMember) Exchange(context.Context, port.ExchangeMessage) (port.ExchangeMessage, error) {
	return port.ExchangeMessage{}, nil
}

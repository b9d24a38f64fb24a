package rpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// alternatingAgent refuses every second request and answers the others with their
// body.
type alternatingAgent struct{ requests, delay atomic.Int64 }

func (h *alternatingAgent) Load() port.Load { return port.Load{} }

func (h *alternatingAgent) WatchStatus(context.Context, string, func(port.AgentStatus) error) error {
	return nil
}

func (h *alternatingAgent) Serve(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	if h.requests.Add(1)%2 == 0 {
		return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "full")
	}
	if err := sink.Head(port.AnswerHead{Version: "v"}, port.Load{}); err != nil {
		return err
	}
	time.Sleep(time.Duration(h.delay.Load()))
	return sink.Data(r.Body)
}

type acceptCounter struct {
	net.Listener
	n *atomic.Int64
}

func (l acceptCounter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.n.Add(1)
	return c, err
}

func serveAgent(t *testing.T, h port.AgentHandler) (*Server, fleet.Address, *atomic.Int64) {
	t.Helper()
	srv, err := NewServer(Handlers{Agent: h})
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	n := new(atomic.Int64)
	wg.Go(func() { _ = srv.Serve(ctx, acceptCounter{lis, n}) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return srv, fleet.Address(lis.Addr().String()), n
}

func call(c *Client, addr fleet.Address, id string) (string, error) {
	a, err := c.Serve(context.Background(), addr, port.ServeRequest{ID: fleet.RequestID(id), Body: []byte(id)}, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Close() }()
	out := ""
	for {
		b, err := a.Next()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out += string(b)
	}
}

// TestServeReusesConnections guards against a refusal or a complete answer that closes
// its connection, and against a caller that goes on before its connection is back in the
// pool. Each worker has one request at a time, so it never needs a second connection.
func TestServeReusesConnections(t *testing.T) {
	_, addr, conns := serveAgent(t, &alternatingAgent{})
	c := NewClient()
	t.Cleanup(c.Close)
	const workers = 8
	var wg conc.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range 200 {
				id := fmt.Sprint(w, "-", i)
				got, err := call(c, addr, id)
				if err != nil && verdict.FromError(err).Code != verdict.CodeTargetFull {
					t.Errorf("request failed: %v", err)
				}
				if err == nil && got != id {
					t.Errorf("answer %q to request %q", got, id)
				}
			}
		})
	}
	wg.Wait()
	if n := conns.Load(); n > workers {
		t.Errorf("%d connections for %d workers", n, workers)
	}
}

// scriptedStream receives replies, then io.EOF. Its connection returns to the pool a
// while after that.
type scriptedStream struct {
	pb.DRPCAgent_ServeClient
	ctx     context.Context
	replies []*pb.ServeReply
	// pooled is set right before ctx ends.
	pooled atomic.Bool
	end    func()
}

func (s *scriptedStream) Context() context.Context { return s.ctx }

func (s *scriptedStream) Recv() (*pb.ServeReply, error) {
	if len(s.replies) == 0 {
		time.AfterFunc(20*time.Millisecond, func() { s.pooled.Store(true); s.end() })
		return nil, io.EOF
	}
	m := s.replies[0]
	s.replies = s.replies[1:]
	return m, nil
}

// TestEndWaitsForPool guards against an answer that ends for its caller before its
// connection is back in the pool: the caller's next request opens another connection,
// and the cancel that follows a refusal closes this one.
func TestEndWaitsForPool(t *testing.T) {
	for name, last := range map[string]*pb.ServeReply{
		"refused":  {Part: &pb.ServeReply_Refused{Refused: &pb.Error{}}},
		"failed":   endReply(&pb.End{Error: &pb.Error{}}),
		"complete": endReply(&pb.End{}),
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedStream{replies: []*pb.ServeReply{last}}
			s.ctx, s.end = context.WithCancel(t.Context())
			a := &answerStream{stream: s}
			a.ctx, a.watchdog = newRecvWatchdog(t.Context())
			defer a.watchdog.close()
			if name == "complete" {
				_, _ = a.Next()
			} else {
				_ = a.readHead(nil)
			}
			if !s.pooled.Load() {
				t.Error("the answer ended before its connection was in the pool")
			}
		})
	}
}

// TestDrainWaitsForOpenAnswers guards against a server that stops after its
// handler has returned but before the end of the answer is sent.
func TestDrainWaitsForOpenAnswers(t *testing.T) {
	h := &alternatingAgent{}
	h.delay.Store(int64(100 * time.Millisecond))
	srv, addr, _ := serveAgent(t, h)
	c := NewClient()
	t.Cleanup(c.Close)
	a, err := c.Serve(context.Background(), addr, port.ServeRequest{ID: "r", Body: []byte("r")}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if srv.Drain(short) == nil {
		t.Error("drained with an answer in progress")
	}
	if err := srv.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	if b, err := a.Next(); err != nil || string(b) != "r" {
		t.Fatalf("got %q, %v", b, err)
	}
	if _, err := a.Next(); err != io.EOF {
		t.Fatalf("got %v at the end", err)
	}
}

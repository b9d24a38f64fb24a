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

// TestServeReusesConnections guards against a refusal or a complete answer that
// closes its connection, and with it the next request on this connection.
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
	if n := conns.Load(); n > 2*workers {
		t.Errorf("%d connections for %d workers", n, workers)
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

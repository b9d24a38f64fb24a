package rpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// agentFunc is an agent that serves requests with a function.
type agentFunc struct {
	serve func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error
}

func (s agentFunc) Serve(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	return s.serve(ctx, r, sink)
}

func (agentFunc) Load() port.Load { return port.Load{InFlight: 3, Limit: 4} }

func (agentFunc) WatchStatus(ctx context.Context, _ string, send func(port.AgentStatus) error) error {
	if err := send(port.AgentStatus{VM: "a-w1", Ready: true}); err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

func startServer(t *testing.T, h Handlers) fleet.Address {
	t.Helper()
	srv, err := NewServer(h)
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(ctx, lis) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return fleet.Address(lis.Addr().String())
}

func startAgent(
	t *testing.T, serve func(context.Context, port.ServeRequest, port.AnswerSink) error,
) (fleet.Address, *Client) {
	t.Helper()
	addr := startServer(t, Handlers{Agent: agentFunc{serve}})
	c := NewClient()
	t.Cleanup(c.Close)
	return addr, c
}

func readAll(a port.Answer) ([]byte, error) {
	var out bytes.Buffer
	for {
		b, err := a.Next()
		if errors.Is(err, io.EOF) {
			return out.Bytes(), nil
		}
		if err != nil {
			return out.Bytes(), err
		}
		out.Write(b)
	}
}

// TestCompleteAnswer guards against lost, reordered or altered frames of an answer
// and against a lost head.
func TestCompleteAnswer(t *testing.T) {
	addr, c := startAgent(t, func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
		if r.Customer != "resort" || r.Timeout != 1500*time.Millisecond || string(r.Body) != "hi" {
			t.Errorf("request = %+v", r)
		}
		if err := sink.Head(port.AnswerHead{Version: "v1"}, port.Load{InFlight: 1, Limit: 2}); err != nil {
			return err
		}
		for _, s := range []string{"one ", "two ", "three"} {
			if err := sink.Data([]byte(s)); err != nil {
				return err
			}
		}
		return nil
	})
	req := port.ServeRequest{ID: "r1", Customer: "resort", Timeout: 1500 * time.Millisecond, Body: []byte("hi")}
	var load port.Load
	a, err := c.Serve(context.Background(), addr, req, func(l port.Load) { load = l })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	body, err := readAll(a)
	if err != nil || string(body) != "one two three" {
		t.Fatalf("answer = %q, %v", body, err)
	}
	if a.Head().Version != "v1" || a.Head().ID != "r1" || load.Limit != 2 {
		t.Fatalf("head = %+v, load = %+v", a.Head(), load)
	}
}

// TestFailureVerdicts guards against a failure that reaches the entry with another
// verdict or code.
func TestFailureVerdicts(t *testing.T) {
	refusal := verdict.New(verdict.NotRun, verdict.CodeTargetFull, "4 of 4").WithRetryAfter(time.Second)
	cases := map[string]struct {
		serve func(context.Context, port.ServeRequest, port.AnswerSink) error
		want  verdict.Verdict
		code  verdict.Code
	}{
		"refused": {func(context.Context, port.ServeRequest, port.AnswerSink) error {
			return refusal
		}, verdict.NotRun, verdict.CodeTargetFull},
		"unknown error": {func(context.Context, port.ServeRequest, port.AnswerSink) error {
			return errors.New("boom")
		}, verdict.MayHaveRun, verdict.CodeInternal},
		"failed after the head": {func(_ context.Context, _ port.ServeRequest, s port.AnswerSink) error {
			_ = s.Head(port.AnswerHead{}, port.Load{})
			_ = s.Data([]byte("part"))
			return verdict.New(verdict.Ran, verdict.CodeTargetError, "engine failed")
		}, verdict.Ran, verdict.CodeTargetError},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr, c := startAgent(t, tc.serve)
			a, err := c.Serve(context.Background(), addr, port.ServeRequest{ID: "r"}, nil)
			if err == nil {
				_, err = readAll(a)
				_ = a.Close()
			}
			e := verdict.FromError(err)
			if e.Verdict != tc.want || e.Code != tc.code {
				t.Fatalf("error = %v, want %v %v", err, tc.want, tc.code)
			}
		})
	}
}

// TestUnreachableAgentIsNotRun guards against the verdict may-have-run if the
// connection to the agent could not be opened.
func TestUnreachableAgentIsNotRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := fleet.Address(lis.Addr().String())
	_ = lis.Close()
	_, err = NewClient().Serve(context.Background(), addr, port.ServeRequest{ID: "r"}, nil)
	if verdict.FromError(err).Verdict != verdict.NotRun {
		t.Fatalf("err = %v, want not-run", err)
	}
}

// TestSlowAgentSendsHeartbeats guards against ending a request whose agent is
// alive but has nothing to send for longer than the heartbeat timeout.
func TestSlowAgentSendsHeartbeats(t *testing.T) {
	addr, c := startAgent(t, func(_ context.Context, _ port.ServeRequest, s port.AnswerSink) error {
		time.Sleep(HeartbeatTimeout + HeartbeatInterval)
		return s.Head(port.AnswerHead{}, port.Load{})
	})
	a, err := c.Serve(context.Background(), addr, port.ServeRequest{ID: "r"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	if _, err := readAll(a); err != nil {
		t.Fatal(err)
	}
}

// TestHeartbeatTimeout guards against a request that waits forever on a
// connection that stays open but carries nothing.
func TestHeartbeatTimeout(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	start := time.Now()
	addr := fleet.Address(lis.Addr().String())
	_, err = NewClient().Serve(context.Background(), addr, port.ServeRequest{ID: "r"}, nil)
	e := verdict.FromError(err)
	if e.Verdict != verdict.MayHaveRun || e.Code != verdict.CodeTargetLost {
		t.Fatalf("err = %v", err)
	}
	if took := time.Since(start); took > 2*HeartbeatTimeout {
		t.Fatalf("found after %v, want about %v", took, HeartbeatTimeout)
	}
}

// TestSlowReaderCausesNoTimeout guards against ending an answer because its reader
// applies back pressure for longer than the heartbeat timeout.
func TestSlowReaderCausesNoTimeout(t *testing.T) {
	const frames = 400
	addr, c := startAgent(t, func(_ context.Context, _ port.ServeRequest, s port.AnswerSink) error {
		if err := s.Head(port.AnswerHead{}, port.Load{}); err != nil {
			return err
		}
		for range frames {
			if err := s.Data(make([]byte, 16<<10)); err != nil {
				return err
			}
		}
		return nil
	})
	a, err := c.Serve(context.Background(), addr, port.ServeRequest{ID: "r"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	time.Sleep(HeartbeatTimeout + HeartbeatInterval)
	if body, err := readAll(a); err != nil || len(body) != frames*16<<10 {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
}

// TestCancelReachesAgent guards against an agent that continues a request after
// the caller has canceled it.
func TestCancelReachesAgent(t *testing.T) {
	ended := make(chan struct{})
	addr, c := startAgent(t, func(ctx context.Context, _ port.ServeRequest, s port.AnswerSink) error {
		_ = s.Head(port.AnswerHead{}, port.Load{})
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	})
	a, err := c.Serve(context.Background(), addr, port.ServeRequest{ID: "r"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Close()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the agent's context did not end")
	}
}

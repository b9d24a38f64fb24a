package agent

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
	"github.com/masticwing/masticwing/internal/standin/engine"
)

// TestServiceRestart guards against a warm limit after the connection to a plain
// service was lost before or during a response. The service reports no identity,
// so it may have restarted.
func TestServiceRestart(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "connection lost")
	for name, respond := range map[string]func(r port.ServiceRequest) (port.Answer, error){
		"before the response": func(port.ServiceRequest) (port.Answer, error) { return nil, lost },
		"during the response": func(r port.ServiceRequest) (port.Answer, error) {
			return &porttest.Answer{AnswerHead: port.AnswerHead{ID: r.ID}, Pieces: [][]byte{{1}}, EndError: lost}, nil
		},
	} {
		for _, call := range []string{"read", "log"} {
			t.Run(name+" of "+call, func(t *testing.T) {
				svc := porttest.NewService()
				svc.Respond = func(_ context.Context, r port.ServiceRequest) (port.Answer, error) { return respond(r) }
				w := newWarmAgent(t, Deps{Service: svc}, "service")
				w.reachFullLimit()
				r := port.ServeRequest{ID: "r", Service: "s", Call: call, Customer: "c", IdempotencyKey: "k", Timeout: time.Second}
				wantError(t, w.Serve(context.Background(), r, &discardSink{}), verdict.MayHaveRun, verdict.CodeTargetLost)
				w.wantLimit(testLimits.ColdRequests)
			})
		}
	}
}

// TestPartialCallIsNotReplayed guards against a stored answer that is only a part of the
// live one or follows one, and against a second run of a call whose answer has begun. The
// service answers a call once; the second request has the same key.
func TestPartialCallIsNotReplayed(t *testing.T) {
	small, large := []byte("one\n"), bytes.Repeat([]byte("0123456789abcde\n"), 2*maxStoredBodyBytes/16)
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")
	for name, c := range map[string]struct {
		body     []byte
		endError error
		received []byte // by the first request
		second   verdict.Code
	}{
		"broken before it was sent":          {small, lost, nil, verdict.CodeDuplicate},
		"broken after a part was sent":       {large, lost, large, verdict.CodeDuplicate},
		"closed before it was sent":          {small, verdict.Wrap(io.EOF, verdict.MayHaveRun, verdict.CodeTargetLost, "closed"), nil, verdict.CodeDuplicate},
		"not run, after its head":            {small, verdict.New(verdict.NotRun, verdict.CodeTargetError, "refused"), nil, verdict.CodeDuplicate},
		"not run, after a part was sent":     {large, verdict.New(verdict.NotRun, verdict.CodeTargetError, "refused"), large, verdict.CodeDuplicate},
		"complete, too large to be replayed": {large, nil, large, verdict.CodeDuplicate},
		"complete, replayed":                 {small, nil, small, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			svc := porttest.NewService()
			svc.Respond = func(_ context.Context, r port.ServiceRequest) (port.Answer, error) {
				return &porttest.Answer{AnswerHead: port.AnswerHead{ID: r.ID, Status: 200}, Pieces: [][]byte{c.body}, EndError: c.endError}, nil
			}
			b := buildTestbed(t, "service", engine.Options{})
			b.agent.deps.Service = svc
			b.start()
			b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
			b.eventually("ready", func() bool { return b.agent.Status().Ready })
			r := port.ServeRequest{ID: "r1", Service: "s", Call: "log", Customer: "c", IdempotencyKey: "k", Timeout: 5 * time.Second}
			head, got, err := b.serve(r)
			if got != string(c.received) || head.Replayed || (err == nil) != (c.endError == nil) {
				t.Errorf("first request: %d bytes, head %+v, %v", len(got), head, err)
			}
			if err != nil && verdict.FromError(err).Verdict != verdict.MayHaveRun {
				t.Errorf("first request: %v, want may-have-run", err)
			}
			head, got, err = b.serve(r)
			switch {
			case c.second == "" && (err != nil || !head.Replayed || got != string(c.body)):
				t.Errorf("second request: %d bytes, head %+v, %v; want the stored answer", len(got), head, err)
			case c.second != "" && (got != "" || verdict.FromError(err).Code != c.second):
				t.Errorf("second request: %d bytes, %v; want %s", len(got), err, c.second)
			}
			if n := svc.RunCount("k"); n != 1 {
				t.Errorf("the call ran %d times", n)
			}
		})
	}
}

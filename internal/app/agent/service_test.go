package agent

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// TestServiceRestart guards against a warm limit after a plain service, which
// reports no identity, has cut a call: before its answer, or within it.
func TestServiceRestart(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "connection lost")
	for name, respond := range map[string]func(r port.ServiceRequest) (port.Answer, error){
		"before the answer": func(port.ServiceRequest) (port.Answer, error) { return nil, lost },
		"within the answer": func(r port.ServiceRequest) (port.Answer, error) {
			return &porttest.Answer{AnswerHead: port.AnswerHead{ID: r.ID}, Pieces: [][]byte{{1}}, End: lost}, nil
		},
	} {
		for _, call := range []string{"read", "log"} {
			t.Run(name+" of "+call, func(t *testing.T) {
				svc := porttest.NewService()
				svc.Respond = func(_ context.Context, r port.ServiceRequest) (port.Answer, error) { return respond(r) }
				w := newWarmAgent(t, Deps{Service: svc}, "service")
				w.warm()
				r := port.ServeRequest{ID: "r", Service: "s", Call: call, Customer: "c", IdempotencyKey: "k", Timeout: time.Second}
				wantError(t, w.Serve(context.Background(), r, &discard{}), verdict.MayHaveRun, verdict.CodeTargetLost)
				w.wantLimit(bedLimits.ColdRequests)
			})
		}
	}
}

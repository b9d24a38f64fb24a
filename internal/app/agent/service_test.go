package agent

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
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

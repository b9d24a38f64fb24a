package gateway

import (
	"testing"

	"github.com/masticwing/masticwing/internal/core/eviction"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// fakeConnections are open connections of callers. Accept records its arguments.
type fakeConnections struct {
	open, limit, refusals int
	cause                 error
}

func (f *fakeConnections) Open() int { return f.open }
func (f *fakeConnections) Accept(limit, refusals int, cause error) eviction.Admission {
	f.limit, f.refusals, f.cause = limit, refusals, cause
	return eviction.Refused
}

// TestCallersBeyondLimit guards against callers that are refused below the limit, and against a request that
// is refused or given up for another caller without being told that it has not run.
func TestCallersBeyondLimit(t *testing.T) {
	gw := newTestGateway(t, route)
	budget := gw.settings.Connections()
	below := &fakeConnections{open: budget.Callers - 1}
	if got, e := gw.AcceptCaller(below); got != eviction.Admitted || e != nil || below.cause != nil {
		t.Errorf("below the limit: %v, %v", got, e)
	}
	at := &fakeConnections{open: budget.Callers}
	got, e := gw.AcceptCaller(at)
	if got != eviction.Refused || at.limit != budget.Callers || at.refusals != budget.Refusals {
		t.Errorf("at the limit: %v, with %+v", got, at)
	}
	if cause := verdict.FromError(at.cause); e == nil || cause.Verdict != verdict.NotRun || cause.Code != verdict.CodeOverloaded || cause.RetryAfter <= 0 {
		t.Errorf("requests are refused with %v and given up with %v", e, cause)
	}
}

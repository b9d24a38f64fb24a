package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

var errLost = verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")

type serveFunc func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error

// breakAfterFirst makes the first answer break after two lines. All other requests are
// served by next.
func (h *harness) breakAfterFirst(next serveFunc) {
	var requests atomic.Int32
	h.updateAgents(func(_ int, a *fakeAgent) {
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			if requests.Add(1) > 1 {
				return next(ctx, r, sink)
			}
			return send(sink, port.AnswerHead{ID: r.ID, Version: currentVersion, Status: 200}, errLost, "0\n", "1\n")
		}
	})
}

// send sends an answer that ends with err.
func send(sink port.AnswerSink, head port.AnswerHead, err error, lines ...string) error {
	if err := sink.Head(head, port.Load{Limit: 8}); err != nil {
		return err
	}
	for _, l := range lines {
		if err := sink.Data([]byte(l)); err != nil {
			return err
		}
	}
	return err
}

// TestResumedAnswerIsOneAnswer guards against parts of another answer behind the lines
// of a broken one, and against a broken answer that looks complete.
func TestResumedAnswerIsOneAnswer(t *testing.T) {
	head := port.AnswerHead{ID: "r1", Version: currentVersion, Status: 200, Start: 2}
	otherVersion, errorStatus, replayed, noVersion := head, head, head, head
	otherVersion.Version, errorStatus.Status, replayed.Replayed, noVersion.Version = previousVersion, 500, true, ""
	answer := func(head port.AnswerHead, err error, lines ...string) serveFunc {
		return func(_ context.Context, _ port.ServeRequest, sink port.AnswerSink) error {
			return send(sink, head, err, lines...)
		}
	}
	for name, c := range map[string]struct {
		next     serveFunc
		body     string
		complete bool
	}{
		"continued":                 {answer(head, nil, "2\n"), "0\n1\n2\n", true},
		"nothing was left":          {answer(head, nil), "0\n1\n", true},
		"refused":                   {failWith(verdict.NotRun, verdict.CodeVersionNotServing), "0\n1\n", false},
		"failed before its head":    {failWith(verdict.MayHaveRun, verdict.CodeTargetError), "0\n1\n", false},
		"failed after its head":     {answer(head, errLost), "0\n1\n", false},
		"failed in a line":          {answer(head, errLost, "2"), "0\n1\n2", false},
		"answer to another version": {answer(otherVersion, nil, "x\n"), "0\n1\n", false},
		"answer without a version":  {answer(noVersion, nil, "x\n"), "0\n1\n", false},
		"error status":              {answer(errorStatus, nil, "x\n"), "0\n1\n", false},
		"replayed answer":           {answer(replayed, nil, "x\n"), "0\n1\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "model", 2)
			h.breakAfterFirst(c.next)
			got, err := h.serveAndRead(generateRequest())
			if got != c.body || (err == nil) != c.complete {
				t.Errorf("got %q, %v; want %q, complete %v", got, err, c.body, c.complete)
			}
			if err != nil && verdict.FromError(err).Verdict == verdict.NotRun {
				t.Errorf("verdict not-run behind a part of an answer: %v", err)
			}
		})
	}
}

// TestModelAnswerIsNotStored guards against an answer of a model that is an error page
// or a stored answer and reaches the caller as a stream with status 200.
func TestModelAnswerIsNotStored(t *testing.T) {
	for _, head := range []port.AnswerHead{
		{ID: "r1", Version: currentVersion, Status: 500},
		{ID: "r1", Version: currentVersion, Status: 200, Replayed: true},
	} {
		h := newHarness(t, "model", 1)
		h.updateAgents(func(_ int, a *fakeAgent) {
			a.serve = func(_ context.Context, _ port.ServeRequest, sink port.AnswerSink) error {
				return send(sink, head, nil, "x\n")
			}
		})
		got, err := h.serveAndRead(generateRequest())
		if got != "" || verdict.FromError(err).Code != verdict.CodeBrokenAnswer {
			t.Errorf("head %+v: got %q, %v", head, got, err)
		}
	}
}

// TestAnswerStaysFailed guards against an answer that goes on after it has failed.
func TestAnswerStaysFailed(t *testing.T) {
	h := newHarness(t, "model", 3)
	h.breakAfterFirst(failWith(verdict.MayHaveRun, verdict.CodeBadRequest))
	a, err := h.entry.Serve(t.Context(), generateRequest(), func() error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	for err == nil {
		_, err = a.Next()
	}
	requests := h.requestCount()
	for range 3 {
		if b, again := a.Next(); len(b) > 0 || !errors.Is(again, err) {
			t.Errorf("after %v: %q, %v", err, b, again)
		}
	}
	if n := h.requestCount(); n != requests {
		t.Errorf("%d requests after the answer had failed", n-requests)
	}
}

// TestServiceAnswerIsOfOneTarget guards against an answer of a service that another
// target continues, also with a stored answer to the same key.
func TestServiceAnswerIsOfOneTarget(t *testing.T) {
	for _, call := range []string{"read", "log"} {
		h := newHarness(t, "status", 2)
		h.breakAfterFirst(func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			return send(sink, port.AnswerHead{ID: r.ID, Status: 200, Replayed: true}, nil, "0\n1\n2\n")
		})
		got, err := h.serveAndRead(callRequest(call))
		if got != "0\n1\n" || verdict.FromError(err).Verdict != verdict.MayHaveRun || h.requestCount() != 1 {
			t.Errorf("%s: got %q, %v, %d requests", call, got, err, h.requestCount())
		}
	}
}

// TestResumedAnswerStartsAtRequestedLine guards against repeated or missing lines in an
// answer whose second target does not start at the requested line.
func TestResumedAnswerStartsAtRequestedLine(t *testing.T) {
	for name, lines := range map[string][]string{
		"starts again":    {"0\n", "1\n", "2\n"},
		"starts too late": {"3\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "model", 2)
			h.breakAfterFirst(func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
				return send(sink, port.AnswerHead{ID: r.ID, Version: currentVersion, Status: 200}, nil, lines...)
			})
			if got, err := h.serveAndRead(generateRequest()); got != "0\n1\n" || err == nil {
				t.Errorf("got %q, %v; want the lines of the first target and an error", got, err)
			}
		})
	}
}

// TestStatedStartOfResumedAnswer guards against an answer that continues although its
// second agent states another start than the requested one, or none as an older agent
// does. The caller gets the error of the lost target, and no line of the second one.
func TestStatedStartOfResumedAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		start    uint64
		body     string
		complete bool
	}{
		"older agent": {0, "0\n1\n", false},
		"too small":   {1, "0\n1\n", false},
		"too large":   {3, "0\n1\n", false},
		"right":       {2, "0\n1\n2\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "model", 2)
			h.breakAfterFirst(func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
				return send(sink, port.AnswerHead{ID: r.ID, Version: currentVersion, Status: 200, Start: c.start}, nil, "2\n")
			})
			got, err := h.serveAndRead(generateRequest())
			if got != c.body || (err == nil) != c.complete {
				t.Errorf("got %q, %v; want %q, complete %v", got, err, c.body, c.complete)
			}
			if e := verdict.FromError(err); err != nil && (e.Verdict != verdict.MayHaveRun || e.Code != verdict.CodeTargetLost) {
				t.Errorf("got %v, want the error of the lost target", err)
			}
		})
	}
}

// TestResumeSkipsOlderAgent guards against an answer that ends incomplete because the
// first agent that was asked to continue it states no start, although the next one can
// continue it.
func TestResumeSkipsOlderAgent(t *testing.T) {
	h := newHarness(t, "model", 3)
	var resumes atomic.Int32
	h.breakAfterFirst(func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
		head := port.AnswerHead{ID: r.ID, Version: currentVersion, Status: 200, Start: r.Resume}
		if resumes.Add(1) == 1 {
			head.Start = 0
		}
		return send(sink, head, nil, "2\n")
	})
	got, err := h.serveAndRead(generateRequest())
	if got != "0\n1\n2\n" || err != nil || h.requestCount() != 3 {
		t.Errorf("got %q, %v, %d requests; want the rest from the third agent", got, err, h.requestCount())
	}
	for _, s := range h.entry.table.Snapshot(time.Now()) {
		if s.InFlight != 0 {
			t.Errorf("target %s counts %d requests", s.VM, s.InFlight)
		}
	}
}

// TestNewAnswerHasNoStart guards against a new answer whose first lines are missing. It
// counts as broken: a model's request is retried, one that must not run twice is not.
func TestNewAnswerHasNoStart(t *testing.T) {
	for _, c := range []struct {
		pool     string
		request  port.ServeRequest
		version  fleet.Version
		requests int
	}{
		{"model", generateRequest(), currentVersion, 2},
		{"status", callRequest("log"), "", 1},
	} {
		h := newHarness(t, c.pool, 2)
		h.updateAgents(func(_ int, a *fakeAgent) {
			a.serve = func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
				return send(sink, port.AnswerHead{ID: r.ID, Version: c.version, Status: 200, Start: 1}, nil, "1\n")
			}
		})
		got, err := h.serveAndRead(c.request)
		if e := verdict.FromError(err); got != "" || e.Code != verdict.CodeBrokenAnswer || e.Verdict != verdict.MayHaveRun {
			t.Errorf("%s: got %q, %v", c.pool, got, err)
		}
		if n := h.requestCount(); n != c.requests {
			t.Errorf("%s: %d requests, want %d", c.pool, n, c.requests)
		}
	}
}

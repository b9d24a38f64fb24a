package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/httpapi"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

func generateRequest() port.ServeRequest {
	return port.ServeRequest{ID: "r1", Group: "summaries", Customer: "resort", Class: fleet.ClassSummary, Timeout: 5 * time.Second}
}

func callRequest(name string) port.ServeRequest {
	r := port.ServeRequest{ID: "r1", Service: "status", Call: name, Customer: "resort", Timeout: 5 * time.Second}
	if name == "log" {
		r.IdempotencyKey = "0193a0b0-0000-7000-8000-000000000001"
	}
	return r
}

// serveAndRead serves one request and returns what was read of its answer.
func (h *harness) serveAndRead(r port.ServeRequest) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	a, err := h.entry.Serve(ctx, r, func() error { return nil })
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Close() }()
	var b strings.Builder
	for {
		frame, err := a.Next()
		if err == io.EOF {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.Write(frame)
	}
}

// TestServeOverHTTP guards against a break in the request path from the caller to
// the agent and back.
func TestServeOverHTTP(t *testing.T) {
	h := newHarness(t, "model", 2)
	api := httpapi.New(httpapi.Config{Memory: 32 << 20, MaxBody: 1 << 20}, h.entry, noMetrics{})
	srv := httptest.NewServer(api.Handler())
	defer srv.Close()
	req, _ := http.NewRequest("POST", srv.URL+"/v1/groups/summaries/generate", strings.NewReader(`{"prompt":"tide"}`))
	req.Header.Set("X-Masticwing-Customer", "resort")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != 200 {
		t.Fatalf("status %d, body %q, %v", res.StatusCode, b, err)
	}
	if res.Trailer.Get("X-Masticwing-Verdict") != "ran" || !strings.Contains(string(b), `{"end":{"verdict":"ran","version":"v-current","frames":2`) {
		t.Fatalf("trailer %v, body %q", res.Trailer, b)
	}
}

// TestRetries guards against a retry of a call that may have run and must not run
// twice, against a second attempt at the same target, and against the verdict
// not-run after an attempt that may have run.
func TestRetries(t *testing.T) {
	cases := []struct {
		name         string
		r            port.ServeRequest
		fail         verdict.Verdict
		requestCount int
	}{
		{"refused", callRequest("read"), verdict.NotRun, 3},
		{"retryable", callRequest("read"), verdict.MayHaveRun, 3},
		{"at most once, refused", callRequest("log"), verdict.NotRun, 3},
		{"at most once, may have run", callRequest("log"), verdict.MayHaveRun, 1},
		{"ran", callRequest("read"), verdict.Ran, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, "status", 3)
			h.updateAgents(func(_ int, a *fakeAgent) { a.serve = failWith(c.fail, verdict.CodeTargetError) })
			_, err := h.serveAndRead(c.r)
			if v := verdict.FromError(err).Verdict; v != c.fail {
				t.Errorf("verdict %v, want %v: %v", v, c.fail, err)
			}
			if h.requestCount() != c.requestCount {
				t.Errorf("%d requests, want %d", h.requestCount(), c.requestCount)
			}
			for _, a := range h.agents {
				if a.requestCount() > 1 {
					t.Errorf("agent %s got the request %d times", a.status.VM, a.requestCount())
				}
			}
		})
	}
	t.Run("request id", func(t *testing.T) {
		h := newHarness(t, "model", 3)
		var mu sync.Mutex
		var ids []fleet.RequestID
		h.updateAgents(func(_ int, a *fakeAgent) {
			a.serve = func(_ context.Context, r port.ServeRequest, _ port.AnswerSink) error {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, r.ID)
				return verdict.New(verdict.NotRun, verdict.CodeTargetError, "injected failure")
			}
		})
		_, _ = h.serveAndRead(generateRequest())
		if len(ids) != 3 || ids[0] != "r1" || ids[2] != "r1" {
			t.Errorf("attempts carry the ids %v, want the caller's", ids)
		}
	})
	t.Run("may have run, then refused", func(t *testing.T) {
		h := newHarness(t, "status", 2)
		first := true
		h.updateAgents(func(_ int, a *fakeAgent) {
			a.serve = func(context.Context, port.ServeRequest, port.AnswerSink) error {
				v := verdict.NotRun
				if first {
					v, first = verdict.MayHaveRun, false
				}
				return verdict.New(v, verdict.CodeTargetError, "injected failure")
			}
		})
		if _, err := h.serveAndRead(callRequest("read")); verdict.FromError(err).Verdict != verdict.MayHaveRun {
			t.Errorf("error %v, want may-have-run", err)
		}
	})
}

// TestWaitForFullTargets guards against a request that fails because all targets
// were full for a short time, and against attempts that are repeated without delay
// after a refusal.
func TestWaitForFullTargets(t *testing.T) {
	const busy = 300 * time.Millisecond
	for _, name := range []string{"read", "log"} {
		t.Run(name, func(t *testing.T) { testWaitForFullTargets(t, name, busy) })
	}
}

func testWaitForFullTargets(t *testing.T, name string, busy time.Duration) {
	h := newHarness(t, "status", 2)
	start := time.Now()
	h.updateAgents(func(_ int, a *fakeAgent) {
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			if time.Since(start) < busy {
				return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "injected failure")
			}
			return a.serveComplete(ctx, r, sink)
		}
	})
	if _, err := h.serveAndRead(callRequest(name)); err != nil {
		t.Error(err)
	}
	if n, limit := h.requestCount(), 2+2*int(busy/routing.FullPause); n > limit {
		t.Errorf("%d attempts in %v, want at most %d", n, busy, limit)
	}
}

// TestChangesWakeWaiters guards against a request without a target that is not
// woken when the declaration or the members have changed.
func TestChangesWakeWaiters(t *testing.T) {
	h := newHarness(t, "model", 0)
	waiter := h.entry.table.AddWaiter(routing.Pool{Group: "summaries"}, fleet.ClassSummary)
	defer h.entry.table.RemoveWaiter(waiter)
	changes := map[string]func(){
		"declaration": func() { h.dir.SetDeclaration(testDeclaration(), 0) },
		"members":     func() { h.dir.SetMembers(port.MemberRecord{ID: "e2", Kind: fleet.KindEntry}) },
	}
	for name, change := range changes {
		// The entry may subscribe only after the first change, so the change is
		// repeated.
		h.waitUntil("a change of the "+name+" wakes a waiter", func() bool {
			change()
			select {
			case <-waiter.Woken():
				return true
			default:
				return false
			}
		})
	}
}

// TestUnusableWakeIsPassedOn guards against a lost signal: a request that is first
// in the wait queue, but cannot use the target that has changed, must pass the
// signal on to the next request.
func TestUnusableWakeIsPassedOn(t *testing.T) {
	h := newHarness(t, "model", 1)
	h.updateAgents(func(_ int, a *fakeAgent) { a.status.Version = previousVersion })
	h.waitUntil("the previous version is known", func() bool {
		s := h.entry.table.Snapshot(time.Now())
		return len(s) == 1 && s[0].Version == previousVersion
	})
	pool := routing.Pool{Group: "summaries"}
	second := h.entry.table.AddWaiter(pool, fleet.ClassDraft)
	defer h.entry.table.RemoveWaiter(second)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	r, pc := generateRequest(), &poolConfig{pool: pool, version: "v-other"}
	start := time.Now()
	wg.Go(func() { _, _ = h.entry.reserveTarget(ctx, &r, pc, nil, 0) })
	h.waitUntil("the signal reaches the second request", func() bool {
		select {
		case <-second.Woken():
			return true
		default:
			return false
		}
	})
	if d := time.Since(start); d >= noTargetWait {
		t.Errorf("the signal came after %v, when the first request had ended", d)
	}
	cancel()
	wg.Wait()
}

// TestNoRetryAfterFirstPiece guards against an answer that consists of pieces of
// two attempts.
func TestNoRetryAfterFirstPiece(t *testing.T) {
	h := newHarness(t, "model", 2)
	h.updateAgents(func(_ int, a *fakeAgent) {
		a.serve = func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			_ = sink.Head(port.AnswerHead{ID: r.ID, Version: currentVersion}, port.Load{Limit: 8})
			_ = sink.Data([]byte("half"))
			return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")
		}
	})
	got, err := h.serveAndRead(generateRequest())
	if got != "half" || verdict.FromError(err).Code != verdict.CodeTargetLost || h.requestCount() != 1 {
		t.Fatalf("answer %q, error %v, %d requests", got, err, h.requestCount())
	}
}

// TestResume guards against an answer that ends when its target is lost although
// another target could continue it, and against a resumed answer that repeats or
// omits a line, mixes versions, or keeps its permit at the end.
func TestResume(t *testing.T) {
	h := newHarness(t, "model", 2)
	var mu sync.Mutex
	lost := false
	h.updateAgents(func(_ int, a *fakeAgent) {
		a.serve = func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			mu.Lock()
			first := !lost
			lost = true
			mu.Unlock()
			_ = sink.Head(port.AnswerHead{ID: r.ID, Version: currentVersion, Start: r.Resume}, port.Load{Limit: 8})
			if first {
				_ = sink.Data([]byte("one\n"))
				return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")
			}
			if r.Resume != 1 || r.Version != currentVersion || string(r.Body) != "{}" {
				t.Errorf("resumed after %d lines with version %q and body %q", r.Resume, r.Version, r.Body)
			}
			return sink.Data([]byte("two\n"))
		}
	})
	r := generateRequest()
	r.Body = []byte("{}")
	if got, err := h.serveAndRead(r); err != nil || got != "one\ntwo\n" || h.requestCount() != 2 {
		t.Fatalf("answer %q, error %v, %d requests", got, err, h.requestCount())
	}
	if _, inUse := h.entry.queue.Depth(poolOf(&r)); inUse != 0 {
		t.Errorf("%d permits in use", inUse)
	}
	lost = false
	h.updateAgents(func(i int, a *fakeAgent) {
		serve := a.serve
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			if r.Resume > 0 {
				_ = sink.Head(port.AnswerHead{ID: r.ID, Version: previousVersion, Start: r.Resume}, port.Load{Limit: 8})
				return sink.Data([]byte("other\n"))
			}
			return serve(ctx, r, sink)
		}
	})
	if got, err := h.serveAndRead(r); got != "one\n" || verdict.FromError(err).Code != verdict.CodeTargetLost {
		t.Errorf("answer %q, error %v; want no resume with another version", got, err)
	}
	for _, s := range h.entry.table.Snapshot(time.Now()) {
		if s.InFlight != 0 {
			t.Errorf("target %s counts %d requests", s.VM, s.InFlight)
		}
	}
}

// TestKeySelectsAgent guards against calls with the same idempotency key that go to
// different agents, and against calls that find no agent when the first one is
// cordoned.
func TestKeySelectsAgent(t *testing.T) {
	h := newHarness(t, "status", 3)
	for range 5 {
		if _, err := h.serveAndRead(callRequest("log")); err != nil {
			t.Fatal(err)
		}
	}
	var first *fakeAgent
	for _, a := range h.agents {
		if a.requestCount() == 5 {
			first = a
		}
	}
	if first == nil {
		t.Fatal("the calls with one key went to several agents")
	}
	d := testDeclaration()
	d.Cordons.VMs = map[fleet.VM]bool{first.status.VM: true}
	h.dir.SetDeclaration(d, 0)
	if _, err := h.serveAndRead(callRequest("log")); err != nil || first.requestCount() != 5 {
		t.Fatalf("%v, cordoned agent has %d requests", err, first.requestCount())
	}
}

// TestNoRequestsToCordonedDomain guards against new requests to a failure domain
// after the entry has learned of its cordon, and against requests that fail because
// of the cordon.
func TestNoRequestsToCordonedDomain(t *testing.T) {
	h := newHarness(t, "model", 4)
	d := testDeclaration()
	d.Cordons.Domains = map[fleet.Domain]bool{"a": true}
	h.dir.SetDeclaration(d, 0)
	for range 20 {
		if _, err := h.serveAndRead(generateRequest()); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range h.agents {
		if a.status.Domain == "a" && a.requestCount() > 0 {
			t.Errorf("agent %s of the cordoned domain got %d requests", a.status.VM, a.requestCount())
		}
	}
}

// TestServableVersions guards against requests to targets with an undeclared
// version, and against an outage between the declaration of a version and the time
// at which targets have loaded it.
func TestServableVersions(t *testing.T) {
	for _, c := range []struct {
		overlap  declare.Overlap
		reported fleet.Version
		ok       bool
	}{
		{declare.KeepOld, currentVersion, true},
		{declare.KeepOld, previousVersion, true},
		{declare.KeepOld, "v-undeclared", false},
		{declare.KeepOld, "", false},
		{declare.DrainFirst, previousVersion, false},
	} {
		h := newHarness(t, "model", 1)
		d := testDeclaration()
		g := d.Groups["summaries"]
		g.Overlap = c.overlap
		d.Groups["summaries"] = g
		h.dir.SetDeclaration(d, 0)
		h.updateAgents(func(_ int, a *fakeAgent) { a.status.Version = c.reported })
		h.waitUntil("the version is reported", func() bool { return h.entry.table.Snapshot(time.Now())[0].Version == c.reported })
		r := generateRequest()
		r.Timeout = 300 * time.Millisecond
		if _, err := h.serveAndRead(r); (err == nil) != c.ok {
			t.Errorf("overlap %v, version %q: %v", c.overlap, c.reported, err)
		}
	}
}

// TestPermitsAreReleased guards against a permit that is not released when a caller
// disconnects or an attempt fails. Each such permit would reduce the capacity of
// the entry, in the end to zero.
func TestPermitsAreReleased(t *testing.T) {
	h := newHarness(t, "model", 2)
	h.updateAgents(func(i int, a *fakeAgent) {
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			if i == 0 {
				return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "full")
			}
			<-ctx.Done()
			return ctx.Err()
		}
	})
	for range 12 {
		r := generateRequest()
		r.ID = fleet.RequestID(uuid.NewString())
		r.Timeout = 30 * time.Millisecond
		if _, err := h.serveAndRead(r); err == nil {
			t.Fatal("request succeeded")
		}
	}
	r := generateRequest()
	if queued, inUse := h.entry.queue.Depth(poolOf(&r)); queued != 0 || inUse != 0 {
		t.Errorf("%d queued, %d permits in use", queued, inUse)
	}
	for _, s := range h.entry.table.Snapshot(time.Now()) {
		if s.InFlight != 0 {
			t.Errorf("target %s counts %d requests", s.VM, s.InFlight)
		}
	}
}

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

func generate() port.ServeRequest {
	return port.ServeRequest{ID: "r1", Group: "summaries", Customer: "resort", Class: fleet.ClassSummary, Timeout: 5 * time.Second}
}

func call(name string) port.ServeRequest {
	r := port.ServeRequest{ID: "r1", Service: "status", Call: name, Customer: "resort", Timeout: 5 * time.Second}
	if name == "log" {
		r.IdempotencyKey = "0193a0b0-0000-7000-8000-000000000001"
	}
	return r
}

// ask runs one request to its end.
func (w *world) ask(r port.ServeRequest) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	a, err := w.entry.Serve(ctx, r, func() error { return nil })
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Close() }()
	var b strings.Builder
	for {
		f, err := a.Next()
		if err == io.EOF {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.Write(f)
	}
}

// TestServesOverHTTP guards against a request path that does not hold together
// from the caller to the agent and back.
func TestServesOverHTTP(t *testing.T) {
	w := newWorld(t, "model", 2)
	api := httpapi.New(httpapi.Config{Memory: 32 << 20, MaxBody: 1 << 20}, w.entry, noMetrics{})
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

// TestRetries guards against a retry of a call that may have run and must not
// run twice, against a second visit to the same target, and against an error
// that says not-run after an attempt that may have run.
func TestRetries(t *testing.T) {
	cases := []struct {
		name  string
		r     port.ServeRequest
		fail  verdict.Verdict
		calls int
	}{
		{"refused", call("read"), verdict.NotRun, 3},
		{"repeatable", call("read"), verdict.MayHaveRun, 3},
		{"once refused", call("log"), verdict.NotRun, 3},
		{"once may have run", call("log"), verdict.MayHaveRun, 1},
		{"ran", call("read"), verdict.Ran, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, "status", 3)
			w.change(func(_ int, a *fakeAgent) { a.serve = failing(c.fail, verdict.CodeTargetError) })
			_, err := w.ask(c.r)
			if v := verdict.FromError(err).Verdict; v != c.fail {
				t.Errorf("verdict %v, want %v: %v", v, c.fail, err)
			}
			if w.calls() != c.calls {
				t.Errorf("%d calls, want %d", w.calls(), c.calls)
			}
			for _, a := range w.agents {
				if a.calls() > 1 {
					t.Errorf("agent %s got the request %d times", a.status.VM, a.calls())
				}
			}
		})
	}
	t.Run("request id", func(t *testing.T) {
		w := newWorld(t, "model", 3)
		var mu sync.Mutex
		var ids []fleet.RequestID
		w.change(func(_ int, a *fakeAgent) {
			a.serve = func(_ context.Context, r port.ServeRequest, _ port.AnswerSink) error {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, r.ID)
				return verdict.New(verdict.NotRun, verdict.CodeTargetError, "as told")
			}
		})
		_, _ = w.ask(generate())
		if len(ids) != 3 || ids[0] != "r1" || ids[2] != "r1" {
			t.Errorf("attempts carry the ids %v, want the caller's", ids)
		}
	})
	t.Run("mixed", func(t *testing.T) {
		w := newWorld(t, "status", 2)
		first := true
		w.change(func(_ int, a *fakeAgent) {
			a.serve = func(context.Context, port.ServeRequest, port.AnswerSink) error {
				v := verdict.NotRun
				if first {
					v, first = verdict.MayHaveRun, false
				}
				return verdict.New(v, verdict.CodeTargetError, "as told")
			}
		})
		if _, err := w.ask(call("read")); verdict.FromError(err).Verdict != verdict.MayHaveRun {
			t.Errorf("error %v, want may-have-run", err)
		}
	})
}

// TestWaitsForRoom guards against a request that fails because all targets were
// full for a moment, and against refusals that come as fast as the network
// carries them.
func TestWaitsForRoom(t *testing.T) {
	const busy = 300 * time.Millisecond
	for _, name := range []string{"read", "log"} {
		t.Run(name, func(t *testing.T) { testWaitsForRoom(t, name, busy) })
	}
}

func testWaitsForRoom(t *testing.T, name string, busy time.Duration) {
	w := newWorld(t, "status", 2)
	start := time.Now()
	w.change(func(_ int, a *fakeAgent) {
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			if time.Since(start) < busy {
				return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "as told")
			}
			return a.whole(ctx, r, sink)
		}
	})
	if _, err := w.ask(call(name)); err != nil {
		t.Error(err)
	}
	if n, most := w.calls(), 2+2*int(busy/routing.FullPause); n > most {
		t.Errorf("%d attempts in %v, want at most %d", n, busy, most)
	}
}

// TestChangesWakeWaiters guards against a request that finds no target and goes
// on waiting after the declaration or the members have changed.
func TestChangesWakeWaiters(t *testing.T) {
	w := newWorld(t, "model", 0)
	waiter := w.entry.table.AddWaiter(routing.Pool{Group: "summaries"}, fleet.ClassSummary)
	defer w.entry.table.RemoveWaiter(waiter)
	changes := map[string]func(){
		"declaration": func() { w.dir.Declare(declaration(), 0) },
		"members":     func() { w.dir.SetMembers(port.MemberRecord{ID: "e2", Kind: fleet.KindEntry}) },
	}
	for name, change := range changes {
		// The entry may subscribe after the first change, so it is repeated.
		w.until("a change of the "+name+" wakes a waiter", func() bool {
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

// TestOtherVersionsAreWoken guards against a request that has no target, waits
// first in line, and takes the signal of a target that the next one could use.
func TestOtherVersionsAreWoken(t *testing.T) {
	w := newWorld(t, "model", 1)
	w.change(func(_ int, a *fakeAgent) { a.status.Version = former })
	w.until("the former version is known", func() bool {
		s := w.entry.table.Snapshot(time.Now())
		return len(s) == 1 && s[0].Version == former
	})
	pool := routing.Pool{Group: "summaries"}
	behind := w.entry.table.AddWaiter(pool, fleet.ClassDraft)
	defer w.entry.table.RemoveWaiter(behind)
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	r, p := generate(), &plan{pool: pool, version: "v-other"}
	began := time.Now()
	wg.Go(func() { _, _ = w.entry.next(ctx, &r, p, nil, 0) })
	w.until("the signal reaches the request behind", func() bool {
		select {
		case <-behind.Woken():
			return true
		default:
			return false
		}
	})
	if d := time.Since(began); d >= noTargetWait {
		t.Errorf("the signal came after %v, with the end of the request in front", d)
	}
	cancel()
	wg.Wait()
}

// TestNoRetryAfterFirstPiece guards against an answer that is joined from two
// attempts.
func TestNoRetryAfterFirstPiece(t *testing.T) {
	w := newWorld(t, "model", 2)
	w.change(func(_ int, a *fakeAgent) {
		a.serve = func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			_ = sink.Head(port.AnswerHead{ID: r.ID, Version: current}, port.Load{Limit: 8})
			_ = sink.Data([]byte("half"))
			return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")
		}
	})
	got, err := w.ask(generate())
	if got != "half" || verdict.FromError(err).Code != verdict.CodeTargetLost || w.calls() != 1 {
		t.Fatalf("answer %q, error %v, %d calls", got, err, w.calls())
	}
}

// TestResume guards against an answer that fails with its target although
// another one could continue it, and against one that repeats or leaves out a
// line, mixes versions or keeps its permit after that.
func TestResume(t *testing.T) {
	w := newWorld(t, "model", 2)
	var mu sync.Mutex
	lost := false
	w.change(func(_ int, a *fakeAgent) {
		a.serve = func(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			mu.Lock()
			first := !lost
			lost = true
			mu.Unlock()
			_ = sink.Head(port.AnswerHead{ID: r.ID, Version: current}, port.Load{Limit: 8})
			if first {
				_ = sink.Data([]byte("one\n"))
				return verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")
			}
			if r.Resume != 1 || r.Version != current || string(r.Body) != "{}" {
				t.Errorf("resumed from %d with version %q and body %q", r.Resume, r.Version, r.Body)
			}
			return sink.Data([]byte("two\n"))
		}
	})
	r := generate()
	r.Body = []byte("{}")
	if got, err := w.ask(r); err != nil || got != "one\ntwo\n" || w.calls() != 2 {
		t.Fatalf("answer %q, error %v, %d calls", got, err, w.calls())
	}
	if _, inUse := w.entry.queue.Depth(poolOf(&r)); inUse != 0 {
		t.Errorf("%d permits in use", inUse)
	}
	lost = false
	w.change(func(i int, a *fakeAgent) {
		serve := a.serve
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			if r.Resume > 0 {
				_ = sink.Head(port.AnswerHead{ID: r.ID, Version: former}, port.Load{Limit: 8})
				return sink.Data([]byte("other\n"))
			}
			return serve(ctx, r, sink)
		}
	})
	if got, err := w.ask(r); got != "one\n" || verdict.FromError(err).Code != verdict.CodeTargetLost {
		t.Errorf("answer %q, error %v from two versions", got, err)
	}
	for _, s := range w.entry.table.Snapshot(time.Now()) {
		if s.InFlight != 0 {
			t.Errorf("target %s counts %d requests", s.VM, s.InFlight)
		}
	}
}

// TestOnceOrder guards against entries that send one idempotency key to
// different agents, and against a key that goes nowhere when its first agent
// is out of service.
func TestOnceOrder(t *testing.T) {
	w := newWorld(t, "status", 3)
	for range 5 {
		if _, err := w.ask(call("log")); err != nil {
			t.Fatal(err)
		}
	}
	var first *fakeAgent
	for _, a := range w.agents {
		if a.calls() == 5 {
			first = a
		}
	}
	if first == nil {
		t.Fatal("the calls of one key went to several agents")
	}
	d := declaration()
	d.Cordons.VMs = map[fleet.VM]bool{first.status.VM: true}
	w.dir.Declare(d, 0)
	if _, err := w.ask(call("log")); err != nil || first.calls() != 5 {
		t.Fatalf("%v, cordoned agent has %d calls", err, first.calls())
	}
}

// TestLeavesCordonedDomain guards against new work in a failure domain after
// the entry knows of its cordon, and against callers that see the change.
func TestLeavesCordonedDomain(t *testing.T) {
	w := newWorld(t, "model", 4)
	d := declaration()
	d.Cordons.Domains = map[fleet.Domain]bool{"a": true}
	w.dir.Declare(d, 0)
	for range 20 {
		if _, err := w.ask(generate()); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range w.agents {
		if a.status.Domain == "a" && a.calls() > 0 {
			t.Errorf("agent %s of the cordoned domain got %d requests", a.status.VM, a.calls())
		}
	}
}

// TestVersions guards against work for targets with an undeclared version, and
// against an outage between the declaration of a version and its load.
func TestVersions(t *testing.T) {
	for _, c := range []struct {
		overlap  declare.Overlap
		reported fleet.Version
		ok       bool
	}{
		{declare.KeepOld, current, true},
		{declare.KeepOld, former, true},
		{declare.KeepOld, "v-undeclared", false},
		{declare.KeepOld, "", false},
		{declare.DrainFirst, former, false},
	} {
		w := newWorld(t, "model", 1)
		d := declaration()
		g := d.Groups["summaries"]
		g.Overlap = c.overlap
		d.Groups["summaries"] = g
		w.dir.Declare(d, 0)
		w.change(func(_ int, a *fakeAgent) { a.status.Version = c.reported })
		w.until("the version is reported", func() bool { return w.entry.table.Snapshot(time.Now())[0].Version == c.reported })
		r := generate()
		r.Timeout = 300 * time.Millisecond
		if _, err := w.ask(r); (err == nil) != c.ok {
			t.Errorf("overlap %v, version %q: %v", c.overlap, c.reported, err)
		}
	}
}

// TestPermitsReturn guards against a permit that is lost when a caller leaves
// or an attempt fails, which would shrink the entry until it serves nothing.
func TestPermitsReturn(t *testing.T) {
	w := newWorld(t, "model", 2)
	w.change(func(i int, a *fakeAgent) {
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			if i == 0 {
				return verdict.New(verdict.NotRun, verdict.CodeTargetFull, "full")
			}
			<-ctx.Done()
			return ctx.Err()
		}
	})
	for range 12 {
		r := generate()
		r.ID = fleet.RequestID(uuid.NewString())
		r.Timeout = 30 * time.Millisecond
		if _, err := w.ask(r); err == nil {
			t.Fatal("request succeeded")
		}
	}
	r := generate()
	if queued, inUse := w.entry.queue.Depth(poolOf(&r)); queued != 0 || inUse != 0 {
		t.Errorf("%d queued, %d permits in use", queued, inUse)
	}
	for _, s := range w.entry.table.Snapshot(time.Now()) {
		if s.InFlight != 0 {
			t.Errorf("target %s counts %d requests", s.VM, s.InFlight)
		}
	}
}

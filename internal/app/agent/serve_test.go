package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
	"github.com/masticwing/masticwing/internal/standin/engine"
)

var targetClient = &http.Client{Timeout: 5 * time.Second}

func wantError(t *testing.T, err error, v verdict.Verdict, c verdict.Code) {
	t.Helper()
	if e := verdict.FromError(err); err == nil || e.Verdict != v || e.Code != c {
		t.Fatalf("got %v, want %s with %s", err, c, v)
	}
}

// waitServing waits until the agent serves version v.
func (b *testbed) waitServing(v string) {
	b.Helper()
	b.eventually("serving "+v, func() bool { st := b.agent.Status(); return st.Ready && string(st.Version) == v })
}

// TestServeCompleteResponse guards against a response that is incomplete or not
// from the pinned version, and against serving before a version is complete.
func TestServeCompleteResponse(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{CheckFence: true})
	_, _, err := b.serve(b.request("r0", "x"))
	wantError(t, err, verdict.NotRun, verdict.CodeNoConfiguration)
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.eventually("fetching", func() bool { return b.agent.Status().Progress.State == "fetching" })
	_, _, err = b.serve(b.request("r1", "x"))
	wantError(t, err, verdict.NotRun, verdict.CodeVersionNotServing)
	b.weights.Put("v1", []byte("weights one"))
	b.waitServing("v1")
	h, got, err := b.serve(b.request("r2", "hello"))
	if err != nil || h.Version != "v1" || h.ID != "r2" {
		t.Fatalf("head %+v, error %v", h, err)
	}
	if w := expectedResponse("r2", "v1", "weights one", "hello"); got != w {
		t.Fatalf("response %q, want %q", got, w)
	}
	if n := b.weights.LiveOutBytes.Load(); n != int64(len(got)) {
		t.Errorf("%d bytes charged to the link, want %d", n, len(got))
	}
	// The body of the refused request r1 used the link, too.
	if n := b.weights.LiveInBytes.Load(); n != int64(len("x")+len("hello")) {
		t.Errorf("%d bytes charged to the link in, want those of two bodies", n)
	}
	r := b.request("r3", "x")
	r.Group = "other"
	_, _, err = b.serve(r)
	wantError(t, err, verdict.NotRun, verdict.CodeVersionNotServing)
	rec := httptest.NewRecorder()
	b.metrics.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`agent_serve_seconds_count{class="summary",customer="c"} 1`,
		`agent_first_byte_seconds_count{class="summary",customer="c"} 1`,
		`agent_refusals_total{code="version_not_serving"} 2`,
		`agent_verdicts_total{verdict="ran"} 1`,
	} {
		if !strings.Contains(rec.Body.String(), line+"\n") {
			t.Errorf("metrics lack %s", line)
		}
	}
}

// TestVersionChangeUnderLoad guards against a response mixed from two versions,
// and against requests refused during a change with overlap keep-old.
func TestVersionChangeUnderLoad(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{CheckFence: true, TokenDelay: 2 * time.Millisecond})
	weights := map[string]string{"v1": "weights one", "v2": "weights two"}
	b.weights.Put("v1", []byte(weights["v1"]))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	var stop, sawNew atomic.Bool
	var wg conc.WaitGroup
	for worker := range 2 {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				id, body := fmt.Sprint("w", worker, "-", i), fmt.Sprint("body", i)
				h, got, err := b.serve(b.request(id, body))
				if err != nil {
					t.Errorf("request refused during the change: %v", err)
					return
				}
				v := string(h.Version)
				if got != expectedResponse(id, v, weights[v], body) {
					t.Errorf("response of %s is not entirely from %s", id, v)
				}
				if v == "v2" {
					sawNew.Store(true)
				}
			}
		})
	}
	b.directory.setDeclaration(declaration(2, "v2", declare.KeepOld))
	time.Sleep(50 * time.Millisecond)
	b.weights.Put("v2", []byte(weights["v2"]))
	b.waitServing("v2")
	b.eventually("a response from v2", sawNew.Load)
	b.eventually("v1 unloaded", func() bool {
		st, err := b.agent.deps.Engine.Status(context.Background())
		return err == nil && len(st.Loaded) == 1 && st.Loaded[0] == "v2"
	})
	stop.Store(true)
	wg.Wait()
}

// TestInvalidResponsesFail guards against responses of another version or of
// another request that reach the entry, and against a truncated response that
// looks complete.
func TestInvalidResponsesFail(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	for _, c := range []struct {
		fault string
		code  verdict.Code
	}{
		{`{"wrong_version":"v9"}`, verdict.CodeVersionMismatch},
		{`{"wrong_id":"r9"}`, verdict.CodeBrokenAnswer},
		{`{"cut_after":3}`, verdict.CodeTargetError},
	} {
		b.postToTarget("/faults", c.fault)
		_, _, err := b.serve(b.request("r1", "x"))
		wantError(t, err, verdict.MayHaveRun, c.code)
	}
	if l := b.agent.Load(); l.InFlight != 0 || l.BytesHeld != 0 {
		t.Fatalf("permits leaked: %+v", l)
	}
}

// TestBrokenStreamIsResumed guards against a response with missing or repeated
// parts after the engine's stream broke in the middle and was resumed.
func TestBrokenStreamIsResumed(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	b.postToTarget("/faults", `{"cut_after":3,"cut_once":true}`)
	_, got, err := b.serve(b.request("r1", "x"))
	if w := expectedResponse("r1", "v1", "w", "x"); err != nil || got != w {
		t.Fatalf("response %q, error %v, want %q", got, err, w)
	}
}

// TestNoResumeAtRestartedEngine guards against a broken stream that is resumed
// on an engine that has restarted, whose limit is lower than before.
func TestNoResumeAtRestartedEngine(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{TokenDelay: 20 * time.Millisecond})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	b.postToTarget("/faults", `{"cut_after":3,"cut_once":true}`)
	var wg conc.WaitGroup
	wg.Go(func() {
		b.eventually("a request runs", func() bool { return b.agent.Load().InFlight == 1 })
		b.postToTarget("/cold", "")
	})
	_, _, err := b.serve(b.request("r1", "x"))
	wg.Wait()
	wantError(t, err, verdict.MayHaveRun, verdict.CodeTargetError)
	b.waitServing("v1")
}

// TestCancelReachesEngine guards against an engine that continues to produce
// tokens after the caller has disconnected, and against an ignored deadline.
func TestCancelReachesEngine(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{TokenDelay: 20 * time.Millisecond})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	ctx, cancel := context.WithCancel(context.Background())
	ans, err := b.client.Serve(ctx, b.address, b.request("r1", `{"max_tokens":100000}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ans.Next(); err != nil {
		t.Fatal(err)
	}
	cancel()
	b.eventually("permit released", func() bool { return b.agent.Load().InFlight == 0 })
	r := b.request("r2", `{"max_tokens":100000}`)
	r.Timeout = 200 * time.Millisecond
	_, _, err = b.serve(r)
	wantError(t, err, verdict.MayHaveRun, verdict.CodeDeadline)
}

// TestEngineRestart guards against overload of a cold engine, and against an
// engine that stays without weights after a restart.
func TestEngineRestart(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{CheckFence: true, MaxRequests: 8, ColdRequests: 2, TokenDelay: time.Millisecond})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	flood := func() {
		var wg conc.WaitGroup
		var done atomic.Int64
		for worker := range 16 {
			wg.Go(func() {
				for i := range 40 {
					_, _, err := b.serve(b.request(fmt.Sprint(worker, "-", i), "x"))
					if err == nil {
						done.Add(1)
					} else if verdict.FromError(err).Verdict != verdict.NotRun {
						t.Errorf("request failed: %v", err)
					}
				}
			})
		}
		wg.Wait()
		if done.Load() == 0 {
			t.Error("no request was served")
		}
	}
	flood()
	b.eventually("warm", func() bool { return b.agent.Load().Limit == 8 })
	b.postToTarget("/restart", "")
	b.eventually("cold", func() bool { st := b.agent.Status(); return st.Ready && st.Load.Limit == 2 })
	flood()
	st, err := b.agent.deps.Engine.Status(context.Background())
	if err != nil || !strings.HasSuffix(st.BootID, "-2") {
		t.Fatalf("engine crashed under the load: status %+v, %v", st, err)
	}
}

// TestServeFromResumePoint guards against a target that continues the response
// of another target at the wrong line or from another version.
func TestServeFromResumePoint(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	r := b.request("r1", "hello")
	r.Resume, r.Version = 3, "v1"
	head, rest, err := b.serve(r)
	complete := expectedResponse("r1", "v1", "w", "hello")
	if head.Start != 3 {
		t.Errorf("stated start %d, want 3", head.Start)
	}
	if err != nil || !strings.HasSuffix(complete, rest) || strings.Count(rest, "\n") != 5 {
		t.Fatalf("rest %q, error %v, want the last 5 lines of %q", rest, err, complete)
	}
	r.Version = "v0"
	_, _, err = b.serve(r)
	wantError(t, err, verdict.NotRun, verdict.CodeVersionNotServing)
}

// TestCanceledRequestKeepsSlot guards against a request that gets the slot of a
// canceled one before the engine has noticed the cancellation. The engine would
// hold one request more than its limit and fail.
func TestCanceledRequestKeepsSlot(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{TokenDelay: 30 * time.Millisecond})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ans, err := b.client.Serve(ctx, b.address, b.request("r1", "x"), nil)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	_ = ans.Close()
	b.eventually("the slot is free", func() bool { return b.agent.Load().InFlight == 0 })
	if d := time.Since(start); d < cancelHoldTime {
		t.Errorf("slot was free %v after the cancel, want at least %v", d, cancelHoldTime)
	}
}

// TestCordonAndDrain guards against new requests on a cordoned or leaving agent,
// and against a graceful shutdown that interrupts a request.
func TestCordonAndDrain(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{TokenDelay: 10 * time.Millisecond})
	b.weights.Put("v1", []byte("w"))
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.waitServing("v1")
	d := declaration(2, "v1", declare.KeepOld)
	d.Cordons.Domains = map[fleet.Domain]bool{"a": true}
	b.directory.setDeclaration(d)
	b.eventually("cordon announced", func() bool { s := b.directory.get().self.Status; return s != nil && s.Cordoned })
	_, _, err := b.serve(b.request("r1", "x"))
	wantError(t, err, verdict.NotRun, verdict.CodeTargetCordoned)
	b.directory.setDeclaration(declaration(3, "v1", declare.KeepOld))
	b.eventually("cordon lifted", func() bool { return !b.agent.Status().Cordoned })

	var wg conc.WaitGroup
	wg.Go(func() {
		_, got, err := b.serve(b.request("r2", `{"max_tokens":60}`))
		if err != nil || got != expectedResponse("r2", "v1", "w", `{"max_tokens":60}`) {
			t.Errorf("a request in progress was interrupted: %v", err)
		}
	})
	b.eventually("request in progress", func() bool { return b.agent.Load().InFlight == 1 })
	wg.Go(func() {
		if !b.agent.Drain(10 * time.Second) {
			t.Error("drain did not wait for the request")
		}
	})
	b.eventually("leaving announced", func() bool { return b.directory.get().self.State == port.MemberLeaving })
	_, _, err = b.serve(b.request("r3", "x"))
	wantError(t, err, verdict.NotRun, verdict.CodeTargetLeaving)
	wg.Wait()
}

// drainNoticeClock fires only the timer of the drain notice.
type drainNoticeClock struct{ port.BootClock }

func (c drainNoticeClock) After(d time.Duration) <-chan time.Time {
	if d != drainNoticeTime {
		return nil
	}
	return c.BootClock.After(d)
}

// TestDrainWokenByLastRequest guards against a drain that polls for the end of
// the last request instead of being woken by it.
func TestDrainWokenByLastRequest(t *testing.T) {
	b := newTestbed(t, "engine", engine.Options{})
	a := New(b.agent.id, b.agent.deps)
	a.deps.Clock = drainNoticeClock{a.deps.Clock}
	a.requests.Start()
	drained := make(chan bool, 1)
	var wg conc.WaitGroup
	wg.Go(func() { drained <- a.Drain(time.Minute) })
	select {
	case <-drained:
		t.Fatal("drain did not wait for the request")
	case <-time.After(2 * drainNoticeTime):
	}
	a.requests.Done()
	select {
	case finished := <-drained:
		if !finished {
			t.Error("drain reported unfinished requests")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the end of the last request did not end the drain")
	}
	wg.Wait()
}

// TestCallsRunAtMostOnce guards against a call that runs twice for one key,
// against a lost response reported as not run, and against a call that runs
// without a key.
func TestCallsRunAtMostOnce(t *testing.T) {
	b := newTestbed(t, "service", engine.Options{})
	b.directory.setDeclaration(declaration(1, "v1", declare.KeepOld))
	b.eventually("ready", func() bool { return b.agent.Status().Ready })
	call := func(name, key string) port.ServeRequest {
		return port.ServeRequest{
			ID: "r-" + "1", Service: "s", Call: name, Customer: "c", Body: []byte("station 4"),
			IdempotencyKey: key, Timeout: 5 * time.Second,
		}
	}
	_, _, err := b.serve(call("log", ""))
	wantError(t, err, verdict.NotRun, verdict.CodeKeyRequired)
	_, _, err = b.serve(call("nope", ""))
	wantError(t, err, verdict.NotRun, verdict.CodeBadRequest)
	if _, got, err := b.serve(call("read", "")); err != nil || got != "read ok: station 4\n" {
		t.Fatalf("response %q, error %v", got, err)
	}
	h, first, err := b.serve(call("log", "k1"))
	if err != nil || h.Replayed {
		t.Fatalf("head %+v, error %v", h, err)
	}
	h, second, err := b.serve(call("log", "k1"))
	if err != nil || !h.Replayed || second != first {
		t.Fatalf("replay: head %+v, response %q, error %v", h, second, err)
	}
	reused := call("log", "k1")
	reused.Body = []byte("station 5")
	_, _, err = b.serve(reused)
	wantError(t, err, verdict.NotRun, verdict.CodeKeyReused)
	b.postToTarget("/faults", `{"lose_answers":true}`)
	_, _, err = b.serve(call("log", "k2"))
	wantError(t, err, verdict.MayHaveRun, verdict.CodeTargetLost)
	b.postToTarget("/faults", `{"refuse":true}`)
	_, _, err = b.serve(call("log", "k3"))
	wantError(t, err, verdict.NotRun, verdict.CodeTargetError)
	b.postToTarget("/faults", `{}`)
	_, _, err = b.serve(call("log", "k2"))
	wantError(t, err, verdict.MayHaveRun, verdict.CodeDuplicate)
	if _, _, err = b.serve(call("log", "k3")); err != nil {
		t.Fatalf("a refused call must be able to run again: %v", err)
	}
	b.ledger.Unavailable.Store(true)
	_, _, err = b.serve(call("log", "k4"))
	wantError(t, err, verdict.NotRun, verdict.CodeLedgerUnavailable)
	b.ledger.Unavailable.Store(false)
	b.checkEffects(map[string]int64{"k1": 1, "k2": 1, "k3": 1, "k4": 0})
	if got := b.ledger.State(port.LedgerKey{Service: "s", Customer: "c", Key: "k2"}); got != porttest.LedgerUnknown {
		t.Fatalf("record of a lost response is %q", got)
	}
}

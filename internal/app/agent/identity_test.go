package agent

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/otelmetrics"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/admission"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// hookedEngine runs hooks around calls to the engine and counts the calls. The
// hooks must be set before the calls start.
type hookedEngine struct {
	*porttest.Engine
	beforeGenerate             func()
	afterStatus                func(ctx context.Context) error
	statusCalls, generateCalls atomic.Int64
}

func (e *hookedEngine) Generate(ctx context.Context, r port.EngineRequest) (port.Answer, error) {
	if e.beforeGenerate != nil {
		e.beforeGenerate()
	}
	ans, err := e.Engine.Generate(ctx, r)
	if err == nil {
		e.generateCalls.Add(1)
	}
	return ans, err
}

// Status runs the hook after it has read the status, as if the response were
// delayed on its way.
func (e *hookedEngine) Status(ctx context.Context) (port.EngineStatus, error) {
	e.statusCalls.Add(1)
	status, _ := e.Engine.Status(ctx)
	if e.afterStatus != nil {
		if err := e.afterStatus(ctx); err != nil {
			return port.EngineStatus{}, err
		}
	}
	return status, nil
}

// discardSink discards a response and counts its frames.
type discardSink struct{ frames int }

func (d *discardSink) Head(port.AnswerHead, port.Load) error { return nil }
func (d *discardSink) Data([]byte) error                     { d.frames++; return nil }

// noTimerClock never fires a timer, so that no timeout passes on a slow machine.
type noTimerClock struct{ sysclock.Clock }

func (noTimerClock) After(time.Duration) <-chan time.Time { return nil }

// warmAgent is an agent that has reached its full limit and sends no probes, so
// that only requests can detect that the target has changed.
type warmAgent struct {
	*testing.T
	*Agent
	engine *hookedEngine
}

func newWarmAgent(t *testing.T, deps Deps, kind string) warmAgent {
	t.Helper()
	metrics, err := otelmetrics.New()
	if err != nil {
		t.Fatal(err)
	}
	deps.Clock, deps.Metrics, deps.Weights = noTimerClock{}, metrics, porttest.NewWeights()
	deps.Ledger, deps.Log = porttest.NewLedger(), logging.New(io.Discard, "agent", "vm1")
	a := New(Identity{VM: "vm1", Labels: declare.Labels{"kind": kind}}, deps)
	dec := declaration(1, "v1", declare.KeepOld)
	assigned := dec.Assign(a.id.machine())
	assigned.Limits.RampStep = 0
	a.updateSnapshot(func(v *snapshot) {
		v.declaration, v.assignment, v.reachable, v.ready = dec, assigned, true, true
	})
	a.admissions.Configure(a.targetKey, assigned.Limits, a.deps.Clock.Now())
	a.admissions.SetServing(a.targetKey, true, assigned.Version, a.deps.Clock.Now())
	return warmAgent{T: t, Agent: a}
}

func newEngineAgent(t *testing.T, checksIdentity bool) warmAgent {
	t.Helper()
	e := &hookedEngine{Engine: porttest.NewEngine()}
	if checksIdentity {
		e.RefuseOtherIdentity()
	}
	order := port.LoadOrder{Version: "v1", Fence: 1, Weights: &io.LimitedReader{}, Check: func() error { return nil }}
	if err := e.Load(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	w := newWarmAgent(t, Deps{Engine: e}, "engine")
	w.engine = e
	askedAt := w.deps.Clock.Now()
	status, _ := e.Engine.Status(t.Context())
	w.admissions.ObserveEngine(w.targetKey, newObservation(status, askedAt), askedAt)
	w.reachFullLimit()
	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { w.runIdentityQueries(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return w
}

func (w warmAgent) reachFullLimit() {
	w.Helper()
	for range 16 {
		w.admitRequests(1)()
	}
	w.wantLimit(testLimits.MaxRequests)
}

// admitRequests admits n requests and returns a function that releases them.
func (w warmAgent) admitRequests(n int) (release func()) {
	w.Helper()
	var ps []*admission.Permit
	for range n {
		p, err := w.admissions.Admit(w.targetKey, 1, w.deps.Clock.Now())
		if err != nil {
			w.Fatal(err)
		}
		ps = append(ps, p)
	}
	return func() {
		for _, p := range ps {
			p.Release(admission.Succeeded, w.deps.Clock.Now())
		}
	}
}

func (w warmAgent) wantLimit(n int) {
	w.Helper()
	if l := w.Load(); l.Limit != n {
		w.Fatalf("load %+v, want limit %d", l, n)
	}
}

func (w warmAgent) serveRequest(id string) error {
	r := port.ServeRequest{ID: "r", Group: "g", Body: []byte(id), Timeout: 10 * time.Second}
	return w.Serve(context.Background(), r, &discardSink{})
}

// TestChangeBetweenDecisionAndCall guards against a request that is admitted for
// a warm engine but runs on the cold one that replaced it before the call
// arrived. Together with the other requests in progress it would overload the
// cold engine.
func TestChangeBetweenDecisionAndCall(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(e *porttest.Engine)
		nextCode verdict.Code
	}{
		"caches lost": {(*porttest.Engine).LoseCaches, ""},
		"restart":     {func(e *porttest.Engine) { e.Restart("boot-2") }, verdict.CodeVersionNotServing},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEngineAgent(t, true)
			release := w.admitRequests(5)
			w.engine.beforeGenerate = func() { c.change(w.engine.Engine) }
			wantError(t, w.serveRequest("r1"), verdict.NotRun, verdict.CodeTargetWarming)
			w.wantLimit(testLimits.ColdRequests)
			if l := w.Load(); l.InFlight != 5 {
				t.Fatalf("the refused request kept its slot: %+v", l)
			}
			w.engine.beforeGenerate = nil
			wantError(t, w.serveRequest("r2"), verdict.NotRun, verdict.CodeTargetWarming)
			release()
			w.wantLimit(testLimits.ColdRequests)
			err := w.serveRequest("r3")
			if c.nextCode == "" && err != nil {
				t.Fatalf("the cold engine did not get a request within its limit: %v", err)
			}
			if c.nextCode != "" {
				wantError(t, err, verdict.NotRun, c.nextCode)
			}
			if n := w.engine.statusCalls.Load(); n != 0 {
				t.Errorf("%d status calls to an engine that checks the identity itself", n)
			}
			select {
			case <-w.probeNow:
			default:
				t.Error("no probe was triggered")
			}
		})
	}
}

// TestUncheckedEngine guards against a request beyond the cold limit on an
// engine that does not check the identity and has restarted or lost its caches
// since its last report.
func TestUncheckedEngine(t *testing.T) {
	for name, change := range map[string]func(e *porttest.Engine){
		"caches lost": (*porttest.Engine).LoseCaches,
		"restart":     func(e *porttest.Engine) { e.Restart("boot-2") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newEngineAgent(t, false)
			defer w.admitRequests(testLimits.ColdRequests)()
			if err := w.serveRequest("r1"); err != nil {
				t.Fatal(err)
			}
			change(w.engine.Engine)
			wantError(t, w.serveRequest("r2"), verdict.NotRun, verdict.CodeTargetWarming)
			w.wantLimit(testLimits.ColdRequests)
			if s, r := w.engine.statusCalls.Load(), w.engine.generateCalls.Load(); s != 2 || r != 1 {
				t.Errorf("%d status calls and %d requests at the engine, want 2 and 1", s, r)
			}
		})
	}
}

// TestOneStatusCallForAll guards against a status call for each waiting request,
// and against a request that is admitted on the result of a status call sent
// before the request arrived, since the engine may have changed in between.
func TestOneStatusCallForAll(t *testing.T) {
	w := newEngineAgent(t, false)
	defer w.admitRequests(testLimits.ColdRequests)()
	statusRead, proceed := make(chan struct{}, 8), make(chan struct{})
	w.engine.afterStatus = func(context.Context) error {
		statusRead <- struct{}{}
		<-proceed
		return nil
	}
	before := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { before <- w.serveRequest("before") })
	select {
	case <-statusRead:
	case <-time.After(5 * time.Second):
		t.Fatal("the engine's status was not queried")
	}
	w.engine.LoseCaches()
	const waiting = 4
	for i := range waiting {
		wg.Go(func() {
			if e := verdict.FromError(w.serveRequest(fmt.Sprint("after", i))); e.Code != verdict.CodeTargetWarming {
				t.Errorf("after the change: %v", e)
			}
		})
	}
	for w.requests.Count() != waiting+1 {
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(50 * time.Millisecond) // lets the requests join the identity query
	proceed <- struct{}{}
	if err := <-before; err != nil {
		t.Errorf("request from before the change failed: %v", err)
	}
	close(proceed)
	wg.Wait()
	if s, r := w.engine.statusCalls.Load(), w.engine.generateCalls.Load(); s != 2 || r != 1 {
		t.Errorf("%d status calls and %d requests at the engine, want 2 and 1", s, r)
	}
}

// TestSlowStatus guards against requests that wait for a slow status call. After
// a timeout they start on the engine's last report.
func TestSlowStatus(t *testing.T) {
	w := newEngineAgent(t, false)
	w.deps.Clock = sysclock.Clock{}
	defer w.admitRequests(testLimits.ColdRequests)()
	w.engine.afterStatus = func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	start := time.Now()
	if err := w.serveRequest("r1"); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(start); d < identityQueryTimeout || d > time.Second {
		t.Errorf("the request waited %v, want about %v", d, identityQueryTimeout)
	}
}

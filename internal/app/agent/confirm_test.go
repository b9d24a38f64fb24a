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

// hookedEngine calls functions before the engine gets a call. They are set
// before the calls start.
type hookedEngine struct {
	*porttest.Engine
	beforeGenerate func()
	beforeStatus   func(ctx context.Context) error
	statuses, runs atomic.Int64
}

func (e *hookedEngine) Generate(ctx context.Context, r port.EngineRequest) (port.Answer, error) {
	if e.beforeGenerate != nil {
		e.beforeGenerate()
	}
	ans, err := e.Engine.Generate(ctx, r)
	if err == nil {
		e.runs.Add(1)
	}
	return ans, err
}

// Status calls the hook after the status was taken, as if its answer were on
// the way.
func (e *hookedEngine) Status(ctx context.Context) (port.EngineStatus, error) {
	e.statuses.Add(1)
	st, _ := e.Engine.Status(ctx)
	if e.beforeStatus != nil {
		if err := e.beforeStatus(ctx); err != nil {
			return port.EngineStatus{}, err
		}
	}
	return st, nil
}

// discard is an answer's sink that counts its pieces.
type discard struct{ pieces int }

func (d *discard) Head(port.AnswerHead, port.Load) error { return nil }
func (d *discard) Data([]byte) error                     { d.pieces++; return nil }

// patientClock never ends a wait, so that a slow machine does not either.
type patientClock struct{ sysclock.Clock }

func (patientClock) After(time.Duration) <-chan time.Time { return nil }

// warmAgent is an agent without its probes, warmed to the full limit, so that
// only requests can find out that the target has changed.
type warmAgent struct {
	*testing.T
	*Agent
	engine *hookedEngine
}

func newWarmAgent(t *testing.T, d Deps, kind string) warmAgent {
	t.Helper()
	metrics, err := otelmetrics.New()
	if err != nil {
		t.Fatal(err)
	}
	d.Clock, d.Metrics, d.Weights = patientClock{}, metrics, porttest.NewWeights()
	d.Ledger, d.Log = porttest.NewLedger(), logging.New(io.Discard, "agent", "vm1")
	a := New(Identity{VM: "vm1", Labels: declare.Labels{"kind": kind}}, d)
	dec := declaration(1, "v1", declare.KeepOld)
	as := dec.Assign(a.id.machine())
	as.Limits.RampStep = 0
	a.change(func(v *view) { v.declaration, v.assign, v.up, v.ready = dec, as, true, true })
	a.adm.Configure(a.target, as.Limits, a.d.Clock.Now())
	a.adm.SetServing(a.target, true, as.Version, a.d.Clock.Now())
	return warmAgent{T: t, Agent: a}
}

func newEngineAgent(t *testing.T, checks bool) warmAgent {
	t.Helper()
	e := &hookedEngine{Engine: porttest.NewEngine()}
	if checks {
		e.CheckIdentity()
	}
	o := port.LoadOrder{Version: "v1", Fence: 1, Weights: &io.LimitedReader{}, Check: func() error { return nil }}
	if err := e.Load(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	w := newWarmAgent(t, Deps{Engine: e}, "engine")
	w.engine = e
	asked := w.d.Clock.Now()
	st, _ := e.Engine.Status(t.Context())
	w.adm.ObserveEngine(w.target, observation(st, asked), asked)
	w.warm()
	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { w.confirm(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return w
}

func (w warmAgent) warm() {
	w.Helper()
	for range 16 {
		w.hold(1)()
	}
	w.wantLimit(bedLimits.MaxRequests)
}

// hold counts n requests into the target and returns what releases them.
func (w warmAgent) hold(n int) (release func()) {
	w.Helper()
	var ps []*admission.Permit
	for range n {
		p, err := w.adm.Admit(w.target, 1, w.d.Clock.Now())
		if err != nil {
			w.Fatal(err)
		}
		ps = append(ps, p)
	}
	return func() {
		for _, p := range ps {
			p.Release(admission.Succeeded, w.d.Clock.Now())
		}
	}
}

func (w warmAgent) wantLimit(n int) {
	w.Helper()
	if l := w.Load(); l.Limit != n {
		w.Fatalf("load %+v, want limit %d", l, n)
	}
}

func (w warmAgent) ask(id string) error {
	r := port.ServeRequest{ID: "r", Group: "g", Body: []byte(id), Timeout: 10 * time.Second}
	return w.Serve(context.Background(), r, &discard{})
}

// TestChangeBetweenDecisionAndCall guards against a request that is admitted
// for a warm engine and runs at the one that takes its place before the call
// arrives: with other requests in progress, it overloads it.
func TestChangeBetweenDecisionAndCall(t *testing.T) {
	for name, c := range map[string]struct {
		change func(e *porttest.Engine)
		then   verdict.Code
	}{
		"caches lost": {(*porttest.Engine).Cold, ""},
		"restart":     {func(e *porttest.Engine) { e.Restart("boot-2") }, verdict.CodeVersionNotServing},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEngineAgent(t, true)
			release := w.hold(5)
			w.engine.beforeGenerate = func() { c.change(w.engine.Engine) }
			wantError(t, w.ask("r1"), verdict.NotRun, verdict.CodeTargetWarming)
			w.wantLimit(bedLimits.ColdRequests)
			if l := w.Load(); l.InFlight != 5 {
				t.Fatalf("the refused request kept its place: %+v", l)
			}
			w.engine.beforeGenerate = nil
			wantError(t, w.ask("r2"), verdict.NotRun, verdict.CodeTargetWarming)
			release()
			w.wantLimit(bedLimits.ColdRequests)
			err := w.ask("r3")
			if c.then == "" && err != nil {
				t.Fatalf("the cold engine is not used: %v", err)
			}
			if c.then != "" {
				wantError(t, err, verdict.NotRun, c.then)
			}
			if n := w.engine.statuses.Load(); n != 0 {
				t.Errorf("%d status calls to an engine that checks the identity itself", n)
			}
			select {
			case <-w.probes:
			default:
				t.Error("the controller is not told to look")
			}
		})
	}
}

// TestUncheckedEngine guards against a request beyond the cold limit in an
// engine that changed since its last report and does not check the identity.
func TestUncheckedEngine(t *testing.T) {
	for name, change := range map[string]func(e *porttest.Engine){
		"caches lost": (*porttest.Engine).Cold,
		"restart":     func(e *porttest.Engine) { e.Restart("boot-2") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newEngineAgent(t, false)
			defer w.hold(bedLimits.ColdRequests)()
			if err := w.ask("r1"); err != nil {
				t.Fatal(err)
			}
			change(w.engine.Engine)
			wantError(t, w.ask("r2"), verdict.NotRun, verdict.CodeTargetWarming)
			w.wantLimit(bedLimits.ColdRequests)
			if s, r := w.engine.statuses.Load(), w.engine.runs.Load(); s != 2 || r != 1 {
				t.Errorf("%d status calls and %d requests at the engine, want 2 and 1", s, r)
			}
		})
	}
}

// TestOneStatusCallForAll guards against a status call for each request, and
// against one that was under way before the change and decides after it.
func TestOneStatusCallForAll(t *testing.T) {
	w := newEngineAgent(t, false)
	defer w.hold(bedLimits.ColdRequests)()
	taken, goOn := make(chan struct{}, 8), make(chan struct{})
	w.engine.beforeStatus = func(context.Context) error {
		taken <- struct{}{}
		<-goOn
		return nil
	}
	before := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() { before <- w.ask("before") })
	select {
	case <-taken:
	case <-time.After(5 * time.Second):
		t.Fatal("the engine is not asked")
	}
	w.engine.Cold()
	const waiting = 4
	for i := range waiting {
		wg.Go(func() {
			if e := verdict.FromError(w.ask(fmt.Sprint("after", i))); e.Code != verdict.CodeTargetWarming {
				t.Errorf("after the change: %v", e)
			}
		})
	}
	for w.serving.Count() != waiting+1 {
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(50 * time.Millisecond) // the requests join the round
	goOn <- struct{}{}
	if err := <-before; err != nil {
		t.Errorf("came before the change, got %v", err)
	}
	close(goOn)
	wg.Wait()
	if s, r := w.engine.statuses.Load(), w.engine.runs.Load(); s != 2 || r != 1 {
		t.Errorf("%d status calls and %d requests at the engine, want 2 and 1", s, r)
	}
}

// TestSlowStatus guards against requests that wait for an engine whose status
// takes long; they start on its last report.
func TestSlowStatus(t *testing.T) {
	w := newEngineAgent(t, false)
	w.d.Clock = sysclock.Clock{}
	defer w.hold(bedLimits.ColdRequests)()
	w.engine.beforeStatus = func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	start := time.Now()
	if err := w.ask("r1"); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(start); d < confirmTimeout || d > time.Second {
		t.Errorf("the request waited %v, want about %v", d, confirmTimeout)
	}
}

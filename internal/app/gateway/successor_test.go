package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestSlowAnswerIsDelivered guards against an answer that a caller doesn't get because its target was slow and
// another one, to which the request was sent again, refused it or failed.
func TestSlowAnswerIsDelivered(t *testing.T) {
	const slow = 500 * time.Millisecond
	for name, c := range map[string]struct {
		first, second scriptedReply
		status        int
	}{
		"other target is full":    {scriptedReply{status: 200, delay: slow}, scriptedReply{err: errBusy}, 200},
		"other target is lost":    {scriptedReply{status: 200, delay: slow}, scriptedReply{err: errLost}, 200},
		"other target fails":      {scriptedReply{status: 200, delay: slow}, scriptedReply{status: 500}, 200},
		"both targets fail":       {scriptedReply{err: errLost, delay: slow}, scriptedReply{status: 500}, 500},
		"own target fails later":  {scriptedReply{err: errLost, delay: slow}, scriptedReply{status: 200, delay: slow}, 200},
		"own target says nothing": {scriptedReply{delay: time.Minute}, scriptedReply{status: 500}, 500},
		"other target is quicker": {scriptedReply{status: 500, delay: slow}, scriptedReply{status: 200}, 200},
	} {
		gw := newTestGateway(t, route, c.first, c.second)
		if out := gw.request(newInbound()); out.status != c.status || len(gw.forwarder.sent) != 2 {
			t.Errorf("%s: status %d, refused with %v, sent %d times", name, out.status, out.refused, len(gw.forwarder.sent))
		}
	}
}

// runStep is a part of a target's run: a pause, and then an event, or the end if it is not ok.
type runStep struct {
	after time.Duration
	ok    bool
}

// plannedRun is what a target does with a request: it refuses or loses it after a time, or sends events.
type plannedRun struct {
	respondsAfter time.Duration
	err           *verdict.Error
	steps         []runStep
}

// plannedTargets is a port.Forwarder with a plan for each target, by the time of the first request to it. It records
// the events that each target has sent.
type plannedTargets struct {
	noConnections
	plans []plannedRun

	mu   sync.Mutex
	runs int
	sent int
	// broken is set if a target broke off behind an event of its run.
	broken bool
	open   int
}

const plannedEvents = 4

func (p *plannedTargets) Forward(ctx context.Context, _ fleet.Address, f port.Forward) (*port.ForwardResponse, error) {
	p.mu.Lock()
	plan := p.plans[min(p.sent, len(p.plans)-1)]
	p.sent++
	p.mu.Unlock()
	if !f.MaySend() {
		return nil, verdict.Wrap(&port.RefusedError{Reason: port.RefusalWithdrawn}, verdict.NotRun, verdict.CodeTargetFull, "withdrawn")
	}
	err := wait(ctx, plan.respondsAfter)
	p.mu.Lock()
	defer p.mu.Unlock()
	if plan.err == nil || plan.err.Verdict != verdict.NotRun {
		p.runs++
	}
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTargetLost, "no response")
	}
	if plan.err != nil {
		return nil, plan.err
	}
	next := 1
	if f.ResumeAfter != "" {
		if _, err := fmt.Sscan(f.ResumeAfter, &next); err != nil {
			return nil, err
		}
		next++
	}
	p.open++
	return &port.ForwardResponse{Status: 200, Length: -1, Body: &plannedBody{p: p, ctx: ctx, steps: plan.steps, next: next, first: next}}, nil
}

type plannedBody struct {
	p           *plannedTargets
	ctx         context.Context
	steps       []runStep
	next, first int
}

func (b *plannedBody) Read(out []byte) (int, error) {
	if b.next > plannedEvents {
		return 0, io.EOF
	}
	step := runStep{ok: true}
	if len(b.steps) > 0 {
		step, b.steps = b.steps[0], b.steps[1:]
	}
	if err := wait(b.ctx, step.after); err != nil {
		return 0, err
	}
	if !step.ok {
		if b.next > b.first {
			b.p.mu.Lock()
			b.p.broken = true
			b.p.mu.Unlock()
		}
		return 0, io.ErrUnexpectedEOF
	}
	n := copy(out, fmt.Sprintf("id: %d\ndata: x\n\n", b.next))
	b.next++
	return n, nil
}

func (b *plannedBody) Close() error {
	b.p.mu.Lock()
	defer b.p.mu.Unlock()
	b.p.open--
	return nil
}

// TestStreamIsCutByItsTargetsOnly guards against a stream that is cut, or whose events are lost or repeated, although
// its target goes on after a pause, whatever another target does that got the request meanwhile; against more runs
// than the route allows; and against places in targets and responses that are kept after the request.
func TestStreamIsCutByItsTargetsOnly(t *testing.T) {
	pauses := []time.Duration{0, 100 * time.Millisecond, 1250 * time.Millisecond, 1400 * time.Millisecond, 2 * time.Second, 2700 * time.Millisecond}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) runStep {
		return runStep{rapid.SampledFrom(pauses).Draw(t, "pause"), rapid.IntRange(0, 5).Draw(t, "ends") > 0}
	}), 0, plannedEvents)
	run := rapid.Custom(func(t *rapid.T) plannedRun {
		return plannedRun{
			respondsAfter: rapid.SampledFrom(pauses).Draw(t, "responds after"),
			err:           rapid.SampledFrom([]*verdict.Error{nil, nil, nil, errBusy, errLost}).Draw(t, "error"),
			steps:         steps.Draw(t, "steps"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		r := streamingRoute
		r.MaxAttempts, r.Timeout = rapid.IntRange(1, 3).Draw(rt, "attempts"), 30*time.Second
		p := &plannedTargets{plans: rapid.SliceOfN(run, 3, 3).Draw(rt, "targets")}
		sound := p.plans[0].err == nil
		for _, s := range p.plans[0].steps {
			sound = sound && s.ok
		}
		var out *callerRecorder
		var inFlight float64
		synctest.Test(t, func(t *testing.T) {
			gw := newTestGateway(t, r)
			gw.deps.Targets = p
			gw.applyItem("targets/c", 1, port.TargetItem{Target: port.TargetRecord{Instance: "c", Service: "s", Address: "c", Domain: "b", Slots: 4}})
			in := newInbound()
			in.CallerTimeout = 30 * time.Second
			out = gw.request(in)
			for _, u := range gw.targets.Usage(time.Now(), 1) {
				inFlight += u.Requests
			}
		})
		var whole strings.Builder
		for n := 1; n <= plannedEvents; n++ {
			fmt.Fprintf(&whole, "id: %d\ndata: x\n\n", n)
		}
		body := out.body.String()
		if !strings.HasPrefix(whole.String(), body) || !out.aborted && out.status == 200 && body != whole.String() {
			rt.Errorf("body %q, aborted %v", body, out.aborted)
		}
		if sound && !p.broken && body != whole.String() {
			rt.Errorf("the first target is sound, but the caller got %q, refused with %v", body, out.refused)
		}
		if p.runs > r.MaxAttempts || p.open != 0 || inFlight != 0 {
			rt.Errorf("%d runs, %d allowed; %d responses and %v places are kept", p.runs, r.MaxAttempts, p.open, inFlight)
		}
	})
}

// TestLostSuccessorIsEvidence guards against a request that crashes one target after the other, where the gateway
// doesn't count those to which it was sent while the first one was silent.
func TestLostSuccessorIsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := streamingRoute
		r.Timeout = 10 * time.Second
		gw := newTestGateway(t, r, scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}, delay: 2 * time.Second}, scriptedReply{err: errLost})
		in := newInbound()
		in.CallerTimeout = 10 * time.Second
		out := gw.request(in)
		if out.status != 200 || !strings.Contains(gw.log.String(), "targets are lost under a subject") {
			t.Errorf("status %d, refused with %v, log %s", out.status, out.refused, gw.log)
		}
	})
}

// TestSuccessorNeedsMemory guards against a stream that is offered to an engine that has stated that it has no memory
// for it, while its own engine pauses.
func TestSuccessorNeedsMemory(t *testing.T) {
	for free, sends := range map[int]int{599: 1, 600: 2} {
		synctest.Test(t, func(t *testing.T) {
			r := streamingRoute
			r.Timeout = 10 * time.Second
			events := []string{"id: 1\ndata: x\n\n"}
			gw := newTestGateway(t, r, scriptedReply{status: 200, body: events, delay: 2 * time.Second}, scriptedReply{status: 200, body: events})
			gw.useEngines(r)
			gw.stopReports()
			for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
				time.AfterFunc(at, func() {
					for _, id := range []fleet.Instance{"a", "b"} {
						gw.targets.RecordLoad(id, placement.Load{Slots: 4, Memory: placement.Memory{Known: true, Free: free}}, time.Now())
					}
				})
			}
			in := newInbound()
			in.CallerTimeout, in.WorkEstimate.PromptTokens = 10*time.Second, 600
			if out := gw.request(in); out.status != 200 || len(gw.forwarder.sent) != sends {
				t.Errorf("memory for %d tokens: status %d, refused with %v, sent %d times, want %d", free, out.status, out.refused, len(gw.forwarder.sent), sends)
			}
			time.Sleep(time.Second)
		})
	}
}

// TestSuccessorEndsWithCaller guards against targets that work on a request after its caller has left.
func TestSuccessorEndsWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := streamingRoute
		r.Kind, r.Timeout = routes.Streaming, 10*time.Second
		p := &plannedTargets{plans: []plannedRun{{respondsAfter: time.Minute}}}
		gw := newTestGateway(t, r)
		gw.deps.Targets = p
		in := newInbound()
		in.CallerTimeout = 10 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		start := time.Now()
		gw.Serve(ctx, in, &callerRecorder{})
		if took := time.Since(start); took > 2*time.Second || p.sent != 2 {
			t.Errorf("ended after %v, sent %d times", took, p.sent)
		}
	})
}

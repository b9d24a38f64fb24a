package gateway

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

var (
	errLost   = verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "lost")
	errCut    = errors.New("cut")
	errBusy   = verdict.Wrap(&port.RefusedError{Reason: port.RefusedBusy}, verdict.NotRun, verdict.CodeTargetFull, "full")
	errOther  = verdict.Wrap(&port.RefusedError{Reason: port.RefusedInstance}, verdict.NotRun, verdict.CodeTargetFull, "other")
	streaming = func() routes.Route {
		r := route
		r.Kind, r.Resumable = routes.Streaming, true
		return r
	}()
	unsafeRoute = func() routes.Route {
		r := route
		r.Kind, r.MaxAttempts = routes.Unsafe, 1
		return r
	}()
)

// TestRepeats guards against a second run of a request that may run once, and
// against a request that fails although another target could serve it.
func TestRepeats(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   routes.Route
		replies []reply
		sends   int
		status  int
		verdict verdict.Verdict
	}{
		{"safe, lost", route, []reply{{err: errLost}}, 2, 200, 0},
		{"safe, lost twice", route, []reply{{err: errLost}, {err: errLost}}, 2, 0, verdict.MayHaveRun},
		{"safe, cut answer", route, []reply{{status: 200, body: []string{"o"}, end: errCut}}, 2, 200, 0},
		{"safe, failed", route, []reply{{status: 500, body: []string{"no"}}}, 2, 200, 0},
		{"safe, failed twice", route, []reply{{status: 500}, {status: 500}}, 2, 500, 0},
		{"safe, failed and lost", route, []reply{{status: 500}, {err: errLost}}, 2, 500, 0},
		{"safe, not found", route, []reply{{status: 404}}, 1, 404, 0},
		{"unsafe, lost", unsafeRoute, []reply{{err: errLost}}, 1, 0, verdict.MayHaveRun},
		{"unsafe, cut answer", unsafeRoute, []reply{{status: 200, body: []string{"o"}, end: errCut}}, 1, 0, verdict.MayHaveRun},
		{"unsafe, failed", unsafeRoute, []reply{{status: 500}}, 1, 500, 0},
		{"unsafe, refused", unsafeRoute, []reply{{err: errBusy}}, 2, 200, 0},
		{"unsafe, other instance", unsafeRoute, []reply{{err: errOther}}, 2, 200, 0},
		{"unsafe, refused and lost", unsafeRoute, []reply{{err: errBusy}, {err: errLost}}, 2, 0, verdict.MayHaveRun},
		{"unsafe, refused everywhere", unsafeRoute, []reply{{err: errBusy}, {err: errBusy}}, 2, 0, verdict.NotRun},
	} {
		b := newBed(t, c.route, c.replies...)
		out := b.ask(inbound())
		if len(b.target.sent) != c.sends || out.status != c.status {
			t.Errorf("%s: sent %d times, status %d", c.name, len(b.target.sent), out.status)
		}
		if c.status == 0 && (out.refused == nil || out.refused.Verdict != c.verdict) {
			t.Errorf("%s: refused with %v", c.name, out.refused)
		}
		if len(b.target.to) == 2 && b.target.to[0] == b.target.to[1] {
			t.Errorf("%s: sent to %s twice", c.name, b.target.to[0])
		}
	}
}

// TestStreamGoesOn guards against an event that is missing, comes twice or is cut
// when a stream goes on at another target, and against a second head.
func TestStreamGoesOn(t *testing.T) {
	b := newBed(t, streaming,
		reply{status: 200, body: []string{"id: 1\ndata: a\n\nid: 2\n", "data: b\n\nid: 3\nda"}, end: errCut},
		reply{status: 200, body: []string{"id: 3\ndata: c\n\n"}})
	out := b.ask(inbound())
	want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	if out.body.String() != want || out.aborted || out.header["X-Run"][0] != "1" {
		t.Errorf("%q, aborted %v, head %v", out.body.String(), out.aborted, out.header)
	}
	if len(b.target.sent) != 2 || b.target.sent[1].ResumeAfter != "2" {
		t.Errorf("sent %+v", b.target.sent)
	}
}

// TestStreamCutForGood guards against a stream that ends in the middle of an
// event, or without its rest, and looks whole.
func TestStreamCutForGood(t *testing.T) {
	once := streaming
	once.Resumable = false
	for name, c := range map[string]struct {
		route routes.Route
		end   error
	}{
		"not resumable": {once, errCut},
		"half an event": {once, nil},
	} {
		b := newBed(t, c.route, reply{status: 200, body: []string{"id: 1\n\nid: 2"}, end: c.end})
		out := b.ask(inbound())
		if !out.aborted || out.body.String() != "id: 1\n\n" || len(b.target.sent) != 1 {
			t.Errorf("%s: %q, aborted %v, sent %d times", name, out.body.String(), out.aborted, len(b.target.sent))
		}
	}
}

// TestSilentTarget guards against a request that waits at a silent target until
// its caller has left, although it may be sent again.
func TestSilentTarget(t *testing.T) {
	b := newBed(t, route, reply{wait: time.Minute})
	start := time.Now()
	out := b.ask(inbound())
	if out.status != 200 || len(b.target.sent) != 2 || time.Since(start) > 700*time.Millisecond {
		t.Errorf("status %d after %v, sent %d times", out.status, time.Since(start), len(b.target.sent))
	}
	b = newBed(t, unsafeRoute, reply{wait: time.Minute})
	if out = b.ask(inbound()); len(b.target.sent) != 1 || out.refused == nil || out.refused.Code != verdict.CodeDeadline {
		t.Errorf("unsafe: sent %d times, %v", len(b.target.sent), out.refused)
	}
}

// TestSilentTargetIsTheOnlyOne guards against a request that is taken from a
// silent target although no other has room, and fails for that reason.
func TestSilentTargetIsTheOnlyOne(t *testing.T) {
	b := newBed(t, route, reply{status: 200, body: []string{"late"}, wait: 500 * time.Millisecond})
	b.put("targets/b", 2, nil)
	if out := b.ask(inbound()); out.status != 200 || out.body.String() != "late" {
		t.Errorf("status %d, %v", out.status, out.refused)
	}
}

// TestDeadline guards against more time for a target than the caller has left,
// and against an answer that is held beyond the route's timeout.
func TestDeadline(t *testing.T) {
	short := route
	short.Timeout = 200 * time.Millisecond
	b := newBed(t, short, reply{wait: time.Minute}, reply{wait: time.Minute})
	start := time.Now()
	out := b.ask(inbound())
	if d := time.Since(start); out.refused == nil || d > 400*time.Millisecond {
		t.Errorf("%v after %v", out.refused, d)
	}
	if left := b.target.sent[0].Timeout; left > 200*time.Millisecond || left < 150*time.Millisecond {
		t.Errorf("the target was given %v", left)
	}
}

// TestKeys guards against a request whose key no configuration holds, or may no
// longer hold, and against the refusal of one that needs no key.
func TestKeys(t *testing.T) {
	anonymous := route
	anonymous.Anonymous = true
	for _, c := range []struct {
		name string
		r    routes.Route
		key  string
		age  time.Duration
		code verdict.Code
	}{
		{"known", route, "k", 0, ""},
		{"known, 4 s old", route, "k", 4 * time.Second, ""},
		{"unknown", route, "x", 0, verdict.CodeUnknownCustomer},
		{"none", route, "", 0, verdict.CodeUnknownCustomer},
		{"known, 5 s old", route, "k", 5 * time.Second, verdict.CodeStaleConfiguration},
		{"unknown, 5 s old", route, "x", 5 * time.Second, verdict.CodeStaleConfiguration},
		{"anonymous, 5 s old", anonymous, "", 5 * time.Second, ""},
	} {
		b := newBed(t, c.r)
		b.clock.forward(c.age)
		in := inbound()
		in.Key = c.key
		out := b.ask(in)
		if c.code == "" && out.status != 200 || c.code != "" && (out.refused == nil || out.refused.Code != c.code || out.refused.Verdict != verdict.NotRun) {
			t.Errorf("%s: status %d, %v", c.name, out.status, out.refused)
		}
		if c.code != "" && len(b.target.sent) > 0 {
			t.Errorf("%s: the request was sent", c.name)
		}
	}
	b := newBed(t, route)
	b.ask(inbound())
	if b.target.sent[0].Customer != "t" {
		t.Errorf("account %q", b.target.sent[0].Customer)
	}
}

// TestUnknownRoute guards against a 404 from a gateway that knows no
// configuration, and against requests after a stop.
func TestUnknownRoute(t *testing.T) {
	b := newBed(t, route)
	in := inbound()
	in.Path = "/q/"
	if out := b.ask(in); out.refused.Code != verdict.CodeUnknownService {
		t.Errorf("%v", out.refused)
	}
	b.refusing.Store(true)
	if out := b.ask(inbound()); out.refused.Code != verdict.CodeShuttingDown || out.refused.Verdict != verdict.NotRun {
		t.Errorf("%v", out.refused)
	}
	b.refusing.Store(false)
	b.picture.table.Store(nil)
	if out := b.ask(in); out.refused.Code != verdict.CodeNoConfiguration {
		t.Errorf("%v", out.refused)
	}
	if ok, _ := b.Ready(); ok {
		t.Error("ready without a configuration")
	}
}

// TestOlderConfiguration guards against a configuration that goes back to an
// older version, and an unreadable one that replaces it.
func TestOlderConfiguration(t *testing.T) {
	b := newBed(t, route)
	moved := route
	moved.Prefix = "/q/"
	b.configure(3, moved)
	b.configure(2, route)
	b.put("op/config", 9, nil)
	if v := b.picture.table.Load().Version; v != 3 {
		t.Errorf("version %d", v)
	}
	if out := b.ask(inbound()); out.refused == nil || out.refused.Code != verdict.CodeUnknownService {
		t.Errorf("a route of an older version serves: %v", out.refused)
	}
}

// TestCordon guards against work for a cordoned domain, also after the keys were
// listed again, and against a domain that stays cordoned.
func TestCordon(t *testing.T) {
	b := newBed(t, route)
	b.put("op/cordon/a", 2, port.CordonFact{Domain: "a"})
	for range 8 {
		b.ask(inbound())
	}
	for _, to := range b.target.to {
		if to != "b" {
			t.Errorf("sent to %s", to)
		}
	}
	b.picture.applyOperator(follow.Event{Reset: true}, b.clock.Now())
	b.target.to = nil
	for range 8 {
		b.ask(inbound())
	}
	if !strings.Contains(strings.Join(addresses(b), " "), "a") {
		t.Error("the domain stays cordoned")
	}
}

func addresses(b *bed) []string {
	var out []string
	for _, a := range b.target.to {
		out = append(out, string(a))
	}
	return out
}

// TestUnreadableTarget guards against an entry of another writer that names a
// target or harms another one.
func TestUnreadableTarget(t *testing.T) {
	b := newBed(t, route)
	b.put("targets/a", 2, nil)
	for range 4 {
		b.ask(inbound())
	}
	for _, to := range b.target.to {
		if to != "b" {
			t.Errorf("sent to %s", to)
		}
	}
}

// TestOldWeights guards against a request that begins on weights after newer ones
// have to be in use.
func TestOldWeights(t *testing.T) {
	now := time.Now()
	d := &declared{weights: map[fleet.Model][]naming{"m": addNaming(addNaming(nil, naming{2, now.Add(-7 * time.Second)}), naming{3, now})}}
	for age, want := range map[time.Duration]int64{0: 0, 2 * time.Second: 2, 9 * time.Second: 3} {
		if got := d.oldest("m", 8*time.Second, now.Add(age)); got != want {
			t.Errorf("after %v: oldest %d, want %d", age, got, want)
		}
	}
}

// TestCallerLeaves guards against a request that is sent on, or sent again, after
// its caller has gone.
func TestCallerLeaves(t *testing.T) {
	b := newBed(t, route, reply{wait: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	start := time.Now()
	b.Serve(ctx, inbound(), &caller{})
	if d := time.Since(start); d > 250*time.Millisecond || len(b.target.sent) != 1 {
		t.Errorf("ended after %v, sent %d times", d, len(b.target.sent))
	}
}

// TestLogLine guards against a request that ends without a line, or whose line
// does not tell the inputs of the decision.
func TestLogLine(t *testing.T) {
	b := newBed(t, route, reply{err: errLost}, reply{err: errLost})
	b.ask(inbound())
	for _, f := range []string{
		`"request":"1"`, `"outcome":"refused"`, `"sends":2`, `"runs":2`, `"config":1`, `"account":"t"`, `"target":`,
		`"verdict":"may-have-run"`, `"picture_age_ms":`, `"load_age_ms":`,
	} {
		if !strings.Contains(b.log.String(), f) {
			t.Errorf("no %s in %s", f, b.log.String())
		}
	}
}

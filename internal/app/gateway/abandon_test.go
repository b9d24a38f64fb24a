package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/pathcheck"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// newStreamGateway returns a gateway with streams of engines whose callers leave after 3.2 s
// without an event.
func newStreamGateway(t *testing.T, replies ...scriptedReply) *testGateway {
	r := streamingRoute
	r.Timeout, r.AbandonTimeout = 6*time.Second, 3200*time.Millisecond
	gw := newTestGateway(t, r, replies...)
	gw.useEngines(r)
	return gw
}

func streamInbound() *port.InboundRequest {
	in := newInbound()
	in.CallerTimeout = 6 * time.Second
	return in
}

// TestRetryThatWouldBeTooLateIsNotMade guards against a stream that is sent again to a target
// whose first events are so late that the caller leaves before: the first target may still
// respond in time.
func TestRetryThatWouldBeTooLateIsNotMade(t *testing.T) {
	t.Parallel()
	const body = "id: 1\ndata: a\n\n"
	gw := newStreamGateway(t, scriptedReply{status: 200, body: []string{body}, delay: streamStallTimeout + 100*time.Millisecond})
	for range 8 {
		gw.targets.RecordFirstEvent("b", 4*time.Second, 0, time.Now())
	}
	out := gw.request(streamInbound())
	if len(gw.forwarder.sent) != 1 || out.body.String() != body {
		t.Errorf("sent to %v, response %q, refused with %v", gw.forwarder.to, out.body.String(), out.refused)
	}
}

// TestSilentTargetCountsAsLate guards against a target that is not known to be late because its
// requests are given up before their first event.
func TestSilentTargetCountsAsLate(t *testing.T) {
	t.Parallel()
	gw := newStreamGateway(t, scriptedReply{delay: time.Minute}, scriptedReply{status: 200, body: []string{"id: 1\ndata: a\n\n"}})
	if out := gw.request(streamInbound()); out.status != 200 || len(gw.forwarder.sent) != 2 {
		t.Fatalf("status %d, sent to %v", out.status, gw.forwarder.to)
	}
	silent := fleet.Instance(gw.forwarder.to[0])
	q := placement.Query{Service: "s", Processes: 1, Tried: map[fleet.Instance]bool{fleet.Instance(gw.forwarder.to[1]): true}}
	c, out := gw.targets.Choose(q, time.Now().Add(failurePauseEnd), func(int) int { return 0 })
	if out != placement.Chosen || c.Instance != silent || c.ExpectedLateness <= 0 {
		t.Errorf("%v: %+v", out, c)
	}
}

// failurePauseEnd is longer than the pause of a target after its first failure.
const failurePauseEnd = 500 * time.Millisecond

// TestAbandonTimeoutBeginsAnewWithEachEvent guards against a stream that is not continued at another
// target because its first event was long ago.
func TestAbandonTimeoutBeginsAnewWithEachEvent(t *testing.T) {
	t.Parallel()
	const e1, e2, none = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", ":\n"
	for name, first := range map[string]scriptedReply{
		"ends":   {status: 200, body: []string{e1, e2, none}, bodyErr: errBodyCut, interval: 1200 * time.Millisecond},
		"silent": {status: 200, body: []string{e1, e2, none, none, none}, interval: 1200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := newStreamGateway(t, first, scriptedReply{status: 200, body: []string{"id: 3\ndata: c\n\n"}})
			if out := gw.request(streamInbound()); len(gw.forwarder.sent) != 2 || out.aborted {
				t.Errorf("sent to %v, response %q, refused with %v", gw.forwarder.to, out.body.String(), out.refused)
			}
		})
	}
}

// TestRetryNeedsQuickConnection guards against a request that is sent again over a full link, on
// which the cancellation arrives long after the caller has left. A request that has not run needs
// no new connection.
func TestRetryNeedsQuickConnection(t *testing.T) {
	t.Parallel()
	refusal := verdict.Wrap(&port.RefusedError{}, verdict.NotRun, verdict.CodeTargetFull, "full")
	for name, c := range map[string]struct {
		first scriptedReply
		want  time.Duration
	}{
		"silent":  {scriptedReply{delay: time.Minute}, retryConnectTimeout},
		"refused": {scriptedReply{err: refusal}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := newStreamGateway(t, c.first, scriptedReply{status: 200, body: []string{"id: 1\ndata: a\n\n"}})
			// The second target counts as one of the own domain, so that only the retry asks for a new connection.
			gw.paths = pathcheck.New("b")
			gw.paths.RecordArrival("a", time.Now())
			gw.request(streamInbound())
			if s := gw.forwarder.sent; len(s) != 2 || s[0].ConnectWithin != 0 || s[1].ConnectWithin != c.want {
				t.Errorf("sent %+v", s)
			}
		})
	}
}

// TestUnknownPathNeedsQuickConnection guards against a first request to another domain over a kept connection
// behind a link that has filled up since: it would reach its target after its caller has left.
func TestUnknownPathNeedsQuickConnection(t *testing.T) {
	t.Parallel()
	answer := scriptedReply{status: 200, body: []string{"id: 1\ndata: a\n\n"}}
	gw := newStreamGateway(t, answer, answer, answer)
	gw.paths = pathcheck.New("c")
	for i, want := range []time.Duration{pathConnectTimeout, 0} {
		gw.request(streamInbound())
		first := gw.forwarder.sent[len(gw.forwarder.sent)-1]
		if first.ConnectWithin != want {
			t.Errorf("request %d: connection within %v, want %v", i+1, first.ConnectWithin, want)
		}
		for _, d := range []fleet.Domain{"a", "b"} {
			gw.paths.RecordArrival(d, time.Now())
		}
	}
}

package gateway

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// events returns a stream of events with the given ids.
func events(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

// TestErrorPageIsNotAppendedToStream guards against a stream that continues with another target's error response.
func TestErrorPageIsNotAppendedToStream(t *testing.T) {
	for _, status := range []int{500, 404, 302} {
		gw := newTestGateway(t, streamingRoute,
			scriptedReply{status: 200, body: []string{events("1", "2")}, bodyErr: errBodyCut},
			scriptedReply{status: status, body: []string{"broken"}})
		out := gw.request(newInbound())
		if out.status != 200 || out.header["X-Run"][0] != "1" || out.body.String() != events("1", "2") || !out.aborted {
			t.Errorf("status %d: head %d %v, %q, aborted %v", status, out.status, out.header, out.body.String(), out.aborted)
		}
	}
}

// TestLaterRunContinuesAfterLastEvent guards against events of two runs that are joined into one stream.
func TestLaterRunContinuesAfterLastEvent(t *testing.T) {
	for name, ids := range map[string][]string{
		"starts again": {"1", "2", "3"},
		"repeats":      {"2", "3"},
		"skips":        {"4"},
		"no ids":       {""},
	} {
		gw := newTestGateway(t, streamingRoute,
			scriptedReply{status: 200, body: []string{events("1", "2")}, bodyErr: errBodyCut},
			scriptedReply{status: 200, body: []string{events(ids...)}})
		if out := gw.request(newInbound()); out.body.String() != events("1", "2") || !out.aborted {
			t.Errorf("%s: %q, aborted %v", name, out.body.String(), out.aborted)
		}
	}
}

// TestEmptyLaterRunDoesNotCompleteStream guards against a stream that broke off and looks complete because another target
// sent nothing.
func TestEmptyLaterRunDoesNotCompleteStream(t *testing.T) {
	for name, later := range map[string]scriptedReply{
		"empty": {status: 200}, "no content": {status: 204}, "blank lines": {status: 200, body: []string{"\n\n"}},
	} {
		gw := newTestGateway(t, streamingRoute, scriptedReply{status: 200, body: []string{events("1", "2")}, bodyErr: errBodyCut}, later)
		if out := gw.request(newInbound()); out.body.String() != events("1", "2") || !out.aborted {
			t.Errorf("%s: %q, aborted %v", name, out.body.String(), out.aborted)
		}
	}
}

// TestCommentIsNotEvent guards against a stream that is cut, and a target that counts as failed, because of a comment.
func TestCommentIsNotEvent(t *testing.T) {
	const comment = ": ping\n\n"
	for name, c := range map[string]struct {
		first, second scriptedReply
		body          string
	}{
		"before a break":        {scriptedReply{status: 200, body: []string{comment}, bodyErr: errBodyCut}, scriptedReply{status: 200, body: []string{events("1", "2")}}, events("1", "2")},
		"start of a later run":  {scriptedReply{status: 200, body: []string{events("1")}, bodyErr: errBodyCut}, scriptedReply{status: 200, body: []string{comment + events("2")}}, events("1", "2")},
		"behind the last event": {scriptedReply{status: 200, body: []string{events("1") + comment}}, scriptedReply{}, events("1") + comment},
	} {
		gw := newTestGateway(t, streamingRoute, c.first, c.second)
		if out := gw.request(newInbound()); out.body.String() != c.body || out.aborted {
			t.Errorf("%s: %q, aborted %v", name, out.body.String(), out.aborted)
		}
	}
}

// TestStatusOutOfRange guards against an interim or invalid status that is passed on as the response.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []int{0, 99, 100, 101, 103, 600} {
		gw := newTestGateway(t, unsafeRoute, scriptedReply{status: status})
		if out := gw.request(newInbound()); out.status != 0 || out.refused == nil || out.refused.Verdict != verdict.MayHaveRun {
			t.Errorf("status %d is passed on as %d, %v", status, out.status, out.refused)
		}
	}
}

// TestUncheckableStreamIsNotResumed guards against a later run whose first event cannot be checked.
func TestUncheckableStreamIsNotResumed(t *testing.T) {
	for name, body := range map[string]string{"other numbering": events("10", "20"), "no ids": "data: x\n\n"} {
		gw := newTestGateway(t, streamingRoute, scriptedReply{status: 200, body: []string{body}, bodyErr: errBodyCut})
		if out := gw.request(newInbound()); out.body.String() != body || !out.aborted || len(gw.forwarder.sent) != 1 {
			t.Errorf("%s: %q, aborted %v, sent %d times", name, out.body.String(), out.aborted, len(gw.forwarder.sent))
		}
	}
}

// TestCallersResumeIsChecked guards against events before the one after which the caller continues.
func TestCallersResumeIsChecked(t *testing.T) {
	in := newInbound()
	in.ResumeAfter = "12"
	gw := newTestGateway(t, streamingRoute, scriptedReply{status: 200, body: []string{events("1", "2")}}, scriptedReply{status: 200, body: []string{events("13")}})
	if out := gw.request(in); out.body.String() != events("13") || out.aborted || gw.forwarder.sent[1].ResumeAfter != "12" {
		t.Errorf("%q, aborted %v", out.body.String(), out.aborted)
	}
}

// TestStreamWithMissingEventIsAborted guards against a stream that looks complete although the target left out an event.
func TestStreamWithMissingEventIsAborted(t *testing.T) {
	notResumable := streamingRoute
	notResumable.Resumable = false
	gw := newTestGateway(t, notResumable, scriptedReply{status: 200, body: []string{events("1", "5")}})
	if out := gw.request(newInbound()); out.body.String() != events("1") || !out.aborted {
		t.Errorf("%q, aborted %v", out.body.String(), out.aborted)
	}
}

// TestStreamEndsWithItsCaller guards against a later run behind an event of which the caller received only a part.
func TestStreamEndsWithItsCaller(t *testing.T) {
	gw := newTestGateway(t, streamingRoute,
		scriptedReply{status: 200, body: []string{events("1"), events("2")}}, scriptedReply{status: 200, body: []string{events("3")}})
	if out := gw.respond(newInbound(), &callerRecorder{failAfter: 1}); len(gw.forwarder.sent) != 1 || !out.aborted {
		t.Errorf("sent %d times, %q, aborted %v", len(gw.forwarder.sent), out.body.String(), out.aborted)
	}
}

// slowStream returns a gateway whose first target sends pieces with an interval between them, and a request to it.
func slowStream(t *testing.T, interval time.Duration, pieces []string, second scriptedReply) (*testGateway, *port.InboundRequest) {
	const timeout = 5 * time.Second
	slow := streamingRoute
	slow.Timeout = timeout
	in := newInbound()
	in.CallerTimeout = timeout
	return newTestGateway(t, slow, scriptedReply{status: 200, body: pieces, interval: interval}, second), in
}

// TestBytesWithoutEventsAreSilence guards against a target that keeps a stream open with bytes that complete no event.
func TestBytesWithoutEventsAreSilence(t *testing.T) {
	t.Parallel()
	gw, in := slowStream(t, 50*time.Millisecond, append([]string{events("1")}, slices.Repeat([]string{"x"}, 80)...),
		scriptedReply{status: 200, body: []string{events("2")}})
	start := time.Now()
	out := gw.request(in)
	if took := time.Since(start); out.body.String() != events("1", "2") || out.aborted || took > eventStallFactor*streamStallTimeout+600*time.Millisecond {
		t.Errorf("%q after %v, aborted %v", out.body.String(), took, out.aborted)
	}
}

// TestSilenceWithoutRetry guards against a stream that is cut because its target is silent, although no retry is left.
func TestSilenceWithoutRetry(t *testing.T) {
	t.Parallel()
	gw, in := slowStream(t, streamStallTimeout+200*time.Millisecond, []string{events("1"), events("2")}, scriptedReply{})
	for gw.budgets.AllowRetry("s", gw.view.processes(), gw.clock.Now()) {
	}
	if out := gw.request(in); out.body.String() != events("1", "2") || out.aborted || len(gw.forwarder.sent) != 1 {
		t.Errorf("%q, aborted %v, sent %d times", out.body.String(), out.aborted, len(gw.forwarder.sent))
	}
}

// TestEventInPieces guards against a stream that leaves a target which sends an event in several slow pieces.
func TestEventInPieces(t *testing.T) {
	t.Parallel()
	gw, in := slowStream(t, 700*time.Millisecond, []string{events("1"), "id: 2\nda", "ta: x\n", "\n"}, scriptedReply{status: 500})
	if out := gw.request(in); out.body.String() != events("1", "2") || out.aborted || len(gw.forwarder.sent) != 1 {
		t.Errorf("%q, aborted %v, sent %d times", out.body.String(), out.aborted, len(gw.forwarder.sent))
	}
}

// TestSlowCallerIsNotSilence guards against a stream that leaves its target because the caller reads slowly.
func TestSlowCallerIsNotSilence(t *testing.T) {
	t.Parallel()
	gw, in := slowStream(t, time.Millisecond, []string{events("1"), events("2"), events("3")}, scriptedReply{status: 500})
	out := gw.respond(in, &callerRecorder{dataDelay: streamStallTimeout + 200*time.Millisecond})
	if out.body.String() != events("1", "2", "3") || out.aborted || len(gw.forwarder.sent) != 1 {
		t.Errorf("%q, aborted %v, sent %d times", out.body.String(), out.aborted, len(gw.forwarder.sent))
	}
}

package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// stoppedClock is a clock whose Now does not advance.
type stoppedClock struct {
	port.BootClock
	now time.Time
}

func (c stoppedClock) Now() time.Time { return c.now }

// TestOverloadedCallerReturnsWhenPlacesAreFree guards against a refusal that tells every
// caller the same delay, whatever the targets finish and however little time the caller has.
func TestOverloadedCallerReturnsWhenPlacesAreFree(t *testing.T) {
	gw := newTestGateway(t, route)
	now := time.Now()
	gw.deps.Clock = stoppedClock{gw.deps.Clock, now}
	fill := func(running int) {
		for _, id := range []fleet.Instance{"a", "b"} {
			gw.targets.RecordLoad(id, placement.Load{Running: running, Slots: 4}, now)
		}
	}
	retryAfter := func(left time.Duration) time.Duration {
		fill(100)
		in := newInbound()
		in.ReceivedAt, in.CallerTimeout = now, left
		out := gw.request(in)
		if out.refused == nil || out.refused.Code != verdict.CodeOverloaded || out.refused.Verdict != verdict.NotRun {
			t.Fatalf("response of a full service: %v", out.refused)
		}
		return out.refused.RetryAfter
	}
	if d := retryAfter(20 * time.Second); d < 500*time.Millisecond {
		t.Errorf("delay %v before any place became free, want at least 500ms", d)
	}
	if d := retryAfter(1200 * time.Millisecond); d > 400*time.Millisecond {
		t.Errorf("delay %v for a caller that has 1.2 s, want at most 400ms", d)
	}
	for range 20 {
		fill(0)
		if out := gw.request(newInbound()); out.status != 200 {
			t.Fatalf("response %d, refused with %v", out.status, out.refused)
		}
	}
	// A place every 50 ms, so from 75 to 225 ms.
	if d := retryAfter(20 * time.Second); d < 75*time.Millisecond || d > 225*time.Millisecond {
		t.Errorf("delay %v with 20 places freed in the last second, want 75ms to 225ms", d)
	}
	if !strings.Contains(gw.log.String(), `"place_interval_ms":50`) {
		t.Errorf("log without the interval of 50 ms:\n%s", gw.log.String())
	}
}

// TestLateCallerLeavesPlacesToThoseInTime guards against a caller that is late already and takes a place
// that callers in time need after an outage, and against one that is refused while nobody was.
func TestLateCallerLeavesPlacesToThoseInTime(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.settings.LimitLate = true
	gw.useEngines(route)
	gw.stopReports()
	fill := func(running int) {
		for _, id := range []fleet.Instance{"a", "b"} {
			gw.targets.RecordLoad(id, placement.Load{Running: running, Slots: 4}, time.Now())
		}
	}
	request := func(elapsed time.Duration) *callerRecorder {
		in := newInbound()
		in.CallerTimeout = route.Timeout - elapsed
		return gw.request(in)
	}
	fill(0)
	if out := request(time.Second); out.status != 200 {
		t.Errorf("a late caller is refused before any request found no room: %v", out.refused)
	}
	fill(100)
	for i := range 40 {
		out := request(0)
		if out.refused == nil {
			t.Fatal("a request is served by full engines")
		}
		// From 24 arrivals in 3 s on those in time need all 8 places, so that no place becomes free for
		// the caller.
		if d := out.refused.RetryAfter; i >= 24 && d < route.Timeout/7 || d > route.Timeout/3 {
			t.Errorf("caller %d returns after %v, want the second half of a third of its time", i, d)
		}
	}
	fill(0)
	out := request(time.Second)
	if out.refused == nil || out.refused.Code != verdict.CodeOverloaded || out.refused.Verdict != verdict.NotRun {
		t.Errorf("a late caller gets status %d and %v while those in time need all places", out.status, out.refused)
	}
	if !strings.Contains(gw.log.String(), `"admission":"refused_late"`) {
		t.Errorf("log without the admission of a late caller:\n%s", gw.log.String())
	}
	if out := request(0); out.status != 200 {
		t.Errorf("a caller in time is refused: %v", out.refused)
	}
}

// TestLateCallersAreNotLimitedByDefault guards against late callers that are refused in a deployment that does
// not ask for the limit.
func TestLateCallersAreNotLimitedByDefault(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.useEngines(route)
	in := newInbound()
	in.CallerTimeout = route.Timeout / 2
	if out := gw.request(in); out.status != 200 || strings.Contains(gw.log.String(), `"admission"`) {
		t.Errorf("status %d, refused with %v, log:\n%s", out.status, out.refused, gw.log.String())
	}
}

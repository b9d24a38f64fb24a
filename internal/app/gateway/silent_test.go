package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestSilentEngineIsCheckedByConnection guards against a request that is sent on a kept connection to an
// engine that shows no sign of running, and against an engine that is given up although only its loader
// is gone.
func TestSilentEngineIsCheckedByConnection(t *testing.T) {
	unreachable := verdict.Wrap(&port.RefusedError{Reason: port.RefusalUnreachable}, verdict.NotRun, verdict.CodeTargetLost, "no connection")
	for name, c := range map[string]struct {
		replies []scriptedReply
		within  []time.Duration
		status  int
	}{
		"machine stands still": {[]scriptedReply{{err: unreachable}, {err: unreachable}}, []time.Duration{silentConnectTimeout, silentConnectTimeout}, 0},
		"loader is gone":       {[]scriptedReply{{status: 200, body: []string{"id: 1\ndata: x\n\n"}}}, []time.Duration{silentConnectTimeout, 0}, 200},
	} {
		gw := newTestGateway(t, streamingRoute, c.replies...)
		gw.useEngines(streamingRoute)
		// The loaders have stopped some time ago.
		gw.stopReports()
		for _, id := range []fleet.Instance{"a", "b"} {
			gw.targets.RecordLoad(id, placement.Load{Slots: 4}, time.Now().Add(-5*time.Second))
		}
		out := gw.request(newInbound())
		if out.status != c.status || c.status == 0 && (out.refused == nil || out.refused.Verdict != verdict.NotRun) {
			t.Errorf("%s: status %d, refused with %v", name, out.status, out.refused)
		}
		if c.status == 200 {
			// The engine has answered, so that it is in use as before.
			gw.request(newInbound())
		}
		for i, f := range gw.forwarder.sent {
			if i >= len(c.within) || f.ConnectWithin != c.within[i] {
				t.Errorf("%s: attempt %d has to connect within %v", name, i, f.ConnectWithin)
			}
		}
		if len(gw.forwarder.sent) != len(c.within) {
			t.Errorf("%s: sent %d times, want %d", name, len(gw.forwarder.sent), len(c.within))
		}
	}
}

// TestStandingEngineIsGivenUp guards against a caller that waits in vain for an engine whose machine stands
// still, and whose request the engine runs at its wake, after the caller has left; and against a slow
// response that is cut although the engine, or its loader, shows that it runs.
func TestStandingEngineIsGivenUp(t *testing.T) {
	const abandon, slow = 2 * time.Second, 2500 * time.Millisecond
	for name, c := range map[string]struct {
		reports  bool
		attempts int
		status   int
	}{
		"stands still":                 {false, 2, 0},
		"stands still, may not repeat": {false, 1, 0},
		"is slow":                      {true, 1, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := streamingRoute
			r.MaxAttempts, r.AbandonTimeout, r.Timeout = c.attempts, abandon, 6*time.Second
			gw := newTestGateway(t, r, scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}, delay: slow})
			gw.useEngines(r)
			if !c.reports {
				gw.stopReports()
			}
			in := newInbound()
			in.CallerTimeout = 6 * time.Second
			start := time.Now()
			out := gw.request(in)
			took := time.Since(start)
			if out.status != c.status || len(gw.forwarder.sent) != 1 {
				t.Errorf("status %d, sent %d times, refused with %v", out.status, len(gw.forwarder.sent), out.refused)
			}
			if c.status == 0 && (out.refused == nil || out.refused.Verdict != verdict.MayHaveRun || took >= abandon || took < abandon/2) {
				t.Errorf("refused with %v after %v; want an error that it may have run, before the caller leaves after %v", out.refused, took, abandon)
			}
		})
	}
}

// TestPausedGatewayGivesNothingUp guards against streams that are cut because the gateway itself stood still: its
// reports are old then, and the events of its streams wait to be read.
func TestPausedGatewayGivesNothingUp(t *testing.T) {
	gw := newTestGateway(t, streamingRoute)
	gw.useEngines(streamingRoute)
	gw.stopReports()
	const abandon = 3200 * time.Millisecond
	start := time.Now()
	for name, c := range map[string]struct {
		late   time.Duration
		gaveUp bool
	}{"in time": {0, true}, "late": {4 * time.Second, false}} {
		now := start.Add(abandon + c.late)
		s := &stallWatch{now: func() time.Time { return now }, cancel: func() {}, abandonAfter: abandon, final: true, firesAt: start.Add(abandon)}
		s.timer = time.AfterFunc(time.Hour, func() {})
		s.silentAt, s.abandonAt = start, start.Add(abandon)
		gw.targets.RecordLoad("a", placement.Load{Slots: 4}, start)
		if s.expire(t.Context(), &call{g: gw.Gateway}, "a"); s.gaveUp != c.gaveUp {
			t.Errorf("%s: gave up: %v, want %v", name, s.gaveUp, c.gaveUp)
		}
		s.disarm()
	}
}

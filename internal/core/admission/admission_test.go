package admission

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

var (
	t0     = time.Unix(1000, 0)
	limits = declare.Limits{MaxRequests: 8, MaxBytes: 100, ColdRequests: 1, RampStep: time.Second, ColdFirstToken: 2 * time.Second}
)

// newReadyTable returns a table whose target "t" serves version v1.
func newReadyTable(l declare.Limits) *Table {
	table := New()
	table.Configure("t", l, t0)
	table.SetServing("t", true, "v1", t0)
	return table
}

func observation(boot string, loads int64, asked time.Time) Observation {
	return Observation{EngineIdentity: fleet.EngineIdentity{BootID: boot, LoadCount: loads}, AskedAt: asked}
}

func expectRefusal(t *testing.T, table *Table, n int64, now time.Time, want verdict.Code) {
	t.Helper()
	p, err := table.Admit("t", n, now)
	if p != nil || err == nil || err.Code != want || err.Verdict != verdict.NotRun {
		t.Fatalf("got permit %v, error %v, want not-run %s", p, err, want)
	}
}

// TestRefusals guards against refusals with the wrong code or verdict.
func TestRefusals(t *testing.T) {
	table := New()
	table.Configure("t", limits, t0)
	expectRefusal(t, table, 1, t0, verdict.CodeVersionNotServing)
	table.SetServing("t", true, "v1", t0)
	expectRefusal(t, table, 101, t0, verdict.CodeTooLarge)
	if _, err := table.Admit("t", 60, t0); err != nil {
		t.Fatal(err)
	}
	expectRefusal(t, table, 1, t0, verdict.CodeTargetWarming)
	table.SetCordoned("t", true)
	expectRefusal(t, table, 1, t0, verdict.CodeTargetCordoned)
	table.SetCordoned("t", false)
	table.SetLeaving("t")
	expectRefusal(t, table, 1, t0, verdict.CodeTargetLeaving)

	warm := newReadyTable(declare.Limits{MaxRequests: 2, MaxBytes: 100, ColdRequests: 2})
	if _, err := warm.Admit("t", 60, t0); err != nil {
		t.Fatal(err)
	}
	expectRefusal(t, warm, 41, t0, verdict.CodeTargetFull)
	if _, err := warm.Admit("t", 40, t0); err != nil {
		t.Fatal(err)
	}
	expectRefusal(t, warm, 0, t0, verdict.CodeTargetFull)
}

func runRequests(t *testing.T, table *Table, n int, o Outcome, now time.Time) {
	t.Helper()
	for range n {
		p, err := table.Admit("t", 1, now)
		if err != nil {
			t.Fatal(err)
		}
		p.Release(o, now)
	}
}

// TestRamp guards against a limit that is raised too early or by failed requests,
// and against one that is kept after a restart of the engine.
func TestRamp(t *testing.T) {
	table := newReadyTable(limits)
	now := t0
	step := func(n int, o Outcome, d time.Duration, want int) {
		t.Helper()
		runRequests(t, table, n, o, now)
		now = now.Add(d)
		if got := table.Load("t", now).Limit; got != want {
			t.Fatalf("limit is %d, want %d", got, want)
		}
	}
	step(3, Failed, 2*time.Second, 1)
	step(1, Succeeded, 0, 2) // the ramp step has passed during the failed requests
	step(5, Succeeded, time.Second/2, 2)
	step(0, Succeeded, time.Second/2, 4)
	step(3, Succeeded, time.Second, 4)
	step(1, Succeeded, 0, 8)
	step(20, Succeeded, time.Minute, 8)

	if table.ObserveEngine("t", observation("boot1", 1, now), now) {
		t.Fatal("the first report of an engine was taken for a restart")
	}
	old, err := table.Admit("t", 1, now)
	if err != nil {
		t.Fatal(err)
	}
	if !table.ObserveEngine("t", observation("boot1", 2, now), now) || table.Load("t", now).Limit != 1 {
		t.Fatal("a changed load count did not reset the target to its cold limit")
	}
	old.Release(Succeeded, now.Add(time.Hour))
	if got := table.Load("t", now.Add(time.Hour)).Limit; got != 1 {
		t.Fatalf("a request admitted before the restart raised the limit to %d", got)
	}
	step(1, Succeeded, time.Second, 2)
	p, err := table.Admit("t", 1, now)
	if err != nil {
		t.Fatal(err)
	}
	if !p.RecordFirstToken(3*time.Second, now) || table.Load("t", now).Limit != 1 {
		t.Fatal("a slow first token did not reset the target to its cold limit")
	}
}

// TestCountInvariants guards against a count above the current limit and against
// permits that leak or are counted twice on release.
func TestCountInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := declare.Limits{
			MaxRequests:  rapid.IntRange(1, 12).Draw(t, "max"),
			MaxBytes:     rapid.Int64Range(1, 200).Draw(t, "bytes"),
			ColdRequests: rapid.IntRange(0, 12).Draw(t, "cold"),
			RampStep:     time.Second, ColdFirstToken: time.Second,
		}
		table, now := newReadyTable(l), t0
		var permits []*Permit
		var bytes int64
		boot := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				n := rapid.Int64Range(0, 60).Draw(t, "n")
				p, err := table.Admit("t", n, now)
				if err != nil {
					return
				}
				permits, bytes = append(permits, p), bytes+n
				got := table.Load("t", now)
				if got.InFlight > got.Limit || got.Bytes > l.MaxBytes || got.Limit > l.MaxRequests {
					t.Fatalf("admitted over the limit: %+v", got)
				}
			},
			"release": func(t *rapid.T) {
				if len(permits) == 0 {
					return
				}
				p := permits[0]
				permits, bytes = permits[1:], bytes-p.bytes
				o := rapid.SampledFrom([]Outcome{Failed, Succeeded, Unused}).Draw(t, "outcome")
				p.Release(o, now)
				p.Release(o, now)
			},
			"restart": func(*rapid.T) { boot++; table.ObserveEngine("t", observation("b", boot, now), now) },
			"wait":    func(*rapid.T) { now = now.Add(700 * time.Millisecond) },
			"": func(t *rapid.T) {
				got := table.Load("t", now)
				if got.InFlight != len(permits) || got.Bytes != bytes || table.PinnedRequests("t", "v1") != len(permits) {
					t.Fatalf("load %+v, want %d requests and %d bytes", got, len(permits), bytes)
				}
			},
		})
	})
}

// TestConcurrentAdmission guards against a wrong count when many requests run
// concurrently with restarts of the engine.
func TestConcurrentAdmission(t *testing.T) {
	table := newReadyTable(declare.Limits{MaxRequests: 4, ColdRequests: 4})
	var inFlight, maxInFlight atomic.Int64
	var wg conc.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for i := range 500 {
				if w == 0 {
					table.ObserveEngine("t", observation("b", int64(i), t0), t0)
				}
				p, err := table.Admit("t", 1, t0)
				if err != nil {
					continue
				}
				if n := inFlight.Add(1); n > maxInFlight.Load() {
					maxInFlight.Store(n)
				}
				inFlight.Add(-1)
				p.Release(Succeeded, t0)
			}
		})
	}
	wg.Wait()
	if l := table.Load("t", t0); l.InFlight != 0 || l.Bytes != 0 || maxInFlight.Load() > 4 {
		t.Fatalf("load %+v at the end, at most %d requests in the target at once", l, maxInFlight.Load())
	}
}

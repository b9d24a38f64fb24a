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

func ready(l declare.Limits) *Table {
	tb := NewTable()
	tb.Configure("t", l, t0)
	tb.SetServing("t", true, "v1", t0)
	return tb
}

func seen(boot string, loads int64, asked time.Time) Observation {
	return Observation{EngineIdentity: fleet.EngineIdentity{BootID: boot, LoadCount: loads}, AskedAt: asked}
}

func mustRefuse(t *testing.T, tb *Table, n int64, now time.Time, want verdict.Code) {
	t.Helper()
	p, err := tb.Admit("t", n, now)
	if p != nil || err == nil || err.Code != want || err.Verdict != verdict.NotRun {
		t.Fatalf("got permit %v, error %v, want not-run %s", p, err, want)
	}
}

// TestRefusals guards against a refusal with the wrong reason or verdict.
func TestRefusals(t *testing.T) {
	tb := NewTable()
	tb.Configure("t", limits, t0)
	mustRefuse(t, tb, 1, t0, verdict.CodeVersionNotServing)
	tb.SetServing("t", true, "v1", t0)
	mustRefuse(t, tb, 101, t0, verdict.CodeTooLarge)
	if _, err := tb.Admit("t", 60, t0); err != nil {
		t.Fatal(err)
	}
	mustRefuse(t, tb, 1, t0, verdict.CodeTargetWarming)
	tb.SetCordoned("t", true)
	mustRefuse(t, tb, 1, t0, verdict.CodeTargetCordoned)
	tb.SetCordoned("t", false)
	tb.SetLeaving("t")
	mustRefuse(t, tb, 1, t0, verdict.CodeTargetLeaving)

	warm := ready(declare.Limits{MaxRequests: 2, MaxBytes: 100, ColdRequests: 2})
	if _, err := warm.Admit("t", 60, t0); err != nil {
		t.Fatal(err)
	}
	mustRefuse(t, warm, 41, t0, verdict.CodeTargetFull)
	if _, err := warm.Admit("t", 40, t0); err != nil {
		t.Fatal(err)
	}
	mustRefuse(t, warm, 0, t0, verdict.CodeTargetFull)
}

func run(t *testing.T, tb *Table, n int, o Outcome, now time.Time) {
	t.Helper()
	for range n {
		p, err := tb.Admit("t", 1, now)
		if err != nil {
			t.Fatal(err)
		}
		p.Release(o, now)
	}
}

// TestRamp guards against a limit that rises too early, for failed requests,
// or that survives a cold restart.
func TestRamp(t *testing.T) {
	tb := ready(limits)
	now := t0
	step := func(n int, o Outcome, d time.Duration, want int) {
		t.Helper()
		run(t, tb, n, o, now)
		now = now.Add(d)
		if got := tb.Load("t", now).Limit; got != want {
			t.Fatalf("limit is %d, want %d", got, want)
		}
	}
	step(3, Failed, 2*time.Second, 1)
	step(1, Succeeded, 0, 2) // the step passed while requests failed
	step(5, Succeeded, time.Second/2, 2)
	step(0, Succeeded, time.Second/2, 4)
	step(3, Succeeded, time.Second, 4)
	step(1, Succeeded, 0, 8)
	step(20, Succeeded, time.Minute, 8)

	if tb.ObserveEngine("t", seen("boot1", 1, now), now) {
		t.Fatal("the first report of an engine is no restart")
	}
	old, err := tb.Admit("t", 1, now)
	if err != nil {
		t.Fatal(err)
	}
	if !tb.ObserveEngine("t", seen("boot1", 2, now), now) || tb.Load("t", now).Limit != 1 {
		t.Fatal("a changed load count must make the target cold")
	}
	old.Release(Succeeded, now.Add(time.Hour))
	if got := tb.Load("t", now.Add(time.Hour)).Limit; got != 1 {
		t.Fatalf("a request from before the restart raised the limit to %d", got)
	}
	step(1, Succeeded, time.Second, 2)
	p, err := tb.Admit("t", 1, now)
	if err != nil {
		t.Fatal(err)
	}
	if !p.RecordFirstToken(3*time.Second, now) || tb.Load("t", now).Limit != 1 {
		t.Fatal("a slow first token must make the target cold")
	}
}

// TestCountProperty guards against a count above the limit in force and
// against permits that leak or are released twice.
func TestCountProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := declare.Limits{
			MaxRequests:  rapid.IntRange(1, 12).Draw(t, "max"),
			MaxBytes:     rapid.Int64Range(1, 200).Draw(t, "bytes"),
			ColdRequests: rapid.IntRange(0, 12).Draw(t, "cold"),
			RampStep:     time.Second, ColdFirstToken: time.Second,
		}
		tb, now := ready(l), t0
		var held []*Permit
		var bytes int64
		boot := int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				n := rapid.Int64Range(0, 60).Draw(t, "n")
				p, err := tb.Admit("t", n, now)
				if err != nil {
					return
				}
				held, bytes = append(held, p), bytes+n
				got := tb.Load("t", now)
				if got.InFlight > got.Limit || got.Bytes > l.MaxBytes || got.Limit > l.MaxRequests {
					t.Fatalf("admitted over the limit: %+v", got)
				}
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				p := held[0]
				held, bytes = held[1:], bytes-p.bytes
				o := rapid.SampledFrom([]Outcome{Failed, Succeeded, Unused}).Draw(t, "outcome")
				p.Release(o, now)
				p.Release(o, now)
			},
			"restart": func(*rapid.T) { boot++; tb.ObserveEngine("t", seen("b", boot, now), now) },
			"wait":    func(*rapid.T) { now = now.Add(700 * time.Millisecond) },
			"": func(t *rapid.T) {
				got := tb.Load("t", now)
				if got.InFlight != len(held) || got.Bytes != bytes || tb.PinnedRequests("t", "v1") != len(held) {
					t.Fatalf("count %+v, held %d requests and %d bytes", got, len(held), bytes)
				}
			},
		})
	})
}

// TestConcurrent guards against a count that is wrong when many requests race
// with cold restarts.
func TestConcurrent(t *testing.T) {
	tb := ready(declare.Limits{MaxRequests: 4, ColdRequests: 4})
	var in, worst atomic.Int64
	var wg conc.WaitGroup
	for w := range 16 {
		wg.Go(func() {
			for i := range 500 {
				if w == 0 {
					tb.ObserveEngine("t", seen("b", int64(i), t0), t0)
				}
				p, err := tb.Admit("t", 1, t0)
				if err != nil {
					continue
				}
				if n := in.Add(1); n > worst.Load() {
					worst.Store(n)
				}
				in.Add(-1)
				p.Release(Succeeded, t0)
			}
		})
	}
	wg.Wait()
	if l := tb.Load("t", t0); l.InFlight != 0 || l.Bytes != 0 || worst.Load() > 4 {
		t.Fatalf("load %+v after the end, at most %d in the target", l, worst.Load())
	}
}

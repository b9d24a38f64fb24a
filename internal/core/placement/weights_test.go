package placement

import (
	"math"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/weightsbound"
)

// TestBurstStartsBeforeWeightsExpire guards against requests that start on old weights after
// their bound because many arrive at an engine shortly before it: an engine prefills all
// prompts that have arrived before the first of them starts.
func TestBurstStartsBeforeWeightsExpire(t *testing.T) {
	const prefill, decode = 70 * time.Millisecond, 45 * time.Millisecond
	for _, left := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second} {
		table := NewTable()
		table.Set(engine("e", 16))
		q := Query{
			Service: "llm", OwnDomain: "a", NeedsWeights: true, Processes: 8, Prefill: prefill, Decode: decode,
			WeightsLimit: func(version int64) (weightsbound.Limit, bool) {
				return weightsbound.Limit{Left: left, Declared: 2}, version < 2
			},
		}
		sent := 0
		for range 20 {
			report(table, "e", Load{Slots: 16, Running: sent, EnforcedWeights: 2}, start)
			if _, out := table.Choose(q, start, func(int) int { return 0 }); out != Chosen {
				break
			}
			sent++
		}
		// The requests are prefilled in one iteration and then start together.
		if starts := time.Duration(sent)*prefill + decode; sent > 0 && starts > left {
			t.Errorf("%d requests are sent with %v left and start after %v", sent, left, starts)
		}
		if fit := int(float64(left) / startTimeFactor / float64(prefill+decode)); sent < min(fit, 16) {
			t.Errorf("%d requests are sent with %v left, at least %d start in time", sent, left, min(fit, 16))
		}
	}
}

// TestSlowEngineExpiresEarlier guards against a request that starts too late at an engine whose
// first events were late, and against a limit on an engine with the newest weights.
func TestSlowEngineExpiresEarlier(t *testing.T) {
	for version, want := range map[int64]Outcome{1: AllFull, 2: Chosen} {
		table, e := NewTable(), engine("e", 16)
		e.WeightsVersion = version
		table.Set(e)
		report(table, "e", Load{Slots: 16, EnforcedWeights: 2}, start)
		for range 5 {
			table.RecordFirstEvent("e", 2*time.Second, 0, start)
		}
		q := Query{
			Service: "llm", OwnDomain: "a", NeedsWeights: true, Processes: 1, Prefill: 70 * time.Millisecond,
			WeightsLimit: func(version int64) (weightsbound.Limit, bool) {
				return weightsbound.Limit{Left: time.Second, Declared: 2}, version < 2
			},
		}
		if _, out := table.Choose(q, start, func(int) int { return 0 }); out != want {
			t.Errorf("version %d: %v, want %v", version, out, want)
		}
		q.WeightsLimit = func(int64) (weightsbound.Limit, bool) {
			return weightsbound.Limit{Left: math.MaxInt64, Declared: 2}, true
		}
		if _, out := table.Choose(q, start, func(int) int { return 0 }); out != Chosen {
			t.Errorf("version %d with much time left: %v", version, out)
		}
	}
}

// TestOldWeightsNeedLoaderNearBound guards against a request that is sent to old weights shortly
// before their bound and starts after it, because it is delayed on its way and nothing at the
// target ends the use of the weights: its loader has stopped, or does not know the declaration.
func TestOldWeightsNeedLoaderNearBound(t *testing.T) {
	for name, c := range map[string]struct {
		left     time.Duration
		enforced int64
		age      time.Duration
		want     Outcome
	}{
		"far from the bound":           {enforcedTime + time.Second, 0, 0, Chosen},
		"enforced":                     {2 * time.Second, 2, 0, Chosen},
		"newer declaration enforced":   {2 * time.Second, 3, 0, Chosen},
		"declaration is not known":     {2 * time.Second, 1, 0, AllFull},
		"loader of an older build":     {2 * time.Second, 0, 0, AllFull},
		"loader has stopped reporting": {2 * time.Second, 2, maxReportAge + time.Millisecond, AllFull},
	} {
		table := NewTable()
		table.Set(engine("e", 16))
		report(table, "e", Load{Slots: 16, EnforcedWeights: c.enforced}, start)
		q := Query{
			Service: "llm", OwnDomain: "a", NeedsWeights: true, Processes: 1,
			WeightsLimit: func(int64) (weightsbound.Limit, bool) { return weightsbound.Limit{Left: c.left, Declared: 2}, true },
		}
		if _, out := table.Choose(q, start.Add(c.age), func(int) int { return 0 }); out != c.want {
			t.Errorf("%s: %v, want %v", name, out, c.want)
		}
	}
}

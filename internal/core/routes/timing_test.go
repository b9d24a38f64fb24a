package routes

import (
	"math"
	"testing"
	"time"
)

// TestPrefillTimeIsBounded guards against a stated number of prompt tokens, or a configured
// speed, whose prefill time overflows or blocks an engine for hours: the time is added to
// what the engine still has to do, also if the engine refuses the request.
func TestPrefillTimeIsBounded(t *testing.T) {
	for _, speed := range []float64{math.SmallestNonzeroFloat64, 1e-9, 19100, math.MaxFloat64, -1, math.NaN(), math.Inf(1)} {
		for _, tokens := range []int{math.MinInt, -1, 0, 1, math.MaxUint32, math.MaxInt} {
			if d := (Timing{PrefillTokensPerSecond: speed}).PrefillTime(tokens); d < 0 || d > time.Minute {
				t.Errorf("%d tokens at %v/s take %v", tokens, speed, d)
			}
		}
	}
	if d := (Timing{DecodeStep: 24 * time.Hour, StepsPerIteration: math.MaxInt}).DecodeTime(); d < 0 || d > time.Minute {
		t.Errorf("one iteration decodes for %v", d)
	}
	if d := (Timing{DecodeStep: -time.Hour}).DecodeTime(); d < 0 {
		t.Errorf("one iteration decodes for %v", d)
	}
}

// TestWeightsOfSharesDoNotOverflow guards against a route without a service because the sum
// of its weights overflows.
func TestWeightsOfSharesDoNotOverflow(t *testing.T) {
	r := Route{Shares: []Share{{"a", math.MaxInt}, {"b", math.MaxInt}, {"c", 2}}}
	seen := map[string]bool{}
	for i := range uint64(1000) {
		s, ok := r.PickService(i * 0x9e3779b97f4a7c15)
		if !ok {
			t.Fatal("no service")
		}
		seen[string(s)] = true
	}
	if !seen["a"] || !seen["b"] {
		t.Errorf("services %v, want a and b", seen)
	}
}

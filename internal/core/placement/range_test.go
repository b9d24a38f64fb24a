package placement

import (
	"math"
	"testing"
	"time"
)

// TestColdRateDoesNotOverflow guards against a configured rate so small that the interval
// between requests overflows: where it becomes negative, a cold target gets all requests.
func TestColdRateDoesNotOverflow(t *testing.T) {
	for _, rate := range []float64{math.SmallestNonzeroFloat64, 1e-300, 1e-9, math.NaN()} {
		table := NewTable()
		x := engine("x", 100)
		x.ColdSince, x.ColdUntil = start.Add(-time.Hour), start.Add(time.Hour)
		table.Set(x)
		q := Query{Service: "llm", OwnDomain: "a", Processes: 3, ColdRequestsPerSecond: rate, ColdPhase: 0.5}
		sent := 0
		for i := range 100 {
			if _, out := table.Choose(q, start.Add(time.Duration(i)*time.Millisecond), func(int) int { return 0 }); out == Chosen {
				sent++
			}
		}
		if sent > 1 {
			t.Errorf("a cold target with a rate of %v/s got %d requests in 0.1 s", rate, sent)
		}
	}
}

// TestSlotsDoNotOverflow guards against a target that never has capacity because the sum of
// its slots and the allowed queue overflows.
func TestSlotsDoNotOverflow(t *testing.T) {
	table := NewTable()
	table.Set(engine("x", math.MaxInt))
	q := Query{Service: "llm", OwnDomain: "a", Processes: 1, MaxQueuedPerTarget: 1}
	if _, out := table.Choose(q, start, func(int) int { return 0 }); out != Chosen {
		t.Errorf("a target with all slots free is %v", out)
	}
	if u := table.Usage(start, 1)["llm"]; u.Slots <= 0 {
		t.Errorf("usage %+v", u)
	}
}

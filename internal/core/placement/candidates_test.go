package placement

import (
	"testing"
	"time"
)

// TestCandidates guards against all processes that send to the same engine, against a full engine that
// is chosen while others are free, and against a plain service whose best target is not chosen.
func TestCandidates(t *testing.T) {
	var x candidates
	for i := range 58 {
		x.add(Choice{EstimatedInFlight: float64(i)}, time.Duration((i*7)%58)*20*time.Millisecond)
	}
	chosen := map[float64]bool{}
	for i := range 7 {
		n := 0
		c := x.pick(true, func(m int) int { n = m; return i % m })
		chosen[c.EstimatedInFlight] = true
		if n != 5 {
			t.Errorf("chosen among %d engines, want the 5 within the margin of 80 ms", n)
		}
	}
	if len(chosen) != 5 || !chosen[0] {
		t.Errorf("chosen engines %v, want 5 with the best one", chosen)
	}
	x.pick(false, func(m int) int {
		if m != 1 {
			t.Errorf("chosen among %d targets of a plain service, want the best", m)
		}
		return 0
	})
}

// TestCandidatesStayInDomain guards against a spread that sends requests to another domain although the best
// engine is in the own one.
func TestCandidatesStayInDomain(t *testing.T) {
	var x candidates
	for i := range 58 {
		c := Choice{Domain: "a"}
		if i%2 == 1 {
			c.Domain = "b"
		}
		x.add(c, time.Duration(i)*time.Millisecond)
	}
	for i := range 8 {
		if c := x.pick(true, func(n int) int { return i % n }); c.Domain != "a" {
			t.Errorf("chosen in domain %s, the best engine is in a", c.Domain)
		}
	}
}

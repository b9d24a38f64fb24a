package descriptors

import "testing"

// TestBudget guards against shares that together exceed the descriptors, and against a gateway that is
// ready although it is about to refuse callers, or not ready because of idle connections to targets.
func TestBudget(t *testing.T) {
	for _, n := range []int{320, 512, 4100, 8192} {
		if b := Divide(n, 128, n); b.Callers+b.Refusals+b.Targets+reserved > n || b.PerTarget > b.Targets || b.Callers < 1 {
			t.Errorf("%d descriptors: %+v", n, b)
		}
	}
	b := Divide(2300, 128, 2300)
	for _, c := range []struct {
		u                  Usage
		admits, nearlyFull bool
	}{
		{Usage{0, 0, 0}, true, false},
		{Usage{899, 0, 0}, true, false},
		{Usage{900, 0, 0}, true, true},
		{Usage{1000, 0, 0}, false, true},
		{Usage{10, 1000, 900}, true, false},
		{Usage{10, 1000, 100}, true, true},
	} {
		if b.AdmitsCaller(c.u) != c.admits || b.NearlyFull(c.u) != c.nearlyFull {
			t.Errorf("%+v of %+v: admits a caller %v, nearly full %v", c.u, b, b.AdmitsCaller(c.u), b.NearlyFull(c.u))
		}
	}
	if b := Divide(2300, 128, 70); b.Callers != 70 {
		t.Errorf("%+v with memory for 70 callers", b)
	}
}

package placement

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShares guards against shares of processes with unequal arrivals that add up to more than the limit, also
// in a group that is cut off from the others, and against a busy process that gets no more than an idle one.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "processes")
		arrivals := rapid.SliceOfN(rapid.IntRange(0, 300), 1, n).Draw(t, "arrivals")
		sum, total := 0.0, 0
		shares := make([]float64, len(arrivals))
		for _, own := range arrivals {
			total += own
		}
		for i, own := range arrivals {
			a := NewArrivals(start)
			for range own {
				a.RecordOwn(start)
			}
			for range total - own {
				a.RecordOther(start)
			}
			shares[i] = a.Share(float64(n), start)
			sum += shares[i]
			if later := a.Share(float64(n), start.Add(time.Minute)); later != 1/float64(n) {
				t.Fatalf("share %v of %d processes long after the last arrival", later, n)
			}
		}
		if sum > 1+1e-9 {
			t.Fatalf("shares %v of %v add up to %v", shares, arrivals, sum)
		}
		for i := range shares {
			if total >= minArrivals && arrivals[i] > arrivals[0] && shares[i] < shares[0] {
				t.Fatalf("shares %v of %v", shares, arrivals)
			}
		}
	})
}

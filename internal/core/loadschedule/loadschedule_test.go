package loadturn

import (
	"testing"
	"time"
)

// TestTurns guards against engines that all leave service at once, and against
// one whose turn comes too late for the bound.
func TestTurns(t *testing.T) {
	start := time.Unix(1000, 0)
	const bound, count = 8 * time.Second, 24
	for rank := 1; rank < count; rank++ {
		a, b := At(start, bound, rank-1, count), At(start, bound, rank, count)
		if gap := b.Sub(a); gap < 100*time.Millisecond {
			t.Errorf("ranks %d and %d are %v apart", rank-1, rank, gap)
		}
	}
	if last := At(start, bound, count-1, count).Sub(start); last > bound*17/20 {
		t.Errorf("the last turn comes after %v of %v", last, bound)
	}
	if only := At(start, bound, 0, 1); only != start {
		t.Errorf("a single engine waits until %v", only)
	}
}

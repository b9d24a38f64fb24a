package loadschedule

import (
	"testing"
	"time"
)

// TestChangeTimes guards against engines that all leave service at once, and
// against an engine that changes too late for the bound.
func TestChangeTimes(t *testing.T) {
	const start = 1000 * time.Second
	const bound, count = 8 * time.Second, 24
	for rank := 1; rank < count; rank++ {
		a, b := ChangeTime(start, bound, rank-1, count), ChangeTime(start, bound, rank, count)
		if gap := b - a; gap < 100*time.Millisecond {
			t.Errorf("ranks %d and %d are %v apart", rank-1, rank, gap)
		}
	}
	if last := ChangeTime(start, bound, count-1, count) - start; last > bound*17/20 {
		t.Errorf("the last engine changes after %v of %v", last, bound)
	}
	if only := ChangeTime(start, bound, 0, 1); only != start {
		t.Errorf("a single engine waits until %v", only)
	}
}

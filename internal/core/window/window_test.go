package window

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSumCoversWindow guards against events that are lost within the window, counted after
// it, or counted twice after a gap.
func TestSumCoversWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Counter
		all := map[int64]int{}
		bucket := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			bucket += rapid.Int64Range(0, 14).Draw(t, "step")
			n := rapid.IntRange(0, 5).Draw(t, "n")
			c.Add(bucket, n)
			all[bucket] += n
			want := 0
			for b := bucket - Buckets; b <= bucket; b++ {
				want += all[b]
			}
			if got := c.Sum(bucket); got != want {
				t.Fatalf("sum at bucket %d is %d, want %d", bucket, got, want)
			}
		}
	})
}

// TestBucket guards against buckets that do not divide the window.
func TestBucket(t *testing.T) {
	base := time.Unix(100, 0)
	for after, want := range map[time.Duration]int64{0: 0, 99 * time.Millisecond: 0, 100 * time.Millisecond: 1, time.Second: 10} {
		if got := Bucket(base, base.Add(after), time.Second); got != want {
			t.Errorf("bucket after %v is %d, want %d", after, got, want)
		}
	}
}

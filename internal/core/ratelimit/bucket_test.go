package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRateIsKept guards against a bucket that exceeds its rate when
// reservations and live traffic are mixed.
func TestRateIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1000, 1<<24).Draw(t, "rate")
		start := time.Unix(100, 0)
		b := NewBucket(rate, start)
		now, total := start, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			n := rapid.IntRange(1, 1<<16).Draw(t, "n")
			total += n
			if rapid.Bool().Draw(t, "live") {
				b.Charge(now, n)
				continue
			}
			now = now.Add(b.Reserve(now, n))
			allowed := float64(rate)*(now.Sub(start).Seconds()+burstDuration.Seconds()) + 1
			if float64(total) > allowed {
				t.Fatalf("%d bytes after %v at %d B/s", total, now.Sub(start), rate)
			}
		}
	})
}

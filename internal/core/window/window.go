// Package window counts events over a sliding time window.
package window

import "time"

// Buckets is the number of buckets in a window. A Counter keeps one more, so that its sum
// covers at least a whole window.
const Buckets = 10

// Bucket returns the number of the bucket that holds now, in a window of the given length
// whose buckets are numbered from base.
func Bucket(base, now time.Time, window time.Duration) int64 {
	return int64(now.Sub(base) / max(1, window/Buckets))
}

// Counter holds the counts of the newest buckets in a ring. It does no locking; the bucket
// numbers passed to it never matter for their absolute value.
type Counter struct {
	newest int64
	counts [Buckets + 1]int
}

// Add counts n events in a bucket. Events of a bucket before the newest one count there.
func (c *Counter) Add(bucket int64, n int) {
	c.advance(bucket)
	c.counts[c.newest%int64(len(c.counts))] += n
}

// Sum returns the number of events in the window that ends with a bucket.
func (c *Counter) Sum(bucket int64) int {
	c.advance(bucket)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance makes a bucket the newest one, unless it is older.
func (c *Counter) advance(bucket int64) {
	if bucket-c.newest > Buckets {
		*c = Counter{newest: bucket}
	}
	for c.newest < bucket {
		c.newest++
		c.counts[c.newest%int64(len(c.counts))] = 0
	}
}

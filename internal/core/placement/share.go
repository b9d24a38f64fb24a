package placement

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/window"
)

const (
	// arrivalWindow is the time over which arrivals are counted.
	arrivalWindow = 10 * time.Second
	// minArrivals is the number of arrivals from which parts of them say something.
	minArrivals = 100
	// maxShares is the greatest share of a process in equal shares.
	maxShares = 2
)

// Arrivals counts the requests that arrive at this process and at the others, as far as notices tell. From
// them follows its share of a limit that all processes keep together.
type Arrivals struct {
	mu          sync.Mutex
	base        time.Time
	own, others window.Counter
}

// NewArrivals returns counts of zero. base must be before any use.
func NewArrivals(base time.Time) *Arrivals { return &Arrivals{base: base} }

// RecordOwn counts a request of which this process has told the others.
func (a *Arrivals) RecordOwn(now time.Time) { a.record(&a.own, now) }

// RecordOther counts a request of which another process has told.
func (a *Arrivals) RecordOther(now time.Time) { a.record(&a.others, now) }

func (a *Arrivals) record(c *window.Counter, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.Add(window.Bucket(a.base, now, arrivalWindow), 1)
}

// Share returns this process's share of a limit: half of it is divided equally, so that a process without
// recent arrivals can use some, and half by arrivals. The shares of processes that hear each other add up to
// 1 at most. It is an equal share if few requests were heard, or none of others: they may be cut off.
func (a *Arrivals) Share(processes float64, now time.Time) float64 {
	equal := 1 / max(processes, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	bucket := window.Bucket(a.base, now, arrivalWindow)
	own, others := float64(a.own.Sum(bucket)), float64(a.others.Sum(bucket))
	if others == 0 || own+others < minArrivals {
		return equal
	}
	return min(equal/2+own/(own+others)/2, maxShares*equal)
}

// coldShare returns ColdShare, or an equal share if it is not set.
func (q *Query) coldShare() float64 {
	if q.ColdShare > 0 {
		return q.ColdShare
	}
	return 1 / max(q.Processes, 1)
}

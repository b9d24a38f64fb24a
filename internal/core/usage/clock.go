// Package usage counts the requests that targets began to run, by client account and window of the wall
// clock, and decides what is reported of a window and when. It also holds the work that callers offer to
// each service. Times on the clock of the deployment are durations since the start of 1970; times since
// boot are those of the machine.
package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSlew is the largest change of the wall clock between two observations that is followed. Time
	// synchronisation slews by less than 1 ms a second; steps are of seconds.
	maxSlew = 250 * time.Millisecond
	// clockTolerance is the difference from the median that is not corrected. Notices take up to 40 ms
	// between regions. It moves a hundredth of a window of 5 s.
	clockTolerance = 50 * time.Millisecond
	// MinClocks is the smallest number of clocks of which one can be told to be wrong.
	MinClocks = 3
)

// Clock is the time of the deployment as one gateway knows it. It does not follow steps of the wall clock.
// One lock guards all fields.
type Clock struct {
	mu    sync.Mutex
	known bool
	// offset is that of the wall clock from the time since boot before any step, and correction what
	// the comparison with other gateways adds.
	offset, correction time.Duration
	stepped, compared  bool
}

// Observe records a reading of the wall clock. It reports whether the clock has begun to differ by a step
// from the time that is used, or has returned to it.
func (c *Clock) Observe(wall time.Time, sinceBoot time.Duration) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	measured := time.Duration(wall.UnixNano()) - sinceBoot
	if !c.known {
		c.known, c.offset = true, measured
	}
	stepped := (measured - c.offset).Abs() > maxSlew
	if !stepped {
		c.offset = measured
	}
	changed, c.stepped = stepped != c.stepped, stepped
	return changed
}

// Now returns the time of the deployment, or zero before the first observation.
func (c *Clock) Now(sinceBoot time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return sinceBoot + c.offset + c.correction
}

// Compare adopts the median of a number of clocks if this one differs from it, and returns by how much it
// was changed.
func (c *Clock) Compare(median time.Duration, clocks int, sinceBoot time.Duration) (change time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || clocks < MinClocks {
		return 0
	}
	c.compared = true
	change = median - (sinceBoot + c.offset + c.correction)
	if change.Abs() <= clockTolerance {
		return 0
	}
	c.correction += change
	return change
}

// Compared reports whether the clock was compared with those of other gateways.
func (c *Clock) Compared() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.compared
}

// Median returns the lower median of readings, or zero without any.
func Median(readings []time.Duration) time.Duration {
	if len(readings) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(readings))
	return sorted[(len(sorted)-1)/2]
}

// WindowAt returns the number of the window of a length that holds now.
func WindowAt(now, length time.Duration) int64 { return int64(now / max(1, length)) }

// WindowEnd returns the end of a window.
func WindowEnd(window int64, length time.Duration) time.Duration {
	return time.Duration(window+1) * length
}

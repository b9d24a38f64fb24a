package spread

import (
	"sync"
	"time"
)

// The pause after a failed call of the origin doubles between these bounds.
const (
	minOriginPause = 250 * time.Millisecond
	maxOriginPause = 4 * time.Second
)

// standstill is the time without any new chunk after which a gateway with a used
// allowance may draw one more. Corrupted or cut transfers and lost gateways can
// use up all allowances of a region, and without it the version would never be
// complete.
const standstill = 30 * time.Second

// Allowance is what an agent may still draw from the origin for one version,
// and when. Its lock covers all fields.
type Allowance struct {
	mu      sync.Mutex
	set     bool
	left    int64
	pause   time.Duration
	until   time.Time
	average time.Duration
	// extended is the time of the last extension.
	extended time.Time
}

// Set gives the allowance in bytes, once.
func (a *Allowance) Set(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.set {
		a.set, a.left = true, bytes
	}
}

// IsSet reports whether Set was called.
func (a *Allowance) IsSet() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.set
}

// Ready reports whether a chunk of n bytes may be asked for now.
func (a *Allowance) Ready(now time.Time, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left >= n && !now.Before(a.until)
}

// Used reports whether the allowance does not cover n bytes.
func (a *Allowance) Used(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left < n
}

// Extend adds n bytes to a used allowance after a standstill of the given time,
// and not again before that time has passed: what was drawn may have been
// corrupted, and the standstill then goes on.
func (a *Allowance) Extend(n int64, now time.Time, still, after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.set && a.left < n && still > after && now.Sub(a.extended) > after {
		a.left, a.extended = n, now
	}
}

// Spend takes n bytes before a fetch starts.
func (a *Allowance) Spend(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left -= n
}

// Done records a fetch that took d. Bytes that were not drawn are returned.
func (a *Allowance) Done(unused int64, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += unused
	a.pause = 0
	if a.average == 0 {
		a.average = d
	}
	a.average = (3*a.average + d) / 4
}

// Failed records a failed fetch and makes the next one wait.
func (a *Allowance) Failed(unused int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left += unused
	a.pause = min(maxOriginPause, max(minOriginPause, 2*a.pause))
	a.until = now.Add(a.pause)
}

// Average returns the time that a fetch takes, or zero before the first one.
func (a *Allowance) Average() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.average
}

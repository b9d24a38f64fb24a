// Package sysclock implements port.Clock and port.Rand with the system clock and
// the random source of the runtime.
package sysclock

import (
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the system clock.
type Clock struct{}

// Now returns the current time.
func (Clock) Now() time.Time { return time.Now() }

// After returns a channel that receives once d has passed.
func (Clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// SinceBoot returns the time since the machine booted. Unlike the monotonic reading
// of Now, it includes the time in which the machine was suspended, and adjustments of
// the wall clock do not change it.
func (Clock) SinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only if the kernel does not support the clock.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// Rand is the runtime's random source, safe for concurrent use.
type Rand struct{}

// IntN returns a random number in [0, n).
func (Rand) IntN(n int) int { return rand.IntN(n) }

// Uint64 returns a random 64-bit number.
func (Rand) Uint64() uint64 { return rand.Uint64() }

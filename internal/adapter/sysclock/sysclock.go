// Package sysclock implements port.Clock and port.Rand with the system's time
// and random source.
package sysclock

import (
	"math/rand/v2"
	"time"
)

// Clock is the system clock.
type Clock struct{}

// Now returns the current time.
func (Clock) Now() time.Time { return time.Now() }

// After returns a channel that receives once d has passed.
func (Clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Rand is the runtime's random source, safe for concurrent use.
type Rand struct{}

// IntN returns a number in [0, n).
func (Rand) IntN(n int) int { return rand.IntN(n) }

// Uint64 returns a random number.
func (Rand) Uint64() uint64 { return rand.Uint64() }

// Package loadschedule schedules when each engine of a service changes to new
// weights, so that all engines change within a time limit, the bound, and only a few
// are out of service at the same time.
package loadschedule

import "time"

const (
	// firstChangeFraction is the fraction of the bound after which the first engine
	// changes. Until then the weights are being transferred and hardly any engine
	// has them.
	firstChangeFraction = 0.35
	// lastChangeFraction is the fraction of the bound after which the last engine is
	// ordered to change. An engine starts no request on the old weights once it has
	// the order, and gateways send no request to old weights in the last sixth of
	// the bound.
	lastChangeFraction = 0.8
)

// ChangeTime returns the earliest time at which the engine with the given rank
// among count engines may be ordered to change to weights that were declared at
// declared and must be in use within bound. Times are times since the machine booted.
// Callers need not wait for it if the engine serves nothing.
func ChangeTime(declared, bound time.Duration, rank, count int) time.Duration {
	if count <= 1 {
		return declared
	}
	first := time.Duration(firstChangeFraction * float64(bound))
	last := time.Duration(lastChangeFraction * float64(bound))
	return declared + first + (last-first)*time.Duration(rank)/time.Duration(count-1)
}

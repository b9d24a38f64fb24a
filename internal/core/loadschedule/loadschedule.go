// Package loadturn decides when each engine of a service changes to new weights,
// so that all have changed within a bound and only a few are out of service at a
// time.
package loadturn

import "time"

const (
	// fetchShare is the part of the bound that the transfer of the weights is
	// expected to take; before it hardly any engine is ready.
	fetchShare = 0.35
	// lastShare is the part of the bound at which the last engine is ordered to
	// change. From the order on it starts nothing on the old weights. Gateways send
	// nothing to old weights in the last seventh of the bound.
	lastShare = 0.8
)

// At returns the time from which the engine with the given rank among count may
// be ordered to change to weights that were declared at since and must be in use
// within bound. An engine that serves nothing need not wait.
func At(since time.Time, bound time.Duration, rank, count int) time.Time {
	if count <= 1 {
		return since
	}
	first := time.Duration(fetchShare * float64(bound))
	last := time.Duration(lastShare * float64(bound))
	return since.Add(first + (last-first)*time.Duration(rank)/time.Duration(count-1))
}

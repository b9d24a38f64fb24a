// Package weightsbound decides which versions of a model's weights may serve requests.
// Declared weights must be in use within a bound that counts from the declaration. A process
// learns of a declaration later and has to estimate when it was made.
//
// All times are times since the machine booted.
package weightsbound

import (
	"slices"
	"time"
)

// Declaration is a declared version of a model's weights.
type Declaration struct {
	Version int64
	// At is the earliest time at which it may have been made.
	At time.Duration
}

// Declarations holds the declarations of one model by increasing version. It is immutable.
type Declarations []Declaration

// Add returns ds with d, unless ds has a newer version. Of one version, the earlier time
// holds. Declarations that a later one has replaced for longer than bound are left out.
func (ds Declarations) Add(d Declaration, bound, now time.Duration) Declarations {
	out := slices.Clone(ds)
	switch n := len(out); {
	case n == 0 || out[n-1].Version < d.Version:
		out = append(out, d)
	case out[n-1].Version == d.Version:
		out[n-1].At = min(out[n-1].At, d.At)
	}
	for i := len(out) - 1; i > 0; i-- {
		if now-out[i].At >= bound {
			return out[i:]
		}
	}
	return out
}

// Required returns the oldest version that may serve requests at now, or zero for any.
func (ds Declarations) Required(bound, now time.Duration) int64 {
	required := int64(0)
	for _, d := range ds {
		if now-d.At >= bound {
			required = max(required, d.Version)
		}
	}
	return required
}

// Left returns for how long requests may still start on a version, or false if no newer one is
// declared. It allows for the error of DeclaredAt.
func (ds Declarations) Left(version int64, bound, now time.Duration) (time.Duration, bool) {
	left, limited := time.Duration(0), false
	for _, d := range ds {
		if l := d.At + bound - usualConfirmationAge - now; d.Version > version && (!limited || l < left) {
			left, limited = l, true
		}
	}
	return left, limited
}

// Learned is what a process knows when it learns of a declaration.
type Learned struct {
	Now time.Duration
	// Confirmed is the time at which the store last confirmed that the declaration did not
	// exist; it is only meaningful if HasConfirmation is set.
	Confirmed       time.Duration
	HasConfirmation bool
	// StatedAge is the longest time since the declaration may have been made according to
	// the process from which this one learned of it, or zero.
	StatedAge time.Duration
}

// usualConfirmationAge is the age of the last confirmation when a declaration arrives in
// normal operation. Callers cover this time with a margin.
const usualConfirmationAge = 700 * time.Millisecond

// Age returns the longest time since the declaration may have been made, too short by at most
// usualConfirmationAge. Without a confirmation it is the age stated by the other process.
func (l Learned) Age() time.Duration {
	if !l.HasConfirmation {
		return max(0, l.StatedAge)
	}
	return max(0, l.StatedAge, l.Now-l.Confirmed-usualConfirmationAge)
}

// DeclaredAt returns the earliest time at which the declaration may have been made. Without a
// confirmation, that is at least the time unknown before now.
func (l Learned) DeclaredAt(unknown time.Duration) time.Duration {
	if !l.HasConfirmation {
		return l.Now - max(unknown, l.Age())
	}
	return l.Now - l.Age()
}

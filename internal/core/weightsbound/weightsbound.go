// Package weightsbound decides which versions of a model's weights may serve requests.
// Declared weights must be in use within a bound that counts from the declaration. A process
// learns of a declaration later and has to estimate when it was made.
//
// All times are times since the machine booted.
package weightsbound

import (
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/moment"
)

// Declaration is a declared version of a model's weights.
type Declaration struct {
	Version int64
	// At is the earliest time at which it may have been made. While it is unknown, the bound
	// counts as over.
	At moment.Time
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
		out[n-1].At = moment.Earlier(out[n-1].At, d.At)
	}
	for i := len(out) - 1; i > 0; i-- {
		if out[i].expired(bound, now) {
			return out[i:]
		}
	}
	return out
}

// Statement is what a process tells others that may not know when versions were declared.
type Statement struct {
	// Newest is the newest version with the earliest time of a declaration whose bound is not
	// over.
	Newest Declaration
	// Required is the oldest version that may serve requests, or zero for any.
	Required int64
}

// Adopt returns ds with the statement of another process, and whether that differs from ds. Times
// that are known are kept: the other process may know less.
func (ds Declarations) Adopt(s Statement) (Declarations, bool) {
	i := slices.IndexFunc(ds, func(d Declaration) bool { return d.Version == s.Newest.Version })
	if i < 0 {
		return ds, false
	}
	if _, known := ds[i].At.Get(); known {
		return ds, false
	}
	if _, known := s.Newest.At.Get(); !known {
		return ds, false
	}
	out := slices.Clone(ds)
	out[i].At = s.Newest.At
	if s.Required > 0 && s.Required < s.Newest.Version {
		// The unknown time ends the use of older weights at once.
		out = slices.Insert(out, i, Declaration{Version: s.Required})
	}
	return out, true
}

// Statement returns what a process with these declarations states. It is zero if the time of the
// newest one is not known.
func (ds Declarations) Statement(bound, now time.Duration) Statement {
	if len(ds) == 0 {
		return Statement{}
	}
	newest := ds[len(ds)-1]
	if _, known := newest.At.Get(); !known {
		return Statement{}
	}
	for _, d := range ds {
		if !d.expired(bound, now) {
			newest.At = moment.Earlier(newest.At, d.At)
		}
	}
	return Statement{newest, ds.Required(bound, now)}
}

// expired reports whether the bound of a declaration is over at now.
func (d Declaration) expired(bound, now time.Duration) bool {
	at, known := d.At.Get()
	return !known || now-at >= bound
}

// Required returns the oldest version that may serve requests at now, or zero for any.
func (ds Declarations) Required(bound, now time.Duration) int64 {
	required := int64(0)
	for _, d := range ds {
		if d.expired(bound, now) {
			required = max(required, d.Version)
		}
	}
	return required
}

// Limit says for how long requests may still start on a version.
type Limit struct {
	// Left is the time left; it is not positive once no request may start.
	Left time.Duration
	// Declared is the version of the declaration that ends the use of the version.
	Declared int64
	// Dated is set if the time of that declaration is known.
	Dated bool
}

// Limit returns for how long requests may still start on a version, or false if no newer one is
// declared. It allows for the error of Learned.Age.
func (ds Declarations) Limit(version int64, bound, now time.Duration) (Limit, bool) {
	limit, limited := Limit{}, false
	for _, d := range ds {
		if d.Version <= version {
			continue
		}
		left, at, dated := time.Duration(0), time.Duration(0), false
		if at, dated = d.At.Get(); dated {
			left = at + bound - usualConfirmationAge - now
		}
		if !limited || left < limit.Left {
			limit, limited = Limit{left, d.Version, dated}, true
		}
	}
	return limit, limited
}

// Learned is what a process knows when it learns of a declaration.
type Learned struct {
	Now time.Duration
	// Confirmed is the time at which the store last confirmed that the declaration did not
	// exist.
	Confirmed moment.Time
	// Stated is the age according to the process from which this one learned of it.
	Stated moment.Age
}

// usualConfirmationAge is the age of the last confirmation when a declaration arrives in
// normal operation. Callers cover this time with a margin.
const usualConfirmationAge = 700 * time.Millisecond

// Age returns the age of the declaration, too short by at most usualConfirmationAge. Without a
// confirmation it is the age stated by the other process.
func (l Learned) Age() moment.Age {
	since, ok := l.Confirmed.Age(l.Now).Get()
	if !ok {
		return l.Stated
	}
	return moment.Longer(l.Stated, moment.KnownAge(since-usualConfirmationAge))
}

// At returns the earliest time at which the declaration may have been made.
func (l Learned) At() moment.Time { return l.Age().Before(l.Now) }

// withdrawalLead is how long before the end of the time left the loader takes weights out of
// service. Requests that the engine is prefilling then still begin. On plays with full links their
// first events reached gateways up to 0.8 s later, most of it on the way.
const withdrawalLead = 500 * time.Millisecond

// UntilWithdrawal returns the time until the engine's weights have to be taken out of service,
// or false if no newer version is declared. It is not positive once that is due.
func (ds Declarations) UntilWithdrawal(version int64, bound, now time.Duration) (time.Duration, bool) {
	limit, limited := ds.Limit(version, bound, now)
	return limit.Left - withdrawalLead, limited
}

// UseMargin is how long before the end of a bound gateways send nothing to older weights any more. A
// request for a free slot starts within 0.4 s.
const UseMargin = 1400 * time.Millisecond

const (
	// busyLoadTime is the longest time from a load order until an engine that serves has the
	// weights: it first ends the requests in progress.
	busyLoadTime = 3 * time.Second
	// emptyLoadTime is the same for an engine that holds nothing, which loads in 0.3 s.
	emptyLoadTime = 300 * time.Millisecond
	// minService is the shortest time of service for which an empty engine loads weights.
	minService = 500 * time.Millisecond
)

// WorthLoading reports whether an engine should load weights that have to be withdrawn after until.
// They get requests until UseMargin before the end of their bound. An engine that serves keeps its
// weights if a load could end too late; an empty one has nothing to lose, so that weights which
// came late still serve for the rest of their time.
func WorthLoading(until time.Duration, serves bool) bool {
	if serves {
		return until >= busyLoadTime
	}
	const unused = UseMargin - usualConfirmationAge - withdrawalLead
	return until-unused >= emptyLoadTime+minService
}

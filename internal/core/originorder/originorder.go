// Package originorder decides which version of the weights the link of the origin carries next, by
// what keeps engines serving, and which versions are not worth fetching any more.
//
// Each member decides for itself, from the chunks that it misses and the declarations that it knows.
// All members with the same chunks and declarations decide alike.
package originorder

import "time"

// Version is a version that a member has not completely fetched.
type Version struct {
	// LinkTime is the time that the link of the origin takes for the chunks that no member is
	// known to hold.
	LinkTime time.Duration
	// Until is the time for which engines may still use the version; Limited is set if a newer
	// version is declared. The newest version is not limited.
	Until   time.Duration
	Limited bool
}

// Choice is what becomes of an older version beside a newer one.
type Choice uint8

// Choices.
const (
	// First means that the origin sends the older version first.
	First Choice = iota
	// Drop means that the older version is not fetched any more.
	Drop
)

const (
	// PassOnDelay is the time from the last chunk that the origin sends until half of the members have
	// it: 0.2 to 0.5 s through the trees of 14 to 138 members.
	PassOnDelay = 300 * time.Millisecond
	// LoadDelay is the time from the last chunk of a member until its engine serves: 0.1 s to stage
	// and check the chunks, 0.3 s to load them.
	LoadDelay = 400 * time.Millisecond
)

// MinService is the shortest time of service for which a load is worth its costs: the engine takes no
// requests while it loads, which takes 0.3 s.
const MinService = 500 * time.Millisecond

// ready returns the time until engines serve the version if the origin sends it next.
func (v Version) ready() time.Duration {
	if v.LinkTime == 0 {
		return LoadDelay
	}
	return v.LinkTime + PassOnDelay + LoadDelay
}

// Choose returns what becomes of the older of two versions. served is the time for which the engines
// may still use the weights that they hold, or zero. The engines serve nothing from its end until one
// of the versions is ready, and from the end of the older version until the newer one is ready. The
// older one is dropped if fetching it first makes this time longer. Otherwise it goes first, also if
// the engines would have weights without it: the origin may fail before it has sent the newer one.
func Choose(older, newer Version, served time.Duration) Choice {
	if !older.Limited {
		return First
	}
	ready := older.ready()
	gain := older.Until - max(served, ready)
	if gain < MinService {
		return Drop
	}
	newerReady := newer.ready()
	without := max(0, newerReady-served)
	with := max(0, ready-served) + max(0, newerReady+older.LinkTime-older.Until)
	if with > without {
		return Drop
	}
	return First
}

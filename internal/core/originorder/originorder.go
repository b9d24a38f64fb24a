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

// UseDelay is the time from the last chunk that the origin sends until engines serve the version:
// 0.2 to 0.5 s to pass it on through the trees of 14 to 138 members, and 0.4 s to stage and load it.
const UseDelay = 700 * time.Millisecond

// MinService is the shortest time of service for which a load is worth its costs: the engine takes no
// requests while it loads, which takes 0.3 s.
const MinService = 500 * time.Millisecond

// Choose returns what becomes of the older of two versions. served is the time for which the engines
// may still use the weights that they hold, or zero. The engines serve nothing from its end until one
// of the versions is ready, and from the end of the older version until the newer one is ready. The
// older one is dropped if fetching it first makes this time longer. Otherwise it goes first, also if
// the engines would have weights without it: the origin may fail before it has sent the newer one.
func Choose(older, newer Version, served time.Duration) Choice {
	if !older.Limited {
		return First
	}
	ready := older.LinkTime + UseDelay
	gain := older.Until - max(served, ready)
	if gain < MinService {
		return Drop
	}
	newerReady := newer.LinkTime + UseDelay
	without := max(0, newerReady-served)
	with := max(0, ready-served) + max(0, newerReady+older.LinkTime-older.Until)
	if with > without {
		return Drop
	}
	return First
}

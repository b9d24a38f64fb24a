// Package duty decides which process holds the singleton duties, the calls to the platform that one
// process at a time may make, and for how long it may act. The platform's store alone decides who the
// holder is: one conditional write creates the key of the holder, which is bound to a lease, and raises
// the counter of holders.
package duty

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Params holds the times of the election.
type Params struct {
	// TTL is the duration of the holder's lease.
	TTL time.Duration
	// Margin is the end of the lease in which the holder does not act. It covers the time that a call
	// takes to arrive, and clocks that advance at different rates.
	Margin time.Duration
	// Renewal is the time between two renewals of the lease.
	Renewal time.Duration
	// Start is the time for which a new holder waits before its first call, so that the last call of the
	// old one has arrived or was given up.
	Start time.Duration
	// Return is the time after its last call after which a process may become the holder again.
	Return time.Duration
	// RankDelay is the delay of a candidate for each candidate that ranks before it.
	RankDelay time.Duration
	// MinRetry and MaxRetry limit the pause after a store call that failed. It doubles with each failure.
	MinRetry, MaxRetry time.Duration
}

// DefaultParams returns the times for a deployment whose duties must not change to another holder and
// back within returnInterval.
func DefaultParams(returnInterval time.Duration) Params {
	return Params{
		TTL: 2 * time.Second, Margin: 500 * time.Millisecond, Start: 300 * time.Millisecond,
		// 0.65 s leaves two attempts within TTL - Margin. The renewals of 1.54 a second, the watches of
		// all candidates of 0.2 a second and a write for each usage window of 5 s stay below 2 a second.
		Renewal:   650 * time.Millisecond,
		Return:    returnInterval + 500*time.Millisecond,
		RankDelay: 150 * time.Millisecond,
		MinRetry:  250 * time.Millisecond, MaxRetry: 4 * time.Second,
	}
}

// Holder identifies a holder of the duties.
type Holder struct {
	// Name is the name of the process, and Domain its failure domain.
	Name   string
	Domain fleet.Domain
	// Incarnation differs between two starts of processes of the same name.
	Incarnation uint64
	// Lease is the lease of the store to which the key of the holder is bound.
	Lease string
	// Era is the era of the store in which the holder was elected, and Counter its number in that era.
	Era, Counter int64
}

// eraShift is the number of bits of a token below the era. The counter of holders does not reach 2^32.
const eraShift = 32

// Token returns the fencing token. It rises with each holder, also if the store has lost the counter of
// some holders in a restore from an older copy, which raises the era.
func (h Holder) Token() int64 { return h.Era<<eraShift + h.Counter }

// Record is a Holder as the store has it.
type Record struct {
	Holder
	// Revision is the revision of the key, or 0 if the key does not exist.
	Revision int64
}

// Listing is the state of the election in the store.
type Listing struct {
	// Holder is the current holder, and Last the last process that became one, with the counter.
	Holder, Last Record
	// At is the revision after which changes are read.
	At int64
}

// candidatesPerDomain is the number of candidates of a failure domain. With two, the loss of one gateway
// leaves a candidate in each domain.
const candidatesPerDomain = 2

// Candidates returns the names of the candidates in the order of their ranks: the first gateways by name
// of all failure domains, and then the second ones.
func Candidates(members []feed.Member) []string {
	type candidate struct {
		position int
		name     string
	}
	byDomain := map[fleet.Domain][]string{}
	for _, m := range members {
		if m.Gateway {
			byDomain[m.Domain] = append(byDomain[m.Domain], m.ID)
		}
	}
	var all []candidate
	for _, names := range byDomain {
		slices.Sort(names)
		names = slices.Compact(names)
		for i, n := range names[:min(candidatesPerDomain, len(names))] {
			all = append(all, candidate{i, n})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, c := range all {
		out[i] = c.name
	}
	return out
}

// watchInterval is the mean time between two watches of the duties by any of the candidates while nothing
// changes, so that they take 0.2 store calls a second.
const watchInterval = 5 * time.Second

// maxWatchTime is the longest time for which the store holds a call that waits for changes.
const maxWatchTime = 30 * time.Second

// WatchTime returns how long one of n candidates waits for a change in one call.
func WatchTime(n int) time.Duration {
	return min(time.Duration(max(n, 2))*watchInterval, maxWatchTime)
}

// Package fanout decides to which processes a notice for the whole fleet is sent. A notice goes
// to all processes of the sender's failure domain, and to a few of each other domain, which pass
// it on within theirs. The messages between domains and of one process then grow with the number
// of domains and with the size of one, and not with the size of the fleet.
package fanout

import (
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// relaysPerDomain is the number of processes of another domain that get a notice: one more than
// needed, since datagrams are lost and processes end.
const relaysPerDomain = 2

const (
	// maxNotices is the largest number of processes to which a notice of one request goes. With
	// more, the fleet would send notices with the square of the number of processes; then only
	// those of the sender's domain get one.
	maxNotices = 24
	// reportSpacing times the number of processes in other domains is the interval between two
	// reports of the load of a target to them, at least and at most the following.
	reportSpacing     = 4 * time.Millisecond
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = 400 * time.Millisecond
)

// Group holds the processes that get notices, by domain. It is immutable. A is the type of their
// addresses.
type Group[A any] struct {
	own    []A
	others [][]A
}

// New returns the group of a process in the domain own. members leaves out the process itself.
func New[A any](own fleet.Domain, members map[fleet.Domain][]A) Group[A] {
	g := Group[A]{own: members[own]}
	for d, addrs := range members {
		if d != own {
			g.others = append(g.others, addrs)
		}
	}
	return g
}

// Own returns the other processes of the own domain.
func (g Group[A]) Own() []A { return g.own }

// Others returns the processes of other domains.
func (g Group[A]) Others() []A { return slices.Concat(g.others...) }

// Notified returns the processes to which a notice of one request is sent, and whether that leaves
// out those of other domains.
func (g Group[A]) Notified() (to []A, ownOnly bool) {
	n := len(g.own)
	for _, addrs := range g.others {
		n += len(addrs)
	}
	if n > maxNotices {
		return g.own, true
	}
	return slices.Concat(g.own, g.Others()), false
}

// ReportInterval returns the interval between two reports of a target's load to the processes of
// other domains. Processes ignore reports older than a second, and prefer other targets from 0.6 s
// on.
func (g Group[A]) ReportInterval() time.Duration {
	n := 0
	for _, addrs := range g.others {
		n += len(addrs)
	}
	return min(max(time.Duration(n)*reportSpacing, minReportInterval), maxReportInterval)
}

// Relays returns the processes of other domains that pass a notice on. pick(n) returns a number
// from 0 to n-1; different ones share the load and the risk of a process that is gone.
func (g Group[A]) Relays(pick func(n int) int) []A {
	var out []A
	for _, addrs := range g.others {
		start := pick(len(addrs))
		for i := range min(relaysPerDomain, len(addrs)) {
			out = append(out, addrs[(start+i)%len(addrs)])
		}
	}
	return out
}

// Package feed decides which processes read changes from the platform's store and
// which changes a reader forwards to others. In each failure domain the first
// gateway reads the store and the other processes of the domain follow it, so that
// the calls to the store and the traffic between regions grow with the number of
// domains and not with the number of processes.
package feed

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/storeera"
)

// Member is a process that may follow others.
type Member struct {
	ID      string
	Domain  fleet.Domain
	Address fleet.Address
	// Gateway is set if the process is a gateway, which others may follow.
	Gateway bool
}

// Change is the newest state of a key. A removed key has no value.
type Change struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
	// Age is the longest time since the change may have been made, as far as the process
	// that states it knows.
	Age moment.Age
}

// maxReaders bounds the readers that a process asks before it reads the store
// itself. If a third of the VMs are cut off, four readers include a reachable one
// in 99 of 100 cases.
const maxReaders = 4

// Readers returns the gateways of its own failure domain that the process self
// asks for changes, in order. A gateway asks only gateways with a lower ID, so the
// first one gets an empty list and reads the store.
func Readers(self Member, members []Member) []Member {
	var out []Member
	for _, m := range members {
		if m.Gateway && m.Domain == self.Domain && m.ID != self.ID {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	if self.Gateway {
		out = slices.DeleteFunc(out, func(m Member) bool { return m.ID > self.ID })
	}
	return out[:min(maxReaders, len(out))]
}

// Rank returns the number of gateways of its own failure domain that come before a gateway as readers.
func Rank(self Member, members []Member) int {
	n := 0
	for _, m := range members {
		if m.Gateway && m.Domain == self.Domain && m.ID < self.ID {
			n++
		}
	}
	return n
}

const (
	// takeoverUnit times the square of its rank is the time for which one of the first gateways asks the others before
	// it reads a large prefix from the store. In most failures one of them reaches the store, after 0.9 s at most.
	takeoverUnit = 100 * time.Millisecond
	// laterTakeoverStep is the time by which each of the others waits longer than the one before it. They follow the first
	// ones only, so that a longer delay would not help them to follow each other.
	laterTakeoverStep = 200 * time.Millisecond
	// maxTakeoverDelay bounds the delay.
	maxTakeoverDelay = 3 * time.Second
)

// TakeoverDelay returns the time for which the gateway of a rank asks the other gateways of its failure domain before
// it reads a large prefix from the store.
func TakeoverDelay(rank int) time.Duration {
	rank = min(max(rank, 0), 100)
	first := min(rank, maxReaders-1)
	return min(time.Duration(first*first)*takeoverUnit+time.Duration(rank-first)*laterTakeoverStep, maxTakeoverDelay)
}

// maxRemovedKeys bounds the removed keys that a log keeps. It must hold the keys of
// a few hundred targets that leave at the same time.
const maxRemovedKeys = 2048

// Log holds the newest state of each key under a prefix, so that a process that
// missed changes gets only the last change of each key. One lock guards all fields.
type Log struct {
	mu       sync.Mutex
	listed   bool
	revision int64
	// listedAt is the highest revision of a listing.
	listedAt int64
	// completeAfter is the revision after which all changes are known.
	completeAfter int64
	keys          map[string]logged
	removed       []string // in the order of removal
	changed       chan struct{}
}

// logged is a change in the log. The Age of the change is not used.
type logged struct {
	Change
	// madeAt is the earliest time at which the change may have been made.
	madeAt moment.Time
	// position is the revision after which followers still need the change. It is higher than
	// that of a change which the log learned of after it had passed the revision.
	position int64
}

// NewLog returns an empty log. Times passed to its methods are times since the machine booted.
func NewLog() *Log {
	return &Log{keys: map[string]logged{}, changed: make(chan struct{})}
}

// ApplyListing applies a listing of all items that exist at a revision. Known keys
// that it lacks are recorded as removed at that revision.
func (l *Log) ApplyListing(items []Change, revision int64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	exists := map[string]bool{}
	for _, c := range items {
		exists[c.Key] = true
		l.put(c, now)
	}
	for k, c := range l.keys {
		if !exists[k] && !c.Removed && c.Revision <= revision {
			l.put(Change{Key: k, Revision: revision, Removed: true}, now)
		}
	}
	if !l.listed {
		l.listed, l.completeAfter = true, revision
	}
	l.listedAt = max(l.listedAt, revision)
	l.advance(revision)
}

// ApplyChanges applies changes, after which all changes up to a revision are known. The
// revision is zero for changes that were learned ahead of others: until these are known too,
// followers get the changes again with each read. An unknown item that is not newer than a
// listing was removed before it, and is ignored.
func (l *Log) ApplyChanges(changes []Change, revision int64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if _, known := l.keys[c.Key]; known || c.Revision > l.listedAt {
			l.put(c, now)
		}
	}
	l.advance(revision)
}

// AdvanceTo records that there are no other changes up to a revision. Followers
// continue from it, because the store may have dropped its history since the last
// change.
func (l *Log) AdvanceTo(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, revision)
}

func (l *Log) put(c Change, now time.Duration) {
	old, ok := l.keys[c.Key]
	if ok && old.Revision >= c.Revision {
		return
	}
	l.keys[c.Key] = logged{c, c.Age.Before(now), max(c.Revision, l.revision+1)}
	if !c.Removed {
		return
	}
	l.removed = append(l.removed, c.Key)
	for len(l.removed) > maxRemovedKeys {
		k := l.removed[0]
		l.removed = l.removed[1:]
		if x := l.keys[k]; x.Removed {
			delete(l.keys, k)
			l.completeAfter = max(l.completeAfter, x.position)
		}
	}
}

// advance raises the revision of the log and wakes the callers that wait for a
// change.
func (l *Log) advance(revision int64) {
	l.revision = max(l.revision, revision)
	close(l.changed)
	l.changed = make(chan struct{})
}

// FromStart is a revision before any other. Since then returns all existing keys.
const FromStart = -1

// Since returns the newest state of each key under a prefix that changed after a
// revision, with its age at now, and the revision to continue from, up to which all changes
// are known. known is false if changes after the revision may be missing, as they are if it is of a later era
// of the store than the log. next is closed on
// the next change of any key.
func (l *Log) Since(prefix string, after int64, now time.Duration) (changes []Change, revision int64, known bool, next <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listed || after < l.completeAfter && after != FromStart || storeera.Era(after) > storeera.Era(l.revision) {
		return nil, 0, false, l.changed
	}
	for k, c := range l.keys {
		if c.position > after && !(after == FromStart && c.Removed) && strings.HasPrefix(k, prefix) {
			c.Age = c.madeAt.Age(now)
			changes = append(changes, c.Change)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, max(l.revision, after), true, l.changed
}

// Revisions returns the revisions of keys, which are zero for keys that do not exist.
func (l *Log) Revisions(keys []string) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int64, len(keys))
	for _, k := range keys {
		out[k] = 0
		if c := l.keys[k]; !c.Removed {
			out[k] = c.Revision
		}
	}
	return out
}

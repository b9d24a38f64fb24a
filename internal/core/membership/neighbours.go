package membership

import (
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// SameDomainNeighbours and OtherNeighbours are the neighbours in the own failure
	// domain and in others. With eight, 2,790 processes are four hops apart.
	SameDomainNeighbours  = 6
	OtherDomainNeighbours = 2
	// ReadersPerDomain is the number of entries of a failure domain that watch
	// the platform. The second covers the failure of the first.
	ReadersPerDomain = 2
)

// stableHash is FNV-1a with a final mix. All processes must agree on it, so it has
// no random seed.
func stableHash(parts ...string) uint64 {
	h := uint64(14695981039346656037)
	for _, p := range parts {
		for i := range len(p) {
			h = (h ^ uint64(p[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	return mix(h)
}

// mix spreads each bit over the whole word.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

type scoredID struct {
	id    string
	score uint64
}

// topScores keeps the ids with the highest scores, in falling order. n is small.
type topScores struct {
	limit int
	top   []scoredID
}

func (b *topScores) add(r scoredID) {
	at := len(b.top)
	for at > 0 && (b.top[at-1].score < r.score || b.top[at-1].score == r.score && b.top[at-1].id > r.id) {
		at--
	}
	if at == b.limit {
		return
	}
	b.top = slices.Insert(b.top, at, r)
	b.top = b.top[:min(len(b.top), b.limit)]
}

func (b *topScores) ids() []string {
	out := make([]string, 0, len(b.top))
	for _, r := range b.top {
		out = append(out, r.id)
	}
	return out
}

// Neighbours returns the members that the process exchanges with: the first
// by rendezvous hash among those that are not dead, OwnNeighbours in its own
// failure domain and OtherNeighbours in others. A member that leaves changes
// the choice only of those that had chosen it.
func (t *Table[P]) Neighbours(now time.Time) []string {
	self := t.Self()
	own, other := topScores{limit: SameDomainNeighbours}, topScores{limit: OtherDomainNeighbours}
	t.m.Range(func(id string, e tableEntry[P]) bool {
		switch {
		case id == self.ID || e.confirmedDead(now):
		case e.record.Domain == self.Domain:
			own.add(scoredID{id, stableHash(self.ID, id)})
		default:
			other.add(scoredID{id, stableHash(self.ID, id)})
		}
		return true
	})
	return append(own.ids(), other.ids()...)
}

// Dead returns the ids of dead members.
func (t *Table[P]) Dead() []string {
	var out []string
	t.m.Range(func(id string, e tableEntry[P]) bool {
		if e.record.State == Dead {
			out = append(out, id)
		}
		return true
	})
	return out
}

// IsReader reports whether the process is one of the readers of its failure
// domain: an entry that ranks among the first live ones. An entry that knows
// of no other one is a reader.
func (t *Table[P]) IsReader() bool {
	self := t.Self()
	return self.Kind == fleet.KindEntry && slices.Contains(t.Readers(self.Domain), self.ID)
}

// Readers returns the readers of a failure domain. A suspect is passed over,
// so that the domain has two readers that answer.
func (t *Table[P]) Readers(d fleet.Domain) []string {
	readers := topScores{limit: ReadersPerDomain}
	t.m.Range(func(id string, e tableEntry[P]) bool {
		if e.record.Kind == fleet.KindEntry && e.record.Domain == d && e.record.State == Alive {
			readers.add(scoredID{id, stableHash(string(d), id)})
		}
		return true
	})
	return readers.ids()
}

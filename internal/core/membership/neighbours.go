package membership

import (
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// SameDomainNeighbours and OtherDomainNeighbours are the numbers of neighbours
	// of a process in its own failure domain and in other domains. With eight
	// neighbours in all, 2,790 processes are four hops apart.
	SameDomainNeighbours  = 6
	OtherDomainNeighbours = 2
	// ReadersPerDomain is the number of entries of a failure domain that watch the
	// platform. The second one covers a failure of the first.
	ReadersPerDomain = 2
)

// stableHash is FNV-1a with a finalizer. It has no random seed, since all processes
// must compute the same value.
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

// mix is the finalizer of MurmurHash3: each bit of h affects all bits of the result.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// scoredID is a member's id with its score in a rendezvous hash.
type scoredID struct {
	id    string
	score uint64
}

// topScores keeps the limit highest scores in descending order. Insertion is linear,
// so limit has to be small.
type topScores struct {
	limit int
	top   []scoredID
}

func (s *topScores) add(scored scoredID) {
	at := len(s.top)
	for at > 0 && (s.top[at-1].score < scored.score || s.top[at-1].score == scored.score && s.top[at-1].id > scored.id) {
		at--
	}
	if at == s.limit {
		return
	}
	s.top = slices.Insert(s.top, at, scored)
	s.top = s.top[:min(len(s.top), s.limit)]
}

func (s *topScores) ids() []string {
	out := make([]string, 0, len(s.top))
	for _, scored := range s.top {
		out = append(out, scored.id)
	}
	return out
}

// Neighbours returns the ids of the members that this process exchanges with. They
// are chosen by rendezvous hash among the members that are not dead:
// SameDomainNeighbours in the process's own failure domain, and
// OtherDomainNeighbours in others. When a member leaves, only the processes that
// had chosen it choose another one.
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
// domain. An entry that knows of no other entry in its domain is a reader.
func (t *Table[P]) IsReader() bool {
	self := t.Self()
	return self.Kind == fleet.KindEntry && slices.Contains(t.Readers(self.Domain), self.ID)
}

// Readers returns the ids of the readers of a failure domain: the entries with the
// highest rendezvous hashes among those that are alive. Suspects are left out, so
// that the domain has two readers that respond.
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

package membership

import (
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// OwnNeighbours and OtherNeighbours are the neighbours in the own failure
	// domain and in others. With eight, 2,790 processes are four hops apart.
	OwnNeighbours   = 6
	OtherNeighbours = 2
	// ReadersPerDomain is the number of entries of a failure domain that watch
	// the platform. The second covers the failure of the first.
	ReadersPerDomain = 2
)

// hash is FNV-1a with a final mix. All processes must agree on it, so it has
// no random seed.
func hash(parts ...string) uint64 {
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

type ranked struct {
	id    string
	score uint64
}

// best keeps the ids with the highest scores, in falling order. n is small.
type best struct {
	n  int
	rs []ranked
}

func (b *best) add(r ranked) {
	at := len(b.rs)
	for at > 0 && (b.rs[at-1].score < r.score || b.rs[at-1].score == r.score && b.rs[at-1].id > r.id) {
		at--
	}
	if at == b.n {
		return
	}
	b.rs = slices.Insert(b.rs, at, r)
	b.rs = b.rs[:min(len(b.rs), b.n)]
}

func (b *best) ids() []string {
	out := make([]string, 0, len(b.rs))
	for _, r := range b.rs {
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
	own, other := best{n: OwnNeighbours}, best{n: OtherNeighbours}
	t.m.Range(func(id string, e entry[P]) bool {
		switch {
		case id == self.ID || e.gone(now):
		case e.rec.Domain == self.Domain:
			own.add(ranked{id, hash(self.ID, id)})
		default:
			other.add(ranked{id, hash(self.ID, id)})
		}
		return true
	})
	return append(own.ids(), other.ids()...)
}

// Dead returns the ids of dead members.
func (t *Table[P]) Dead() []string {
	var out []string
	t.m.Range(func(id string, e entry[P]) bool {
		if e.rec.State == Dead {
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
	first := best{n: ReadersPerDomain}
	t.m.Range(func(id string, e entry[P]) bool {
		if e.rec.Kind == fleet.KindEntry && e.rec.Domain == d && e.rec.State == Alive {
			first.add(ranked{id, hash(string(d), id)})
		}
		return true
	})
	return first.ids()
}

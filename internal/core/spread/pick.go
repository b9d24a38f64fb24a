package spread

import (
	"math/bits"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Choice is a fetch to start.
type Choice struct {
	Chunk int
	// From is the peer to ask, unless Origin is set.
	From   fleet.VM
	Origin bool
}

// attempts bounds how often a choice that another goroutine claimed first is
// repeated.
const attempts = 3

// Pick chooses the chunk that the fewest peers of the region have and a peer to
// ask for it, and claims it. Ties are random, so that agents with the same view
// request different chunks. Peers that sent a corrupted chunk not long ago are
// asked only if resort is true: in a small region they may be the only ones.
func (t *Table) Pick(now time.Time, l Limits, resort bool, rnd Rand) (Choice, bool) {
	for range attempts {
		m := t.masks(now, l.PerPeer)
		c, set, ok := t.rarest(now, &m, m.usable&m.local&^m.spare, rnd)
		if !ok && m.spare != 0 {
			c, set, ok = t.rarest(now, &m, m.usable&m.local, rnd)
		}
		if !ok && resort {
			c, set, ok = t.rarest(now, &m, m.resort&m.local, rnd)
		}
		if !ok {
			return Choice{}, false
		}
		ch := Choice{Chunk: c, From: m.vms[m.least(set, rnd)]}
		if t.claim(ch, now) {
			return ch, true
		}
	}
	return Choice{}, false
}

func (t *Table) rarest(now time.Time, m *masks, usable uint64, rnd Rand) (chunk int, set uint64, ok bool) {
	rarity, ties := 0, 0
	t.chunks.Range(func(c int, s missing) bool {
		avail := s.available(now, usable)
		if avail == 0 || !s.free(now) {
			return true
		}
		// A second fetch of a chunk comes after all first ones.
		n := bits.OnesCount64(s.holders&m.local) + s.active*maxSlots
		switch {
		case !ok || n < rarity:
			chunk, set, rarity, ties, ok = c, avail, n, 1, true
		case n == rarity:
			ties++
			if rnd(ties) == 0 {
				chunk, set = c, avail
			}
		}
		return true
	})
	return chunk, set, ok
}

func (s missing) available(now time.Time, usable uint64) uint64 {
	set := s.holders & usable
	if now.Before(s.until) {
		set &^= s.denied
	}
	return set
}

func (s missing) free(now time.Time) bool {
	return s.active == 0 || s.active == 1 && now.Sub(s.since) > hedgeAfter
}

func (t *Table) claim(ch Choice, now time.Time) bool {
	done := false
	t.updateMissing(ch.Chunk, func(m *missing) {
		if !m.free(now) {
			return
		}
		if !now.Before(m.until) {
			m.denied = 0
		}
		m.active++
		m.since = now
		done = true
	})
	if done && !ch.Origin {
		t.updatePeer(ch.From, func(p *peer) {
			p.active++
			p.taken++
		})
	}
	return done
}

// Outside says what may be fetched from outside the region.
type Outside struct {
	// May reports whether this agent may fetch chunk c, and whether it may ask
	// the origin for it.
	May func(c int) (fetch, origin bool)
	// OriginReady is false while the origin is avoided or the quota is used.
	OriginReady bool
}

// PickOutside chooses a chunk that no trusted peer of the region has, and
// claims it. The origin is asked where it may be; otherwise a peer of another
// region that has the chunk. blocked reports that a chunk could be fetched from
// the origin only, which is not ready.
func (t *Table) PickOutside(now time.Time, o Outside, rnd Rand) (ch Choice, ok, blocked bool) {
	for range attempts {
		m := t.masks(now, maxSlots)
		var free []int
		t.chunks.Range(func(c int, s missing) bool {
			if s.holders&m.trusted == 0 && s.free(now) {
				free = append(free, c)
			}
			return true
		})
		ch, ok, blocked = t.outside(now, &m, free, o, rnd)
		if !ok || t.claim(ch, now) {
			return ch, ok, blocked
		}
	}
	return Choice{}, false, blocked
}

func (t *Table) outside(now time.Time, m *masks, free []int, o Outside, rnd Rand) (Choice, bool, bool) {
	var best Choice
	found, blocked, ties := false, false, 0
	for _, c := range free {
		fetch, origin := o.May(c)
		if !fetch {
			continue
		}
		s, _ := t.chunks.Get(c)
		set := s.available(now, m.usable&^m.local)
		ch := Choice{Chunk: c, Origin: origin && o.OriginReady}
		if !ch.Origin {
			if set == 0 {
				blocked = true
				continue
			}
			ch.From = m.vms[m.least(set, rnd)]
		}
		ties++
		if rnd(ties) == 0 {
			best, found = ch, true
		}
	}
	return best, found, blocked
}

package spread

import (
	"math/bits"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// AvoidCorrupted is how long the sender of a corrupted chunk is avoided. It
	// is asked earlier only as a last resort.
	AvoidCorrupted = 10 * time.Second
	// AvoidStalled is how long a peer is avoided after a fetch without
	// progress.
	AvoidStalled = 5 * time.Second
	// refuseCorrupted is the part of that time in which it is not asked at all.
	// It doubles with each further corrupted chunk, so that a sender that
	// corrupts everything wastes little of the link.
	refuseCorrupted = time.Second
	// distrustAfter is the number of corrupted chunks in a row after which an
	// avoided peer counts as having nothing. Chunks that only it has are then
	// fetched from outside; a region whose owner of some chunks corrupts all of
	// them would never get these otherwise.
	distrustAfter = 2
	// AvoidFailed is how long a peer is avoided after a failed call.
	AvoidFailed = time.Second
	// quietAfter is the silence after which no fetch is started from a peer.
	// Its stream carries a heartbeat each 500 ms.
	quietAfter = 1200 * time.Millisecond
	// hedgeAfter is the time without progress after which another fetch of the
	// same chunk may start, so that a frozen peer delays nobody until the
	// fetch is abandoned.
	hedgeAfter = time.Second
	// denyFor is how long a peer is not asked again for a chunk that it
	// refused.
	denyFor = 60 * time.Millisecond
	// answerTime is how long a watched peer may take to say what it holds.
	answerTime = time.Second
	// maxSlots is the number of peers that a table can watch at one time.
	maxSlots = 64
)

// Rand returns a number in [0, n).
type Rand func(n int) int

// Limits bounds the fetches in progress.
type Limits struct {
	// Total bounds all fetches from peers.
	Total int
	// PerPeer bounds the fetches from one peer.
	PerPeer int
	// Outside bounds the fetches from the origin and from other regions.
	Outside int
}

// missing is the state of a chunk that is not yet held.
type missing struct {
	holders uint64 // peers that have it, by slot
	denied  uint64 // holders that refused it
	until   time.Time
	active  int // fetches in progress
	since   time.Time
}

type peer struct {
	slot   int
	local  bool
	spare  bool
	active int
	taken  int
	avoid  time.Time
	resort time.Time // from here to avoid, asked as a last resort
	// corrupted counts the corrupted chunks since the last correct one.
	corrupted int
	heard     time.Time
	gone      bool
	known     bool      // it sent its chunks or could not be reached
	since     time.Time // start of the watch
	own       time.Time // last announcement of a chunk that the peer owns
}

// Table is what an agent knows of the missing chunks of one version and of the
// peers that it watches. Its state is sharded by chunk and by peer; no method
// holds two shard locks.
type Table struct {
	chunks *shard.Map[int, missing]
	peers  *shard.Map[fleet.VM, peer]
	slots  *shard.Map[int, fleet.VM]
	count  int
}

// NewTable returns a table in which all chunks are missing.
func NewTable(chunks int) *Table {
	t := &Table{
		chunks: shard.New[int, missing](0),
		peers:  shard.New[fleet.VM, peer](0),
		slots:  shard.New[int, fleet.VM](0),
		count:  chunks,
	}
	for c := range chunks {
		t.chunks.Put(c, missing{})
	}
	return t
}

// Role says what a watched peer is used for.
type Role uint8

// The roles of peers.
const (
	// Neighbour is a peer of the own region.
	Neighbour Role = iota
	// Spare is a peer of the own region that is asked only if no neighbour can
	// be. Gateways watch each other as spares: if they drew on each other like
	// on neighbours, their uploads would be shared by more requesters than
	// those of other agents.
	Spare
	// Remote is a peer of another region.
	Remote
)

// AddPeer starts to track a peer. It reports false if it is tracked already or
// the table is full.
func (t *Table) AddPeer(vm fleet.VM, role Role, now time.Time) bool {
	if _, ok := t.peers.Get(vm); ok {
		return false
	}
	for s := range maxSlots {
		free := false
		t.slots.Update(s, func(old fleet.VM, ok bool) (fleet.VM, bool) {
			if ok {
				return old, true
			}
			free = true
			return vm, true
		})
		if free {
			t.peers.Put(vm, peer{slot: s, local: role != Remote, spare: role == Spare, heard: now, since: now, own: now})
			return true
		}
	}
	return false
}

// RemovePeer forgets a peer. The caller ends its stream first.
func (t *Table) RemovePeer(vm fleet.VM) {
	p, ok := t.peers.Get(vm)
	if !ok {
		return
	}
	t.peers.Delete(vm)
	t.clearHolder(p.slot)
	t.slots.Delete(p.slot)
}

func (t *Table) clearHolder(slot int) {
	bit := uint64(1) << slot
	var held []int
	t.chunks.Range(func(c int, m missing) bool {
		if m.holders&bit != 0 {
			held = append(held, c)
		}
		return true
	})
	for _, c := range held {
		t.updateMissing(c, func(m *missing) { m.holders &^= bit })
	}
}

func (t *Table) updateMissing(c int, f func(*missing)) {
	t.chunks.Update(c, func(m missing, ok bool) (missing, bool) {
		if ok {
			f(&m)
		}
		return m, ok
	})
}

func (t *Table) updatePeer(vm fleet.VM, f func(*peer)) {
	t.peers.Update(vm, func(p peer, ok bool) (peer, bool) {
		if ok {
			f(&p)
		}
		return p, ok
	})
}

// Heard records that the stream of a peer is alive.
func (t *Table) Heard(vm fleet.VM, now time.Time) {
	t.updatePeer(vm, func(p *peer) { p.heard, p.gone, p.known = now, false, true })
}

// Settled reports whether each peer of the region has said what it holds, or
// had the time to. Before that a chunk may look missing in the whole region.
func (t *Table) Settled(now time.Time) bool {
	settled := true
	t.peers.Range(func(_ fleet.VM, p peer) bool {
		settled = !p.local || p.known || now.Sub(p.since) > answerTime
		return settled
	})
	return settled
}

// Lacking returns the number of chunks that no trusted peer of the region has,
// and one of them, or -1.
func (t *Table) Lacking(now time.Time) (n, example int) {
	m := t.masks(now, maxSlots)
	example = -1
	t.chunks.Range(func(c int, s missing) bool {
		if s.holders&m.trusted == 0 {
			n++
			if example < 0 || c < example {
				example = c
			}
		}
		return true
	})
	return n, example
}

// Lost records that the stream of a peer ended. Its chunks are forgotten until
// it sends them again.
func (t *Table) Lost(vm fleet.VM) {
	slot := -1
	t.updatePeer(vm, func(p *peer) { p.gone, p.known, slot = true, true, p.slot })
	if slot >= 0 {
		t.clearHolder(slot)
	}
}

// Holds records that a peer has chunk c. own marks a chunk that the peer
// fetches from outside for its region.
func (t *Table) Holds(vm fleet.VM, c int, own bool, now time.Time) {
	slot := -1
	t.updatePeer(vm, func(p *peer) {
		slot = p.slot
		if own {
			p.own = now
		}
	})
	if slot >= 0 {
		t.updateMissing(c, func(m *missing) { m.holders |= 1 << slot })
	}
}

// Idle returns the time since a gateway last announced a chunk of its own, or
// since this agent began to watch it. One that is not watched does not count as
// idle.
func (t *Table) Idle(vm fleet.VM, now time.Time) time.Duration {
	p, ok := t.peers.Get(vm)
	if !ok {
		return 0
	}
	return now.Sub(p.own)
}

// Unheard reports whether the stream of a watched peer ended or went quiet.
func (t *Table) Unheard(vm fleet.VM, now time.Time) bool {
	p, ok := t.peers.Get(vm)
	return ok && p.quiet(now)
}

// distrusted reports whether the chunks of a peer do not count.
func (p peer) distrusted(now time.Time) bool {
	return p.corrupted >= distrustAfter && now.Before(p.avoid)
}

func (p peer) quiet(now time.Time) bool { return p.gone || now.Sub(p.heard) > quietAfter }

// Avoided reports whether fetches from a peer are suspended after a fault.
func (t *Table) Avoided(vm fleet.VM, now time.Time) bool {
	p, ok := t.peers.Get(vm)
	return ok && now.Before(p.avoid)
}

// Avoid suspends fetches from a peer.
func (t *Table) Avoid(vm fleet.VM, until time.Time) { t.avoid(vm, until, until) }

// Corrupted suspends fetches from a peer that sent a corrupted chunk.
func (t *Table) Corrupted(vm fleet.VM, now time.Time) {
	refuse := refuseCorrupted
	t.updatePeer(vm, func(p *peer) {
		for range p.corrupted {
			refuse = min(2*refuse, AvoidCorrupted)
		}
		p.corrupted++
	})
	t.avoid(vm, now.Add(AvoidCorrupted), now.Add(refuse))
}

// Verified records that a peer sent a correct chunk.
func (t *Table) Verified(vm fleet.VM) { t.updatePeer(vm, func(p *peer) { p.corrupted = 0 }) }

func (t *Table) avoid(vm fleet.VM, until, resort time.Time) {
	t.updatePeer(vm, func(p *peer) {
		if until.After(p.avoid) {
			p.avoid = until
		}
		if resort.After(p.resort) {
			p.resort = resort
		}
	})
}

// Refused records that a peer refused chunk c for now, or does not have it.
func (t *Table) Refused(vm fleet.VM, c int, has bool, now time.Time) {
	p, ok := t.peers.Get(vm)
	if !ok {
		return
	}
	t.updateMissing(c, func(m *missing) {
		if !has {
			m.holders &^= 1 << p.slot
			return
		}
		m.denied |= 1 << p.slot
		m.until = now.Add(denyFor)
	})
}

// Progress records that bytes of chunk c arrived.
func (t *Table) Progress(c int, now time.Time) {
	t.updateMissing(c, func(m *missing) { m.since = now })
}

// Ended records the end of a fetch that Pick or PickOutside returned.
func (t *Table) Ended(ch Choice) {
	t.updateMissing(ch.Chunk, func(m *missing) { m.active-- })
	if !ch.Origin {
		t.updatePeer(ch.From, func(p *peer) { p.active = max(0, p.active-1) })
	}
}

// Have records that chunk c is verified and held. It reports false if it was
// held before.
func (t *Table) Have(c int) bool { return t.chunks.Delete(c) }

// Missing reports whether chunk c is not yet held.
func (t *Table) Missing(c int) bool {
	_, ok := t.chunks.Get(c)
	return ok
}

// Held returns the number of chunks held.
func (t *Table) Held() int { return t.count - t.chunks.Len() }

// masks are the peers by what they can be used for at one moment.
type masks struct {
	local   uint64 // peers of the own region
	trusted uint64 // those of them that do not corrupt what they send
	spare   uint64 // peers that are asked last
	usable  uint64 // peers from which a fetch may start
	resort  uint64 // peers from which one may start as a last resort
	vms     [maxSlots]fleet.VM
	active  [maxSlots]int
	taken   [maxSlots]int
}

func (t *Table) masks(now time.Time, perPeer int) masks {
	var m masks
	t.peers.Range(func(vm fleet.VM, p peer) bool {
		bit := uint64(1) << p.slot
		m.vms[p.slot], m.active[p.slot], m.taken[p.slot] = vm, p.active, p.taken
		if p.local {
			m.local |= bit
			if !p.distrusted(now) {
				m.trusted |= bit
			}
		}
		if p.spare {
			m.spare |= bit
		}
		if p.quiet(now) || p.active >= perPeer || now.Before(p.resort) {
			return true
		}
		m.resort |= bit
		if !now.Before(p.avoid) {
			m.usable |= bit
		}
		return true
	})
	return m
}

// least returns the slot of the peer with the fewest fetches in progress, then
// the fewest chunks taken, with random ties.
func (m *masks) least(set uint64, rnd Rand) int {
	best, ties := -1, 0
	for ; set != 0; set &= set - 1 {
		s := bits.TrailingZeros64(set)
		switch {
		case best < 0 || m.less(s, best):
			best, ties = s, 1
		case !m.less(best, s):
			ties++
			if rnd(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

func (m *masks) less(a, b int) bool {
	if m.active[a] != m.active[b] {
		return m.active[a] < m.active[b]
	}
	return m.taken[a] < m.taken[b]
}

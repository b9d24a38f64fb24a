package chain

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// pendingPause is the pause before a member is asked again for a chunk that it
	// does not have yet. The member itself holds the request for a while before it
	// answers.
	pendingPause = 10 * time.Millisecond
	// pendingTimeout is the time after which another source is asked for a chunk
	// that a member still does not have, although it could have got it from the origin.
	pendingTimeout = 1500 * time.Millisecond
	// stalledPendingTimeout is the same while no chunk at all arrives. The source probably waits
	// for the origin, as all others do.
	stalledPendingTimeout = 3 * time.Second
	// idlePause is the longest time for which a member that does not fetch the version is
	// skipped.
	idlePause = 3 * time.Second
	// minIdlePause is the same for the first time; each further one is twice as long. After a loss of
	// power of all VMs, members ask others that begin up to a second later.
	minIdlePause = 250 * time.Millisecond
	// failedPause is the time for which a member that failed is skipped.
	failedPause = 2 * time.Second
	// corruptedPause is the time for which a member that sent a corrupted chunk is
	// skipped. Each further one takes as long as a sound one, and the version is mostly
	// complete by then.
	corruptedPause = 10 * time.Second
	// originPause is the pause before a chunk is requested again after a wrong one from the
	// origin, and after a failed fetch while the rate of its link is not known.
	originPause = 150 * time.Millisecond
	// minRetryPause is the shortest pause before a chunk is requested again after a failed fetch
	// from the origin. Its return is to be noticed within 0.1 s, also if one chunk is missing.
	minRetryPause = 80 * time.Millisecond
	// maxOriginActive is the number of concurrent fetches from the origin per
	// member. All members share the origin's link and its few connections.
	maxOriginActive = 1
)

// Outcome is the result of one fetch.
type Outcome uint8

// Outcomes of a fetch.
const (
	// Got means that the chunk was received and verified.
	Got Outcome = iota
	// Pending means that the source does not have the chunk yet but fetches the
	// version.
	Pending
	// Idle means that the source does not fetch the version.
	Idle
	// Announced means that the source has the chunk, which was not transferred.
	Announced
	// Corrupted means that the chunk does not match its digest.
	Corrupted
	// Failed means any other result, such as a broken transfer.
	Failed
)

// Fetch is one chunk to fetch from one source.
type Fetch struct {
	Chunk int
	// Origin is set if the source is the origin; From is empty then.
	Origin bool
	From   Member
	// AnnounceOnly asks the source to report when it has the chunk, without sending
	// it. Many such requests may be open at a time, but only a few transfers, which
	// would otherwise saturate a slow link.
	AnnounceOnly bool
}

// Capacity says which kinds of fetches the caller can start now: fetches with
// AnnounceOnly set, and transfers of data. NoOrigin leaves the origin to another version,
// but for the first missing chunk: that it arrives shows that the origin does not lack this version.
type Capacity struct{ AnnounceOnly, Data, NoOrigin bool }

// chunkState is the progress of one chunk.
type chunkState struct {
	held, active bool
	notBefore    time.Time
	// lastSource is the member that was asked last, and sourceSince the time of the
	// first request to it.
	lastSource  fleet.VM
	sourceSince time.Time
	// announcedBy is the member that announced the chunk, or empty.
	announcedBy fleet.VM
	// skip holds the members that did not obtain the chunk within pendingTimeout.
	skip map[fleet.VM]bool
}

// Table holds the progress of fetching one version. A single lock guards it: a
// version has some dozens of chunks, and each decision looks at several of them.
type Table struct {
	mu      sync.Mutex
	self    Member
	members []Member
	plan    *plan
	chunks  []chunkState
	order   []int // chunks in the order of preference
	// sources holds the sources of each chunk, as indexes of members.
	sources      [][]uint16
	skipUntil    map[fleet.VM]time.Time
	idlePauses   map[fleet.VM]time.Duration // the last pause of each member that was idle
	missing      int
	originActive int // fetches from the origin in progress
	corrupted    int // chunks that did not match their digests
	// Chunk c is not fetched from the origin before originStart + c*originInterval.
	originStart    time.Time
	originInterval time.Duration
	// copyTime is the time that the origin needs for one copy, and originFailedAt that of the
	// last failed fetch from it.
	copyTime       time.Duration
	originFailedAt time.Time
	// progressAt is when a chunk was received or announced last.
	progressAt time.Time
}

// NewTable returns a table in which no chunk is held.
func NewTable(chunks int, self Member, ms []Member) *Table {
	t := &Table{chunks: make([]chunkState, chunks), skipUntil: map[fleet.VM]time.Time{}, idlePauses: map[fleet.VM]time.Duration{}, missing: chunks}
	t.SetMembers(self, ms)
	return t
}

// originSpacing is the interval between fetches from the origin, as a fraction of the
// transfer time of a chunk. It is below one so that the link is hardly ever idle. With 0.85 the
// link carries 20 chunks at a time at the end of a copy of 96, and all of them are lost if the origin
// fails then.
const originSpacing = 0.97

// maxOriginInterval bounds the interval. A chunk of the largest size takes 3 s on a link of 21
// Mbit/s; the time of the last chunk does not overflow.
const maxOriginInterval = 20 * time.Second

// PaceOrigin spaces the fetches from the origin so that the members together fetch
// one chunk after the other, at the rate of the origin's link. transfer is the time
// that the link takes for one chunk. Concurrent transfers would share the link, and
// hardly any chunk would be complete and passed on before all of them are.
func (t *Table) PaceOrigin(transfer time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copyTime = min(max(0, transfer), maxOriginInterval) * time.Duration(len(t.chunks))
	for c := range t.chunks {
		t.chunks[c].skip = nil
	}
	if t.progressAt.IsZero() {
		t.progressAt = now
	}
	t.originStart, t.originInterval = now, min(max(0, time.Duration(originSpacing*float64(transfer))), maxOriginInterval)
}

// SetMembers replaces the set of members and derives the order of fetches from it.
func (t *Table) SetMembers(self Member, ms []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plan != nil && self == t.self && slices.Equal(ms, t.members) {
		return
	}
	t.self, t.members = self, slices.Clone(ms)
	t.plan = newPlan(self, ms)
	t.findSources()
	t.order = t.order[:0]
	priority := map[int]int{}
	for c := range t.chunks {
		t.order = append(t.order, c)
		priority[c] = t.plan.priority(c)
	}
	// Chunks that other members wait for come first. Each member starts the rest at
	// a different chunk, so that they do not all ask the same member at once.
	ring := t.plan.rings[self.Region]
	selfIndex := slices.IndexFunc(ring, func(m Member) bool { return m.VM == self.VM })
	shift := selfIndex * len(t.chunks) / len(ring)
	n := len(t.chunks)
	slices.SortStableFunc(t.order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(priority[a], priority[b]),
			cmp.Compare((a+n-shift)%n, (b+n-shift)%n),
		)
	})
}

// findSources derives the sources of each chunk from the plan.
func (t *Table) findSources() {
	index := make(map[fleet.VM]uint16, len(t.members))
	for i, m := range t.members {
		index[m.VM] = uint16(i)
	}
	t.sources = make([][]uint16, len(t.chunks))
	for c := range t.sources {
		ms := t.plan.sources(c)
		t.sources[c] = make([]uint16, 0, len(ms))
		for _, m := range ms {
			t.sources[c] = append(t.sources[c], index[m.VM])
		}
	}
}

// MarkHeld records that chunk c is held, also if it was not fetched.
func (t *Table) MarkHeld(c int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markHeld(c)
}

func (t *Table) markHeld(c int) {
	if !t.chunks[c].held {
		t.chunks[c].held = true
		t.missing--
	}
}

// MissingCount returns the number of chunks that are not held.
func (t *Table) MissingCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.missing
}

// OriginTime returns the time that the link of the origin takes for the chunks that are neither held
// nor announced.
func (t *Table) OriginTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.chunks {
		if !t.chunks[c].held && t.chunks[c].announcedBy == "" {
			n++
		}
	}
	return t.copyTime / time.Duration(max(1, len(t.chunks))) * time.Duration(n)
}

// Stalled reports whether no chunk has been received or announced for stallTime.
func (t *Table) Stalled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.progressAt) >= stallTime
}

// Next returns the next fetch that the capacity permits and records it as started;
// the caller reports its end with Done. It returns false if there is none now; a
// later call may return one.
func (t *Table) Next(capacity Capacity, now time.Time) (Fetch, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, found := Fetch{}, false
	for _, c := range t.order {
		s := &t.chunks[c]
		if s.held || s.active || now.Before(s.notBefore) {
			continue
		}
		f := t.nextSource(c, now)
		if found && !t.precedes(f, best) || !t.hasCapacity(f, capacity, now) {
			continue
		}
		best, found = f, true
	}
	if found {
		t.startFetch(best, now)
	}
	return best, found
}

// precedes reports whether fetch f starts before fetch g, which comes first in the order of
// preference. Other members wait for the chunks that only this one can fetch. Otherwise the
// chunk that became due first goes first, so that chunks which the sources do not have yet do
// not hold up all others.
func (t *Table) precedes(f, g Fetch) bool {
	if a, b := t.othersWait(f), t.othersWait(g); a != b {
		return a
	}
	return t.chunks[f.Chunk].notBefore.Before(t.chunks[g.Chunk].notBefore)
}

// othersWait reports whether f fetches a chunk from the origin because this member is the head
// of its chain or all members before it are gone. If they are only slow, they fetch it as well.
func (t *Table) othersWait(f Fetch) bool { return f.Origin && len(t.chunks[f.Chunk].skip) == 0 }

// hasCapacity reports whether fetch f may start with the given capacity.
func (t *Table) hasCapacity(f Fetch, capacity Capacity, now time.Time) bool {
	switch {
	case f.AnnounceOnly:
		return capacity.AnnounceOnly
	case f.Origin:
		return capacity.Data && (!capacity.NoOrigin || f.Chunk == t.firstMissing()) && t.originActive < maxOriginActive && !now.Before(t.originDue(f.Chunk))
	default:
		return capacity.Data
	}
}

// firstMissing returns the first chunk that is not held, or -1.
func (t *Table) firstMissing() int {
	return slices.IndexFunc(t.chunks, func(s chunkState) bool { return !s.held })
}

// originDue returns the earliest time at which chunk c is fetched from the origin.
func (t *Table) originDue(c int) time.Time {
	return t.originStart.Add(time.Duration(c) * t.originInterval)
}

// waitingSince returns the time from which the source of chunk c counts as late.
// While the origin is down the members have nothing to pass on; if all of them gave up on each
// other, each would fetch a copy of its own once the origin returns. It then sends each chunk
// within the time for one copy.
func (t *Table) waitingSince(c int) time.Time {
	since := t.chunks[c].sourceSince
	if due := t.originDue(c); due.After(since) {
		since = due
	}
	if t.originFailedAt.IsZero() {
		return since
	}
	if due := t.originFailedAt.Add(t.copyTime); due.After(since) {
		since = due
	}
	return since
}

// originRetryAt returns when a chunk is requested from the origin again. After a failure, the members
// that wait for the origin request their chunks in turn: each once in the time that the origin's link
// takes for all missing ones, one after the other by their position among these. So one request is
// made for each chunk time while the origin is down, and when it returns, its link is full at once and
// sends each chunk once. If all chunks were requested every 150 ms, they would share the link, and
// none would be complete before all are.
func (t *Table) originRetryAt(c int, o Outcome, now time.Time) time.Time {
	if o != Failed || t.originInterval == 0 {
		return now.Add(originPause)
	}
	position := 0
	for i := range c {
		if !t.chunks[i].held {
			position++
		}
	}
	period := max(minRetryPause, time.Duration(t.missing)*t.originInterval)
	slot := t.originStart.Add(period * time.Duration(position) / time.Duration(max(1, t.missing)))
	if earliest := now.Add(period / 2); slot.Before(earliest) {
		slot = slot.Add((earliest.Sub(slot) + period - 1) / period * period)
	}
	return slot
}

// sourceTimeout returns the time after which another source is asked for a chunk that a member does not
// have.
func (t *Table) sourceTimeout(now time.Time) time.Duration {
	if now.Sub(t.progressAt) >= stallTime {
		return stalledPendingTimeout
	}
	return pendingTimeout
}

// recordOriginFailure asks the members again that were skipped as too slow: they may have waited
// for the origin.
func (t *Table) recordOriginFailure(now time.Time) {
	t.originFailedAt = now
	for c := range t.chunks {
		t.chunks[c].skip = nil
	}
}

// stallTime is the time without any chunk after which the next one shows that the origin is back.
const stallTime = time.Second

// recordProgress records that the source of f has sent or announced a chunk. After a stall of all
// chunks no member counts as late, and the time for which the members are waited for begins again:
// so one chunk that is passed on tells all members that the origin is back. One that this member
// fetched from the origin because others did not have it tells nothing.
func (t *Table) recordProgress(f Fetch, now time.Time) {
	stalled := !t.progressAt.IsZero() && now.Sub(t.progressAt) >= stallTime
	if stalled && (!f.Origin || !t.originFailedAt.IsZero()) {
		t.recordOriginFailure(now)
	}
	t.progressAt = now
}

// startFetch records that fetch f starts.
func (t *Table) startFetch(f Fetch, now time.Time) {
	s := &t.chunks[f.Chunk]
	s.active = true
	if f.Origin {
		t.originActive++
	}
	if s.lastSource != f.From.VM {
		s.lastSource, s.sourceSince = f.From.VM, now
	}
}

// nextSource returns the fetch of chunk c from the first source that is not skipped.
func (t *Table) nextSource(c int, now time.Time) Fetch {
	for _, i := range t.sources[c] {
		m := t.members[i]
		if now.Before(t.skipUntil[m.VM]) || t.chunks[c].skip[m.VM] {
			continue
		}
		return Fetch{Chunk: c, From: m, AnnounceOnly: t.chunks[c].announcedBy != m.VM}
	}
	return Fetch{Chunk: c, Origin: true}
}

// skipIdle skips a member that does not fetch the version, each time for twice as long.
func (t *Table) skipIdle(vm fleet.VM, now time.Time) {
	if now.Before(t.skipUntil[vm]) {
		return // another request that was open at the same time
	}
	pause := min(max(minIdlePause, 2*t.idlePauses[vm]), idlePause)
	t.idlePauses[vm], t.skipUntil[vm] = pause, now.Add(pause)
}

// Done records the outcome of a fetch.
func (t *Table) Done(f Fetch, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.chunks[f.Chunk]
	s.active = false
	if o == Corrupted {
		t.corrupted++
	}
	if o != Announced {
		s.announcedBy = ""
	}
	if f.Origin {
		t.originActive--
	}
	if o == Got || o == Announced {
		t.recordProgress(f, now)
		delete(t.idlePauses, f.From.VM)
	}
	switch {
	case o == Got:
		t.markHeld(f.Chunk)
	case f.Origin:
		s.notBefore = t.originRetryAt(f.Chunk, o, now)
		// Members that were skipped as too slow may have the chunk by now.
		s.skip = nil
		if o == Failed {
			t.recordOriginFailure(now)
		}
	case o == Announced:
		s.announcedBy = f.From.VM
		s.notBefore = time.Time{}
	case o == Pending:
		s.notBefore = now.Add(pendingPause)
		if now.Sub(t.waitingSince(f.Chunk)) >= t.sourceTimeout(now) {
			if s.skip == nil {
				s.skip = map[fleet.VM]bool{}
			}
			s.skip[f.From.VM] = true
		}
	case o == Idle:
		t.skipIdle(f.From.VM, now)
	case o == Corrupted:
		t.skipUntil[f.From.VM] = now.Add(corruptedPause)
	default:
		t.skipUntil[f.From.VM] = now.Add(failedPause)
	}
}

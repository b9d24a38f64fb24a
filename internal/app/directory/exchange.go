package directory

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// maxRecords bounds the records of one exchange.
	maxRecords = 32
	// leastRecords may be passed on in every exchange even when the budget is
	// used up, so that a change of state is never held back.
	leastRecords = 3
	// announceRecords bounds the records of an announcement, which goes to all
	// neighbours at the same time.
	announceRecords = 8
	// noRecords is for the announcement of a revision, which each process sends
	// and gets about 16 times per change.
	noRecords = 0
	// maxRetries bounds the members that are retried in one round, beside the
	// neighbour whose turn it is.
	maxRetries = 2
	// maxChecks bounds the members that are contacted in one round because
	// others hold them for suspect or dead.
	maxChecks = 4
	// differLimit is the number of exchanges in a row with differing digests
	// after which a process asks for the whole table.
	differLimit = 3
	// wholePerMember times the number of members is the least time between two
	// requests for the whole table. At 150 bytes a record it bounds them to
	// 750 bytes per second.
	wholePerMember = 200 * time.Millisecond
	// earlyWholes requests come earlyGap apart, since the first partners of a
	// process may have started just before it and know little.
	earlyWholes = 3
	earlyGap    = 1500 * time.Millisecond
	// announceGap is the least time between announcements. Changes within it
	// share one.
	announceGap = 50 * time.Millisecond
	// relayGap is the pause after new states of others were passed on, which
	// come in large numbers when a failure domain fails.
	relayGap = 250 * time.Millisecond
)

// target is a process to exchange with; id is empty for a seed that is not
// known as a member.
type target struct {
	id   string
	addr fleet.Address
}

// exchangeLoop exchanges with one neighbour per round and retries members that
// did not answer.
func (d *Directory) exchangeLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	var probed time.Time
	for d.sleep(ctx, d.jitter(d.cfg.ExchangeEvery)) {
		now := d.deps.Clock.Now()
		if d.table.Tick(now) {
			signal(d.relay)
			d.notify()
		}
		d.flushSelf(now)
		targets := d.round(now)
		if now.Sub(probed) >= d.cfg.ProbeEvery {
			probed = now
			targets = append(targets, d.probe(now)...)
		}
		all := d.wantAll(now)
		for _, t := range targets {
			wg.Go(func() { d.exchange(ctx, t, maxRecords, all) })
		}
	}
}

// jitter spreads the rounds of processes that started together.
func (d *Directory) jitter(t time.Duration) time.Duration {
	return t*9/10 + time.Duration(d.deps.Rand.IntN(int(t/5)+1))
}

// round returns the neighbour whose turn it is, and members that failed or
// that others hold for failed.
func (d *Directory) round(now time.Time) []target {
	var out []target
	if ns := d.table.Neighbours(now); len(ns) > 0 {
		out = d.appendTarget(out, ns[d.turn.Add(1)%uint64(len(ns))])
	}
	out = d.pick(out, d.table.Failing(), maxRetries)
	out = d.pick(out, d.table.Doubted(now), maxChecks)
	out = d.pick(out, d.table.Troubled(now), maxRetries)
	if len(out) == 0 {
		out = d.seeds()
	}
	return out
}

// pick appends at most n of the ids, chosen at random.
func (d *Directory) pick(ts []target, ids []string, n int) []target {
	for range min(n, len(ids)) {
		i := d.deps.Rand.IntN(len(ids))
		ts = d.appendTarget(ts, ids[i])
		ids[i] = ids[len(ids)-1]
		ids = ids[:len(ids)-1]
	}
	return ts
}

// probe returns one dead member and one seed that is not a live member, so
// that a healed partition joins again.
func (d *Directory) probe(now time.Time) []target {
	var out []target
	if dead := d.table.Dead(); len(dead) > 0 {
		out = d.appendTarget(out, dead[d.deps.Rand.IntN(len(dead))])
	}
	live := map[fleet.Address]bool{}
	for _, s := range d.table.Live(now) {
		live[s.Address] = true
	}
	var unknown []target
	for _, t := range d.seeds() {
		if !live[t.addr] {
			unknown = append(unknown, t)
		}
	}
	if len(unknown) > 0 {
		out = append(out, unknown[d.deps.Rand.IntN(len(unknown))])
	}
	return out
}

func (d *Directory) seeds() []target {
	var out []target
	for _, a := range d.cfg.Seeds {
		if a != d.cfg.Self.Address {
			out = append(out, target{addr: a})
		}
	}
	return out
}

func (d *Directory) appendTarget(ts []target, id string) []target {
	s, ok := d.table.Get(id, d.deps.Clock.Now())
	if !ok {
		return ts
	}
	return append(ts, target{id, s.Address})
}

// wantAll reports whether the whole table is needed: this process knows no
// other one, or its digest stays different.
func (d *Directory) wantAll(now time.Time) bool {
	n := d.table.Len()
	if n == 1 {
		return true
	}
	last := time.UnixMilli(d.whole.Load())
	gap, limit := time.Duration(n)*wholePerMember, int32(differLimit)
	if d.wholes.Load() < earlyWholes {
		gap, limit = min(gap, earlyGap), 1
	}
	if d.differ.Load() < limit || now.Sub(last) < gap {
		return false
	}
	d.wholes.Add(1)
	d.differ.Store(0)
	d.whole.Store(now.UnixMilli())
	return true
}

// exchange swaps facts with t. It reports whether t answered. Exchanges with
// the same address do not overlap.
func (d *Directory) exchange(ctx context.Context, t target, records int, all bool) bool {
	if !claim(d.busy, t.addr) {
		return false
	}
	defer d.busy.Delete(t.addr)
	return d.exchangeClaimed(ctx, t, records, all)
}

// claim takes a key that is free.
func claim[K comparable](m *shard.Map[K, struct{}], a K) bool {
	free := false
	m.Update(a, func(_ struct{}, ok bool) (struct{}, bool) {
		free = !ok
		return struct{}{}, true
	})
	return free
}

// exchangeClaimed is exchange for a caller that has claimed the address.
func (d *Directory) exchangeClaimed(ctx context.Context, t target, records int, all bool) bool {
	now := d.deps.Clock.Now()
	before, known := d.table.Get(t.id, now)
	gone := d.table.Gone(t.id, now)
	doubted := known && (before.State == membership.Suspect || before.State == membership.Dead)
	// Tables that agree are compared by their digests alone, which keeps a quiet
	// fleet quiet, also while records wait to be passed on once more.
	if !all && !doubted && records > noRecords && d.agreed.Load() == d.table.Digest() {
		if _, ok := d.swap(ctx, t, noRecords, false); !ok || d.agreed.Load() != 0 {
			return ok
		}
	}
	refuted, ok := d.swap(ctx, t, records, all)
	if !ok {
		return false
	}
	// A side refutes only after it answered, so the facts are swapped again.
	// After a partition, this process also needs what it missed.
	if !all && (refuted || doubted) {
		_, ok = d.swap(ctx, t, records, gone)
	}
	return ok
}

// swap makes one exchange. It reports whether this process had to refute
// something, and whether t answered.
func (d *Directory) swap(ctx context.Context, t target, records int, all bool) (refuted, ok bool) {
	began := d.deps.Clock.Now()
	m := d.message(t.id, records)
	m.WantAll = all
	reply, err := d.deps.Members.Exchange(ctx, t.addr, m)
	if ctx.Err() != nil {
		return false, false
	}
	if err != nil {
		d.deps.Metrics.Count("directory_exchanges_failed_total", 1)
		d.table.Fail(t.id, began)
		return false, false
	}
	d.deps.Metrics.Count("directory_exchanges_total", 1)
	refuted = d.absorb(reply, t.addr)
	d.compare(reply, records)
	return refuted, true
}

// compare counts exchanges in a row after which the tables differ.
// One without records could not make them equal.
func (d *Directory) compare(reply port.ExchangeMessage, records int) {
	if own := d.table.Digest(); reply.Digest == own {
		d.agreed.Store(own)
		d.differ.Store(0)
		return
	}
	d.agreed.Store(0)
	if records > noRecords {
		d.differ.Add(1)
	}
}

// message returns the newest facts, with noRecords only the head. If the table
// does not hold the partner for alive, the record is included so that it can
// refute.
func (d *Directory) message(partner string, records int) port.ExchangeMessage {
	now := d.deps.Clock.Now()
	m := d.head(now)
	if records > noRecords {
		n := d.budget.take(records-1, now)
		rs := d.table.Changed(1+max(n, leastRecords), now)
		d.budget.giveBack(max(0, n-(len(rs)-1)))
		for _, s := range rs {
			m.Records = append(m.Records, fromCore(s))
		}
	}
	if p, ok := d.table.Get(partner, now); ok && (p.State == membership.Suspect || p.State == membership.Dead) {
		m.Records = append(m.Records, fromCore(p))
	}
	return m
}

// absorb merges what another process said. from is its address if known. It
// reports whether this process had to refute something.
func (d *Directory) absorb(m port.ExchangeMessage, from fleet.Address) bool {
	now := d.deps.Clock.Now()
	refuted, changed := false, false
	for _, r := range m.Records {
		if r.ID == "" || r.State > port.MemberDead {
			continue
		}
		switch d.table.Merge(toCore(r), r.Age, now) {
		case membership.Refuted:
			refuted = true
		case membership.Updated:
			changed = true
		case membership.Moved:
			changed = true
			signal(d.relay)
		}
	}
	d.table.Contact(m.From, now)
	if s, ok := d.table.Get(m.From, now); ok && from == "" {
		from = s.Address
	}
	d.rev.Confirm(m.Revision, m.Age, now)
	if m.Revision > d.rev.Revision() && from != "" {
		d.requestPull(pull{from, m.Revision})
	}
	if refuted {
		signal(d.announce)
	}
	if changed {
		d.notify()
	}
	return refuted
}

// announcement is a message to a neighbour that must not wait for its turn.
type announcement struct {
	addr    fleet.Address
	records int
}

// announceLoop tells all neighbours at once of a new revision, a new state of
// this process or a refutation, and passes on new states of others.
func (d *Directory) announceLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		gap, records := announceGap, announceRecords
		select {
		case <-ctx.Done():
			return
		case <-d.revised:
			records = noRecords
		case <-d.announce:
		case <-d.relay:
			gap = relayGap
		}
		for _, id := range d.table.Neighbours(d.deps.Clock.Now()) {
			for _, t := range d.appendTarget(nil, id) {
				wg.Go(func() { d.announceTo(ctx, t, records) })
			}
		}
		if !d.sleep(ctx, gap) {
			return
		}
	}
}

// announceTo does not skip a neighbour with an exchange in progress, which may
// have begun before the change; it waits for that one to end. One announcement
// of each kind waits at a time, since it carries the newest facts when it goes out.
func (d *Directory) announceTo(ctx context.Context, t target, records int) {
	a := announcement{t.addr, records}
	if !claim(d.waiting, a) {
		return
	}
	for !claim(d.busy, t.addr) {
		if !d.sleep(ctx, announceGap) {
			d.waiting.Delete(a)
			return
		}
	}
	d.waiting.Delete(a)
	defer d.busy.Delete(t.addr)
	d.exchangeClaimed(ctx, t, records, false)
}

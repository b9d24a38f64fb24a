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
	// maxRetries bounds the members that are retried in one round, beside the
	// neighbour whose turn it is.
	maxRetries = 2
	// maxChecks bounds the members that are contacted in one round because
	// others hold them for suspect or dead.
	maxChecks = 4
	// maxComparisons bounds the comparisons of one exchange. More than one is
	// made only while much of the budget is left, as after a start.
	maxComparisons = 8
	// smallFleet is the number of members up to which new members are passed on
	// at once. At 210 processes that start together, 95% of the records that an
	// entry got in this way were known to it.
	smallFleet = 64
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
	for d.sleep(ctx, d.jitter(d.cfg.ExchangeInterval)) {
		now := d.deps.Clock.Now()
		if d.table.Tick(now) {
			d.deps.Metrics.Count("directory_suspicions_total", 1)
			signal(d.relay)
			d.notify()
		}
		d.flushSelf(now)
		targets := d.round(now)
		if now.Sub(probed) >= d.cfg.ProbeInterval {
			probed = now
			targets = append(targets, d.probe(now)...)
		}
		for _, t := range targets {
			wg.Go(func() { d.exchange(ctx, t, compared) })
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
	out = d.pick(out, d.table.FailingIDs(), maxRetries)
	out = d.pick(out, d.table.ReportedSilentIDs(now), maxChecks)
	out = d.pick(out, d.table.LiveIDsInFailingDomains(now), maxRetries)
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
	for _, s := range d.table.LiveMembers(now) {
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

// extent says how much an exchange is about.
type extent int

const (
	// headOnly tells the revision.
	headOnly extent = iota
	// updatesOnly also passes on what changed lately.
	updatesOnly
	// compared also finds out where the tables differ.
	compared
)

// exchange swaps facts with t. It reports whether t answered. Exchanges with
// the same address do not overlap.
func (d *Directory) exchange(ctx context.Context, t target, e extent) bool {
	if !claim(d.busy, t.addr) {
		return false
	}
	defer d.busy.Delete(t.addr)
	return d.exchangeClaimed(ctx, t, e)
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
func (d *Directory) exchangeClaimed(ctx context.Context, t target, e extent) bool {
	before, known := d.table.Get(t.id, d.deps.Clock.Now())
	suspected := known && (before.State == membership.Suspect || before.State == membership.Dead)
	// Tables that agree are compared by their digests alone, which keeps a quiet
	// fleet quiet, also while records wait to be passed on once more.
	if !suspected && e != updatesOnly && (e == headOnly || d.agreed.Load() == d.table.Digest()) {
		if _, _, ok := d.swap(ctx, t, d.gossip.NewMessage()); !ok || e == headOnly || d.agreed.Load() != 0 {
			return ok
		}
	}
	if !suspected && e == updatesOnly {
		return d.sendUpdates(ctx, t)
	}
	d.deps.Metrics.Count("directory_comparisons_total", 1)
	refuted, ok := d.compare(ctx, t)
	if !ok {
		return false
	}
	// A side refutes only after it answered, so the facts are swapped again.
	if refuted || suspected {
		_, ok = d.compare(ctx, t)
	}
	return ok
}

// sendUpdates sends what changed lately, if anything.
func (d *Directory) sendUpdates(ctx context.Context, t target) bool {
	m := d.gossip.FirstMessage(t.id, d.deps.Clock.Now())
	if len(m.Records) == 0 {
		return true
	}
	m.Compare = false
	_, _, ok := d.swap(ctx, t, m)
	return ok
}

// compare exchanges updates with t and then what else differs, in pieces.
func (d *Directory) compare(ctx context.Context, t target) (refuted, ok bool) {
	for range maxComparisons {
		reply, r, ok := d.swap(ctx, t, d.gossip.FirstMessage(t.id, d.deps.Clock.Now()))
		refuted = refuted || r
		if !ok {
			return refuted, false
		}
		if len(reply.Digests) == 0 {
			return refuted, true
		}
		for m, more := d.gossip.NextMessage(reply, d.deps.Clock.Now()); more; m, more = d.gossip.NextMessage(reply, d.deps.Clock.Now()) {
			if reply, r, ok = d.swap(ctx, t, m); !ok {
				return refuted, false
			}
			refuted = refuted || r
		}
		if d.agreed.Load() == d.table.Digest() || !d.gossip.Budget.HalfFull(d.deps.Clock.Now()) {
			break
		}
	}
	return refuted, true
}

// swap makes one call. It reports whether this process had to refute
// something, and whether t answered.
func (d *Directory) swap(
	ctx context.Context, t target, m membership.Message[port.MemberRecord],
) (answer membership.Message[port.MemberRecord], refuted, ok bool) {
	began := d.deps.Clock.Now()
	reply, err := d.deps.Members.Exchange(ctx, t.addr, d.fromMessage(m))
	if ctx.Err() != nil {
		return answer, false, false
	}
	if err != nil {
		d.deps.Metrics.Count("directory_exchanges_failed_total", 1)
		d.table.RecordFailure(t.id, began)
		return answer, false, false
	}
	d.deps.Metrics.Count("directory_exchanges_total", 1)
	answer = d.toMessage(reply)
	l := d.gossip.MergeMessage(answer, d.deps.Clock.Now())
	d.merged(l)
	d.observe(reply, t.addr)
	own := d.table.Digest()
	if reply.Digest != own {
		own = 0
	}
	d.agreed.Store(own)
	return answer, l.Refuted, true
}

// merged wakes those who pass on or use what an exchange changed. New members
// are passed on at once only in a small fleet and while much of the budget is
// left.
func (d *Directory) merged(l membership.MergeResult) {
	d.deps.Metrics.Count("directory_records_total", int64(l.NewRecords), port.Attr{Key: "known", Value: "false"})
	d.deps.Metrics.Count("directory_records_total", int64(l.KnownRecords), port.Attr{Key: "known", Value: "true"})
	if l.Refuted {
		d.deps.Metrics.Count("directory_refutations_total", 1)
		signal(d.announce)
	}
	if l.StateChanged || l.Changed && d.table.Len() <= smallFleet && d.gossip.Budget.HalfFull(d.deps.Clock.Now()) {
		signal(d.relay)
	}
	if l.Changed {
		d.notify()
	}
}

// observe takes the revision of a message. from is the address of its sender if
// known.
func (d *Directory) observe(m port.ExchangeMessage, from fleet.Address) {
	now := d.deps.Clock.Now()
	if s, ok := d.table.Get(m.From, now); ok && from == "" {
		from = s.Address
	}
	d.rev.Confirm(m.Revision, m.Age, now)
	if m.Revision > d.rev.Revision() && from != "" {
		d.requestPull(pull{from, m.Revision})
	}
}

// announcement is a message to a neighbour that must not wait for its turn.
type announcement struct {
	addr fleet.Address
	e    extent
}

// announceLoop tells all neighbours at once of a new revision, a new state of
// this process or a refutation, and passes on new states of others.
func (d *Directory) announceLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		gap, e := announceGap, updatesOnly
		select {
		case <-ctx.Done():
			return
		case <-d.revised:
			e = headOnly
		case <-d.announce:
		case <-d.relay:
			gap = relayGap
		}
		for _, id := range d.table.Neighbours(d.deps.Clock.Now()) {
			for _, t := range d.appendTarget(nil, id) {
				wg.Go(func() { d.announceTo(ctx, t, e) })
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
func (d *Directory) announceTo(ctx context.Context, t target, e extent) {
	a := announcement{t.addr, e}
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
	d.exchangeClaimed(ctx, t, e)
}

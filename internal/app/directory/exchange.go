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
	maxFailingPerRound = 2
	// maxChecks bounds the members that are contacted in one round because
	// others hold them for suspect or dead.
	maxReportedPerRound = 4
	// maxComparisons bounds the comparisons of one exchange. More than one is
	// made only while much of the budget is left, as after a start.
	maxComparisonsPerExchange = 8
	// smallFleet is the number of members up to which new members are passed on
	// at once. At 210 processes that start together, 95% of the records that an
	// entry got in this way were known to it.
	smallFleetSize = 64
	// announceGap is the least time between announcements. Changes within it
	// share one.
	announceInterval = 50 * time.Millisecond
	// relayGap is the pause after new states of others were passed on, which
	// come in large numbers when a failure domain fails.
	relayInterval = 250 * time.Millisecond
)

// target is a process to exchange with; id is empty for a seed that is not
// known as a member.
type partner struct {
	id   string
	addr fleet.Address
}

// exchangeLoop exchanges with one neighbour per round and retries members that
// did not answer.
func (d *Directory) exchangeLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	var lastProbe time.Time
	for d.sleep(ctx, d.jitter(d.cfg.ExchangeInterval)) {
		now := d.deps.Clock.Now()
		if d.table.Tick(now) {
			d.deps.Metrics.Count("directory_suspicions_total", 1)
			signal(d.peerStateChanged)
			d.notify()
		}
		d.publishPending(now)
		partners := d.roundPartners(now)
		if now.Sub(lastProbe) >= d.cfg.ProbeInterval {
			lastProbe = now
			partners = append(partners, d.probePartners(now)...)
		}
		for _, p := range partners {
			wg.Go(func() { d.exchange(ctx, p, withComparison) })
		}
	}
}

// jitter spreads the rounds of processes that started together.
func (d *Directory) jitter(t time.Duration) time.Duration {
	return t*9/10 + time.Duration(d.deps.Rand.IntN(int(t/5)+1))
}

// round returns the neighbour whose turn it is, and members that failed or
// that others hold for failed.
func (d *Directory) roundPartners(now time.Time) []partner {
	var out []partner
	if neighbours := d.table.Neighbours(now); len(neighbours) > 0 {
		out = d.appendPartner(out, neighbours[d.nextNeighbour.Add(1)%uint64(len(neighbours))])
	}
	out = d.appendRandom(out, d.table.FailingIDs(), maxFailingPerRound)
	out = d.appendRandom(out, d.table.ReportedSilentIDs(now), maxReportedPerRound)
	out = d.appendRandom(out, d.table.LiveIDsInFailingDomains(now), maxFailingPerRound)
	if len(out) == 0 {
		out = d.seedPartners()
	}
	return out
}

// pick appends at most n of the ids, chosen at random.
func (d *Directory) appendRandom(partners []partner, ids []string, n int) []partner {
	for range min(n, len(ids)) {
		i := d.deps.Rand.IntN(len(ids))
		partners = d.appendPartner(partners, ids[i])
		ids[i] = ids[len(ids)-1]
		ids = ids[:len(ids)-1]
	}
	return partners
}

// probe returns one dead member and one seed that is not a live member, so
// that a healed partition joins again.
func (d *Directory) probePartners(now time.Time) []partner {
	var out []partner
	if dead := d.table.Dead(); len(dead) > 0 {
		out = d.appendPartner(out, dead[d.deps.Rand.IntN(len(dead))])
	}
	live := map[fleet.Address]bool{}
	for _, rec := range d.table.LiveMembers(now) {
		live[rec.Address] = true
	}
	var unknown []partner
	for _, seed := range d.seedPartners() {
		if !live[seed.addr] {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) > 0 {
		out = append(out, unknown[d.deps.Rand.IntN(len(unknown))])
	}
	return out
}

func (d *Directory) seedPartners() []partner {
	var out []partner
	for _, a := range d.cfg.Seeds {
		if a != d.cfg.Self.Address {
			out = append(out, partner{addr: a})
		}
	}
	return out
}

func (d *Directory) appendPartner(partners []partner, id string) []partner {
	rec, ok := d.table.Get(id, d.deps.Clock.Now())
	if !ok {
		return partners
	}
	return append(partners, partner{id, rec.Address})
}

// extent says how much an exchange is about.
type exchangeKind int

const (
	// headOnly tells the revision.
	headerOnly exchangeKind = iota
	// updatesOnly also passes on what changed lately.
	updatesOnly
	// compared also finds out where the tables differ.
	withComparison
)

// exchange swaps facts with t. It reports whether t answered. Exchanges with
// the same address do not overlap.
func (d *Directory) exchange(ctx context.Context, p partner, kind exchangeKind) bool {
	if !tryClaim(d.exchanging, p.addr) {
		return false
	}
	defer d.exchanging.Delete(p.addr)
	return d.exchangeClaimed(ctx, p, kind)
}

// claim takes a key that is free.
func tryClaim[K comparable](m *shard.Map[K, struct{}], key K) bool {
	free := false
	m.Update(key, func(_ struct{}, ok bool) (struct{}, bool) {
		free = !ok
		return struct{}{}, true
	})
	return free
}

// exchangeClaimed is exchange for a caller that has claimed the address.
func (d *Directory) exchangeClaimed(ctx context.Context, p partner, kind exchangeKind) bool {
	before, known := d.table.Get(p.id, d.deps.Clock.Now())
	suspected := known && (before.State == membership.Suspect || before.State == membership.Dead)
	// Tables that agree are compared by their digests alone, which keeps a quiet
	// fleet quiet, also while records wait to be passed on once more.
	if !suspected && kind != updatesOnly && (kind == headerOnly || d.agreedDigest.Load() == d.table.Digest()) {
		if _, _, ok := d.sendMessage(ctx, p, d.gossip.NewMessage()); !ok || kind == headerOnly || d.agreedDigest.Load() != 0 {
			return ok
		}
	}
	if !suspected && kind == updatesOnly {
		return d.sendUpdates(ctx, p)
	}
	d.deps.Metrics.Count("directory_comparisons_total", 1)
	refuted, ok := d.compare(ctx, p)
	if !ok {
		return false
	}
	// A side refutes only after it answered, so the facts are swapped again.
	if refuted || suspected {
		_, ok = d.compare(ctx, p)
	}
	return ok
}

// sendUpdates sends what changed lately, if anything.
func (d *Directory) sendUpdates(ctx context.Context, p partner) bool {
	m := d.gossip.FirstMessage(p.id, d.deps.Clock.Now())
	if len(m.Records) == 0 {
		return true
	}
	m.Compare = false
	_, _, ok := d.sendMessage(ctx, p, m)
	return ok
}

// compare exchanges updates with t and then what else differs, in pieces.
func (d *Directory) compare(ctx context.Context, p partner) (refuted, ok bool) {
	for range maxComparisonsPerExchange {
		reply, refutedNow, ok := d.sendMessage(ctx, p, d.gossip.FirstMessage(p.id, d.deps.Clock.Now()))
		refuted = refuted || refutedNow
		if !ok {
			return refuted, false
		}
		if len(reply.Digests) == 0 {
			return refuted, true
		}
		for m, more := d.gossip.NextMessage(reply, d.deps.Clock.Now()); more; m, more = d.gossip.NextMessage(reply, d.deps.Clock.Now()) {
			if reply, refutedNow, ok = d.sendMessage(ctx, p, m); !ok {
				return refuted, false
			}
			refuted = refuted || refutedNow
		}
		if d.agreedDigest.Load() == d.table.Digest() || !d.gossip.Budget.HalfFull(d.deps.Clock.Now()) {
			break
		}
	}
	return refuted, true
}

// swap makes one call. It reports whether this process had to refute
// something, and whether t answered.
func (d *Directory) sendMessage(
	ctx context.Context, p partner, m membership.Message[port.MemberRecord],
) (reply membership.Message[port.MemberRecord], refuted, ok bool) {
	began := d.deps.Clock.Now()
	wireReply, err := d.deps.Members.Exchange(ctx, p.addr, d.fromCoreMessage(m))
	if ctx.Err() != nil {
		return reply, false, false
	}
	if err != nil {
		d.deps.Metrics.Count("directory_exchanges_failed_total", 1)
		d.table.RecordFailure(p.id, began)
		return reply, false, false
	}
	d.deps.Metrics.Count("directory_exchanges_total", 1)
	reply = d.toCoreMessage(wireReply)
	res := d.gossip.MergeMessage(reply, d.deps.Clock.Now())
	d.handleMerge(res)
	d.observeRevision(wireReply, p.addr)
	own := d.table.Digest()
	if wireReply.Digest != own {
		own = 0
	}
	d.agreedDigest.Store(own)
	return reply, res.Refuted, true
}

// merged wakes those who pass on or use what an exchange changed. New members
// are passed on at once only in a small fleet and while much of the budget is
// left.
func (d *Directory) handleMerge(res membership.MergeResult) {
	d.deps.Metrics.Count("directory_records_total", int64(res.NewRecords), port.Attr{Key: "known", Value: "false"})
	d.deps.Metrics.Count("directory_records_total", int64(res.KnownRecords), port.Attr{Key: "known", Value: "true"})
	if res.Refuted {
		d.deps.Metrics.Count("directory_refutations_total", 1)
		signal(d.selfChanged)
	}
	if res.StateChanged || res.Changed && d.table.Len() <= smallFleetSize && d.gossip.Budget.HalfFull(d.deps.Clock.Now()) {
		signal(d.peerStateChanged)
	}
	if res.Changed {
		d.notify()
	}
}

// observe takes the revision of a message. from is the address of its sender if
// known.
func (d *Directory) observeRevision(m port.ExchangeMessage, from fleet.Address) {
	now := d.deps.Clock.Now()
	if sender, ok := d.table.Get(m.From, now); ok && from == "" {
		from = sender.Address
	}
	d.rev.Confirm(m.Revision, m.Age, now)
	if m.Revision > d.rev.Revision() && from != "" {
		d.enqueueFetch(fetchRequest{from, m.Revision})
	}
}

// announcement is a message to a neighbour that must not wait for its turn.
type announcement struct {
	addr fleet.Address
	kind exchangeKind
}

// announceLoop tells all neighbours at once of a new revision, a new state of
// this process or a refutation, and passes on new states of others.
func (d *Directory) announceLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		pause, kind := announceInterval, updatesOnly
		select {
		case <-ctx.Done():
			return
		case <-d.revisionChanged:
			kind = headerOnly
		case <-d.selfChanged:
		case <-d.peerStateChanged:
			pause = relayInterval
		}
		for _, id := range d.table.Neighbours(d.deps.Clock.Now()) {
			for _, p := range d.appendPartner(nil, id) {
				wg.Go(func() { d.announceTo(ctx, p, kind) })
			}
		}
		if !d.sleep(ctx, pause) {
			return
		}
	}
}

// announceTo does not skip a neighbour with an exchange in progress, which may
// have begun before the change; it waits for that one to end. One announcement
// of each kind waits at a time, since it carries the newest facts when it goes out.
func (d *Directory) announceTo(ctx context.Context, p partner, kind exchangeKind) {
	a := announcement{p.addr, kind}
	if !tryClaim(d.pendingAnnouncements, a) {
		return
	}
	for !tryClaim(d.exchanging, p.addr) {
		if !d.sleep(ctx, announceInterval) {
			d.pendingAnnouncements.Delete(a)
			return
		}
	}
	d.pendingAnnouncements.Delete(a)
	defer d.exchanging.Delete(p.addr)
	d.exchangeClaimed(ctx, p, kind)
}

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
	// maxFailingPerRound bounds the members contacted in one round because they
	// did not respond before, in addition to the regular neighbour.
	maxFailingPerRound = 2
	// maxReportedPerRound bounds the members contacted in one round because
	// others report them as suspect or dead.
	maxReportedPerRound = 4
	// maxComparisonsPerExchange bounds the table comparisons of one exchange.
	// More than one runs only while the byte budget is at least half full, as
	// after a start.
	maxComparisonsPerExchange = 8
	// smallFleetSize is the number of members up to which new members are
	// forwarded immediately. With 210 processes that start together, 95% of the
	// records that an entry received this way were already known to it.
	smallFleetSize = 64
	// announceInterval is the minimum time between announcements. Changes within
	// one interval are announced together.
	announceInterval = 50 * time.Millisecond
	// relayInterval is the pause after forwarding state changes of other members,
	// which come in large numbers when a failure domain fails.
	relayInterval = 250 * time.Millisecond
)

// partner is the process at the other end of an exchange. id is empty for a seed
// that is not known as a member.
type partner struct {
	id   string
	addr fleet.Address
}

// exchangeLoop runs periodic rounds of exchanges: with one neighbour in turn,
// with members that failed to respond, and with probed members and seeds.
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

// jitter returns t varied at random by up to 10%, so that processes that started
// together do not act at the same time.
func (d *Directory) jitter(t time.Duration) time.Duration {
	return t*9/10 + time.Duration(d.deps.Rand.IntN(int(t/5)+1))
}

// roundPartners returns the partners of one round: the next neighbour, members
// that failed to respond, members that others report as failed, and live members
// of failing domains. Without any, it returns the seeds.
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

// appendRandom appends the members of at most n ids chosen at random. It
// reorders ids.
func (d *Directory) appendRandom(partners []partner, ids []string, n int) []partner {
	for range min(n, len(ids)) {
		i := d.deps.Rand.IntN(len(ids))
		partners = d.appendPartner(partners, ids[i])
		ids[i] = ids[len(ids)-1]
		ids = ids[:len(ids)-1]
	}
	return partners
}

// probePartners returns one dead member and one seed that is not a live member,
// so that the two sides of a healed partition find each other.
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

// exchangeKind determines what an exchange transfers.
type exchangeKind int

const (
	// headerOnly sends the revision and the table digest.
	headerOnly exchangeKind = iota
	// updatesOnly also sends recently changed records.
	updatesOnly
	// withComparison also compares the tables and transfers differing records.
	withComparison
)

// exchange runs an exchange with p and reports whether p responded. It returns
// false at once if an exchange with the same address is in progress.
func (d *Directory) exchange(ctx context.Context, p partner, kind exchangeKind) bool {
	if !tryClaim(d.exchanging, p.addr) {
		return false
	}
	defer d.exchanging.Delete(p.addr)
	return d.exchangeClaimed(ctx, p, kind)
}

// tryClaim inserts key into m and reports whether it was absent.
func tryClaim[K comparable](m *shard.Map[K, struct{}], key K) bool {
	free := false
	m.Update(key, func(_ struct{}, ok bool) (struct{}, bool) {
		free = !ok
		return struct{}{}, true
	})
	return free
}

// exchangeClaimed is exchange for a caller that holds the claim on the address.
func (d *Directory) exchangeClaimed(ctx context.Context, p partner, kind exchangeKind) bool {
	before, known := d.table.Get(p.id, d.deps.Clock.Now())
	suspected := known && (before.State == membership.Suspect || before.State == membership.Dead)
	// Tables that were equal last time are compared by digest only. This keeps an
	// idle fleet's traffic low even while records are queued for further sends.
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
	// A process refutes a suspicion after it has replied, so a second comparison
	// transfers the refutation.
	if refuted || suspected {
		_, ok = d.compare(ctx, p)
	}
	return ok
}

// sendUpdates sends recently changed records, if there are any.
func (d *Directory) sendUpdates(ctx context.Context, p partner) bool {
	m := d.gossip.FirstMessage(p.id, d.deps.Clock.Now())
	if len(m.Records) == 0 {
		return true
	}
	m.Compare = false
	_, _, ok := d.sendMessage(ctx, p, m)
	return ok
}

// compare exchanges updates with p and then compares the tables part by part,
// transferring the records that differ. It reports whether this process had to
// refute a suspicion about itself, and whether p responded to every message.
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

// sendMessage sends one message and merges the reply. It reports whether this
// process had to refute a suspicion about itself, and whether p responded.
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
	wireReply.Age = d.ageSince(began, wireReply.Age)
	d.observeRevision(wireReply, p.addr)
	agreed := d.table.Digest()
	if wireReply.Digest != agreed {
		agreed = 0
	}
	d.agreedDigest.Store(agreed)
	return reply, res.Refuted, true
}

// handleMerge counts the merged records of a message and wakes announceLoop and
// the subscribers if the table changed. New members are forwarded immediately only
// in a small fleet and while the byte budget is at least half full.
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

// observeRevision records the revision of a message and fetches the declaration
// from its sender if the revision is newer. from is the sender's address; if it is
// empty, the address is looked up in the table.
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

// announcement identifies an exchange that does not wait for the neighbour's
// regular turn.
type announcement struct {
	addr fleet.Address
	kind exchangeKind
}

// announceLoop immediately sends to all neighbours a new revision, a new state of
// this process, a refutation, or new states of other members.
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

// announceTo runs an exchange with p. If one is in progress, which may have begun
// before the change, announceTo waits for it to end. At most one announcement of
// each kind waits per address, since it carries the latest state when sent.
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

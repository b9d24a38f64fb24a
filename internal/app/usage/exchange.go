// Package usage exchanges counts of requests among gateways and reports them to the platform.
package usage

import (
	"context"
	"net/netip"
	"time"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// noticeInterval is the time between two notices: a gateway that is killed loses no more of its counts.
	noticeInterval = 250 * time.Millisecond
	// noticesPerFull is the number of notices of which one holds all counts of windows that are not due yet, and
	// not only what has changed. It replaces those that were lost.
	noticesPerFull = 4
	// relaySpacing times the number of notices that a candidate passes on in a round is the time between two
	// rounds, within minRelayInterval and maxRelayInterval. Both candidates of a domain pass everything on, so
	// that those of the others hear of it twice as often.
	relaySpacing     = 2 * time.Millisecond
	minRelayInterval = 500 * time.Millisecond
	maxRelayInterval = time.Second
	// clockInterval is the time between two comparisons of clocks.
	clockInterval = time.Second
)

// Deps holds the ports that an Exchange uses.
type Deps struct {
	Clock   port.BootClock
	Metrics port.Metrics
	Log     port.Log
	// Sender returns the sender of notices, or nil if there is none.
	Sender func() port.LoadSender
	// Recipients returns the gateways to which this one states its figures.
	Recipients func() usage.Recipients
}

// Exchange counts the requests of a gateway and exchanges counts with others. The state is in shards
// (core/usage); nothing is sent under a lock.
type Exchange struct {
	deps    Deps
	self    usage.Source
	domain  fleet.Domain
	length  time.Duration
	due     time.Duration
	clock   usage.Clock
	counter *usage.Counter
	totals  *usage.Totals
	// startedAt is the time since boot at which this process began to hear others.
	startedAt time.Duration
}

// NewExchange returns the exchange of a gateway. start differs between its runs.
func NewExchange(s duty.Settings, gateway string, start uint64, domain fleet.Domain, d Deps) *Exchange {
	e := &Exchange{
		deps: d, self: usage.Source{Gateway: gateway, Start: start}, domain: domain, length: s.UsageWindow, due: s.UsageDue,
		counter: usage.NewCounter(), totals: usage.NewTotals(s.UsageWindow), startedAt: d.Clock.SinceBoot(),
	}
	e.clock.Observe(d.Clock.Now(), e.startedAt)
	return e
}

// Count counts a request that a target began to run some time ago.
func (e *Exchange) Count(account fleet.Customer, ago time.Duration) {
	ago = min(max(ago, 0), usage.MaxCountingDelay)
	e.counter.Add(usage.Key{Account: account, Window: usage.WindowAt(e.now()-ago, e.length)})
}

// AddDemand adds to the demand for a service.
func (e *Exchange) AddDemand(s fleet.Service, d usage.Demand) { e.counter.AddDemand(s, d) }

// Demand returns the demand for all services at all gateways that this one has heard, with its own. It is
// complete on candidates only.
func (e *Exchange) Demand() usage.DemandSnapshot { return e.totals.Demand(e.deps.Clock.SinceBoot()) }

// HandleUsage records what another gateway states.
func (e *Exchange) HandleUsage(n usage.Notice) {
	if n.Source == e.self {
		return
	}
	sinceBoot := e.deps.Clock.SinceBoot()
	e.totals.Merge(n, sinceBoot, e.clock.Now(sinceBoot))
}

// HandleClock compares this gateway's clock with the median of others.
func (e *Exchange) HandleClock(n usage.ClockNotice) {
	if change := e.clock.Compare(n.Median, n.Clocks, e.deps.Clock.SinceBoot()); change != 0 {
		e.deps.Metrics.Count("gateway_clock_corrections_total", 1)
		e.deps.Log.StateChange("clock corrected to the median of the gateways", port.Millis("change_ms", change), port.F("clocks", n.Clocks))
	}
}

func (e *Exchange) now() time.Duration { return e.clock.Now(e.deps.Clock.SinceBoot()) }

// oldestOpen returns the oldest window whose report is not due yet.
func (e *Exchange) oldestOpen(now time.Duration) int64 { return usage.WindowAt(now-e.due, e.length) }

// Run states the figures of this gateway every noticeInterval until ctx ends, and then once more.
func (e *Exchange) Run(ctx context.Context) {
	var changes usage.Changes
	for round := 0; ctx.Err() == nil; round++ {
		e.observeClock()
		e.notify(&changes, round%noticesPerFull == 0)
		e.sleep(ctx, noticeInterval)
	}
	e.notify(&changes, true)
}

// observeClock reads the wall clock.
func (e *Exchange) observeClock() {
	wall, sinceBoot := e.deps.Clock.Now(), e.deps.Clock.SinceBoot()
	if e.clock.Observe(wall, sinceBoot) {
		difference := time.Duration(wall.UnixNano()) - e.clock.Now(sinceBoot)
		e.deps.Metrics.Count("gateway_clock_steps_total", 1)
		e.deps.Log.StateChange("wall clock has stepped", port.Millis("difference_ms", difference))
	}
}

// notify states the figures of this gateway to the candidates of its domain. full includes those that have
// not changed.
func (e *Exchange) notify(changes *usage.Changes, full bool) {
	sinceBoot := e.deps.Clock.SinceBoot()
	now := e.clock.Now(sinceBoot)
	n := usage.Notice{Source: e.self, Domain: e.domain, Clock: now, Counts: e.counter.Counts(e.oldestOpen(now)), Demand: e.counter.Demand()}
	complete := n
	complete.Through = now
	e.totals.Merge(complete, sinceBoot, now)
	changedCounts, changedDemand := changes.Since(n.Counts, n.Demand)
	if full {
		n = complete
	} else {
		n.Counts, n.Demand = changedCounts, changedDemand
	}
	e.send(n, e.deps.Recipients().Own)
}

// RunRelay passes on what the gateways of the own domain state, while this gateway is a candidate, until
// ctx ends.
func (e *Exchange) RunRelay(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		e.sleep(ctx, e.relay(e.deps.Recipients(), round))
	}
}

// relay passes on what the gateways of the own domain state to one candidate of each other domain, to another one in
// each round, and what those that are gone have stated to the other candidate of the domain. It returns the pause until the next time.
func (e *Exchange) relay(r usage.Recipients, round int) time.Duration {
	sinceBoot := e.deps.Clock.SinceBoot()
	now := e.clock.Now(sinceBoot)
	e.totals.Prune(sinceBoot, now)
	if !r.Candidate {
		return maxRelayInterval
	}
	notices := e.totals.Relayed(e.domain, e.oldestOpen(now), sinceBoot)
	var others []feed.Member
	for _, ms := range r.Others {
		others = append(others, ms[round%len(ms)])
	}
	for _, n := range notices {
		e.send(n, others)
		if n.Age > 2*noticeInterval {
			e.send(n, r.Own)
		}
	}
	return min(max(minRelayInterval, relaySpacing*time.Duration(len(notices)*len(others))), maxRelayInterval)
}

// RunClock compares clocks, while this gateway is a candidate, until ctx ends.
func (e *Exchange) RunClock(ctx context.Context) {
	for ctx.Err() == nil {
		e.sleep(ctx, clockInterval)
		e.compareClocks(e.deps.Recipients())
	}
}

// compareClocks compares the clocks that this candidate knows, and states their median to its domain.
func (e *Exchange) compareClocks(r usage.Recipients) {
	if !r.Candidate {
		return
	}
	clocks := e.totals.Clocks(e.deps.Clock.SinceBoot())
	n := usage.ClockNotice{Median: usage.Median(clocks), Clocks: len(clocks)}
	if n.Clocks < usage.MinClocks {
		return
	}
	e.HandleClock(n)
	if s := e.deps.Sender(); s != nil {
		e.countUnsent(s.SendClock(n, addresses(r.Domain)))
	}
}

func (e *Exchange) send(n usage.Notice, to []feed.Member) {
	if s := e.deps.Sender(); s != nil && len(to) > 0 {
		e.countUnsent(s.SendUsage(n, addresses(to)))
	}
}

func (e *Exchange) countUnsent(err error) {
	if err != nil {
		e.deps.Metrics.Count("gateway_notices_unsent_total", 1)
	}
}

// addresses returns the addresses of members, without those that can't be read.
func addresses(ms []feed.Member) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(ms))
	for _, m := range ms {
		if a, err := netip.ParseAddrPort(string(m.Address)); err == nil {
			out = append(out, a)
		}
	}
	return out
}

func (e *Exchange) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.deps.Clock.After(d):
	}
}

// Package gateway serves pass-through requests: it finds the route and the
// client account of a request, chooses a target, and copies the response back.
// It runs on the entry VMs of a deployment whose targets register themselves in
// the platform's store.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/app/feed"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/app/usage"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/memlimit"
	"github.com/masticwing/masticwing/internal/core/overload"
	"github.com/masticwing/masticwing/internal/core/pathcheck"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/retrytime"
	"github.com/masticwing/masticwing/internal/port"
)

// Deps holds the ports that a gateway uses.
type Deps struct {
	Store port.Store
	Feed  port.FeedClient
	// Peers are the connections that Feed uses.
	Peers port.PeerConnections
	// NewFeedServer returns a server of the feed of store changes.
	NewFeedServer func(port.FeedHandler) (port.Server, error)
	Decoder       port.ItemDecoder
	Targets       port.Forwarder
	Loads         port.LoadNetwork
	// Duties is the platform's API for singleton duties, or nil if the deployment has none.
	Duties  port.DutyAPI
	Clock   port.BootClock
	Rand    port.Rand
	Metrics port.Metrics
	Log     port.Log
}

// Gateway routes callers' requests to targets. It implements port.InboundHandler.
type Gateway struct {
	settings Settings
	deps     Deps
	targets  *placement.Table
	view     *view
	budgets  *placement.RetryBudgets
	// paths tells whether the paths to other domains were open recently.
	paths *pathcheck.Paths
	drain *retrytime.Drain
	// overload limits late requests while there is too little room.
	overload *overload.Control
	// quarantine holds the requests and parts of prompts that crash targets.
	quarantine *quarantine.Table
	// unanswered holds the attempts that had no event yet.
	unanswered attemptRegistry
	// evidenceChanged is signaled when the store lacks evidence of quarantine.
	evidenceChanged chan struct{}
	// noticeDue is signaled when the other gateways lack evidence.
	noticeDue chan struct{}
	// dueTrials holds subjects of which a trial is due.
	dueTrials chan quarantine.Subject
	// memory bounds what is held for callers: bodies of requests, and responses that are read before
	// they are delivered.
	memory *memlimit.Account
	// speedNotices limits the notices of targets' speeds.
	speedNotices *placement.NoticeLimit
	// coldPhase is placement.Query.ColdPhase of this process.
	coldPhase        float64
	stopState        *stopState
	source           *feed.Source
	feedServer       *feed.Server
	operatorFollower *follow.Follower
	// applyOperatorKeys publishes changes of the operator keys, which are the store's keys
	// that operators write, to other processes and applies them to the view.
	applyOperatorKeys func(follow.Event)
	noticeSender      atomic.Pointer[port.LoadSender]
	// exchange counts usage and demand, or is nil if no duty needs them.
	exchange *usage.Exchange
	// callers is the number of callers' connections.
	callers atomic.Int64
}

var _ port.InboundHandler = (*Gateway)(nil)

// New returns a gateway with an empty view of the store. Run fills it and keeps it
// up to date.
func New(s Settings, d Deps) *Gateway {
	t := placement.NewTable()
	g := &Gateway{
		settings: s, deps: d, targets: t,
		view:    newView(s, d, t),
		budgets: placement.NewRetryBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow, d.Clock.Now()),
		paths:   pathcheck.New(s.Domain),
		drain:   retrytime.NewDrain(d.Clock.Now()), overload: overload.New(d.Clock.Now()),
		quarantine: quarantine.NewTable(), unanswered: newAttemptRegistry(), evidenceChanged: make(chan struct{}, 1), noticeDue: make(chan struct{}, 1), dueTrials: make(chan quarantine.Subject, 4),
		memory:    memlimit.NewAccount(s.Memory),
		stopState: newStopState(), speedNotices: placement.NewNoticeLimit(d.Clock.Now()),
		// The 53 high bits fill the mantissa of a float64.
		coldPhase: float64(d.Rand.Uint64()>>11) / (1 << 53),
	}
	g.exchange = g.newExchange()
	ps := d.Decoder.Prefixes()
	readers := func() []core.Member { return *g.view.readers.Load() }
	g.source = feed.NewSource(d.Store, d.Feed, d.Clock, d.Log, readers, map[string]feed.PrefixOptions{
		ps.Operator:   {Wait: feedWaitOperator, MaxStoreWait: storeWaitOperator, TakeoverDelay: g.view.takeoverDelay},
		ps.Targets:    {Wait: feedWaitTargets, MaxStoreWait: storeWaitTargets, Urgent: true},
		ps.Members:    {Wait: feedWaitMembers, MaxStoreWait: storeWaitMembers},
		ps.Quarantine: {Wait: feedWaitQuarantine, MaxStoreWait: storeWaitQuarantine},
	})
	g.feedServer = feed.NewServer(d.Clock, g.view.confirmations.Coverage)
	g.operatorFollower = g.newFollower(ps.Operator, operatorBatchDelay)
	g.feedServer.SetReceipts(func() time.Duration { return g.operatorFollower.ReceivedAt() })
	publishThenApply := g.publishThenApply(g.operatorFollower, g.view.applyOperatorKeys)
	g.applyOperatorKeys = func(e follow.Event) { publishThenApply(g.view.dated(e)) }
	return g
}

// Run keeps the view of the store and the load of targets up to date, and serves
// the feed of store changes to other processes, until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	loops := supervise.NewGroup(g.deps.Clock, g.deps.Log, g.deps.Metrics)
	defer loops.Wait()
	g.openNoticeSender()
	loops.Go(ctx, "feed", g.serveFeed)
	ps := g.deps.Decoder.Prefixes()
	targets, members := g.newFollower(ps.Targets, targetBatchDelay), g.newFollower(ps.Members, memberBatchDelay)
	applyTargets, applyMembers := g.publishThenApply(targets, g.view.applyTargets), g.publishThenApply(members, g.view.applyMembers)
	loops.Go(ctx, "operator_keys", func(ctx context.Context) { g.operatorFollower.Run(ctx, g.applyOperatorKeys) })
	loops.Go(ctx, "targets", func(ctx context.Context) { targets.Run(ctx, applyTargets) })
	loops.Go(ctx, "members", func(ctx context.Context) { members.Run(ctx, applyMembers) })
	evidence := g.newFollower(ps.Quarantine, quarantineBatchDelay)
	applyEvidence := g.publishThenApply(evidence, g.applyEvidence)
	loops.Go(ctx, "evidence", func(ctx context.Context) { evidence.Run(ctx, applyEvidence) })
	loops.Go(ctx, "evidence_writes", g.storeEvidenceLoop)
	loops.Go(ctx, "evidence_notices", g.announceEvidenceLoop)
	loops.Go(ctx, "confirmation", g.confirmLoop)
	loops.Go(ctx, "load_reports", g.receiveLoadReports)
	loops.Go(ctx, "gauges", g.gaugeLoop)
	loops.Go(ctx, "connections", g.connectionLoop)
	g.runExchange(ctx, loops)
	registrar := registration.Registrar{
		Store: g.deps.Store, Prefix: ps.Members, Self: g.settings.storedMember(), Listed: g.view.listedLease, Clock: g.deps.Clock, Log: g.deps.Log,
	}
	loops.Go(ctx, "registration", registrar.Run)
	dutyCtx, cancel := g.untilStop(ctx)
	defer cancel()
	g.startDuties(func(name string, loop func(context.Context)) { loops.Go(dutyCtx, name, loop) })
	<-ctx.Done()
}

// Ready reports whether the gateway accepts connections, or why not. It implements
// port.InboundHandler.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.stopState.begun():
		return false, "shutting down"
	case g.view.routeTable.Load() == nil:
		return false, "no configuration"
	case !g.view.targetsListed.Load():
		return false, "no list of targets"
	case !g.view.membersListed.Load():
		return false, "no list of gateways"
	case !g.view.quarantineListed.Load():
		return false, "no list of requests that crash targets"
	case g.settings.Connections().NearlyFull(g.usage()):
		return false, "too many connections"
	}
	return true, ""
}

// RequestLimits returns the configured limits for callers, or none before a configuration is
// known. It implements port.InboundHandler.
func (g *Gateway) RequestLimits() port.CallerLimits {
	t := g.view.routeTable.Load()
	if t == nil {
		return port.CallerLimits{}
	}
	return port.CallerLimits{HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes, IdleTimeout: t.Limits.IdleTimeout}
}

func (g *Gateway) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-g.deps.Clock.After(d):
	}
}

// Package gateway serves pass-through requests: it finds the route and the
// client account of a request, chooses a target, and copies the answer back.
// It runs on the entry VMs of a deployment whose targets register themselves in
// the platform's store.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/loadcast"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/app/enroll"
	"github.com/masticwing/masticwing/internal/app/feed"
	"github.com/masticwing/masticwing/internal/app/follow"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/port"
)

// Deps are the ports that a gateway uses.
type Deps struct {
	Store   port.Store
	Feed    port.FeedClient
	Facts   port.FactReader
	Targets port.Forwarder
	Clock   feed.Clock
	Rand    port.Rand
	Metrics port.Metrics
	Log     *logging.Logger
}

// Gateway implements port.InboundHandler.
type Gateway struct {
	set     Settings
	deps    Deps
	targets *placement.Table
	picture *picture
	budgets *placement.Budgets
	// confirmed is the time since boot at which the store last confirmed the
	// operators' keys, in nanoseconds; zero before the first time.
	confirmed atomic.Int64
	closing   atomic.Bool
	refusing  atomic.Bool
	active    *inflight.Counter
	source    *feed.Source
	hub       *feed.Server
	operator  *follow.Follower
	// applyOperator takes in news of the operators' keys.
	applyOperator func(follow.Event)
	sender        atomic.Pointer[loadcast.Sender]
}

var _ port.InboundHandler = (*Gateway)(nil)

// New returns a gateway that knows nothing yet. Run makes it follow the store.
func New(s Settings, d Deps) *Gateway {
	t := placement.NewTable()
	g := &Gateway{
		set: s, deps: d, targets: t,
		picture: newPicture(s, d, t),
		budgets: placement.NewBudgets(s.RetryRatio, s.RetrySlack, s.RetryWindow, d.Clock.Now()),
		active:  inflight.New(),
	}
	ps := d.Facts.Prefixes()
	readers := func() []core.Member { return *g.picture.readers.Load() }
	g.source = feed.NewSource(d.Store, d.Feed, d.Clock, d.Log, readers, map[string]feed.PrefixOptions{
		ps.Operator: {Wait: feedWaitOperator, MaxStoreWait: directWaitOperator},
		ps.Targets:  {Wait: feedWaitTargets, MaxStoreWait: directWaitTargets},
		ps.Members:  {Wait: feedWaitMembers, MaxStoreWait: directWaitMembers},
	})
	g.hub = feed.NewServer(d.Clock, g.pictureAge)
	g.operator = g.follower(ps.Operator, operatorPause)
	g.applyOperator = g.serve(g.operator, func(e follow.Event) {
		at := d.Clock.SinceBoot()
		g.picture.applyOperator(e, g.declaredSince())
		if e.Reset && g.confirmed.Load() == 0 {
			g.confirmed.Store(int64(at))
		}
	})
	return g
}

// Run follows the store and the load of targets until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	g.openSender()
	wg.Go(func() { g.serveFeed(ctx) })
	ps := g.deps.Facts.Prefixes()
	targets, members := g.follower(ps.Targets, targetPause), g.follower(ps.Members, memberPause)
	applyTargets, applyMembers := g.serve(targets, g.picture.applyTargets), g.serve(members, g.picture.applyMembers)
	wg.Go(func() { g.operator.Run(ctx, g.applyOperator) })
	wg.Go(func() { targets.Run(ctx, applyTargets) })
	wg.Go(func() { members.Run(ctx, applyMembers) })
	wg.Go(func() { g.confirmLoop(ctx) })
	wg.Go(func() { g.receiveLoads(ctx) })
	wg.Go(func() { g.recordGauges(ctx) })
	e := enroll.Enrolment{Store: g.deps.Store, Prefix: ps.Members, Self: g.set.member(), Clock: g.deps.Clock, Log: g.deps.Log}
	wg.Go(func() { e.Run(ctx) })
}

// Ready implements port.InboundHandler.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.closing.Load():
		return false, "shutting down"
	case g.picture.table.Load() == nil:
		return false, "no configuration"
	case !g.picture.listed.Load():
		return false, "no list of targets"
	}
	return true, ""
}

// Bounds implements port.InboundHandler.
func (g *Gateway) Bounds() port.CallerBounds {
	t := g.picture.table.Load()
	if t == nil {
		return port.CallerBounds{}
	}
	return port.CallerBounds{HeaderBytes: t.Limits.HeaderBytes, BodyBytes: t.Limits.BodyBytes, Idle: t.Limits.Idle}
}

// Closing reports whether connections are to be closed after the answer.
func (g *Gateway) Closing() bool { return g.closing.Load() }

const (
	// leaveTime is the time for which a stopping gateway still serves requests
	// on open connections. The platform takes it out of rotation within 2 s.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is left of the grace period for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// Stop takes the gateway out of service: it reports that it is not ready, serves
// what still comes for a while, refuses new requests then, and waits for those
// in progress.
func (g *Gateway) Stop() {
	start := g.deps.Clock.Now()
	g.closing.Store(true)
	g.deps.Log.State("stopping", logging.Millis("grace_ms", g.set.Grace))
	<-g.deps.Clock.After(leaveTime)
	g.refusing.Store(true)
	deadline := g.deps.Clock.After(max(0, g.set.Grace-stopMargin-g.deps.Clock.Now().Sub(start)))
	for !g.active.Idle() {
		select {
		case <-g.active.Left():
		case <-deadline:
			g.deps.Log.State("stopping with requests in progress")
			return
		}
	}
}

func (g *Gateway) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-g.deps.Clock.After(d):
	}
}

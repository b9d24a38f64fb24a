package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/port"
)

// receiveLoadReports receives load reports of targets and notices of other gateways.
// It reopens the socket after an error.
func (g *Gateway) receiveLoadReports(ctx context.Context) {
	for ctx.Err() == nil {
		if err := g.deps.Loads.Receive(ctx, g.settings.Internal, g); err != nil {
			g.deps.Log.Failure("receiving load reports failed", err)
			g.sleep(ctx, time.Second)
		}
	}
}

// HandleReport records the load that a target reports. It implements port.LoadHandler.
func (g *Gateway) HandleReport(r port.LoadReport) {
	now := g.deps.Clock.Now()
	g.targets.RecordLoadedWeights(r.Target, r.Started, placement.LoadedWeights{Orders: r.OrderCount, Intact: r.Intact}, now)
	if id, ok := g.targets.InstanceAt(r.Target); ok {
		load := r.Load
		load.EnforcedWeights = r.Declared.Number
		g.targets.RecordLoad(id, load, now)
		g.view.dateDeclaration(id, r.Declared)
		if r.Leaving {
			g.recordLeaving(id, r.Started, fromLoader)
		}
	}
}

// HandleNotice records a request that another gateway has sent to a target. It implements
// port.LoadHandler.
func (g *Gateway) HandleNotice(n port.LoadNotice) {
	if id, ok := g.targets.InstanceAt(n.Target); ok {
		now := g.deps.Clock.Now()
		service := g.targets.RecordRemoteRequest(id, n.PromptTokens, g.view.engineTiming.Load().PrefillTime(n.PromptTokens), now)
		g.overload.RecordRemote(service, now)
	}
}

// notifyGateways tells other gateways about a request to an engine. Without the
// notice they would see it only in the engine's next load report, and could send more
// requests to the same engine in the meantime.
func (g *Gateway) notifyGateways(target fleet.Address, tokens int) {
	s := g.noticeSender.Load()
	if s == nil {
		return
	}
	if err := (*s).SendNotice(port.LoadNotice{Target: target, PromptTokens: tokens}, g.view.noticeTargets.Load().to); err != nil {
		g.deps.Metrics.Count("gateway_notices_unsent_total", 1)
	}
}

// openNoticeSender opens the socket for notices to other gateways. If this fails, the
// gateway runs without sending notices.
func (g *Gateway) openNoticeSender() {
	a, err := netip.ParseAddrPort(string(g.settings.Internal))
	if err == nil {
		var s port.LoadSender
		if s, err = g.deps.Loads.NewSender(a.Addr()); err == nil {
			g.noticeSender.Store(&s)
			return
		}
	}
	g.deps.Log.Failure("no notices are sent to other gateways", err)
}

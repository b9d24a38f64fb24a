package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/loadcast"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// receiveLoads takes in the load of targets. A socket that fails is opened
// again.
func (g *Gateway) receiveLoads(ctx context.Context) {
	for ctx.Err() == nil {
		if err := loadcast.Receive(ctx, g.set.Internal, g); err != nil {
			g.deps.Log.Fault("load reports", err)
			g.sleep(ctx, time.Second)
		}
	}
}

// Reported implements loadcast.Handler.
func (g *Gateway) Reported(r loadcast.Report) {
	if id, ok := g.targets.InstanceAt(r.Target); ok {
		g.targets.RecordLoad(id, r.Load, g.deps.Clock.Now())
	}
}

// Notified implements loadcast.Handler.
func (g *Gateway) Notified(n loadcast.Notice) {
	if id, ok := g.targets.InstanceAt(n.Target); ok {
		g.targets.RecordRemoteRequest(id, g.picture.pace.Load().PrefillTime(n.PromptTokens), g.deps.Clock.Now())
	}
}

// notify tells the other gateways of a request that goes to an engine. They would
// learn of it from the engine's next report, after others went there as well.
func (g *Gateway) notify(target fleet.Address, tokens int) {
	s := g.sender.Load()
	if s == nil {
		return
	}
	if err := s.Notify(loadcast.Notice{Target: target, PromptTokens: tokens}, *g.picture.others.Load()); err != nil {
		g.deps.Metrics.Count("gateway_notices_unsent_total", 1)
	}
}

// openSender opens the socket for notices.
func (g *Gateway) openSender() {
	a, err := netip.ParseAddrPort(string(g.set.Internal))
	if err == nil {
		var s *loadcast.Sender
		if s, err = loadcast.NewSender(a.Addr()); err == nil {
			g.sender.Store(s)
			return
		}
	}
	g.deps.Log.Fault("no notices are sent to other gateways", err)
}

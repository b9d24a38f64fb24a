package gateway

import (
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
)

// recordSpeed records the speed that a target of a plain service has stated, and tells the other gateways those figures that
// they need. A gateway sends a target about one request in two seconds and would learn of its speed
// too rarely. load may be nil. Engines are left out: their load comes from their loaders.
func (c *call) recordSpeed(choice placement.Choice, load *port.TargetLoad, s port.TargetSpeed) {
	if c.service.Engine != nil {
		return
	}
	g, now := c.g, c.g.deps.Clock.Now()
	if s.BadText != "" {
		g.deps.Metrics.Count("gateway_target_speeds_unread_total", 1)
		if g.targets.RecordBadSpeed(choice.Instance, now) {
			g.deps.Log.StateChange("speed of a target can't be read", port.F("target", string(choice.Instance)), port.F("stated", s.BadText))
		}
	}
	if s.Factor <= 0 || !g.targets.RecordSpeed(choice.Instance, s.Factor, now) || load == nil {
		return
	}
	sender, to := g.noticeSender.Load(), g.view.noticeTargets.Load().to
	if sender == nil || len(to) == 0 {
		return
	}
	if !g.speedNotices.Take(len(to), now) {
		g.deps.Metrics.Count("gateway_speed_notices_total", 1, port.Attr{Key: "outcome", Value: "over_limit"})
		return
	}
	outcome := "sent"
	n := port.SpeedNotice{Target: choice.Address, Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Factor: s.Factor}
	if err := (*sender).SendSpeed(n, to); err != nil {
		outcome = "failed"
	}
	g.deps.Metrics.Count("gateway_speed_notices_total", 1, port.Attr{Key: "outcome", Value: outcome})
}

// HandleSpeed records what a target has stated to another gateway. It implements port.LoadHandler.
func (g *Gateway) HandleSpeed(n port.SpeedNotice) {
	if id, ok := g.targets.InstanceAt(n.Target); ok {
		now := g.deps.Clock.Now()
		g.targets.RecordLoad(id, placement.Load{Running: n.Running, Waiting: n.Waiting, Slots: n.Slots}, now)
		g.targets.RecordSpeed(id, n.Factor, now)
	}
}

// recordServiceTime records how long a target of a plain service took, from which its speed is learned. Targets that
// state their load are left out, so that they are served as before unless they state their speed as well; so
// are responses of targets with waiting requests, since the request may have waited.
func (c *call) recordServiceTime(choice placement.Choice, resp *port.ForwardResponse) {
	if c.service.Engine != nil || c.route.Kind == routes.Streaming || resp.Status/100 != 2 || resp.Load != nil && (resp.Speed.Factor <= 0 || resp.Load.Waiting > 0) {
		return
	}
	now := c.g.deps.Clock.Now()
	c.g.targets.RecordServiceTime(choice.Instance, c.service.Name, now.Sub(c.lastSentAt), now)
}

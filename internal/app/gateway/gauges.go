package gateway

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// gaugeInterval is the time between two updates of the gauges. Metrics are scraped
// at most every 5 s.
const gaugeInterval = 5 * time.Second

// gaugeLoop updates the gauges of this gateway's view and load until ctx ends.
func (g *Gateway) gaugeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.setGauges()
		g.sleep(ctx, gaugeInterval)
	}
}

func (g *Gateway) setGauges() {
	m := g.deps.Metrics
	m.Gauge("gateway_requests_in_progress", float64(g.stopState.active.Count()))
	m.Gauge("gateway_processes", g.view.processes())
	following := 0.0
	if _, fromReader := g.source.FromReader(g.operatorFollower.Prefix); fromReader {
		following = 1
	}
	m.Gauge("gateway_follows_reader", following)
	if age, ok := g.viewAge(); ok {
		m.Gauge("gateway_picture_age_seconds", age.Seconds())
	}
	refuted := 0.0
	if _, _, known := g.view.refutedAgo(); known {
		refuted = 1
	}
	m.Gauge("gateway_picture_refuted", refuted)
	if t := g.view.routeTable.Load(); t != nil {
		m.Gauge("gateway_config_version", float64(t.Version))
	}
	parts, requests := g.quarantine.Refused()
	m.Gauge("gateway_refused_parts", float64(parts))
	m.Gauge("gateway_refused_requests", float64(requests))
	g.setConnectionGauges()
	g.setMemoryGauges()
	now := g.deps.Clock.Now()
	for service, u := range g.targets.Usage(now, g.view.processes()) {
		a := port.Attr{Key: "service", Value: string(service)}
		m.Gauge("gateway_targets", float64(u.Targets), a)
		m.Gauge("gateway_target_places", float64(u.Slots), a)
		m.Gauge("gateway_target_requests", u.Requests, a)
		m.Gauge("gateway_targets_slow", float64(u.Slow), a)
	}
	for service, x := range g.overload.Status(now) {
		a := port.Attr{Key: "service", Value: string(service)}
		limited := 0.0
		if x.Limited {
			limited = 1
		}
		m.Gauge("gateway_late_limited", limited, a)
		m.Gauge("gateway_late_places", float64(x.Late), a)
		m.Gauge("gateway_place_hold_seconds", x.Hold.Seconds(), a)
	}
}

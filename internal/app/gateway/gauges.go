package gateway

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// gaugesEvery is the time between two records of the gauges. Metrics are scraped
// every 5 s or more rarely.
const gaugesEvery = 5 * time.Second

// recordGauges records what this gateway believes until ctx ends.
func (g *Gateway) recordGauges(ctx context.Context) {
	for ctx.Err() == nil {
		g.recordOnce()
		g.sleep(ctx, gaugesEvery)
	}
}

func (g *Gateway) recordOnce() {
	m := g.deps.Metrics
	m.Gauge("gateway_requests_in_progress", float64(g.active.Count()))
	m.Gauge("gateway_processes", g.picture.processes())
	following := 0.0
	if _, fed := g.source.FromReader(g.operator.Prefix); fed {
		following = 1
	}
	m.Gauge("gateway_follows_reader", following)
	if g.confirmed.Load() > 0 {
		m.Gauge("gateway_picture_age_seconds", g.pictureAge().Seconds())
	}
	if t := g.picture.table.Load(); t != nil {
		m.Gauge("gateway_config_version", float64(t.Version))
	}
	now := g.deps.Clock.Now()
	for service, u := range g.targets.Usage(now, g.picture.processes()) {
		a := port.Attr{Key: "service", Value: string(service)}
		m.Gauge("gateway_targets", float64(u.Targets), a)
		m.Gauge("gateway_target_places", float64(u.Places), a)
		m.Gauge("gateway_target_requests", u.Requests, a)
	}
}

package gateway

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/memlimit"
	"github.com/masticwing/masticwing/internal/core/retrytime"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// bodyWait is the longest time for which a request waits for the memory of its body, which is not read
// meanwhile. The requests ahead of it mostly end sooner.
const bodyWait = 250 * time.Millisecond

// bodyMemory is the memory of one request's body.
type bodyMemory struct {
	g       *Gateway
	body    *memlimit.Body
	timeout time.Duration
}

// BodyMemory implements port.InboundHandler. A client account is known by its key here; whether the key
// is valid is decided later.
func (g *Gateway) BodyMemory(h port.RequestHead) port.BodyMemory {
	client, timeout := "", min(orDefault(h.CallerTimeout), defaultTimeout)
	if t := g.view.routeTable.Load(); t != nil {
		if a, ok := t.Account(h.APIKey); ok {
			client = string(a.Name)
		}
		if r, ok := t.MatchRoute(h.Host, h.Path); ok {
			timeout = requestTimeout(r, h.CallerTimeout)
		}
	}
	return &bodyMemory{g, g.memory.NewBody(client), timeout}
}

// Grow implements port.BodyMemory.
func (m *bodyMemory) Grow(ctx context.Context, n int64) *verdict.Error {
	if m.body.TryGrow(n) {
		return nil
	}
	timeout := m.g.deps.Clock.After(min(bodyWait, m.timeout))
	for {
		select {
		case <-m.g.memory.Freed():
			if m.body.TryGrow(n) {
				m.g.memory.Wake()
				return nil
			}
		case <-ctx.Done():
			return verdict.FromError(context.Cause(ctx))
		case <-timeout:
			m.g.memory.Wake()
			m.g.deps.Metrics.Count("gateway_bodies_refused_total", 1)
			return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no memory is left for the body").
				WithRetryAfter(retrytime.After(0, m.timeout, m.g.deps.Rand.IntN))
		}
	}
}

// Timeout implements port.BodyMemory.
func (m *bodyMemory) Timeout() time.Duration { return m.timeout }

// Release implements port.BodyMemory.
func (m *bodyMemory) Release() { m.body.Release() }

// setMemoryGauges records the memory that is held for callers.
func (g *Gateway) setMemoryGauges() {
	for c, n := range g.memory.Used() {
		g.deps.Metrics.Gauge("gateway_held_bytes", float64(n), port.Attr{Key: "for", Value: c.String()})
	}
}

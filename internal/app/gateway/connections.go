package gateway

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/descriptors"
	"github.com/masticwing/masticwing/internal/core/eviction"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// idleCheckInterval is the time between two checks of the idle connections to targets. One whose target
// has left or has closed it is closed within 2 s.
const idleCheckInterval = time.Second

// connectionLoop closes connections to targets and processes that have left, until ctx ends.
func (g *Gateway) connectionLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.deps.Targets.CloseIdle(g.targets.TakesRequests)
		if g.view.membersListed.Load() {
			g.deps.Peers.Retain(g.view.isMember)
		}
		g.targets.DropUnused(g.deps.Clock.Now())
		g.sleep(ctx, idleCheckInterval)
	}
}

// usage returns the numbers of open connections.
func (g *Gateway) usage() descriptors.Usage {
	open, idle := g.deps.Targets.Connections()
	return descriptors.Usage{Callers: int(g.callers.Load()), Targets: open, IdleTargets: idle}
}

// SetCallers records the number of callers' connections.
func (g *Gateway) SetCallers(open int) { g.callers.Store(int64(open)) }

// CallerConnections are the open connections of callers.
type CallerConnections interface {
	// Open returns their number.
	Open() int
	// Accept decides about a new one. If limit are open, another one may be given up for it, whose request is
	// refused with cause. Up to refusals more may be open to be refused.
	Accept(limit, refusals int, cause error) eviction.Admission
}

// AcceptCaller decides about a new connection of a caller, which is not open yet. The error is that of the
// requests on a connection that is refused or given up.
func (g *Gateway) AcceptCaller(conns CallerConnections) (eviction.Admission, *verdict.Error) {
	e := g.RefuseCaller(conns.Open())
	if e == nil {
		return eviction.Admitted, nil
	}
	budget := g.settings.Connections()
	admission := conns.Accept(budget.Callers, budget.Refusals, e)
	g.deps.Metrics.Count("gateway_connections_refused_total", 1, port.Attr{Key: "outcome", Value: admission.String()})
	return admission, e
}

// RefuseCaller returns the error for all requests on a connection that is accepted although too many
// are open, or nil. Another gateway probably accepts one.
func (g *Gateway) RefuseCaller(open int) *verdict.Error {
	if g.settings.Connections().AdmitsCaller(descriptors.Usage{Callers: open}) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many connections are open").WithRetryAfter(localRetryAfter)
}

// RecordEndedCaller records that a caller's connection without a request was ended for a reason, and what came of it.
func (g *Gateway) RecordEndedCaller(reason, outcome string) {
	g.deps.Metrics.Count("gateway_idle_connections_ended_total", 1, port.Attr{Key: "reason", Value: reason}, port.Attr{Key: "outcome", Value: outcome})
}

// RecordLongHeader records a request that was refused since its header is over the limit.
func (g *Gateway) RecordLongHeader() { g.deps.Metrics.Count("gateway_long_headers_total", 1) }

// setConnectionGauges records the open connections by kind.
func (g *Gateway) setConnectionGauges() {
	u := g.usage()
	for kind, n := range map[string]int{"callers": u.Callers, "targets_in_use": u.Targets - u.IdleTargets, "targets_idle": u.IdleTargets} {
		g.deps.Metrics.Gauge("gateway_connections", float64(n), port.Attr{Key: "kind", Value: kind})
	}
}

// isMember reports whether a process is registered at an address.
func (v *view) isMember(addr fleet.Address) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.Has(addr)
}

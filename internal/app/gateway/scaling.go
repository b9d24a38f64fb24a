package gateway

import (
	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/app/scaling"
	"github.com/masticwing/masticwing/internal/core/fleet"
	core "github.com/masticwing/masticwing/internal/core/scaling"
	"github.com/masticwing/masticwing/internal/core/usage"
)

// scalingSource is the scaling.Source of a gateway.
type scalingSource struct{ g *Gateway }

var _ scaling.Source = scalingSource{}

// Snapshot implements scaling.Source.
func (s scalingSource) Snapshot() core.Snapshot {
	now, v := s.g.deps.Clock.Now(), s.g.view
	out := core.Snapshot{Cordoned: v.declarations.Load().cordons, Registered: v.gatewaysRegistered()}
	t := v.routeTable.Load()
	if t == nil || !v.targetsListed.Load() {
		return out
	}
	ordered := map[fleet.Service]bool{}
	for _, svc := range t.Services {
		if svc.Scaling != nil {
			ordered[svc.Name] = true
			out.Services = append(out.Services, core.Service{Name: svc.Name, Scaling: *svc.Scaling, Engine: svc.Engine})
		}
	}
	if len(ordered) == 0 {
		return out
	}
	for _, r := range s.g.targets.Reports(now) {
		if ordered[r.Service] {
			out.Engines = append(out.Engines, core.Engine{
				Service: r.Service, Domain: r.Domain, Draining: r.Leaving, Loading: r.Loading, Cold: r.Cold,
				HoldsWeights: r.HoldsWeights, Slots: r.Slots, Requests: r.Requests, ReportAge: r.ReportAge,
			})
		}
	}
	if s.g.exchange != nil {
		out.Gateways = gatewayFigures(s.g.exchange.Demand())
	}
	return out
}

// gatewayFigures returns what each gateway was offered and refused since its start.
func gatewayFigures(d usage.DemandSnapshot) []core.Gateway {
	byGateway := map[usage.Source]*core.Gateway{}
	for _, f := range d.Figures {
		x, ok := byGateway[f.Source]
		if !ok {
			x = &core.Gateway{ID: f.Gateway, Domain: f.Domain, Started: int64(f.Start), Age: f.Age, Totals: map[fleet.Service]core.Totals{}}
			byGateway[f.Source] = x
		}
		x.Totals[f.Service] = core.Totals{
			Offered: uint64(f.Requests), Refused: uint64(f.Refused), PromptTokens: uint64(f.PromptTokens), OutputTokens: uint64(f.OutputTokens),
		}
	}
	out := make([]core.Gateway, 0, len(byGateway))
	for _, x := range byGateway {
		out = append(out, *x)
	}
	return out
}

// gatewaysRegistered returns the number of gateways registered in each failure domain.
func (v *view) gatewaysRegistered() map[fleet.Domain]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := map[fleet.Domain]int{}
	for _, m := range v.members {
		if m.Kind == fleet.KindEntry.String() {
			out[m.Domain]++
		}
	}
	return out
}

// scalingWork returns the duty of ordering engines, or nil if the deployment does not have it.
func (g *Gateway) scalingWork() duty.Work {
	if !g.settings.Duties.Has(duty.ScalingOrders) {
		return nil
	}
	return scaling.New(g.settings.Scaling, scaling.Deps{
		Source: scalingSource{g}, Store: g.deps.Store, API: g.deps.Duties, Clock: g.deps.Clock, Metrics: g.deps.Metrics, Log: g.deps.Log,
	})
}

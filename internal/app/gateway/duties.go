package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/port"
)

// dutyWorks returns the singleton duties of the deployment. Each is added here.
func (g *Gateway) dutyWorks() []duty.Work {
	var works []duty.Work
	for _, w := range []duty.Work{g.usageWork(), g.scalingWork()} {
		if w != nil {
			works = append(works, w)
		}
	}
	return works
}

// errUnknownDuty means that the settings name a duty that this release does not know.
var errUnknownDuty = errors.New("duty is not known")

// startDuties starts the election of the holder of the singleton duties if the deployment has any that is known. start
// runs a loop until the planned stop begins.
func (g *Gateway) startDuties(start func(name string, loop func(context.Context))) {
	s, known := g.settings.Duties, false
	if s.API == "" {
		return
	}
	for _, n := range s.Names {
		if n != duty.UsageReports && n != duty.ScalingOrders {
			g.deps.Log.Failure("duty is ignored", errUnknownDuty, port.F("duty", n))
			continue
		}
		known = true
	}
	if !known {
		return
	}
	h := duty.NewHolder(s, duty.Deps{
		Store: g.deps.Store, Prefix: g.deps.Decoder.Prefixes().Duties, Name: g.settings.ID, Domain: g.settings.Domain,
		Candidates: func() []string { return *g.view.dutyCandidates.Load() },
		Clock:      g.deps.Clock, Rand: g.deps.Rand, Metrics: g.deps.Metrics, Log: g.deps.Log,
	}, g.dutyWorks())
	start("duties", h.Run)
}

// untilStop returns a context that ends with ctx, or when the planned stop begins.
func (g *Gateway) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.stopState.begunCtx, cancel)
	return ctx, func() { stop(); cancel() }
}

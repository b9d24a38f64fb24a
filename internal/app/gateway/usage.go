package gateway

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/app/usage"
	"github.com/masticwing/masticwing/internal/core/routes"
	core "github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// newExchange returns the exchange of usage and demand, or nil if the deployment has no duty that needs
// them.
func (g *Gateway) newExchange() *usage.Exchange {
	s := g.settings.Duties
	if !s.Has(duty.UsageReports) && !s.Has(duty.ScalingOrders) {
		return nil
	}
	return usage.NewExchange(s, g.settings.ID, g.deps.Rand.Uint64(), g.settings.Domain, usage.Deps{
		Clock: g.deps.Clock, Metrics: g.deps.Metrics, Log: g.deps.Log,
		Sender: func() port.LoadSender {
			if s := g.noticeSender.Load(); s != nil {
				return *s
			}
			return nil
		},
		Recipients: func() core.Recipients { return *g.view.usageRecipients.Load() },
	})
}

// runExchange starts the loops of the exchange, if there is one.
func (g *Gateway) runExchange(ctx context.Context, loops *supervise.Group) {
	if g.exchange == nil {
		return
	}
	loops.Go(ctx, "usage_notices", g.exchange.Run)
	loops.Go(ctx, "usage_relay", g.exchange.RunRelay)
	loops.Go(ctx, "usage_clock", g.exchange.RunClock)
}

// usageWork returns the duty that reports usage, or nil if the deployment does not have it.
func (g *Gateway) usageWork() duty.Work {
	if g.exchange == nil || !g.settings.Duties.Has(duty.UsageReports) {
		return nil
	}
	return usage.NewReporter(g.exchange, usage.ReporterDeps{
		Store: g.deps.Store, API: g.deps.Duties, Key: g.deps.Decoder.Prefixes().Duties + "usage",
	})
}

// HandleUsage implements port.LoadHandler.
func (g *Gateway) HandleUsage(n core.Notice) {
	if g.exchange != nil {
		g.exchange.HandleUsage(n)
	}
}

// HandleClock implements port.LoadHandler.
func (g *Gateway) HandleClock(n core.ClockNotice) {
	if g.exchange != nil {
		g.exchange.HandleClock(n)
	}
}

// countRun counts an attempt that a target began to run some time ago, for the request's account.
func (c *call) countRun(ago time.Duration) {
	if c.g.exchange != nil && c.account != nil {
		c.g.exchange.Count(c.account.Name, ago)
	}
}

// countPlainRun counts an attempt at a plain request, sent some time ago, unless the target has stated that it
// did not run. Streams count at their first event.
func (c *call) countPlainRun(ago time.Duration, err error) {
	if c.route.Kind != routes.Streaming && (err == nil || verdict.FromError(err).Verdict != verdict.NotRun) {
		c.countRun(ago)
	}
}

// countOffered adds the request to the demand for its service.
func (c *call) countOffered() {
	if c.g.exchange == nil {
		return
	}
	w := c.in.WorkEstimate
	output := w.ExpectedTokens
	if output <= 0 {
		output = w.MaxTokens
	}
	c.g.exchange.AddDemand(c.service.Name, core.Demand{Requests: 1, PromptTokens: int64(max(w.PromptTokens, 0)), OutputTokens: int64(max(output, 0))})
}

// countRefused adds a refusal for lack of capacity to the demand for the service.
func (c *call) countRefused(e *verdict.Error) {
	if c.g.exchange == nil || c.service == nil {
		return
	}
	switch e.Code {
	case verdict.CodeOverloaded, verdict.CodeNoTarget, verdict.CodeTargetFull:
		c.g.exchange.AddDemand(c.service.Name, core.Demand{Refused: 1})
	}
}

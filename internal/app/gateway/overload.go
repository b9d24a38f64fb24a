package gateway

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/overload"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/retrytime"
	"github.com/masticwing/masticwing/internal/port"
)

// attemptFor returns the request as an attempt that is subject to the limit of late requests.
func (c *call) attemptFor(q placement.Query, now time.Time) overload.Attempt {
	return overload.Attempt{Query: q, ObjectiveLeft: c.route.LatencyObjective - c.elapsed(now)}
}

// elapsed returns the time since the caller's first attempt. A caller that returns states what is left of
// the route's timeout.
func (c *call) elapsed(now time.Time) time.Duration {
	d := now.Sub(c.in.ReceivedAt)
	if stated := c.in.CallerTimeout; stated > 0 && stated < c.route.Timeout {
		d += c.route.Timeout - stated
	}
	return d
}

// limitsLate reports whether the request is subject to the limit of late requests, which operators have to ask
// for: on two deployments it refused more callers than it served in time. A request that was sent before is not:
// the caller counts on its answer. Plain services have no prediction of their time.
func (c *call) limitsLate() bool {
	return c.g.settings.LimitLate && c.service.Engine != nil && c.route.LatencyObjective > 0 && c.sends == 0
}

// choose selects the target of the next send.
func (c *call) choose(q placement.Query, now time.Time) (placement.Choice, placement.Outcome) {
	if !c.limitsLate() {
		return c.g.targets.Choose(q, now, c.g.deps.Rand.IntN)
	}
	choice, out, admission := c.g.overload.Choose(c.g.targets, c.attemptFor(q, now), now, c.g.deps.Rand.IntN)
	c.admission, c.lateHeld = admission, admission == overload.Late
	if admission != overload.Normal {
		c.g.deps.Metrics.Count("gateway_late_requests_total", 1, port.Attr{Key: "admission", Value: admission.String()})
	}
	return choice, out
}

// releasePlace records that the request no longer holds its place in a target, which it took at a time.
func (c *call) releasePlace(choice placement.Choice, since time.Time, ran bool) {
	now := c.g.deps.Clock.Now()
	c.g.targets.Release(choice.Instance)
	if ran {
		c.g.drain.RecordFreed(c.service.Name, now)
		c.g.overload.RecordHold(c.service.Name, now.Sub(since))
	}
	if c.lateHeld {
		c.lateHeld = false
		c.g.overload.ReleaseLate(c.service.Name)
	}
}

// returnDelay returns the delay for a caller that found no target. interval is the mean time between
// two places that become free, or zero if it is not known.
func (c *call) returnDelay(out placement.Outcome, interval time.Duration) time.Duration {
	now := c.g.deps.Clock.Now()
	left := c.deadline.Sub(now)
	soon := retrytime.After(interval, left, c.g.deps.Rand.IntN)
	if !c.limitsLate() {
		return soon
	}
	a := c.attemptFor(c.placementQuery(), now)
	return c.g.overload.ReturnAfter(c.g.targets, a, out, soon, left, now, c.g.deps.Rand.IntN)
}

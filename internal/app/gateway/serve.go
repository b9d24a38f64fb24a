package gateway

import (
	"context"
	"hash/fnv"
	"math"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/eventstream"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/memlimit"
	"github.com/masticwing/masticwing/internal/core/overload"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/core/weightsbound"
	"github.com/masticwing/masticwing/internal/port"
)

// call is the state of one caller's request.
type call struct {
	g     *Gateway
	in    *port.InboundRequest
	out   port.ResponseWriter
	route *routes.Route
	// account is that of the API key at the last check, or nil if the request needs no key.
	account    *routes.Account
	service    *routes.Service
	routeTable *routes.Table
	// deadline is the caller's deadline or the end of the route's timeout, whichever
	// is earlier.
	deadline time.Time
	// sends counts the attempts to send the request, runs those after which a target may
	// have run it, and lostBeforeEvent those whose target closed the connection before any
	// event of its response.
	sends, runs, lostBeforeEvent int
	// trials are the subjects of which the request is the trial.
	trials []quarantine.Subject
	// subject is the whole request as a subject of evidence, once it was needed.
	subject quarantine.Subject
	// probing is set if the request is the probe of subject, and probeTold once the others were told.
	probing, probeTold bool
	// withdrawn is set if an engine was lost under another attempt at the same request while this
	// one waited for its first event.
	withdrawn atomic.Bool
	// suspect is set if the request may have crashed a target.
	suspect bool
	tried   map[fleet.Instance]bool
	// sentTo holds the addresses to which the request was sent. Two instances may be
	// registered at one address.
	sentTo     map[fleet.Address]bool
	lastChoice placement.Choice
	// aliveRecordedAt is when the target of a stream was last recorded as running.
	aliveRecordedAt time.Time
	// admission tells how the first choice was admitted. lateHeld is set while the request holds a place for
	// late requests.
	admission overload.Admission
	lateHeld  bool
	// passed counts the targets that were passed over in the last choice.
	passed placement.PassedTargets
	// lastSentAt is the time at which lastChoice was made.
	lastSentAt time.Time
	// limits are those of the weights of lastChoice when it was chosen.
	limits weightsLimits
	// successor is the attempt at another target that was in progress when the last one failed, or nil.
	successor *successor
	// successors runs the successors of attempts. They end with the request.
	successors conc.WaitGroup
	relay      relay
	// fallback is a target's response with a 5xx status. It is delivered if no retry
	// succeeds.
	fallback *bufferedResponse
	// placeInterval is the mean time between places that became free when the request was
	// last refused, or zero.
	placeInterval time.Duration
	// reserved is the memory taken from Gateway.memory for responses, in bytes.
	reserved int64
}

// Serve answers a caller's request. It implements port.InboundHandler.
func (g *Gateway) Serve(ctx context.Context, in *port.InboundRequest, out port.ResponseWriter) {
	g.stopState.active.Start()
	defer g.stopState.active.Done()
	c := &call{g: g, in: in, out: out, tried: map[fleet.Instance]bool{}, sentTo: map[fleet.Address]bool{}, relay: relay{events: eventstream.New(in.ResumeAfter)}}
	if e := c.resolve(); e != nil {
		c.refuse(e)
		return
	}
	c.countOffered()
	defer func() {
		_ = supervise.Call(g.deps.Log, g.deps.Metrics, "successor", func() error { c.successors.Wait(); return nil })
	}()
	ctx, release := g.stopState.WithEnd(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	defer func() { g.memory.Release(memlimit.Responses, c.reserved) }()
	err := supervise.Call(g.deps.Log, g.deps.Metrics, "request", func() error { c.forward(ctx); return nil })
	if err != nil {
		c.fail(ctx, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "gateway failed"))
	}
	if c.runs == 0 {
		g.quarantine.ReturnTrials(c.trials)
	}
	c.endProbe()
}

// localRetryAfter is the retry delay in responses of a gateway that cannot serve for a
// reason of its own. Another gateway probably can, so it is short.
const localRetryAfter = 100 * time.Millisecond

// defaultTimeout bounds requests without a deadline on routes without a timeout.
const defaultTimeout = 30 * time.Second

// resolve finds the route, the account and the service of the request and sets its
// deadline.
func (c *call) resolve() *verdict.Error {
	g := c.g
	c.routeTable = g.view.routeTable.Load()
	e := g.stopState.Refusal()
	switch {
	case e != nil:
		return e
	case c.routeTable == nil:
		return verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "no configuration is known").WithRetryAfter(localRetryAfter)
	case !g.view.membersListed.Load():
		// This gateway's shares of limits that all gateways keep together are unknown.
		return verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "number of gateways is not known").WithRetryAfter(localRetryAfter)
	case !g.view.quarantineListed.Load():
		return verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "requests that crash targets are not known").WithRetryAfter(localRetryAfter)
	}
	// The age is read before the configuration, so that the configuration is at least as new
	// as the view that was confirmed.
	stale := c.staleConfiguration()
	c.routeTable = g.view.routeTable.Load()
	r, ok := c.routeTable.MatchRoute(c.in.Host, c.in.Path)
	if !ok && stale != nil {
		// The route may have been added since.
		return stale
	}
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no route for this host and path")
	}
	c.route = r
	if e := c.authenticate(); e != nil {
		if e.Code == verdict.CodeUnknownCustomer && stale != nil {
			// The key may have been added since.
			return stale
		}
		return e
	}
	if stale != nil && c.boundToRegions() {
		return stale
	}
	name, ok := r.PickService(requestHash(c.in.ID))
	if ok {
		c.service, ok = c.routeTable.Service(name)
	}
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "route has no service").WithRetryAfter(time.Second)
	}
	c.deadline = c.in.ReceivedAt.Add(requestTimeout(r, c.in.CallerTimeout))
	return nil
}

// configBoundMargin covers the time between the check of the view's age and the start of the request at a target.
const configBoundMargin = 100 * time.Millisecond

// staleConfiguration returns the refusal of a request that the configuration in force may serve otherwise than the
// operators have set since, or nil if the view was confirmed in time. Other requests are served from an older view as
// well: the store may be down, so that nothing has changed.
func (c *call) staleConfiguration() *verdict.Error {
	age, ok := c.g.viewAge()
	if ok && age <= c.g.settings.ConfigBound-configBoundMargin {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeStaleConfiguration, "configuration was last confirmed %v ago", age.Round(time.Millisecond)).
		WithRetryAfter(localRetryAfter)
}

// checkLaterSend refuses a later send, which may follow seconds after the first one, if the API key was removed, or if
// the request is bound to regions that may have changed.
func (c *call) checkLaterSend() *verdict.Error {
	if c.account != nil {
		if e := c.findAccount(); e != nil {
			return e
		}
	}
	if c.boundToRegions() {
		return c.staleConfiguration()
	}
	return nil
}

// orDefault returns the timeout that a caller states, or defaultTimeout if it states none.
func orDefault(callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 {
		return defaultTimeout
	}
	return callerTimeout
}

// requestTimeout returns the time within which a request on a route has to be answered.
func requestTimeout(r *routes.Route, callerTimeout time.Duration) time.Duration {
	timeout := orDefault(callerTimeout)
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return timeout
}

// authenticate finds the account of the request's API key. It refuses the request if the view
// was not confirmed for too long, since the key may have been removed.
func (c *call) authenticate() *verdict.Error {
	if !c.routeTable.RequiresKey() || c.route.Anonymous {
		return nil
	}
	// The age is read before the configuration, so that the configuration is at least as new
	// as the view that was confirmed.
	if age, ok := c.g.viewAge(); !ok || age > c.g.settings.KeyBound-keyBoundMargin {
		return verdict.New(verdict.NotRun, verdict.CodeStaleConfiguration, "keys were last confirmed %v ago", age.Round(time.Millisecond)).
			WithRetryAfter(localRetryAfter)
	}
	return c.findAccount()
}

// findAccount finds the account of the request's API key in the newest configuration. The age
// of the view matters only when the request arrives: the bound for removed keys counts until
// the caller sends it.
func (c *call) findAccount() *verdict.Error {
	a, ok := c.g.view.routeTable.Load().Account(c.in.APIKey)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownCustomer, "key is not known")
	}
	c.account = a
	return nil
}

// keyBoundMargin covers the time between the check of an API key and the start of the
// request at a target.
const keyBoundMargin = 100 * time.Millisecond

func requestHash(id fleet.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// regionSets returns the sets of regions to which the request is bound: the newest configuration binds requests that
// arrived under an earlier one as well.
func (c *call) regionSets() [][]fleet.Region {
	route := c.route
	if t := c.g.view.routeTable.Load(); t != c.routeTable {
		if r, ok := t.MatchRoute(c.in.Host, c.in.Path); ok {
			route = r
		}
	}
	var sets [][]fleet.Region
	if len(route.Regions) > 0 {
		sets = append(sets, route.Regions)
	}
	if c.account != nil && len(c.account.Regions) > 0 {
		sets = append(sets, c.account.Regions)
	}
	return sets
}

// boundToRegions reports whether only some regions may serve the request.
func (c *call) boundToRegions() bool { return len(c.regionSets()) > 0 }

// regionFilter returns a function that reports whether targets of a region may serve the
// request, or nil if all regions may.
func (c *call) regionFilter() func(fleet.Region) bool {
	sets := c.regionSets()
	if len(sets) == 0 {
		return nil
	}
	return func(r fleet.Region) bool {
		for _, s := range sets {
			if !containsRegion(s, r) {
				return false
			}
		}
		return true
	}
}

func containsRegion(rs []fleet.Region, r fleet.Region) bool {
	for _, x := range rs {
		if x == r {
			return true
		}
	}
	return false
}

const (
	// engineQueueLimit is the number of requests that may wait at a model engine
	// beyond its slots. An engine completes about nine requests a second, so a
	// waiting request is delayed by about 0.1 s; the latency objective is 0.4 s. With
	// two waiting requests, a tenth of the responses are late; with none, slots stay
	// idle.
	engineQueueLimit = 1
	// serviceQueueLimit is the same for plain services. Their calls take 15 to 30 ms,
	// so the last waiting request is delayed by less than the shortest latency
	// objective, 100 ms.
	serviceQueueLimit = 12
	// weightsMargin is how long before WeightsBound targets with older weights stop
	// getting requests. Loaders load no weights that would get none.
	weightsMargin = weightsbound.UseMargin
	// queuedWeightsMargin is the same for requests that would wait at a full engine,
	// which sometimes takes more than a second.
	queuedWeightsMargin = 3 * time.Second
)

// placementQuery returns the conditions for choosing a target now.
func (c *call) placementQuery() placement.Query {
	d := c.g.view.declarations.Load()
	q := placement.Query{
		Service: c.service.Name, OwnDomain: c.g.settings.Domain,
		DrainBound:     c.g.settings.DrainBound,
		DomainCordoned: func(x fleet.Domain) bool { return d.cordons[x] },
		RegionAllowed:  c.regionFilter(), Tried: c.tried,
		Processes: c.g.view.processes(), UnseenRequests: c.g.view.noticeTargets.Load().ownOnly, ColdRequestsPerSecond: c.service.ColdRequestsPerSecond, ColdPhase: c.g.coldPhase,
	}
	if e := c.service.Engine; e != nil {
		q.MaxQueuedPerTarget = engineQueueLimit
		q.PromptTokens = c.in.WorkEstimate.PromptTokens
		q.Prefill, q.Decode = e.Timing.PrefillTime(c.in.WorkEstimate.PromptTokens), e.Timing.DecodeTime()
		q.NeedsWeights, q.FirstEventBy, q.ExcludeSilent = true, c.firstEventBy(), c.runs > 0
		declared, sinceBoot := d.weights[c.in.WorkEstimate.Model], c.g.deps.Clock.SinceBoot()
		q.MinWeightsVersion = declared.Required(c.g.settings.WeightsBound-weightsMargin, sinceBoot)
		q.WeightsLimit = func(version int64) (weightsbound.Limit, bool) {
			return declared.Limit(version, c.g.settings.WeightsBound, sinceBoot)
		}
		q.MinQueueWeightsVersion = declared.Required(c.g.settings.WeightsBound-queuedWeightsMargin, sinceBoot)
	} else {
		q.MaxQueuedPerTarget = serviceQueueLimit
	}
	return q
}

// firstEventBy returns the time at which the caller abandons the stream if no further event has
// arrived, or zero if it doesn't.
func (c *call) firstEventBy() time.Time {
	if c.route.AbandonTimeout <= 0 {
		return time.Time{}
	}
	since := c.in.ReceivedAt
	if !c.relay.lastEventAt.IsZero() {
		since = c.relay.lastEventAt
	}
	return since.Add(c.route.AbandonTimeout)
}

// urgency returns the request's rank among those that wait in an engine, 0 first, or -1
// for a plain service. The account's priority overrides that of the route.
func (c *call) urgency() int {
	if c.service.Engine == nil {
		return -1
	}
	const leastUrgent = 9
	p := c.route.Priority
	if c.account != nil && c.account.HasPriority {
		p = c.account.Priority
	}
	return min(max(p, 0), leastUrgent)
}

// refuse responds with an error and logs it.
func (c *call) refuse(e *verdict.Error) {
	c.countRefused(e)
	if err := c.out.Refuse(e); err != nil {
		e = verdict.Wrap(err, e.Verdict, e.Code, "%s; the refusal could not be delivered", e.Message).WithRetryAfter(e.RetryAfter)
	}
	c.logRequest("refused", e, 0)
}

// regionFields returns the fields of the log line that state the regions which the request is bound to, and that of
// its last target, or none if it is bound to none.
func (c *call) regionFields() []port.Field {
	var fs []port.Field
	if c.route != nil && len(c.route.Regions) > 0 {
		fs = append(fs, port.F("route_regions", c.route.Regions))
	}
	if c.account != nil && len(c.account.Regions) > 0 {
		fs = append(fs, port.F("account_regions", c.account.Regions))
	}
	if len(fs) > 0 && c.lastChoice.Instance != "" {
		fs = append(fs, port.F("target_region", string(c.g.view.regions[c.lastChoice.Domain])))
	}
	return fs
}

// targetFields returns the fields of the log line that describe the target to which the request was sent
// last, or none.
func (c *call) targetFields() []port.Field {
	t := c.lastChoice
	if t.Instance == "" {
		return nil
	}
	fs := []port.Field{
		port.F("target", string(t.Instance)), port.F("target_domain", string(t.Domain)), port.F("target_load", t.EstimatedInFlight),
		port.Millis("predicted_first_ms", t.TimeToFirstEvent), port.Millis("expected_late_ms", t.ExpectedLateness),
		port.Millis("load_age_ms", t.LoadAge),
	}
	if t.Silent {
		fs = append(fs, port.F("target_silent", true))
	}
	if t.SpeedAge >= 0 || t.Speed > placement.UsualSpeed {
		fs = append(fs, port.F("target_speed", math.Round(100*t.Speed)/100), port.Millis("speed_age_ms", t.SpeedAge))
	}
	if c.service.Engine != nil {
		fs = append(fs, port.F("target_weights", t.WeightsVersion), port.F("weights_required", c.limits.required))
		if c.limits.limited {
			fs = append(fs, port.Millis("weights_left_ms", c.limits.limit.Left), port.Millis("sent_after_ms", c.lastSentAt.Sub(c.in.ReceivedAt)))
		}
	}
	return fs
}

// failureFields returns the fields of the log line that describe why the request was not served.
func (c *call) failureFields(e *verdict.Error) []port.Field {
	var fs []port.Field
	if c.lostBeforeEvent > 0 {
		fs = append(fs, port.F("lost_before_event", c.lostBeforeEvent))
	}
	if parts := c.in.WorkEstimate.SharedParts; len(parts) > 0 {
		fs = append(fs, port.F("shared_parts", parts))
	}
	if c.subject != "" {
		fs = append(fs, port.F("subject", string(c.subject)))
	}
	fs = append(fs, port.F("code", string(e.Code)), port.F("verdict", e.Verdict.String()),
		port.F("reason", e.Error()), port.Millis("retry_after_ms", e.RetryAfter))
	if c.placeInterval > 0 {
		fs = append(fs, port.Millis("place_interval_ms", c.placeInterval))
	}
	return fs
}

// logRequest writes the log line and the metrics of a request that has ended. status is
// that of the target's response, or zero if none was passed to the caller.
func (c *call) logRequest(outcome string, e *verdict.Error, status int) {
	g := c.g
	now := g.deps.Clock.Now()
	fs := []port.Field{
		port.F("request", string(c.in.ID)), port.F("outcome", outcome),
		port.Millis("took_ms", now.Sub(c.in.ReceivedAt)),
		port.F("sends", c.sends), port.F("runs", c.runs),
		port.Millis("picture_age_ms", g.view.ageOrNegative()),
	}
	route, class := "", "unknown"
	if c.route != nil {
		route, class = c.route.Name, c.route.Kind.String()
		fs = append(fs, port.F("route", route), port.F("config", c.routeTable.Version))
	}
	if c.account != nil {
		fs = append(fs, port.F("account", string(c.account.Name)))
	}
	if first, _, refuted := g.view.refutedAgo(); refuted {
		fs = append(fs, port.Millis("picture_refuted_ms", first))
	}
	fs = append(fs, c.regionFields()...)
	fs = append(fs, c.targetFields()...)
	if c.admission != overload.Normal {
		fs = append(fs, port.F("admission", c.admission.String()), port.Millis("elapsed_ms", c.elapsed(now)))
	}
	if c.passed.Leaving > 0 {
		fs = append(fs, port.F("targets_leaving", c.passed.Leaving))
	}
	if c.passed.Paused > 0 {
		fs = append(fs, port.F("targets_paused", c.passed.Paused))
	}
	if n := c.relay.events.EventCount(); n > 0 {
		fs = append(fs, c.relay.orderFields()...)
		fs = append(fs, port.F("events", n), port.Millis("first_ms", c.relay.firstEventAfter),
			port.Millis("longest_gap_ms", c.relay.longestGap), port.Millis("objective_ms", c.route.LatencyObjective),
			port.F("prompt_tokens", c.in.WorkEstimate.PromptTokens), port.F("expected_tokens", c.in.WorkEstimate.ExpectedTokens))
	}
	if status != 0 {
		fs = append(fs, port.F("status", status))
	}
	if e != nil {
		fs = append(fs, c.failureFields(e)...)
		g.deps.Log.FailedRequest("request", fs...)
	} else {
		g.deps.Log.ServedRequest("request", fs...)
	}
	c.countResumes(outcome)
	g.deps.Metrics.Count("gateway_requests_total", 1, port.Attr{Key: "class", Value: class}, port.Attr{Key: "outcome", Value: outcome})
	g.deps.Metrics.Seconds("gateway_request_seconds", now.Sub(c.in.ReceivedAt), port.Attr{Key: "class", Value: class})
}

package gateway

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// call is one caller's request on its way through a gateway.
type call struct {
	g     *Gateway
	in    *port.Inbound
	out   port.Outbound
	route *routes.Route
	// account is nil for anonymous requests.
	account *routes.Account
	service *routes.Service
	table   *routes.Table
	// until is the end of the caller's patience or of the route's timeout,
	// whichever comes first.
	until time.Time
	// sends counts the times that the request was sent, and runs those that may
	// have run.
	sends, runs int
	tried       map[fleet.Instance]bool
	last        placement.Choice
	relay       relay
	// fallback is a failure of a target that is delivered unless another target
	// serves the request.
	fallback *answered
}

// Serve implements port.InboundHandler.
func (g *Gateway) Serve(ctx context.Context, in *port.Inbound, out port.Outbound) {
	g.active.Start()
	defer g.active.Done()
	c := &call{g: g, in: in, out: out, tried: map[fleet.Instance]bool{}}
	if e := c.admit(); e != nil {
		c.refuse(e)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.until)
	defer cancel()
	c.run(ctx)
}

// retryShort is the pause that callers are told when a gateway can't serve for
// a reason of its own; another gateway probably can.
const retryShort = 100 * time.Millisecond

// defaultPatience bounds requests that state no deadline on routes without a
// timeout.
const defaultPatience = 30 * time.Second

// admit finds the route, the account and the service of a request.
func (c *call) admit() *verdict.Error {
	g := c.g
	c.table = g.picture.table.Load()
	switch {
	case g.refusing.Load():
		return verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "gateway is shutting down").WithRetryAfter(retryShort)
	case c.table == nil:
		return verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "no configuration is known").WithRetryAfter(retryShort)
	}
	r, ok := c.table.Match(c.in.Host, c.in.Path)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no route for this host and path")
	}
	c.route = r
	if e := c.authenticate(); e != nil {
		return e
	}
	name, ok := r.Pick(requestHash(c.in.ID))
	if ok {
		c.service, ok = c.table.Service(name)
	}
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "route has no service").WithRetryAfter(time.Second)
	}
	patience := c.in.Patience
	if patience == 0 {
		patience = defaultPatience
	}
	if r.Timeout > 0 {
		patience = min(patience, r.Timeout)
	}
	c.until = c.in.Received.Add(patience)
	return nil
}

// authenticate finds the account that holds the request's key. A picture that
// was not confirmed for too long may hold a key that was taken away.
func (c *call) authenticate() *verdict.Error {
	if !c.table.Keyed() || c.route.Anonymous {
		return nil
	}
	if age := c.g.pictureAge(); c.g.confirmed.Load() == 0 || age > c.g.set.KeyBound-keyMargin {
		return verdict.New(verdict.NotRun, verdict.CodeStaleConfiguration, "keys were last confirmed %v ago", age.Round(time.Millisecond)).
			WithRetryAfter(retryShort)
	}
	a, ok := c.table.Account(c.in.Key)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownCustomer, "key is not known")
	}
	c.account = a
	return nil
}

// keyMargin covers the time between the check of a key and the request's start
// at a target.
const keyMargin = 100 * time.Millisecond

func requestHash(id fleet.RequestID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// allowed returns the regions that may serve the request, or nil for all.
func (c *call) allowed() func(fleet.Region) bool {
	var sets [][]fleet.Region
	if len(c.route.Regions) > 0 {
		sets = append(sets, c.route.Regions)
	}
	if c.account != nil && len(c.account.Regions) > 0 {
		sets = append(sets, c.account.Regions)
	}
	if len(sets) == 0 {
		return nil
	}
	return func(r fleet.Region) bool {
		for _, s := range sets {
			if !contains(s, r) {
				return false
			}
		}
		return true
	}
}

func contains(rs []fleet.Region, r fleet.Region) bool {
	for _, x := range rs {
		if x == r {
			return true
		}
	}
	return false
}

const (
	// engineBeyond is the number of requests that may wait at a model engine
	// beyond its places. An engine ends about nine requests a second, so that
	// one waits about 0.1 s of an objective of 0.4 s. A second one makes a tenth
	// of the answers late; without any, places stand empty.
	engineBeyond = 1
	// serviceBeyond is the same for plain services. Their calls take 15 to 30 ms,
	// so that the last one waits less than the shortest objective, 100 ms.
	serviceBeyond = 12
	// weightsMargin is the time before the bound from which targets with older
	// weights get no requests. A request for a free place starts within 0.4 s.
	weightsMargin = 1200 * time.Millisecond
	// fadeMargin is the same for requests that would wait at a full engine, which
	// takes more than a second at times.
	fadeMargin = 3 * time.Second
)

// query describes the target that the request needs now.
func (c *call) query(now time.Time) placement.Query {
	d := c.g.picture.declared.Load()
	q := placement.Query{
		Service: c.service.Name, Own: c.g.set.Domain,
		Cordoned: func(x fleet.Domain) bool { return d.cordons[x] },
		Allowed:  c.allowed(), Tried: c.tried,
		Processes: c.g.picture.processes(), ColdPerSecond: c.service.ColdPerSecond,
	}
	if e := c.service.Engine; e != nil {
		q.Beyond = engineBeyond
		q.Read, q.Write = e.Pace.ReadTime(c.in.Work.PromptTokens), e.Pace.WriteTime()
		q.NeedsWeights = true
		q.MinWeights = d.oldest(c.in.Work.Model, c.g.set.WeightsBound-weightsMargin, now)
		q.Fading = d.oldest(c.in.Work.Model, c.g.set.WeightsBound-fadeMargin, now)
	} else {
		q.Beyond = serviceBeyond
	}
	return q
}

// urgency orders the requests that wait in an engine.
func (c *call) urgency() int {
	if c.service.Engine == nil {
		return -1
	}
	const lowest = 9
	p := c.route.Priority
	if c.account != nil && c.account.HasPriority {
		p = c.account.Priority
	}
	return min(max(p, 0), lowest)
}

// refuse answers with an error of the gateway and logs why.
func (c *call) refuse(e *verdict.Error) {
	c.out.Refuse(e)
	c.log("refused", e, 0)
}

// log writes the line of a request that has ended.
func (c *call) log(outcome string, e *verdict.Error, status int) {
	g := c.g
	now := g.deps.Clock.Now()
	fs := []logging.Field{
		logging.F("request", string(c.in.ID)), logging.F("outcome", outcome),
		logging.Millis("took_ms", now.Sub(c.in.Received)),
		logging.F("sends", c.sends), logging.F("runs", c.runs),
		logging.Millis("picture_age_ms", g.pictureAge()),
	}
	route, class := "", "unknown"
	if c.route != nil {
		route, class = c.route.Name, c.route.Kind.String()
		fs = append(fs, logging.F("route", route), logging.F("config", c.table.Version))
	}
	if c.account != nil {
		fs = append(fs, logging.F("account", string(c.account.Name)))
	}
	if c.last.Instance != "" {
		fs = append(fs, logging.F("target", string(c.last.Instance)), logging.F("target_domain", string(c.last.Domain)),
			logging.F("target_load", c.last.Estimate), logging.Millis("predicted_first_ms", c.last.First), logging.Millis("load_age_ms", c.last.LoadAge))
	}
	if n := c.relay.events.EventCount(); n > 0 {
		fs = append(fs, logging.F("events", n), logging.Millis("first_ms", c.relay.first),
			logging.Millis("longest_gap_ms", c.relay.gap), logging.Millis("objective_ms", c.route.Objective),
			logging.F("prompt_tokens", c.in.Work.PromptTokens), logging.F("expected_tokens", c.in.Work.ExpectedTokens))
	}
	if status != 0 {
		fs = append(fs, logging.F("status", status))
	}
	if e != nil {
		fs = append(fs, logging.F("code", string(e.Code)), logging.F("verdict", e.Verdict.String()),
			logging.F("reason", e.Error()), logging.Millis("retry_after_ms", e.RetryAfter))
		g.deps.Log.Failed("request", fs...)
	} else {
		g.deps.Log.Served("request", fs...)
	}
	g.deps.Metrics.Count("gateway_requests_total", 1, port.Attr{Key: "class", Value: class}, port.Attr{Key: "outcome", Value: outcome})
	g.deps.Metrics.Seconds("gateway_request_seconds", now.Sub(c.in.Received), port.Attr{Key: "class", Value: class})
}

package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	"github.com/masticwing/masticwing/internal/core/fanout"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/itemrevision"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/core/weightsbound"
	"github.com/masticwing/masticwing/internal/port"
)

// view is a gateway's copy of the operators' declarations, the targets and the other
// gateways in the store. The atomic fields are read without a lock.
type view struct {
	self    port.StoredMember
	decoder port.ItemDecoder
	targets *placement.Table
	regions map[fleet.Domain]fleet.Region
	clock   port.BootClock
	log     port.Log
	metrics port.Metrics
	// weightsBound is Settings.WeightsBound.
	weightsBound time.Duration

	// confirmations holds when the store confirmed the operator keys.
	confirmations confirmation.Record
	routeTable    atomic.Pointer[routes.Table]
	declarations  atomic.Pointer[declarations]
	// gatewayCount is the number of gateways registered in the store, at least 1.
	gatewayCount atomic.Int64
	// gatewayGroup holds the other gateways, and noticeTargets those to which notices of requests
	// are sent.
	gatewayGroup  atomic.Pointer[fanout.Group[netip.AddrPort]]
	noticeTargets atomic.Pointer[noticeTargets]
	// readers lists the gateways to ask for changes of the store, in order of preference.
	readers atomic.Pointer[[]feed.Member]
	// readerRank is the number of gateways of the failure domain that come before this one as readers.
	readerRank atomic.Int64
	// usageRecipients holds the gateways to which usage is stated.
	usageRecipients atomic.Pointer[usage.Recipients]
	// dutyCandidates lists the gateways that may become the holder of the singleton duties, by rank.
	dutyCandidates atomic.Pointer[[]string]
	// engineTiming is the configured speed at which engines prefill and decode.
	engineTiming atomic.Pointer[routes.Timing]
	// targetsListed is set after the first complete listing of the targets.
	targetsListed atomic.Bool
	// membersListed is the same for the registered processes.
	membersListed atomic.Bool
	// quarantineListed is the same for the evidence against requests.
	quarantineListed atomic.Bool

	mu sync.Mutex // guards the fields below
	// operatorKeys holds the known revisions of the operator keys.
	operatorKeys *itemrevision.Table
	members      registration.Members
	// registered maps the store key of each target to its registration.
	registered map[string]registeredTarget
	// targetDomains holds the domains of the targets of configured services.
	targetDomains map[fleet.Domain]bool
	// unreadable holds the items of each prefix that can't be decoded.
	unreadable struct{ operator, targets, members, quarantine *follow.Unreadable }
	// olderConfigLogged is set once an older configuration was logged, until another one is
	// in force: another writer may rewrite it many times a second.
	olderConfigLogged bool
}

// registeredTarget is the part of a target's registration that the view keeps itself.
type registeredTarget struct {
	instance fleet.Instance
	service  fleet.Service
	domain   fleet.Domain
}

// declarations holds what operators declare besides the configuration. It is immutable
// once it is stored in the view.
type declarations struct {
	cordons map[fleet.Domain]bool
	weights map[fleet.Model]weightsbound.Declarations
}

func newView(s Settings, d Deps, t *placement.Table) *view {
	v := &view{
		self: s.storedMember(), decoder: d.Decoder, targets: t, regions: s.Regions, clock: d.Clock, log: d.Log, metrics: d.Metrics,
		weightsBound: s.WeightsBound,
		operatorKeys: itemrevision.New(), members: registration.Members{}, registered: map[string]registeredTarget{},
	}
	v.unreadable.operator = follow.NewUnreadable("operator's item can't be read", d.Log)
	v.unreadable.targets = follow.NewUnreadable("entry of a target can't be read", d.Log)
	v.unreadable.quarantine = follow.NewUnreadable("evidence can't be read", d.Log)
	v.unreadable.members = follow.NewUnreadable("entry of a process can't be read", d.Log)
	v.setGateways(fanout.Group[netip.AddrPort]{})
	v.readers.Store(&[]feed.Member{})
	recipients := v.members.UsageRecipients(v.self)
	v.usageRecipients.Store(&recipients)
	v.dutyCandidates.Store(&[]string{})
	v.engineTiming.Store(&routes.Timing{})
	v.gatewayCount.Store(1)
	v.declarations.Store(&declarations{cordons: map[fleet.Domain]bool{}, weights: map[fleet.Model]weightsbound.Declarations{}})
	return v
}

// noticeTargets holds the gateways to which notices of requests are sent. ownOnly is set if they
// leave out those of other domains.
type noticeTargets struct {
	to      []netip.AddrPort
	ownOnly bool
}

func (v *view) setGateways(g fanout.Group[netip.AddrPort]) {
	to, ownOnly := g.Notified()
	v.gatewayGroup.Store(&g)
	v.noticeTargets.Store(&noticeTargets{to, ownOnly})
}

// takeoverDelay returns the time for which this gateway asks the readers before it reads the operator keys from the
// store.
func (v *view) takeoverDelay() time.Duration { return feed.TakeoverDelay(int(v.readerRank.Load())) }

// processes returns the number of gateways that send requests to the same targets.
func (v *view) processes() float64 { return float64(max(1, v.gatewayCount.Load())) }

// applyOperatorKeys applies an event of the operator keys, and records which keys the next
// checks of the view cover.
func (v *view) applyOperatorKeys(e follow.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreadable.operator.Begin(e)
	next := v.declarations.Load().copy()
	for _, c := range v.currentOperatorKeys(e) {
		item, err := v.decoder.Decode(c.StoreItem)
		if err != nil && c.Removed {
			continue
		}
		v.unreadable.operator.Record(c, err)
		if err != nil {
			continue
		}
		v.applyItem(item, c, next)
	}
	v.declarations.Store(next)
	v.updateTargetDomains()
	v.recordCoverage(e)
}

// updateTargetDomains updates targetDomains and reports whether it has changed. Other writers
// may register targets of unknown services; their domains do not add to the checks. The
// caller holds mu.
func (v *view) updateTargetDomains() bool {
	domains := map[fleet.Domain]bool{}
	if t := v.routeTable.Load(); t != nil {
		for _, r := range v.registered {
			if _, ok := t.Service(r.service); ok {
				domains[r.domain] = true
			}
		}
	}
	changed := !maps.Equal(domains, v.targetDomains)
	v.targetDomains = domains
	return changed
}

// currentOperatorKeys returns the changes of an event without those that are older than this
// view: the reply to a check may have contained later ones. A listing also removes the items
// that it lacks. The caller holds mu.
func (v *view) currentOperatorKeys(e follow.Event) []port.StoreChange {
	var out []port.StoreChange
	if !e.Reset {
		for _, c := range e.Changes {
			if v.operatorKeys.Apply(c.Key, c.Revision, c.Removed) {
				out = append(out, c)
			}
		}
		return out
	}
	items := map[string]int64{}
	for _, c := range e.Changes {
		items[c.Key] = c.Revision
	}
	current, removed := v.operatorKeys.ApplyListing(items, e.At)
	for _, k := range removed {
		out = append(out, port.StoreChange{StoreItem: port.StoreItem{Key: k, Revision: e.At}, Removed: true})
	}
	for _, c := range e.Changes {
		if current[c.Key] {
			out = append(out, c)
		}
	}
	return out
}

// recordCoverage records which keys the next checks cover, and a listing as a confirmation.
// The caller holds mu, so that a check covers exactly the keys of expectedRevisions.
func (v *view) recordCoverage(e follow.Event) {
	revisions := map[string]int64{}
	for _, p := range v.preconditions() {
		revisions[p.Key] = p.Revision
	}
	v.confirmations.SetChecked(revisions, v.clock.SinceBoot())
	if e.Reset {
		v.confirmations.List(e.ReadAt)
	}
}

func (v *view) applyItem(item port.DecodedItem, c port.StoreChange, next *declarations) {
	switch f := item.(type) {
	case port.ConfigItem:
		v.applyConfig(f.Config, c)
	case port.CordonItem:
		if c.Removed {
			delete(next.cordons, f.Domain)
		} else {
			next.cordons[f.Domain] = true
		}
		v.log.StateChange("cordon", port.F("domain", string(f.Domain)), port.F("cordoned", !c.Removed), port.F("revision", c.Revision))
	case port.WeightsItem:
		v.applyWeights(f, c, next)
	}
}

func (v *view) applyWeights(w port.WeightsItem, c port.StoreChange, next *declarations) {
	l := v.learned(c)
	next.weights[w.Model] = next.weights[w.Model].Add(weightsbound.Declaration{Version: w.Number, At: l.At()}, v.weightsBound, l.Now)
	v.log.StateChange("weights declared", port.F("model", string(w.Model)), port.F("number", w.Number), port.F("revision", c.Revision),
		millisOrNegative("declared_ago_ms", l.Age()), port.Millis("picture_age_ms", v.ageOrNegative()))
}

// dateDeclaration adopts the time of a declaration that the loader of a target states, if this
// gateway does not know it: one that has just started has not seen the declaration made.
func (v *view) dateDeclaration(target fleet.Instance, stated port.DeclaredWeights) {
	at := stated.Age.Before(v.clock.SinceBoot())
	if _, known := at.Get(); !known || !v.hasUndated() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.declarations.Load().copy()
	m := v.modelOf(target)
	dated, changed := next.weights[m].Adopt(weightsbound.Statement{
		Newest: weightsbound.Declaration{Version: stated.Number, At: at}, Required: stated.Required,
	})
	if !changed {
		return
	}
	next.weights[m] = dated
	v.declarations.Store(next)
	v.log.StateChange("weights dated", port.F("model", string(m)), port.F("number", stated.Number),
		port.F("target", string(target)), millisOrNegative("declared_ago_ms", stated.Age))
}

// hasUndated reports whether the time of a declaration is not known.
func (v *view) hasUndated() bool {
	for _, ds := range v.declarations.Load().weights {
		for _, d := range ds {
			if _, known := d.At.Get(); !known {
				return true
			}
		}
	}
	return false
}

// modelOf returns the model whose weights the loader of a target manages, the first one of the
// target's service, or an empty one if it is not known. The caller holds mu.
func (v *view) modelOf(target fleet.Instance) fleet.Model {
	t := v.routeTable.Load()
	if t == nil {
		return ""
	}
	for _, r := range v.registered {
		if r.instance != target {
			continue
		}
		if s, ok := t.Service(r.service); ok && s.Engine != nil && len(s.Engine.Models) > 0 {
			return s.Engine.Models[0]
		}
	}
	return ""
}

// learned returns what this gateway knows of the time of a change.
func (v *view) learned(c port.StoreChange) weightsbound.Learned {
	l := weightsbound.Learned{Now: v.clock.SinceBoot(), Stated: c.Age}
	if at, ok := v.confirmations.NewestOf(c.Key); ok {
		l.Confirmed = moment.KnownTime(at)
	}
	return l
}

// millisOrNegative returns a log field with an age, or -1 ms if it is unknown.
func millisOrNegative(key string, a moment.Age) port.Field {
	age, known := a.Get()
	if !known {
		age = -time.Millisecond
	}
	return port.Millis(key, age)
}

// dated returns the event with the ages that this gateway knows, for the processes that
// follow it.
func (v *view) dated(e follow.Event) follow.Event {
	e.Changes = slices.Clone(e.Changes)
	for i, c := range e.Changes {
		e.Changes[i].Age = v.learned(c).Age()
	}
	return e
}

// ageOrNegative returns the time since the store last confirmed the view, or a negative time
// if it never did.
func (v *view) ageOrNegative() time.Duration {
	at, ok := v.confirmations.Newest()
	if !ok {
		return -time.Millisecond
	}
	return v.clock.SinceBoot() - at
}

func (v *view) applyConfig(c routes.Config, from port.StoreChange) {
	if from.Removed {
		return
	}
	current := v.routeTable.Load()
	if current != nil && c.Version < current.Version {
		if !v.olderConfigLogged {
			v.olderConfigLogged = true
			v.log.Failure("older configuration ignored", nil, port.F("version", c.Version), port.F("held", current.Version))
		}
		return
	}
	v.olderConfigLogged = false
	t := routes.Compile(c)
	for i := range t.Services {
		if e := t.Services[i].Engine; e != nil {
			v.engineTiming.Store(&e.Timing)
		}
	}
	v.routeTable.Store(t)
	if age, known := v.learned(from).Age().Get(); known && current != nil {
		v.metrics.Seconds("gateway_config_delay_seconds", age)
	}
	v.log.StateChange("configuration in force", port.F("version", c.Version), port.F("revision", from.Revision),
		millisOrNegative("set_ago_ms", v.learned(from).Age()), port.F("routes", len(c.Routes)), port.F("routes_with_regions", t.RoutesWithRegions()), port.F("accounts", len(c.Accounts)), port.F("keyless", c.Keyless), port.Millis("idle_timeout_ms", c.Limits.IdleTimeout))
	for _, f := range c.Faults {
		v.log.Failure("value of the configuration ignored", nil, port.F("version", c.Version), port.F("value", f))
	}
}

// copy returns a copy that can be changed.
func (d *declarations) copy() *declarations {
	next := &declarations{cordons: map[fleet.Domain]bool{}, weights: map[fleet.Model]weightsbound.Declarations{}}
	for k, v := range d.cordons {
		next.cordons[k] = v
	}
	for k, v := range d.weights {
		next.weights[k] = v
	}
	return next
}

// applyTargets updates the table of targets from an event.
func (v *view) applyTargets(e follow.Event) {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreadable.targets.Begin(e)
	keep := map[fleet.Instance]bool{}
	if e.Reset {
		clear(v.registered)
	}
	for _, c := range e.Changes {
		if c.Removed {
			if r, ok := v.registered[c.Key]; ok {
				v.removeTarget(c.Key)
				v.log.StateChange("target gone", port.F("target", string(r.instance)), port.F("revision", c.Revision))
			}
			continue
		}
		item, err := v.decoder.Decode(c.StoreItem)
		v.unreadable.targets.Record(c, err)
		if err != nil {
			v.removeTarget(c.Key)
			continue
		}
		if f, ok := item.(port.TargetItem); ok {
			keep[f.Target.Instance] = true
			v.setTarget(c, f.Target, now)
		}
	}
	if e.Reset {
		v.targets.Retain(keep)
		v.targetsListed.Store(true)
	}
	if v.updateTargetDomains() {
		v.recordCoverage(follow.Event{})
	}
}

func (v *view) removeTarget(key string) {
	if r, ok := v.registered[key]; ok {
		delete(v.registered, key)
		v.targets.Remove(r.instance)
	}
}

func (v *view) setTarget(c port.StoreChange, r port.TargetRecord, now time.Time) {
	t := placement.Target{
		Instance: r.Instance, Service: r.Service, Address: r.Address, Domain: r.Domain, Region: v.regions[r.Domain],
		Slots: r.Slots, Draining: r.Draining, Started: r.Started,
	}
	if r.WarmUpLeft > 0 {
		t.ColdSince, t.ColdUntil = now, now.Add(r.WarmUpLeft)
	}
	for _, h := range r.Held {
		t.WeightsVersion = max(t.WeightsVersion, h.Number)
	}
	v.registered[c.Key] = registeredTarget{r.Instance, r.Service, r.Domain}
	v.targets.Set(t)
	v.log.StateChange("target", port.F("target", string(t.Instance)), port.F("service", string(t.Service)),
		port.F("address", string(t.Address)), port.F("domain", string(t.Domain)), port.F("draining", t.Draining),
		port.Millis("cold_ms", r.WarmUpLeft), port.F("weights", t.WeightsVersion), port.F("revision", c.Revision))
}

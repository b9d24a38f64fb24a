package loader

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	"github.com/masticwing/masticwing/internal/core/fanout"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/itemrevision"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/weightsbound"
	"github.com/masticwing/masticwing/internal/port"
)

// view is a loader's copy of the declarations and of the registered processes.
type view struct {
	settings Settings
	decoder  port.ItemDecoder
	clock    port.BootClock
	log      port.Log
	// confirmations holds when the store confirmed the declarations' keys.
	confirmations confirmation.Record

	mu           sync.Mutex // guards the following
	routeTable   *routes.Table
	declarations []declaredWeights
	// bounds holds the same declarations by model, as long as they bound the use of older weights.
	bounds map[fleet.Model]weightsbound.Declarations
	// weightsKeys holds the known revisions of the declarations' keys.
	weightsKeys *itemrevision.Table
	members     registration.Members
	// unreadable holds the items of the operators and the members that can't be decoded.
	unreadable          struct{ operator, members *follow.Unreadable }
	gatewayGroup        fanout.Group[netip.AddrPort]
	feedReaders         []feed.Member
	declarationsChanged chan struct{}
	// membersListed is closed once the registered processes are known.
	membersListed chan struct{}
	listedOnce    sync.Once
}

// declaredWeights is a declaration of weights.
type declaredWeights struct {
	port.ModelWeights
	// at is the earliest time at which the declaration may have been made, as far as the
	// loader knows.
	at moment.Time
	// fromListing is set if the declaration was read from a listing.
	fromListing bool
}

func newView(s Settings, d port.ItemDecoder, c port.BootClock, l port.Log) *view {
	v := &view{
		settings: s, decoder: d, clock: c, log: l,
		bounds: map[fleet.Model]weightsbound.Declarations{}, members: registration.Members{}, weightsKeys: itemrevision.New(), declarationsChanged: make(chan struct{}, 1), membersListed: make(chan struct{}),
	}
	v.unreadable.operator = follow.NewUnreadable("operator's item can't be read", l)
	v.unreadable.members = follow.NewUnreadable("entry of a process can't be read", l)
	return v
}

// peers returns the loaders of the same service, which fetch the same versions.
func (v *view) peers() []chain.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []chain.Member
	for _, m := range v.members {
		if m.Kind == fleet.KindAgent.String() && m.Service == v.settings.Service {
			out = append(out, chain.Member{VM: fleet.VM(m.ID), Region: m.Region, Address: m.Address})
		}
	}
	return out
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyOperatorKeys applies an event of the configuration or of the declared weights.
func (v *view) applyOperatorKeys(e follow.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unreadable.operator.Begin(e)
	for _, c := range e.Changes {
		if c.Removed {
			continue
		}
		item, err := v.decoder.Decode(c.StoreItem)
		v.unreadable.operator.Record(c, err)
		if err != nil {
			continue
		}
		switch it := item.(type) {
		case port.ConfigItem:
			if v.routeTable == nil || it.Config.Version >= v.routeTable.Version {
				v.routeTable = routes.Compile(it.Config)
			}
		case port.WeightsItem:
			v.addDeclaration(declaredWeights{port.ModelWeights(it), v.declaredAt(c, port.ModelWeights(it)), e.Reset}, c.Revision)
		}
	}
	v.recordCoverage()
	signal(v.declarationsChanged)
}

// declaredAt returns the earliest time at which older weights may have been replaced by the declaration of
// w. A gateway states the time of the change from confirmations that are newer than those that reach
// this process. If this process has missed a declaration between the newest known one and w, only its own
// last confirmation bounds the time of the missed one. The caller holds mu.
func (v *view) declaredAt(c port.StoreChange, w port.ModelWeights) moment.Time {
	l := weightsbound.Learned{Now: v.clock.SinceBoot(), Stated: c.Age}
	if _, known := c.Age.Get(); !known || w.Number > v.newestNumber(w.Model)+1 {
		if at, ok := v.confirmations.NewestOf(c.Key); ok {
			l.Confirmed = moment.KnownTime(at)
		}
	}
	return l.At()
}

// newestNumber returns the number of the newest known declaration of a model, or that of the weights
// before any. The caller holds mu.
func (v *view) newestNumber(m fleet.Model) int64 {
	newest := int64(initialNumber)
	for _, d := range v.declarations {
		if d.Model == m {
			newest = max(newest, d.Number)
		}
	}
	return newest
}

// addDeclaration adds a declaration unless one with the same or a higher number is
// known for its model. The caller holds mu.
func (v *view) addDeclaration(d declaredWeights, revision int64) {
	for _, old := range v.declarations {
		if old.Model == d.Model && old.Number >= d.Number {
			return
		}
	}
	const maxKept = 8 // more than are declared within one WeightsBound
	v.declarations = append(v.declarations, d)
	v.declarations = v.declarations[max(0, len(v.declarations)-maxKept):]
	now := v.clock.SinceBoot()
	v.bounds[d.Model] = v.bounds[d.Model].Add(weightsbound.Declaration{Version: d.Number, At: d.at}, v.settings.WeightsBound, now)
	age, known := d.at.Age(now).Get()
	v.log.StateChange("weights declared", port.F("model", string(d.Model)), port.F("number", d.Number), port.F("revision", revision),
		port.F("dated", known), port.Millis("declared_ago_ms", age), port.F("from_listing", d.fromListing))
}

// recordCoverage records the keys of declarations that must be confirmed: those that are known and
// those of configured models whose weights were never declared. The caller holds mu.
func (v *view) recordCoverage() {
	revisions := v.weightsKeys.Existing()
	if v.routeTable != nil {
		for _, m := range v.routeTable.Models() {
			k := v.decoder.WeightsKey(m)
			revisions[k] = max(0, revisions[k])
		}
	}
	v.confirmations.SetChecked(revisions, v.clock.SinceBoot())
}

// applyWeights applies an event of the declared weights, and a listing as a confirmation of them.
func (v *view) applyWeights(e follow.Event) {
	v.recordRevisions(e)
	v.applyOperatorKeys(e)
	if e.Reset {
		v.confirmations.List(e.ReadAt)
	}
}

// recordRevisions records the revisions of the keys in an event of the declared weights.
func (v *view) recordRevisions(e follow.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	items := map[string]int64{}
	for _, c := range e.Changes {
		items[c.Key] = c.Revision
		if !e.Reset {
			v.weightsKeys.Apply(c.Key, c.Revision, c.Removed)
		}
	}
	if e.Reset {
		v.weightsKeys.ApplyListing(items, e.At)
	}
}

// untilWithdrawal returns the time until weights have to be taken out of service, or false if no
// newer ones are declared.
func (v *view) untilWithdrawal(w port.ModelWeights) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.bounds[w.Model].UntilWithdrawal(w.Number, v.settings.WeightsBound, v.clock.SinceBoot())
}

// boundIsOver reports whether the bound for the use of weights may be over. It returns false while
// that is not known: requests in the engine probably began in time, since gateways that know
// the bound sent them.
func (v *view) boundIsOver(w port.ModelWeights) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	limit, limited := v.bounds[w.Model].Limit(w.Number, v.settings.WeightsBound, v.clock.SinceBoot())
	return limited && limit.Dated && limit.Left <= 0
}

// enforced returns the declaration that this loader enforces, for its load reports.
func (v *view) enforced() port.DeclaredWeights {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service()
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return port.DeclaredWeights{}
	}
	now := v.clock.SinceBoot()
	stated := v.bounds[s.Engine.Models[0]].Statement(v.settings.WeightsBound, now)
	return port.DeclaredWeights{Number: stated.Newest.Version, Required: stated.Required, Age: stated.Newest.At.Age(now)}
}

// membersKnown reports whether the registered processes are known.
func (v *view) membersKnown() bool {
	select {
	case <-v.membersListed:
		return true
	default:
		return false
	}
}

func (v *view) applyMembers(e follow.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members.Apply(e, v.decoder, v.unreadable.members)
	v.gatewayGroup = fanout.New(v.settings.Domain, v.members.GatewaysByDomain(v.settings.ID))
	v.feedReaders = v.members.Readers(v.settings.storedMember())
	v.listedOnce.Do(func() { close(v.membersListed) })
	signal(v.declarationsChanged)
}

// listedLease returns the lease under which this process is listed, or port.NoLease if it is not.
func (v *view) listedLease() port.LeaseID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.LeaseOf(v.settings.ID)
}

// isMember reports whether a process is registered at an address.
func (v *view) isMember(addr fleet.Address) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.Has(addr)
}

// gateways returns the gateways, which receive load reports.
func (v *view) gateways() fanout.Group[netip.AddrPort] {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gatewayGroup
}

// readers returns the gateways from which changes of the store can be read, in order
// of preference.
func (v *view) readers() []feed.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.feedReaders
}

// storeTurnInterval is the time between two loaders of a domain that read the configuration from the store
// because no gateway of the domain passes it on. One of 1,250 routes takes 0.25 s on a link of 26 Mbit/s
// between two regions. When 33 loaders read it at once after a cut of 5.6 s, that link was full for 7 s, in
// which the processes of the domain could not register and requests arrived there 4.7 s late.
const storeTurnInterval = time.Second

// storeTurn returns the time after which it is this loader's turn to read the configuration from the store:
// the loaders of a domain take turns in the order of their names.
func (v *view) storeTurn() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := 0
	for _, m := range v.members {
		if m.Kind == fleet.KindAgent.String() && m.Domain == v.settings.Domain && m.ID < v.settings.ID {
			before++
		}
	}
	return time.Duration(before) * storeTurnInterval
}

// service returns the service of the engine, or nil before it is known. The caller
// holds mu.
func (v *view) service() *routes.Service {
	if v.routeTable == nil {
		return nil
	}
	s, _ := v.routeTable.Service(v.settings.Service)
	return s
}

// slots returns the number of slots of the engine, or 0 before it is known.
func (v *view) slots() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.service(); s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}

// goal describes the weights that the engine has to hold, and when it may load them.
type goal struct {
	port.ModelWeights
	// declaredAt is the time of the oldest declaration that is newer than the weights held, or
	// unknown if there is none.
	declaredAt moment.Time
	// mayBeStaged means that the chunks may be in the engine's staging area: the engine
	// holds these weights, or has restarted.
	mayBeStaged bool
	// newlyDeclared means that the newest declaration was received as a change, not
	// from a listing.
	newlyDeclared bool
	// immediate means that the engine must not wait for its turn.
	immediate bool
	// rank is the position of the engine in the order of turns, of count engines.
	rank, count int
	// fenced means that load orders need a fencing number.
	fenced bool
}

// initialNumber is the number of the weights to hold before any declaration.
const initialNumber = 1

// goal returns the goal of an engine that now holds the given weights. It returns
// false before the models of the engine are known.
func (v *view) goal(held port.ModelWeights) (goal, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service()
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return goal{}, false
	}
	g := goal{ModelWeights: port.ModelWeights{Model: s.Engine.Models[0], Number: initialNumber}, immediate: held.Number == 0, fenced: s.Engine.Fenced}
	replaced := false
	for _, d := range v.declarations {
		if d.Model != g.Model {
			continue
		}
		if d.Number > held.Number && !replaced {
			replaced = true
			g.declaredAt = d.at
			g.immediate = g.immediate || d.fromListing
		}
		if d.Number > g.Number {
			g.Number, g.newlyDeclared = d.Number, !d.fromListing
		}
	}
	g.mayBeStaged = held.Number == 0 || held.Number == g.Number
	g.rank, g.count = v.turn(g.Number)
	return g, true
}

// turn returns the rank of this loader and the number of loaders of the service. Ranks
// alternate between failure domains, so that no domain has all its engines out of
// service at the same time. The caller holds mu.
func (v *view) turn(number int64) (rank, count int) {
	byDomain := map[fleet.Domain][]string{}
	for _, m := range v.members {
		if m.Kind == fleet.KindAgent.String() && m.Service == v.settings.Service {
			byDomain[m.Domain] = append(byDomain[m.Domain], m.ID)
			count++
		}
	}
	domainIDs := byDomain[v.settings.Domain]
	slices.Sort(domainIDs)
	position := max(0, slices.Index(domainIDs, v.settings.ID))
	position = (position + int(number)) % max(1, len(domainIDs))
	for d, ids := range byDomain {
		if d < v.settings.Domain {
			rank += min(len(ids), position+1)
		} else {
			rank += min(len(ids), position)
		}
	}
	return rank, max(count, 1)
}

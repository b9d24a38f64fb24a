package gateway

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/app/enroll"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
)

// picture is what a gateway knows of the operators' declarations, the targets
// and the other gateways. Readers of table and declared take no lock.
type picture struct {
	self    port.StoredMember
	facts   port.FactReader
	targets *placement.Table
	regions map[fleet.Domain]fleet.Region
	clock   port.Clock
	log     *logging.Logger

	table    atomic.Pointer[routes.Table]
	declared atomic.Pointer[declared]
	// gateways is the number of gateways in the store, at least 1.
	gateways atomic.Int64
	// others are the addresses of the other gateways.
	others atomic.Pointer[[]netip.AddrPort]
	// readers are the gateways to ask for changes of the store, in order.
	readers atomic.Pointer[[]feed.Member]
	// pace is that of the engines.
	pace atomic.Pointer[routes.Timing]
	// listed is set once the targets were listed for the first time.
	listed atomic.Bool

	mu sync.Mutex // guards the following
	// revisions holds the store's revision of each operators' key.
	revisions map[string]int64
	members   enroll.Members
	held      map[string]fleet.Instance // by key in the store
}

// declared is what operators declare besides the configuration. It is immutable.
type declared struct {
	cordons map[fleet.Domain]bool
	weights map[fleet.Model][]naming
}

// naming is the declaration of a model's weights, and the earliest time at which it
// may have been made.
type naming struct {
	number int64
	since  time.Time
}

func newPicture(s Settings, d Deps, t *placement.Table) *picture {
	p := &picture{
		self: s.member(), facts: d.Facts, targets: t, regions: s.Regions, clock: d.Clock, log: d.Log,
		revisions: map[string]int64{}, members: enroll.Members{}, held: map[string]fleet.Instance{},
	}
	p.others.Store(&[]netip.AddrPort{})
	p.readers.Store(&[]feed.Member{})
	p.pace.Store(&routes.Timing{})
	p.gateways.Store(1)
	p.declared.Store(&declared{cordons: map[fleet.Domain]bool{}, weights: map[fleet.Model][]naming{}})
	return p
}

// processes returns the number of gateways that share the targets.
func (p *picture) processes() float64 { return float64(max(1, p.gateways.Load())) }

// expectations returns the revisions of the operators' keys that this process
// knows, with those of domains that are not cordoned as absent.
func (p *picture) expectations(cordonKey func(fleet.Domain) string) []port.Expectation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []port.Expectation
	for k, rev := range p.revisions {
		out = append(out, port.Expectation{Key: k, Revision: rev})
	}
	for d := range p.regions {
		if k := cordonKey(d); p.revisions[k] == 0 {
			out = append(out, port.Expectation{Key: k})
		}
	}
	return out
}

// explains reports whether all differences between what is expected and the
// current items are newer items. A key that is gone has to be looked for in a
// listing.
func (p *picture) explains(expect []port.Expectation, current []port.Item) bool {
	newest := map[string]int64{}
	for _, it := range current {
		newest[it.Key] = it.Revision
	}
	differs := false
	for _, e := range expect {
		now := newest[e.Key]
		if now < e.Revision {
			return false
		}
		differs = differs || now > e.Revision
	}
	return differs
}

// applyOperator takes in news of the operators' keys. Declarations among them may
// have been made as early as since.
func (p *picture) applyOperator(e follow.Event, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Reset {
		clear(p.revisions)
	}
	next := p.declared.Load().copy(e.Reset)
	for _, c := range e.Changes {
		if c.Removed {
			delete(p.revisions, c.Key)
		} else if c.Revision >= p.revisions[c.Key] {
			p.revisions[c.Key] = c.Revision
		} else {
			continue
		}
		fact, err := p.facts.Read(c.Item)
		if err != nil && c.Removed {
			continue
		}
		if err != nil {
			p.log.Fault("operator's item can't be read", err, logging.F("key", c.Key), logging.F("revision", c.Revision))
			continue
		}
		p.applyFact(fact, c, next, since)
	}
	p.declared.Store(next)
}

func (p *picture) applyFact(fact port.Fact, c port.Change, next *declared, since time.Time) {
	switch f := fact.(type) {
	case port.ConfigFact:
		p.applyConfig(f.Config, c)
	case port.CordonFact:
		if c.Removed {
			delete(next.cordons, f.Domain)
		} else {
			next.cordons[f.Domain] = true
		}
		p.log.State("cordon", logging.F("domain", string(f.Domain)), logging.F("cordoned", !c.Removed), logging.F("revision", c.Revision))
	case port.WeightsFact:
		next.weights[f.Model] = addNaming(next.weights[f.Model], naming{f.Number, since})
		p.log.State("weights declared", logging.F("model", string(f.Model)), logging.F("number", f.Number), logging.F("revision", c.Revision))
	}
}

func (p *picture) applyConfig(c routes.Config, from port.Change) {
	if from.Removed {
		return
	}
	old := p.table.Load()
	if old != nil && c.Version < old.Version {
		p.log.Fault("older configuration ignored", nil, logging.F("version", c.Version), logging.F("held", old.Version))
		return
	}
	t := routes.Compile(c)
	for i := range t.Services {
		if e := t.Services[i].Engine; e != nil {
			p.pace.Store(&e.Timing)
		}
	}
	p.table.Store(t)
	p.log.State("configuration in force", logging.F("version", c.Version), logging.F("revision", from.Revision),
		logging.F("routes", len(c.Routes)), logging.F("accounts", len(c.Accounts)))
}

// copy returns a copy without cordons if the operators' keys were listed anew.
func (d *declared) copy(reset bool) *declared {
	next := &declared{cordons: map[fleet.Domain]bool{}, weights: map[fleet.Model][]naming{}}
	if !reset {
		for k, v := range d.cordons {
			next.cordons[k] = v
		}
	}
	for k, v := range d.weights {
		next.weights[k] = v
	}
	return next
}

// addNaming appends a declaration unless it is known.
func addNaming(ns []naming, n naming) []naming {
	if len(ns) > 0 && ns[len(ns)-1].number >= n.number {
		return ns
	}
	const kept = 8 // more than are declared within the time that any of them counts
	out := append([]naming(nil), ns...)
	out = append(out, n)
	return out[max(0, len(out)-kept):]
}

// oldest returns the oldest weights of a model that may serve at now, if the
// declared ones have to be in use after bound.
func (d *declared) oldest(m fleet.Model, bound time.Duration, now time.Time) int64 {
	least := int64(0)
	for _, n := range d.weights[m] {
		if now.Sub(n.since) >= bound {
			least = n.number
		}
	}
	return least
}

// applyTargets takes in news of the targets.
func (p *picture) applyTargets(e follow.Event) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := map[fleet.Instance]bool{}
	if e.Reset {
		clear(p.held)
	}
	for _, c := range e.Changes {
		if c.Removed {
			if id, ok := p.held[c.Key]; ok {
				delete(p.held, c.Key)
				p.targets.Remove(id)
				p.log.State("target gone", logging.F("target", string(id)), logging.F("revision", c.Revision))
			}
			continue
		}
		fact, err := p.facts.Read(c.Item)
		if err != nil {
			p.log.Fault("entry of a target can't be read", err, logging.F("key", c.Key), logging.F("revision", c.Revision))
			p.dropTarget(c.Key)
			continue
		}
		if f, ok := fact.(port.TargetFact); ok {
			keep[f.Target.Instance] = true
			p.setTarget(c, f.Target, now)
		}
	}
	if e.Reset {
		p.targets.Retain(keep)
		p.listed.Store(true)
	}
}

func (p *picture) dropTarget(key string) {
	if id, ok := p.held[key]; ok {
		delete(p.held, key)
		p.targets.Remove(id)
	}
}

func (p *picture) setTarget(c port.Change, r port.TargetRecord, now time.Time) {
	t := placement.Target{
		Instance: r.Instance, Service: r.Service, Address: r.Address, Domain: r.Domain, Region: p.regions[r.Domain],
		Slots: r.Places, Draining: r.Draining, Started: r.Started,
	}
	if r.ColdLeft > 0 {
		t.ColdUntil = now.Add(r.ColdLeft)
	}
	for _, h := range r.Held {
		t.WeightsVersion = max(t.WeightsVersion, h.Number)
	}
	p.held[c.Key] = r.Instance
	p.targets.Set(t)
	p.log.State("target", logging.F("target", string(t.Instance)), logging.F("service", string(t.Service)),
		logging.F("address", string(t.Address)), logging.F("domain", string(t.Domain)), logging.F("draining", t.Draining),
		logging.Millis("cold_ms", r.ColdLeft), logging.F("weights", t.WeightsVersion), logging.F("revision", c.Revision))
}

// applyMembers takes in news of the product's processes.
func (p *picture) applyMembers(e follow.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Apply(e, p.facts, p.log)
	count, others := p.members.Gateways(p.self.ID)
	readers := p.members.Readers(p.self)
	p.readers.Store(&readers)
	n := int64(count)
	p.others.Store(&others)
	if old := p.gateways.Swap(max(1, n)); old != max(1, n) {
		p.log.State("gateways", logging.F("count", n))
	}
}

package loader

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/app/enroll"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
)

// view is what a loader knows of the declarations and of the other processes.
type view struct {
	set   Settings
	facts port.ItemDecoder
	clock port.Clock
	log   *logging.Logger

	mu           sync.Mutex // guards the following
	config       *routes.Table
	declared     []declaredWeights
	members      enroll.Members
	senders      []netip.AddrPort
	readFrom     []feed.Member
	declaredNews chan struct{}
	// listed is closed once the processes were listed.
	listed chan struct{}
	once   sync.Once
}

// declaredWeights is a declaration and the time at which it was learned.
type declaredWeights struct {
	port.ModelWeights
	since time.Time
	// late is set if the declaration was found, not seen being made.
	late bool
}

func newView(s Settings, f port.ItemDecoder, c port.Clock, l *logging.Logger) *view {
	return &view{
		set: s, facts: f, clock: c, log: l,
		members: enroll.Members{}, declaredNews: make(chan struct{}, 1), listed: make(chan struct{}),
	}
}

// peers returns the loaders of the same service, which fetch the same
// versions.
func (v *view) peers() []chain.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []chain.Member
	for _, m := range v.members {
		if m.Kind == fleet.KindAgent.String() && m.Service == v.set.Service {
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

func (v *view) applyOperator(e follow.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	for _, c := range e.Changes {
		if c.Removed {
			continue
		}
		fact, err := v.facts.Decode(c.StoreItem)
		if err != nil {
			v.log.Fault("operator's item can't be read", err, logging.F("key", c.Key), logging.F("revision", c.Revision))
			continue
		}
		switch f := fact.(type) {
		case port.ConfigItem:
			if v.config == nil || f.Config.Version >= v.config.Version {
				v.config = routes.Compile(f.Config)
			}
		case port.WeightsItem:
			v.declare(declaredWeights{port.ModelWeights(f), now, e.Reset}, c.Revision)
		}
	}
	signal(v.declaredNews)
}

func (v *view) declare(d declaredWeights, revision int64) {
	for _, old := range v.declared {
		if old.Model == d.Model && old.Number >= d.Number {
			return
		}
	}
	const kept = 8 // more than are declared within the bound of one
	v.declared = append(v.declared, d)
	v.declared = v.declared[max(0, len(v.declared)-kept):]
	v.log.State("weights declared", logging.F("model", string(d.Model)), logging.F("number", d.Number), logging.F("revision", revision))
}

func (v *view) applyMembers(e follow.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members.Apply(e, v.facts, v.log)
	_, v.senders = v.members.Gateways(v.set.ID)
	v.readFrom = v.members.Readers(v.set.member())
	v.once.Do(func() { close(v.listed) })
	signal(v.declaredNews)
}

// gateways returns the addresses that take load reports.
func (v *view) gateways() []netip.AddrPort {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.senders
}

// readers returns the gateways to ask for changes of the store.
func (v *view) readers() []feed.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readFrom
}

// service returns the service of the engine, or nil before it is known.
func (v *view) service() *routes.Service {
	if v.config == nil {
		return nil
	}
	s, _ := v.config.Service(v.set.Service)
	return s
}

// places returns the places of the engine, or 0 before they are known.
func (v *view) places() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.service(); s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}

// goal is what an engine has to hold.
type goal struct {
	port.ModelWeights
	// since is the time of the oldest declaration above the weights held.
	since time.Time
	// staged means that the chunks may lie in the engine's area: it holds them, or
	// has started again.
	staged bool
	// fresh means that the newest declaration was seen being made.
	fresh bool
	// now means that the engine must not wait for its turn.
	now bool
	// rank is the engine's turn among count.
	rank, count int
	fenced      bool
}

// firstNumber is the number of the weights before any declaration.
const firstNumber = 1

// goal returns what an engine that holds the given weights has to hold. It
// returns false before a configuration is known.
func (v *view) goal(held port.ModelWeights) (goal, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service()
	if s == nil || s.Engine == nil || len(s.Engine.Models) == 0 {
		return goal{}, false
	}
	g := goal{ModelWeights: port.ModelWeights{Model: s.Engine.Models[0], Number: firstNumber}, now: held.Number == 0, fenced: s.Engine.Fenced}
	for _, d := range v.declared {
		if d.Model != g.Model {
			continue
		}
		if d.Number > held.Number && g.since.IsZero() {
			g.since = d.since
			g.now = g.now || d.late
		}
		if d.Number > g.Number {
			g.Number, g.fresh = d.Number, !d.late
		}
	}
	g.staged = held.Number == 0 || held.Number == g.Number
	g.rank, g.count = v.turn(g.Number)
	return g, true
}

// turn returns the rank of this loader among those of the service. Failure
// domains take turns, so that no domain loses all its engines at a time.
func (v *view) turn(number int64) (rank, count int) {
	byDomain := map[fleet.Domain][]string{}
	for _, m := range v.members {
		if m.Kind == fleet.KindAgent.String() && m.Service == v.set.Service {
			byDomain[m.Domain] = append(byDomain[m.Domain], m.ID)
			count++
		}
	}
	mine := byDomain[v.set.Domain]
	slices.Sort(mine)
	at := max(0, slices.Index(mine, v.set.ID))
	at = (at + int(number)) % max(1, len(mine))
	for d, ids := range byDomain {
		if d < v.set.Domain {
			rank += min(len(ids), at+1)
		} else {
			rank += min(len(ids), at)
		}
	}
	return rank, max(count, 1)
}

// originService returns the service of the origin, or an empty one.
func (v *view) originService() routes.Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return routes.Service{}
	}
	for _, s := range v.config.Services {
		if s.Origin != "" {
			return s
		}
	}
	return routes.Service{}
}

func (v *view) originRate() int64 { return v.originService().OriginBytesPerSecond }

// namedOrigin gives package chunks, which knows versions by their digest, the
// versions of an origin that numbers them.
type namedOrigin struct {
	view *view
	open func(fleet.Address) port.NumberedOrigin

	mu     sync.Mutex // guards the following
	client port.NumberedOrigin
	addr   fleet.Address
	names  []namedVersion
	lost   bool
}

type namedVersion struct {
	port.ModelWeights
	id  fleet.Version
	man manifest.Manifest
}

var _ port.Origin = (*namedOrigin)(nil)

var errNoOrigin = errors.New("no origin is configured")

func (o *namedOrigin) get() (port.NumberedOrigin, error) {
	addr := o.view.originService().Origin
	if addr == "" {
		return nil, errNoOrigin
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.client == nil || o.addr != addr {
		o.client, o.addr = o.open(addr), addr
	}
	return o.client, nil
}

// versionName is what loaders call numbered weights before they know the digest.
func versionName(w port.ModelWeights) fleet.Version {
	return fleet.Version(fmt.Sprintf("%s@%d", w.Model, w.Number))
}

// resolve returns the manifest of numbered weights. The origin may spoil an answer, so two answers have to agree.
func (o *namedOrigin) resolve(ctx context.Context, w port.ModelWeights) (manifest.Manifest, error) {
	c, err := o.get()
	if err != nil {
		return manifest.Manifest{}, err
	}
	seen := map[fleet.Version]bool{}
	const tries = 4 // one spoilt answer in 25 leaves two that agree among these
	for range tries {
		man, e := c.Manifest(ctx, w)
		o.note(ctx, e)
		if errors.Is(e, port.ErrVersionUnknown) {
			return manifest.Manifest{}, e
		}
		if e != nil {
			err = e
			continue
		}
		id := man.Version()
		if man.Validate(id) == nil && seen[id] {
			return man, nil
		}
		seen[id] = true
	}
	if err == nil {
		err = errors.New("manifests of the origin differ")
	}
	return manifest.Manifest{}, err
}

func (o *namedOrigin) remember(n namedVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	const kept = 4 // more than are fetched at a time
	o.names = append(o.names, n)
	o.names = o.names[max(0, len(o.names)-kept):]
}

func (o *namedOrigin) named(id fleet.Version) (namedVersion, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range o.names {
		if n.id == id {
			return n, nil
		}
	}
	return namedVersion{}, port.ErrVersionUnknown
}

// newest returns the newest complete version of a model above a number.
func (o *namedOrigin) newest(m fleet.Model, above int64, complete func(fleet.Version) bool) (namedVersion, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var best namedVersion
	for _, n := range o.names {
		if n.Model == m && n.Number > max(above, best.Number) && complete(n.id) {
			best = n
		}
	}
	return best, best.Number > 0
}

// Manifest implements port.Origin.
func (o *namedOrigin) Manifest(_ context.Context, id fleet.Version) (manifest.Manifest, error) {
	n, err := o.named(id)
	return n.man, err
}

// Chunk implements port.Origin.
func (o *namedOrigin) Chunk(ctx context.Context, id fleet.Version, i int) (io.ReadCloser, error) {
	n, err := o.named(id)
	if err != nil {
		return nil, err
	}
	c, err := o.get()
	if err != nil {
		return nil, err
	}
	rc, err := c.Chunk(ctx, n.ModelWeights, i)
	o.note(ctx, err)
	return rc, err
}

// note logs when the origin stops to answer, and when it answers again.
func (o *namedOrigin) note(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	failed := err != nil && !errors.Is(err, port.ErrVersionUnknown)
	o.mu.Lock()
	changed := failed != o.lost
	o.lost = failed
	o.mu.Unlock()
	switch {
	case changed && failed:
		o.view.log.Fault("lost the origin", err)
	case changed:
		o.view.log.State("regained the origin")
	}
}

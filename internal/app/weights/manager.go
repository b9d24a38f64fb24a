// Package weights keeps the wanted versions of model weights in the memory of
// an agent. It fetches chunks from other agents and from the origin, verifies
// them, and serves them to other agents.
package weights

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/ratelimit"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/spread"
	"github.com/masticwing/masticwing/internal/port"
)

// Values of port.Progress.State.
const (
	StateIdle     = "idle"
	StateManifest = "manifest"
	StateFetching = "fetching"
	StateComplete = "complete"
)

// Settings holds the configuration of a Manager.
type Settings struct {
	VM     fleet.VM
	Region fleet.Region
	// OriginRegion is the region of the origin, or empty if fetches from the origin
	// use no other region's link than that of the region that fetches.
	OriginRegion fleet.Region
	// InRate and OutRate limit the use of the link in bytes per second; 0 means no
	// limit.
	InRate, OutRate int64
	// Memory limits the bytes of all versions together; 0 means no limit.
	Memory int64
	// Limits bounds the fetches in flight for one version.
	Limits spread.Limits
}

func (s Settings) withDefaults() Settings {
	if s.Limits == (spread.Limits{}) {
		s.Limits = spread.Limits{Total: 6, PerPeer: 2, External: 2}
	}
	return s
}

// Deps are the ports that a Manager uses.
type Deps struct {
	Directory port.Directory
	Peers     port.PeerClient
	Origin    port.Origin
	Clock     port.Clock
	Rand      port.Rand
	Metrics   port.Metrics
	Log       port.Log
}

// Manager implements port.Weights and port.PeerHandler.
type Manager struct {
	settings    Settings
	deps        Deps
	link        ratelimit.Link
	uploadSlots *spread.UploadSlots
	versions    *shard.Map[fleet.Version, *version]
	counters    counters
	changed     chan struct{} // returned by Changed
	wake        chan struct{} // receives after Want or an eviction

	mu           sync.Mutex // guards wanted
	wanted       []port.WantedVersion
	memoryBudget memoryBudget
}

var (
	_ port.Weights     = (*Manager)(nil)
	_ port.PeerHandler = (*Manager)(nil)
)

// New returns a manager that holds nothing. It fetches only while Run runs.
func New(s Settings, d Deps) *Manager {
	m := &Manager{
		settings:    s.withDefaults(),
		deps:        d,
		link:        ratelimit.NewLink(s.InRate, s.OutRate, d.Clock.Now()),
		uploadSlots: spread.NewUploadSlots(spread.MaxUploads),
		versions:    shard.New[fleet.Version, *version](0),
		changed:     make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
	}
	m.counters.metrics = d.Metrics
	m.memoryBudget.init(s.Memory)
	return m
}

// Run fetches the versions given to Want until ctx ends. It must be called only
// once.
func (m *Manager) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		m.reconcile(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
	}
}

// Want implements port.Weights.
func (m *Manager) Want(versions []port.WantedVersion) {
	m.mu.Lock()
	m.wanted = slices.Clone(versions)
	m.mu.Unlock()
	signal(m.wake)
}

func (m *Manager) wantedVersions() []port.WantedVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wanted
}

// reconcile starts wanted versions and releases all others. Only Run may call it.
func (m *Manager) reconcile(ctx context.Context, wg *conc.WaitGroup) {
	wantedVersions := m.wantedVersions()
	keep := map[fleet.Version]bool{}
	for _, t := range wantedVersions {
		keep[t.Version] = true
	}
	var unwanted []*version
	m.versions.Range(func(id fleet.Version, v *version) bool {
		if !keep[id] {
			unwanted = append(unwanted, v)
		}
		return true
	})
	for _, v := range unwanted {
		m.versions.Delete(v.id)
		v.release()
	}
	for _, t := range wantedVersions {
		if _, ok := m.versions.Get(t.Version); ok || t.Version == "" {
			continue
		}
		v := newVersion(ctx, m, t)
		m.versions.Put(t.Version, v)
		wg.Go(v.run)
	}
	if len(unwanted) > 0 {
		signal(m.changed)
	}
}

// Open implements port.Weights.
func (m *Manager) Open(id fleet.Version) (io.Reader, int64, bool) {
	v, ok := m.versions.Get(id)
	if !ok {
		return nil, 0, false
	}
	return v.open()
}

// Progress implements port.Weights.
func (m *Manager) Progress() port.Progress {
	p := port.Progress{State: StateIdle}
	for i, t := range m.wantedVersions() {
		current := port.Progress{Target: t.Version, State: StateManifest}
		if v, ok := m.versions.Get(t.Version); ok {
			current = v.progress()
		}
		if i == 0 || current.State != StateComplete {
			p = current
		}
		if current.State != StateComplete {
			break
		}
	}
	p.BytesFromOrigin = m.counters.origin.Load()
	p.BytesFromPeers = m.counters.sameRegion.Load() + m.counters.otherRegion.Load()
	p.BytesToPeers = m.counters.toPeers.Load()
	return p
}

// Changed implements port.Weights.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

// ChargeLiveTraffic implements port.Weights.
func (m *Manager) ChargeLiveTraffic(in, out int) {
	now := m.deps.Clock.Now()
	m.link.In.Charge(now, in)
	m.link.Out.Charge(now, out)
}

// rand has the signature of spread.Rand.
func (m *Manager) rand(n int) int { return m.deps.Rand.IntN(n) }

// sleep waits for d or the end of ctx.
func (m *Manager) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-m.deps.Clock.After(d):
		return nil
	}
}

// signal wakes the receiver of a channel that buffers one value.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

package weights

import (
	"slices"
	"sync"

	"github.com/masticwing/masticwing/internal/port"
)

// memory is the budget for chunks. A version takes its whole size before its
// first fetch, so that fetches in progress are covered. Its lock covers all
// fields.
type memory struct {
	mu    sync.Mutex
	limit int64
	used  int64
	freed chan struct{} // closed and replaced when memory is returned
}

func (b *memory) init(limit int64) { b.limit, b.freed = limit, make(chan struct{}) }

// changes returns a channel that is closed once memory is returned.
func (b *memory) changes() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// take reserves n bytes and reports whether they fit.
func (b *memory) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// fits reports whether n bytes fit into an empty budget.
func (b *memory) fits(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit <= 0 || n <= b.limit
}

func (b *memory) put(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

// split returns the wanted versions that are more and less important than v.
func (m *Manager) split(v *version) (better, worse []*version) {
	ts := m.targets()
	at := slices.IndexFunc(ts, func(t port.WantedVersion) bool { return t.Version == v.id })
	for i, t := range ts {
		o, ok := m.versions.Get(t.Version)
		switch {
		case !ok || at < 0 || i == at:
		case i < at:
			better = append(better, o)
		default:
			worse = append(worse, o)
		}
	}
	return better, worse
}

// betterWaits reports whether a more important version waits for memory.
func (m *Manager) betterWaits(v *version) bool {
	better, _ := m.split(v)
	return slices.ContainsFunc(better, func(o *version) bool { return o.waits.Load() })
}

// evictBelow releases one less important version that holds memory, so that v,
// which needs n bytes, can have it. Complete ones are kept for an engine that
// restarts and go only after all others: without that, v would wait forever
// where the limit has no room for two versions. A load in progress keeps the
// chunks that it reads. Run starts the released version again, which then
// waits for memory.
func (m *Manager) evictBelow(v *version, n int64) bool {
	if !m.memory.fits(n) {
		return false
	}
	_, worse := m.split(v)
	for _, complete := range []bool{false, true} {
		for _, o := range slices.Backward(worse) {
			if o.complete.Load() == complete && o.holdsMemory() {
				m.versions.Delete(o.id)
				o.release()
				signal(m.wake)
				return true
			}
		}
	}
	return false
}

func (v *version) holdsMemory() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.taken > 0
}

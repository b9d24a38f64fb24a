package weights

import (
	"slices"
	"sync"

	"github.com/masticwing/masticwing/internal/port"
)

// memoryBudget limits the memory for chunks. A version reserves its whole size
// before its first fetch, so that fetches in flight are covered. mu guards all
// fields.
type memoryBudget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	freed chan struct{} // closed and replaced when memory is freed
}

func (b *memoryBudget) init(limit int64) { b.limit, b.freed = limit, make(chan struct{}) }

// freedSignal returns a channel that is closed when memory is next freed.
func (b *memoryBudget) freedSignal() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// reserve reserves n bytes if they fit, and reports whether they do.
func (b *memoryBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// fits reports whether n bytes fit into an empty budget.
func (b *memoryBudget) fits(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit <= 0 || n <= b.limit
}

// free returns n reserved bytes to the budget.
func (b *memoryBudget) free(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	close(b.freed)
	b.freed = make(chan struct{})
}

// splitByPriority returns the wanted versions with a higher and a lower priority
// than v.
func (m *Manager) splitByPriority(v *version) (higher, lower []*version) {
	wanted := m.wantedVersions()
	at := slices.IndexFunc(wanted, func(t port.WantedVersion) bool { return t.Version == v.id })
	for i, t := range wanted {
		o, ok := m.versions.Get(t.Version)
		switch {
		case !ok || at < 0 || i == at:
		case i < at:
			higher = append(higher, o)
		default:
			lower = append(lower, o)
		}
	}
	return higher, lower
}

// higherPriorityWaits reports whether a version of a higher priority waits for memory.
func (m *Manager) higherPriorityWaits(v *version) bool {
	higher, _ := m.splitByPriority(v)
	return slices.ContainsFunc(higher, func(o *version) bool { return o.waitsForMemory.Load() })
}

// evictLower releases one version of a lower priority to free memory for v, which
// needs n bytes. Complete versions are kept for engines that restart and are
// evicted only after all incomplete ones. They have to be evicted too, since v
// would otherwise wait forever if two versions do not fit into the limit. A load
// in progress keeps the chunks that it reads. Run starts the released version
// again, which then waits for memory.
func (m *Manager) evictLower(v *version, n int64) bool {
	if !m.memoryBudget.fits(n) {
		return false
	}
	_, lower := m.splitByPriority(v)
	for _, complete := range []bool{false, true} {
		for _, o := range slices.Backward(lower) {
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
	return v.reserved > 0
}

package weights

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/spread"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// stillAfter is the time without a new chunk after which progress carries
	// a reason.
	stillAfter = time.Second
	// resortAfter is the time without a new chunk after which peers that sent
	// a corrupted chunk are asked again.
	resortAfter = 250 * time.Millisecond
	// recheck bounds the time until the dispatcher looks at expired penalties
	// and at its peers again when nothing wakes it.
	recheck = 50 * time.Millisecond
	// replanAfter collects changes of the directory before neighbours change.
	replanAfter = 100 * time.Millisecond
	// replanEvery replaces neighbours that are avoided.
	replanEvery = time.Second
)

// body is what exists of a version once its manifest is known. Its parts have
// their own locks.
type body struct {
	man    manifest.Manifest
	size   int64
	table  *spread.Table
	chunks *shard.Map[int, []byte]
	credit *spread.UploadCredit
}

// version is one wanted version on its way to completion and after it.
type version struct {
	m      *Manager
	id     fleet.Version
	model  fleet.Model
	ctx    context.Context
	cancel context.CancelFunc

	body     atomic.Pointer[body]
	complete atomic.Bool
	waits    atomic.Bool // for memory
	plan     atomic.Pointer[spread.Plan]
	watchers *shard.Map[uint64, *watcher]
	watched  *shard.Map[fleet.VM, spread.Member]
	nextID   atomic.Uint64
	allow    spread.OriginQuota
	wake     chan struct{}
	replan   chan struct{}

	mu       sync.Mutex // guards the following
	reason   string
	lastGain time.Time
	taken    int64 // bytes taken from the memory budget
}

func newVersion(ctx context.Context, m *Manager, t port.WeightsTarget) *version {
	v := &version{
		m:        m,
		id:       t.Version,
		model:    t.Model,
		watchers: shard.New[uint64, *watcher](4),
		watched:  shard.New[fleet.VM, spread.Member](4),
		wake:     make(chan struct{}, 1),
		replan:   make(chan struct{}, 1),
		lastGain: m.deps.Clock.Now(),
	}
	v.ctx, v.cancel = context.WithCancel(ctx)
	return v
}

// release ends the transfers and returns the memory.
func (v *version) release() {
	v.cancel()
	v.mu.Lock()
	n := v.taken
	v.taken = 0
	v.mu.Unlock()
	if n > 0 {
		v.m.memory.put(n)
	}
}

// run brings the version to completion. It returns then, or when the version
// is released.
func (v *version) run() {
	man, ok := v.findManifest()
	if !ok || !v.takeMemory(man.Bytes()) {
		return
	}
	now := v.m.deps.Clock.Now()
	b := &body{
		man: man, size: man.Bytes(), table: spread.NewTable(len(man.Chunks)),
		chunks: shard.New[int, []byte](0), credit: spread.NewUploadCredit(man.Bytes(), now),
	}
	v.body.Store(b)
	signal(v.m.changed)
	ctx, cancel := context.WithCancel(v.ctx)
	var wg conc.WaitGroup
	wg.Go(func() { v.keepPeers(ctx, b) })
	v.dispatch(ctx, b)
	cancel()
	wg.Wait()
}

// takeMemory waits until the version fits into the memory budget. Less
// important versions give way to it, complete ones last.
func (v *version) takeMemory(n int64) bool {
	v.waits.Store(true)
	defer v.waits.Store(false)
	for {
		freed := v.m.memory.changes()
		if !v.m.betterWaits(v) && v.m.memory.take(n) {
			return v.keepMemory(n)
		}
		v.setReason(fmt.Sprintf("memory limit: %d bytes do not fit", n))
		if v.m.evictBelow(v, n) {
			continue
		}
		select {
		case <-v.ctx.Done():
			return false
		case <-freed:
		}
	}
}

// keepMemory records the reservation. A release that came first returns it.
func (v *version) keepMemory(n int64) bool {
	v.mu.Lock()
	v.taken = n
	v.mu.Unlock()
	v.setReason("")
	if v.ctx.Err() != nil {
		v.release()
		return false
	}
	return true
}

func (v *version) setReason(r string) {
	v.mu.Lock()
	old := v.reason
	v.reason = r
	v.mu.Unlock()
	if old != r {
		signal(v.m.changed)
	}
}

func (v *version) gained(now time.Time) {
	v.mu.Lock()
	v.lastGain = now
	v.mu.Unlock()
}

// still returns the time since the last new chunk.
func (v *version) still(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.lastGain)
}

// store keeps a verified chunk and announces it. It reports whether the chunk
// was missing.
func (v *version) store(b *body, i int, data []byte) bool {
	b.chunks.Put(i, data)
	if !b.table.MarkHeld(i) {
		return false
	}
	v.gained(v.m.deps.Clock.Now())
	v.watchers.Range(func(_ uint64, w *watcher) bool {
		w.pending = append(w.pending, i)
		signal(w.wake)
		return true
	})
	return true
}

func (v *version) progress() port.Progress {
	v.mu.Lock()
	p := port.Progress{Target: v.id, State: StateManifest, Reason: v.reason}
	v.mu.Unlock()
	b := v.body.Load()
	if b == nil {
		return p
	}
	p.State = StateFetching
	p.Chunks, p.ChunksHave, p.BytesTotal = len(b.man.Chunks), b.table.HeldCount(), b.size
	if v.complete.Load() {
		p.State, p.Reason = StateComplete, ""
	}
	return p
}

// open returns a reader over all chunks of a complete version.
func (v *version) open() (io.Reader, int64, bool) {
	b := v.body.Load()
	if b == nil || !v.complete.Load() {
		return nil, 0, false
	}
	rs := make([]io.Reader, 0, len(b.man.Chunks))
	for i := range b.man.Chunks {
		data, _ := b.chunks.Get(i)
		rs = append(rs, bytes.NewReader(data))
	}
	return io.MultiReader(rs...), b.size, true
}

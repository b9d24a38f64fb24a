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
	// reasonAfter is the time without a new chunk after which the progress states
	// a reason.
	reasonAfter = time.Second
	// lastResortAfter is the time without a new chunk after which peers that sent a
	// corrupted chunk are asked again.
	lastResortAfter = 250 * time.Millisecond
	// recheckInterval bounds the time until dispatch notices without a wake-up that
	// a peer is no longer avoided, or has become unreachable.
	recheckInterval = 50 * time.Millisecond
	// replanDelay batches changes of the directory into one new plan.
	replanDelay = 100 * time.Millisecond
	// replanInterval is the longest time between two plans. A new plan replaces
	// neighbours that are avoided.
	replanInterval = time.Second
)

// chunkState is the part of a version that exists once its manifest is known. Its
// fields have their own locks or do not change.
type chunkState struct {
	man          manifest.Manifest
	size         int64
	table        *spread.Table
	chunks       *shard.Map[int, []byte]
	uploadCredit *spread.UploadCredit
}

// version is one wanted version, complete or not.
type version struct {
	m      *Manager
	id     fleet.Version
	model  fleet.Model
	ctx    context.Context
	cancel context.CancelFunc

	chunkState     atomic.Pointer[chunkState]
	complete       atomic.Bool
	waitsForMemory atomic.Bool
	plan           atomic.Pointer[spread.Plan]
	watchers       *shard.Map[uint64, *watcher]
	watchedPeers   *shard.Map[fleet.VM, spread.Member]
	nextWatcherID  atomic.Uint64
	originQuota    spread.OriginQuota
	wake           chan struct{} // receives when dispatch may have a fetch to start
	replan         chan struct{} // receives when the plan should be updated

	mu          sync.Mutex // guards the following
	reason      string
	lastChunkAt time.Time
	reserved    int64 // bytes reserved in the memory budget
}

func newVersion(ctx context.Context, m *Manager, t port.WantedVersion) *version {
	v := &version{
		m:            m,
		id:           t.Version,
		model:        t.Model,
		watchers:     shard.New[uint64, *watcher](4),
		watchedPeers: shard.New[fleet.VM, spread.Member](4),
		wake:         make(chan struct{}, 1),
		replan:       make(chan struct{}, 1),
		lastChunkAt:  m.deps.Clock.Now(),
	}
	v.ctx, v.cancel = context.WithCancel(ctx)
	return v
}

// release ends the transfers and frees the reserved memory.
func (v *version) release() {
	v.cancel()
	v.mu.Lock()
	n := v.reserved
	v.reserved = 0
	v.mu.Unlock()
	if n > 0 {
		v.m.memoryBudget.free(n)
	}
}

// run fetches the version. It returns when the version is complete or released.
func (v *version) run() {
	man, ok := v.findManifest()
	if !ok || !v.reserveMemory(man.Bytes()) {
		return
	}
	now := v.m.deps.Clock.Now()
	cs := &chunkState{
		man: man, size: man.Bytes(), table: spread.NewTable(len(man.Chunks)),
		chunks: shard.New[int, []byte](0), uploadCredit: spread.NewUploadCredit(man.Bytes(), now),
	}
	v.chunkState.Store(cs)
	signal(v.m.changed)
	ctx, cancel := context.WithCancel(v.ctx)
	var wg conc.WaitGroup
	wg.Go(func() { v.maintainPeers(ctx, cs) })
	v.dispatch(ctx, cs)
	cancel()
	wg.Wait()
}

// reserveMemory waits until n bytes fit into the memory budget and reserves them. It
// evicts versions of a lower priority, complete ones last. It returns false if the
// version is released first.
func (v *version) reserveMemory(n int64) bool {
	v.waitsForMemory.Store(true)
	defer v.waitsForMemory.Store(false)
	for {
		freed := v.m.memoryBudget.freedSignal()
		if !v.m.higherPriorityWaits(v) && v.m.memoryBudget.reserve(n) {
			return v.recordReservation(n)
		}
		v.setReason(fmt.Sprintf("memory limit: %d bytes do not fit", n))
		if v.m.evictLower(v, n) {
			continue
		}
		select {
		case <-v.ctx.Done():
			return false
		case <-freed:
		}
	}
}

// recordReservation records the reserved bytes for release. If release was called
// before that, it frees them and returns false.
func (v *version) recordReservation(n int64) bool {
	v.mu.Lock()
	v.reserved = n
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

func (v *version) recordNewChunk(now time.Time) {
	v.mu.Lock()
	v.lastChunkAt = now
	v.mu.Unlock()
}

// sinceNewChunk returns the time since the last new chunk.
func (v *version) sinceNewChunk(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.lastChunkAt)
}

// store stores a verified chunk and announces it to the watchers. It reports
// whether the chunk was missing.
func (v *version) store(cs *chunkState, i int, data []byte) bool {
	cs.chunks.Put(i, data)
	if !cs.table.MarkHeld(i) {
		return false
	}
	v.recordNewChunk(v.m.deps.Clock.Now())
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
	cs := v.chunkState.Load()
	if cs == nil {
		return p
	}
	p.State = StateFetching
	p.Chunks, p.ChunksHave, p.BytesTotal = len(cs.man.Chunks), cs.table.HeldCount(), cs.size
	if v.complete.Load() {
		p.State, p.Reason = StateComplete, ""
	}
	return p
}

// open returns a reader over all chunks of a complete version and their size.
func (v *version) open() (io.Reader, int64, bool) {
	cs := v.chunkState.Load()
	if cs == nil || !v.complete.Load() {
		return nil, 0, false
	}
	readers := make([]io.Reader, 0, len(cs.man.Chunks))
	for i := range cs.man.Chunks {
		data, _ := cs.chunks.Get(i)
		readers = append(readers, bytes.NewReader(data))
	}
	return io.MultiReader(readers...), cs.size, true
}

package weights

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/spread"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// stallTime is the time without progress after which a transfer counts as
	// stalled. It is slightly below the heartbeat timeout of streams, so that a read
	// which that timeout ends is recognised as stalled.
	stallTime = 1900 * time.Millisecond
	// slotWait is how long a request waits for an upload slot before it is refused.
	// It must stay below the heartbeat timeout of streams.
	slotWait = 400 * time.Millisecond
	// maxWriteBytes bounds a write between two reservations of the link's rate
	// limit.
	maxWriteBytes = 16 << 10
	// heartbeatInterval is the longest time between two messages of a stream of
	// chunk announcements.
	heartbeatInterval = 500 * time.Millisecond
	// announceDelay is the time in which new chunks are batched into one message.
	// One message per chunk and neighbour would cost an agent more CPU time than
	// the chunks themselves.
	announceDelay = 50 * time.Millisecond
)

// watcher is a peer that receives announcements of the chunks of a version. pending
// holds chunks that are not announced yet; the lock of the watcher's shard guards it.
type watcher struct {
	pending []int
	wake    chan struct{}
}

// Manifest implements port.PeerHandler.
func (m *Manager) Manifest(id fleet.Version) (manifest.Manifest, bool) {
	v, ok := m.versions.Get(id)
	if !ok {
		return manifest.Manifest{}, false
	}
	cs := v.chunkState.Load()
	if cs == nil {
		return manifest.Manifest{}, false
	}
	return cs.man, true
}

// errNotHeld is returned to a peer that watches a version that this agent does not
// hold or fetch.
var errNotHeld = errors.New("version is not held")

// WatchChunks implements port.PeerHandler.
func (m *Manager) WatchChunks(
	ctx context.Context, id fleet.Version, _ fleet.VM, send func(port.ChunkUpdate) error,
) error {
	v, ok := m.versions.Get(id)
	if !ok {
		return errNotHeld
	}
	w := &watcher{wake: make(chan struct{}, 1)}
	key := v.nextWatcherID.Add(1)
	v.watchers.Put(key, w)
	defer v.watchers.Delete(key)
	if err := send(port.ChunkUpdate{Bitmap: v.bitmap(), Heartbeat: v.chunkState.Load() == nil}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.ctx.Done():
			return errNotHeld
		case <-w.wake:
			if err := m.sleep(ctx, announceDelay); err != nil {
				return err
			}
		case <-m.deps.Clock.After(heartbeatInterval):
		}
		u := port.ChunkUpdate{Added: v.takePending(key)}
		u.Heartbeat = len(u.Added) == 0
		if err := send(u); err != nil {
			return err
		}
	}
}

// takePending returns the chunks to announce to a watcher and clears them.
func (v *version) takePending(key uint64) []int {
	var out []int
	v.watchers.Update(key, func(w *watcher, ok bool) (*watcher, bool) {
		if ok {
			out, w.pending = w.pending, nil
		}
		return w, ok
	})
	return out
}

// bitmap returns the chunks held, one bit per chunk, or nil without a manifest.
func (v *version) bitmap() []byte {
	cs := v.chunkState.Load()
	if cs == nil {
		return nil
	}
	out := make([]byte, (len(cs.man.Chunks)+7)/8)
	cs.chunks.Range(func(i int, _ []byte) bool {
		out[i/8] |= 1 << (i % 8)
		return true
	})
	return out
}

// SendChunk implements port.PeerHandler.
func (m *Manager) SendChunk(ctx context.Context, r port.ChunkRequest, w io.Writer) error {
	v, ok := m.versions.Get(r.Version)
	if !ok {
		return port.ErrChunkMissing
	}
	cs := v.chunkState.Load()
	if cs == nil {
		return port.ErrChunkMissing
	}
	data, ok := cs.chunks.Get(r.Index)
	if !ok {
		return port.ErrChunkMissing
	}
	size := int64(len(data))
	if !cs.uploadCredit.Allow(r.Index, size, m.deps.Clock.Now()) {
		return port.ErrPeerBusy
	}
	t, err := m.acquireSlot(ctx, r.From)
	if err != nil {
		cs.uploadCredit.Refund(r.Index, size)
		return err
	}
	s := &upload{m: m, ticket: t, bytes: size}
	defer s.release()
	return s.send(ctx, data, w, r.FromRegion == m.settings.Region)
}

// acquireSlot waits up to slotWait for an upload slot.
func (m *Manager) acquireSlot(ctx context.Context, from fleet.VM) (*spread.Ticket, error) {
	t := m.uploadSlots.Request(from)
	if t == nil {
		return nil, port.ErrPeerBusy
	}
	err := error(port.ErrPeerBusy)
	select {
	case <-t.Granted:
		return t, nil
	case <-m.deps.Clock.After(slotWait):
	case <-ctx.Done():
		err = ctx.Err()
	}
	if m.uploadSlots.Cancel(t) {
		return nil, err
	}
	return t, nil
}

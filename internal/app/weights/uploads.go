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
	// stalled. It is a little below the silence timeout of streams, so that
	// the cause of an abandoned read is recognised.
	stallTime = 1900 * time.Millisecond
	// slotWait is how long a request waits for an upload slot before it is
	// refused. It stays below the silence timeout.
	slotWait = 400 * time.Millisecond
	// writeBytes is the most that is written before the link's budget is
	// consulted again.
	writeBytes = 16 << 10
	// heartbeat is the longest silence of a chunk stream.
	heartbeat = 500 * time.Millisecond
	// announceEvery collects chunks for one message. A message per chunk and
	// neighbour costs an agent more CPU time than the chunks themselves.
	announceEvery = 50 * time.Millisecond
)

// watcher is a peer that follows the chunks of a version. pending is guarded by
// the lock of its shard.
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
	b := v.body.Load()
	if b == nil {
		return manifest.Manifest{}, false
	}
	return b.man, true
}

// errNotHeld is returned to a peer that watches a version that this agent does
// not want.
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
	key := v.nextID.Add(1)
	v.watchers.Put(key, w)
	defer v.watchers.Delete(key)
	if err := send(port.ChunkUpdate{Bitmap: v.bitmap(), Heartbeat: v.body.Load() == nil}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.ctx.Done():
			return errNotHeld
		case <-w.wake:
			if err := m.sleep(ctx, announceEvery); err != nil {
				return err
			}
		case <-m.deps.Clock.After(heartbeat):
		}
		u := port.ChunkUpdate{Added: v.takePending(key)}
		u.Heartbeat = len(u.Added) == 0
		if err := send(u); err != nil {
			return err
		}
	}
}

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

func (v *version) bitmap() []byte {
	b := v.body.Load()
	if b == nil {
		return nil
	}
	out := make([]byte, (len(b.man.Chunks)+7)/8)
	b.chunks.Range(func(i int, _ []byte) bool {
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
	b := v.body.Load()
	if b == nil {
		return port.ErrChunkMissing
	}
	data, ok := b.chunks.Get(r.Index)
	if !ok {
		return port.ErrChunkMissing
	}
	size := int64(len(data))
	if !b.credit.Allow(r.Index, size, m.deps.Clock.Now()) {
		return port.ErrPeerBusy
	}
	t, err := m.waitSlot(ctx, r.From)
	if err != nil {
		b.credit.Refund(r.Index, size)
		return err
	}
	s := &upload{m: m, ticket: t, bytes: size}
	defer s.release()
	return s.send(ctx, data, w, r.FromRegion == m.set.Region)
}

func (m *Manager) waitSlot(ctx context.Context, from fleet.VM) (*spread.Ticket, error) {
	t := m.slots.Request(from)
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
	if m.slots.Cancel(t) {
		return nil, err
	}
	return t, nil
}

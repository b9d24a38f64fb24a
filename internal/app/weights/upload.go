package weights

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/spread"
)

// upload is one chunk on its way to a peer.
type upload struct {
	m      *Manager
	ticket *spread.Ticket
	bytes  int64
	once   sync.Once
}

// release returns the slot once.
func (u *upload) release() { u.once.Do(func() { u.m.slots.Release(u.ticket, u.bytes) }) }

// send writes the chunk at the pace of the link. A receiver that stops reading
// loses its slot, because its connection may stay open for long.
func (u *upload) send(ctx context.Context, data []byte, w io.Writer, local bool) error {
	stalled := time.AfterFunc(time.Hour, u.release)
	defer stalled.Stop()
	for len(data) > 0 {
		n := min(len(data), writeBytes)
		stalled.Stop()
		if err := u.m.sleep(ctx, u.m.link.Out.Reserve(u.m.deps.Clock.Now(), n)); err != nil {
			return err
		}
		stalled.Reset(stallTime)
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		u.m.counters.toPeer(n, local)
		data = data[n:]
	}
	return nil
}

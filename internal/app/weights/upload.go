package weights

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/spread"
)

// upload sends one chunk to a peer.
type upload struct {
	m           *Manager
	ticket      *spread.Ticket
	bytes       int64
	releaseOnce sync.Once
}

// release releases the upload slot. Calls after the first one do nothing.
func (u *upload) release() { u.releaseOnce.Do(func() { u.m.uploadSlots.Release(u.ticket, u.bytes) }) }

// send writes the chunk at the rate of the link. If the receiver stops reading, the
// slot is released after stallTime, because the connection may stay open for long.
func (u *upload) send(ctx context.Context, data []byte, w io.Writer, local bool) error {
	stallTimer := time.AfterFunc(time.Hour, u.release)
	defer stallTimer.Stop()
	for len(data) > 0 {
		n := min(len(data), maxWriteBytes)
		stallTimer.Stop()
		if err := u.m.sleep(ctx, u.m.link.Out.Reserve(u.m.deps.Clock.Now(), n)); err != nil {
			return err
		}
		stallTimer.Reset(stallTime)
		if _, err := w.Write(data[:n]); err != nil {
			return err
		}
		u.m.counters.addToPeer(n, local)
		data = data[n:]
	}
	return nil
}

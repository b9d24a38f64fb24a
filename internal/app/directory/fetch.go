package directory

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// fetchQueueSize bounds the queued requests for declarations. A request that
	// finds the queue full is dropped; a later exchange requests it again.
	fetchQueueSize = 16
	// fetchWorkers bounds the concurrent fetches. The second worker continues
	// while the first waits for an unresponsive process.
	fetchWorkers = 2
	// fetchHedgeDelay is the time after which a declaration that is already being
	// fetched is also requested from another process.
	fetchHedgeDelay = 300 * time.Millisecond
)

// fetchRequest names a process that has a newer revision.
type fetchRequest struct {
	addr fleet.Address
	rev  uint64
}

// enqueueFetch adds req to the queue, or drops it if the queue is full.
func (d *Directory) enqueueFetch(req fetchRequest) {
	select {
	case d.fetchQueue <- req:
	default:
	}
}

func (d *Directory) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-d.fetchQueue:
			d.fetch(ctx, req)
		}
	}
}

// fetch gets a newer declaration, unless it has arrived from another process in
// the meantime. If the process does not respond, a later exchange triggers a fetch
// from another one.
func (d *Directory) fetch(ctx context.Context, req fetchRequest) {
	if req.rev <= d.rev.Revision() {
		return
	}
	first := false
	d.fetching.Update(req.rev, func(_ struct{}, ok bool) (struct{}, bool) {
		first = !ok
		return struct{}{}, true
	})
	if first {
		defer d.fetching.Delete(req.rev)
	} else if !d.sleep(ctx, fetchHedgeDelay) || req.rev <= d.rev.Revision() {
		return
	}
	began := d.deps.Clock.Now()
	doc, err := d.deps.Members.Declaration(ctx, req.addr)
	if err != nil {
		d.deps.Metrics.Count("directory_pulls_failed_total", 1)
		return
	}
	d.deps.Metrics.Count("directory_pulls_total", 1)
	// accept counts an invalid document; it is not forwarded.
	_, _ = d.accept(doc.Stored, d.ageSince(began, doc.Age))
}

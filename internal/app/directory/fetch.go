package directory

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// pullQueue bounds the processes that wait to be asked for a document. One
	// that finds the queue full is asked after a later exchange.
	fetchQueueSize = 16
	// pullWorkers bounds the documents fetched at the same time. The second
	// goes on while the first waits for a process that does not answer.
	fetchWorkers = 2
	// pullPatience is the time after which a document that is being fetched is
	// asked for elsewhere as well.
	fetchHedgeDelay = 300 * time.Millisecond
)

// pull names a process that holds a newer revision.
type fetchRequest struct {
	addr fleet.Address
	rev  uint64
}

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

// fetch gets a newer document, unless it arrives from elsewhere meanwhile. If
// the process does not answer, the next exchange asks another one.
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
	doc, err := d.deps.Members.Declaration(ctx, req.addr)
	if err != nil {
		d.deps.Metrics.Count("directory_pulls_failed_total", 1)
		return
	}
	d.deps.Metrics.Count("directory_pulls_total", 1)
	// A document that cannot be read is counted by accept and not passed on.
	_, _ = d.accept(doc.Stored, doc.Age)
}

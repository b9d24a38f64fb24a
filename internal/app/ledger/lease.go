package ledger

import (
	"time"

	"github.com/pkg/errors"

	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// leases holds one lease per bucket, shared by the documents of the bucket.
// A lease granted while a key of the bucket is acceptable outlives all keys of
// the bucket, so it is never extended.
type leases struct {
	l        *Ledger
	byBucket *shard.Map[core.Bucket, *grant]
}

// grant is one lease, asked for by the first document that needs it. The
// fields are set before ready is closed.
type grant struct {
	ready chan struct{}
	id    port.LeaseID
	err   error
}

func newLeases(l *Ledger) *leases {
	return &leases{l: l, byBucket: shard.New[core.Bucket, *grant](0)}
}

// get returns the lease of a bucket and asks the platform for it if needed.
func (s *leases) get(b core.Bucket) (port.LeaseID, error) {
	var g *grant
	first := false
	s.byBucket.Update(b, func(old *grant, ok bool) (*grant, bool) {
		if first = !ok; first {
			old = &grant{ready: make(chan struct{})}
		}
		g = old
		return g, true
	})
	if first {
		s.ask(b, g)
	}
	select {
	case <-g.ready:
		return g.id, g.err
	case <-s.l.ctx.Done():
		return port.NoLease, errors.Wrap(s.l.ctx.Err(), "waiting for a lease")
	}
}

// ask grants the lease. After a failure the next get asks again.
func (s *leases) ask(b core.Bucket, g *grant) {
	defer close(g.ready)
	if !s.l.sleep(s.l.pacer.Reserve(s.l.clock.Now())) {
		g.err = errors.New("ledger has ended")
		return
	}
	g.id, g.err = s.l.kv.Grant(s.l.ctx, s.l.opts.Window+core.RetentionMargin)
	if g.err != nil {
		s.drop(b, g)
	}
}

// forget makes the next get ask for a new lease.
func (s *leases) forget(b core.Bucket) { s.byBucket.Delete(b) }

func (s *leases) drop(b core.Bucket, g *grant) {
	s.byBucket.Update(b, func(cur *grant, ok bool) (*grant, bool) { return cur, ok && cur != g })
}

// sweep forgets the leases of buckets whose keys are all too old.
func (s *leases) sweep(now time.Time) {
	var old []core.Bucket
	s.byBucket.Range(func(b core.Bucket, _ *grant) bool {
		if b.Expired(now, s.l.opts.Window) {
			old = append(old, b)
		}
		return true
	})
	for _, b := range old {
		s.byBucket.Delete(b)
	}
}

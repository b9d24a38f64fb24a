package ledger

import (
	"time"

	"github.com/pkg/errors"

	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// leases holds one lease per bucket, shared by the documents of the bucket.
// A lease that is granted while a key of the bucket is accepted lasts until all
// keys of the bucket have expired, so no lease is renewed.
type leases struct {
	l        *Ledger
	byBucket *shard.Map[core.Bucket, *bucketLease]
}

// bucketLease is a lease that is requested by the first document that needs it.
// id and err are set before ready is closed.
type bucketLease struct {
	ready chan struct{}
	id    port.LeaseID
	err   error
}

func newLeases(l *Ledger) *leases {
	return &leases{l: l, byBucket: shard.New[core.Bucket, *bucketLease](0)}
}

// get returns the lease of a bucket. It requests one from the platform if there
// is none.
func (s *leases) get(b core.Bucket) (port.LeaseID, error) {
	var lease *bucketLease
	isNew := false
	s.byBucket.Update(b, func(existing *bucketLease, ok bool) (*bucketLease, bool) {
		if isNew = !ok; isNew {
			existing = &bucketLease{ready: make(chan struct{})}
		}
		lease = existing
		return lease, true
	})
	if isNew {
		s.request(b, lease)
	}
	select {
	case <-lease.ready:
		return lease.id, lease.err
	case <-s.l.ctx.Done():
		return port.NoLease, errors.Wrap(s.l.ctx.Err(), "waiting for a lease")
	}
}

// request requests the lease from the platform. After a failure, the next get
// requests it again.
func (s *leases) request(b core.Bucket, lease *bucketLease) {
	defer close(lease.ready)
	if !s.l.sleep(s.l.writeLimiter.Reserve(s.l.clock.Now())) {
		lease.err = errors.New("ledger was stopped")
		return
	}
	lease.id, lease.err = s.l.kv.Grant(s.l.ctx, s.l.opts.Window+core.RetentionMargin)
	if lease.err != nil {
		s.remove(b, lease)
	}
}

// forget makes the next get request a new lease.
func (s *leases) forget(b core.Bucket) { s.byBucket.Delete(b) }

// remove removes the lease unless another lease has replaced it.
func (s *leases) remove(b core.Bucket, lease *bucketLease) {
	s.byBucket.Update(b, func(cur *bucketLease, ok bool) (*bucketLease, bool) { return cur, ok && cur != lease })
}

// removeExpired removes the leases of buckets whose keys are all older than the
// window.
func (s *leases) removeExpired(now time.Time) {
	var expired []core.Bucket
	s.byBucket.Range(func(b core.Bucket, _ *bucketLease) bool {
		if b.Expired(now, s.l.opts.Window) {
			expired = append(expired, b)
		}
		return true
	})
	for _, b := range expired {
		s.byBucket.Delete(b)
	}
}

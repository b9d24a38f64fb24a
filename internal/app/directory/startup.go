package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Reasons returned by NotReadyReason.
var (
	reasonStarting      = "waiting for the platform and the seeds"
	reasonUnreachable   = "the platform does not answer and no reachable process holds a declaration"
	reasonNoDeclaration = "the platform holds no declaration yet"
	reasonReady         = ""
)

// startup tracks the responses of the platform and the seeds since the start.
type startup struct {
	ready  chan struct{}
	once   sync.Once
	reason atomic.Pointer[string]

	platformResponded atomic.Bool
	seedsResponded    atomic.Int32
	seedsQueried      atomic.Int32
}

// Ready returns a channel that is closed once the process is ready to serve.
func (d *Directory) Ready() <-chan struct{} { return d.start.ready }

// NotReadyReason returns why the process is not ready, or "".
func (d *Directory) NotReadyReason() string { return *d.start.reason.Load() }

// startLoop queries the platform and the seeds in parallel until the process is
// ready.
func (d *Directory) startLoop(ctx context.Context) {
	began := d.deps.Clock.Now()
	progress := make(chan struct{}, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { d.queryPlatform(ctx, progress) })
	for _, seed := range d.seedPartners() {
		wg.Go(func() { d.querySeed(ctx, seed.addr, progress) })
	}
	timeout := d.deps.Clock.After(d.cfg.StartTimeout)
	for !d.updateReadiness(d.deps.Clock.Now().Sub(began)) {
		select {
		case <-ctx.Done():
			return
		case <-progress:
		case <-d.declarationAccepted:
		case <-timeout:
		}
	}
	d.start.once.Do(func() { close(d.start.ready) })
	d.logState("ready")
	d.notify()
}

// updateReadiness reports whether the process is ready, and otherwise stores the
// reason. The process is ready if it knows a declaration and has heard from the
// platform and, if there are seeds, from one of them or a failure of each. After
// Config.StartTimeout any declaration is enough.
func (d *Directory) updateReadiness(elapsed time.Duration) bool {
	s := &d.start
	hasDeclaration := d.rev.Revision() > 0
	timedOut := elapsed >= d.cfg.StartTimeout
	seedsDone := s.seedsResponded.Load() > 0 || int(s.seedsQueried.Load()) == len(d.seedPartners())
	switch {
	case hasDeclaration && (timedOut || s.platformResponded.Load() && seedsDone):
		s.reason.Store(&reasonReady)
		return true
	case s.platformResponded.Load() && seedsDone:
		s.reason.Store(&reasonNoDeclaration)
	case timedOut:
		s.reason.Store(&reasonUnreachable)
	}
	return false
}

// queryPlatform reads the declaration's key until the platform responds or the
// process is ready with a declaration from another source.
func (d *Directory) queryPlatform(ctx context.Context, progress chan struct{}) {
	for {
		e, err := d.deps.KV.Get(ctx, d.cfg.Key)
		if err == nil {
			_, err = d.accept(e.Value, 0)
		}
		if err == nil || errors.Is(err, port.ErrNotFound) {
			d.start.platformResponded.Store(true)
			signal(progress)
			return
		}
		if !d.sleep(ctx, d.jitter(platformRetryDelay)) || d.NotReadyReason() == reasonReady {
			return
		}
	}
}

// querySeed joins through one seed and accepts its declaration.
func (d *Directory) querySeed(ctx context.Context, a fleet.Address, progress chan struct{}) {
	if d.exchange(ctx, partner{addr: a}, withComparison) {
		doc, err := d.deps.Members.Declaration(ctx, a)
		if err == nil {
			_, _ = d.accept(doc.Stored, doc.Age)
		}
		d.start.seedsResponded.Add(1)
	}
	d.start.seedsQueried.Add(1)
	signal(progress)
}

// metricsInterval is the time between updates of the metrics.
const metricsInterval = 10 * time.Second

// metricsLoop reports the number of members, the declaration's age, and the
// traffic.
func (d *Directory) metricsLoop(ctx context.Context) {
	last := map[string]port.Traffic{}
	for d.sleep(ctx, metricsInterval) {
		now := d.deps.Clock.Now()
		d.deps.Metrics.Gauge("directory_members", float64(len(d.table.LiveMembers(now))))
		if _, age := d.rev.Snapshot(now); age >= 0 {
			d.deps.Metrics.Gauge("directory_age_seconds", age.Seconds())
		}
		for _, t := range d.Traffic() {
			prev, kind := last[t.Kind], port.Attr{Key: "kind", Value: t.Kind}
			d.deps.Metrics.Count("rpc_bytes_total", t.In-prev.In, kind, port.Attr{Key: "direction", Value: "in"})
			d.deps.Metrics.Count("rpc_bytes_total", t.Out-prev.Out, kind, port.Attr{Key: "direction", Value: "out"})
			last[t.Kind] = t
		}
	}
}

// Traffic returns the total bytes sent and received by this process, by kind of
// traffic.
func (d *Directory) Traffic() []port.Traffic {
	if d.deps.Traffic == nil {
		return nil
	}
	return d.deps.Traffic()
}

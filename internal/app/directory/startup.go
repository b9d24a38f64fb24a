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

// Reasons why a process is not ready.
var (
	reasonStarting  = "waiting for the platform and the seeds"
	reasonNoneHeld  = "the platform does not answer and no reachable process holds a declaration"
	reasonNoneKnown = "the platform holds no declaration yet"
	reasonReady     = ""
)

// startup tracks what a process has heard since it started.
type startup struct {
	ready  chan struct{}
	once   sync.Once
	reason atomic.Pointer[string]

	platform    atomic.Bool
	seedAnswers atomic.Int32
	seedsAsked  atomic.Int32
}

// Ready returns a channel that is closed once the process may serve.
func (d *Directory) Ready() <-chan struct{} { return d.start.ready }

// NotReadyReason returns why the process serves nothing yet, or "".
func (d *Directory) NotReadyReason() string { return *d.start.reason.Load() }

// startLoop asks the platform and the seeds in parallel and decides when the
// highest revision seen is good enough to serve.
func (d *Directory) startLoop(ctx context.Context) {
	began := d.deps.Clock.Now()
	heard := make(chan struct{}, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { d.askPlatform(ctx, heard) })
	for _, t := range d.seeds() {
		wg.Go(func() { d.askSeed(ctx, t.addr, heard) })
	}
	timeout := d.deps.Clock.After(d.cfg.StartTimeout)
	for !d.decideReady(d.deps.Clock.Now().Sub(began)) {
		select {
		case <-ctx.Done():
			return
		case <-heard:
		case <-d.accepted:
		case <-timeout:
		}
	}
	d.start.once.Do(func() { close(d.start.ready) })
	d.logState("ready")
	d.notify()
}

// decideReady applies the start-up rule. A declaration that arrives after the
// rule's time is enough by itself.
func (d *Directory) decideReady(since time.Duration) bool {
	s := &d.start
	held := d.rev.Revision() > 0
	late := since >= d.cfg.StartTimeout
	seeds := s.seedAnswers.Load() > 0 || int(s.seedsAsked.Load()) == len(d.seeds())
	switch {
	case held && (late || s.platform.Load() && seeds):
		s.reason.Store(&reasonReady)
		return true
	case s.platform.Load() && seeds:
		s.reason.Store(&reasonNoneKnown)
	case late:
		s.reason.Store(&reasonNoneHeld)
	}
	return false
}

// askPlatform reads the key until the platform answers or a declaration is in
// force by other means.
func (d *Directory) askPlatform(ctx context.Context, heard chan struct{}) {
	for {
		e, err := d.deps.KV.Get(ctx, d.cfg.Key)
		if err == nil {
			_, err = d.accept(e.Value, 0)
		}
		if err == nil || errors.Is(err, port.ErrNotFound) {
			d.start.platform.Store(true)
			signal(heard)
			return
		}
		if !d.sleep(ctx, d.jitter(platformRetry)) || d.NotReadyReason() == reasonReady {
			return
		}
	}
}

// askSeed joins through one seed and takes its declaration.
func (d *Directory) askSeed(ctx context.Context, a fleet.Address, heard chan struct{}) {
	if d.exchange(ctx, target{addr: a}, compared) {
		doc, err := d.deps.Members.Declaration(ctx, a)
		if err == nil {
			_, _ = d.accept(doc.Stored, doc.Age)
		}
		d.start.seedAnswers.Add(1)
	}
	d.start.seedsAsked.Add(1)
	signal(heard)
}

// meterEvery is the interval over which the traffic is averaged.
const meterEvery = 10 * time.Second

// meterLoop reports the members, the age and the traffic of the exchanges.
func (d *Directory) meterLoop(ctx context.Context) {
	last := map[string]port.Traffic{}
	for d.sleep(ctx, meterEvery) {
		now := d.deps.Clock.Now()
		d.deps.Metrics.Gauge("directory_members", float64(len(d.table.LiveMembers(now))))
		if _, age := d.rev.Snapshot(now); age >= 0 {
			d.deps.Metrics.Gauge("directory_age_seconds", age.Seconds())
		}
		for _, t := range d.Traffic() {
			old, kind := last[t.Kind], port.Attr{Key: "kind", Value: t.Kind}
			d.deps.Metrics.Count("rpc_bytes_total", t.In-old.In, kind, port.Attr{Key: "direction", Value: "in"})
			d.deps.Metrics.Count("rpc_bytes_total", t.Out-old.Out, kind, port.Attr{Key: "direction", Value: "out"})
			last[t.Kind] = t
		}
	}
}

// Traffic returns the bytes that this process sent and received, by kind.
func (d *Directory) Traffic() []port.Traffic {
	if d.deps.Traffic == nil {
		return nil
	}
	return d.deps.Traffic()
}

// Package loader runs beside a model engine. It brings the declared weights into
// the engine's area, orders the engine to load them, and tells the gateways the
// engine's load.
package loader

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/loadcast"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/chunks"
	"github.com/masticwing/masticwing/internal/app/enroll"
	"github.com/masticwing/masticwing/internal/app/feed"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/port"
)

// Deps are the ports that a loader uses.
type Deps struct {
	Store  port.Store
	Feed   port.FeedClient
	Facts  port.ItemDecoder
	Engine port.StagedEngine
	// Origin returns the client of the origin at an address.
	Origin  func(fleet.Address) port.NumberedOrigin
	Peers   port.PeerClient
	Clock   feed.Clock
	Rand    port.Rand
	Metrics port.Metrics
	Log     *logging.Logger
}

// Loader keeps one engine at the declared weights.
type Loader struct {
	set    Settings
	deps   Deps
	view   *view
	origin *namedOrigin
	chunks *chunks.Fetcher
	source *feed.Source
	// seen is the last report of the engine.
	seen lastReport
	// gaugesAt is the time of the last record of the gauges; only reportLoad uses it.
	gaugesAt time.Time
}

// inShare and outShare are the parts of the VM's link that transfers of weights
// may use. The rest carries the requests of the engine, about 10 KB/s, and its
// events, about 30 KB/s.
const (
	inShare  = 0.95
	outShare = 0.9
)

// New returns a loader that knows nothing yet.
func New(s Settings, d Deps) *Loader {
	v := newView(s, d.Facts, d.Clock, d.Log)
	o := &namedOrigin{view: v, open: d.Origin}
	f := chunks.New(chunks.Settings{
		Self:   chain.Member{VM: fleet.VM(s.ID), Region: s.Regions[s.Domain], Address: s.Internal},
		InRate: int64(inShare * float64(s.Link)), OutRate: int64(outShare * float64(s.Link)),
	}, chunks.Deps{Peers: d.Peers, Origin: o, Clock: d.Clock, Metrics: d.Metrics, Members: v.peers, OriginRate: v.originRate})
	ps := d.Facts.Prefixes()
	source := feed.NewSource(d.Store, d.Feed, d.Clock, d.Log, v.readers, map[string]feed.PrefixOptions{
		ps.Weights: {Wait: feedWaitWeights, MaxStoreWait: directWaitWeights}, ps.Config: {Wait: feedWait, PreferReaders: true},
		ps.Members: {Wait: feedWait, MaxStoreWait: directWaitMembers},
	})
	return &Loader{set: s, deps: d, view: v, origin: o, chunks: f, source: source}
}

const (
	// watchWait is the longest wait of a watch; each call is charged. The store
	// keeps 20 s of history, which a longer wait without a change would pass.
	watchWait = 15 * time.Second
	// weightsPause collects declarations that come together.
	weightsPause = 50 * time.Millisecond
	// configPause collects configurations, of which only the engine's service is of
	// interest. One has some hundred kilobytes, which take a tenth of a second on
	// the link of an engine's VM.
	configPause = 5 * time.Second
	// memberPause collects changes of processes. A process that starts again mostly
	// has the address that it had, and a new loader knows the others at once.
	memberPause = 5 * time.Second
	// listedWait bounds the wait for the list of processes at the start, which tells
	// who passes the configuration on.
	listedWait = time.Second
	// feedWaitWeights bounds the time until a silent gateway is noticed that passes
	// declarations on. They have to be in use within 8 s.
	feedWaitWeights = time.Second
	// directWaitWeights bounds the wait for declared weights at the store, on a
	// connection that may have gone silent. Loaders read the store only while no
	// gateway of their domain is known or serves.
	directWaitWeights = 2 * time.Second
	// directWaitMembers is the same for the processes.
	directWaitMembers = 5 * time.Second
	// feedWait is the same as feedWaitWeights for the configuration and the processes.
	feedWait = 3 * time.Second
)

// Run works until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", string(l.set.Internal))
	if err != nil {
		return errors.Wrap(err, "listening for other loaders")
	}
	srv, err := rpc.NewServer(rpc.Handlers{Peer: l.chunks})
	if err != nil {
		return err
	}
	ip, err := netip.ParseAddrPort(string(l.set.Internal))
	if err != nil {
		return errors.Wrap(err, "internal address")
	}
	sender, err := loadcast.NewSender(ip.Addr())
	if err != nil {
		return err
	}
	defer func() { _ = sender.Close() }()
	ps := l.deps.Facts.Prefixes()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := srv.Serve(ctx, lis); err != nil {
			l.deps.Log.Fault("serving other loaders", err)
		}
	})
	wg.Go(func() { l.chunks.Run(ctx) })
	wg.Go(func() {
		l.wait(ctx, l.view.listed, listedWait)
		l.follower(ps.Config, configPause).Run(ctx, l.view.applyOperator)
	})
	wg.Go(func() { l.follower(ps.Weights, weightsPause).Run(ctx, l.view.applyOperator) })
	wg.Go(func() { l.follower(ps.Members, memberPause).Run(ctx, l.view.applyMembers) })
	wg.Go(func() { l.reportLoad(ctx, sender) })
	wg.Go(func() { l.fetchDeclared(ctx) })
	wg.Go(func() { l.converge(ctx) })
	e := enroll.Enrolment{Store: l.deps.Store, Prefix: ps.Members, Self: l.set.member(), Clock: l.deps.Clock, Log: l.deps.Log}
	wg.Go(func() { e.Run(ctx) })
	return nil
}

func (l *Loader) follower(prefix string, pause time.Duration) *follow.Follower {
	return follow.New(l.source, prefix, watchWait, func() time.Duration { return pause }, l.deps.Clock, l.deps.Log)
}

const (
	// loadEvery is the pause between two reports. An engine starts and ends about
	// one request in this time.
	loadEvery = 100 * time.Millisecond
	// loadRepeat is the longest time without a report to the gateways. It is well
	// below the age from which a report no longer counts.
	loadRepeat = 400 * time.Millisecond
)

// reportLoad asks the engine for its load and sends it to the gateways.
func (l *Loader) reportLoad(ctx context.Context, sender *loadcast.Sender) {
	var last loadcast.Report
	var lastAt time.Time
	lost := false
	for ctx.Err() == nil {
		r, err := l.deps.Engine.Report(ctx)
		now := l.deps.Clock.Now()
		switch {
		case err != nil && !lost && ctx.Err() == nil:
			lost = true
			l.deps.Log.Fault("lost the engine", err)
			l.seen.set(nil)
		case err == nil:
			if lost {
				lost = false
				l.deps.Log.State("regained the engine", logging.F("started", r.Started))
			}
			l.seen.set(&r)
			l.recordGauges(&r, now)
			report := l.loadReport(r)
			if report != last || now.Sub(lastAt) >= loadRepeat {
				last, lastAt = report, now
				if err := sender.Report(report, l.view.gateways()); err != nil {
					l.deps.Metrics.Count("loader_reports_unsent_total", 1)
				}
			}
		}
		l.sleep(ctx, loadEvery)
	}
}

// gaugesEvery is the time between two records of the gauges. Metrics are scraped
// every 5 s or more rarely.
const gaugesEvery = 5 * time.Second

// recordGauges records what the engine holds and what it should hold.
func (l *Loader) recordGauges(r *port.EngineReport, now time.Time) {
	if now.Sub(l.gaugesAt) < gaugesEvery {
		return
	}
	l.gaugesAt = now
	m := l.deps.Metrics
	held := heldOf(r)
	m.Gauge("loader_weights_held", float64(held.Number))
	if g, ok := l.view.goal(held); ok {
		m.Gauge("loader_weights_wanted", float64(max(g.Number, held.Number)))
	}
	m.Gauge("loader_engine_running", float64(r.Running))
	m.Gauge("loader_engine_waiting", float64(r.Waiting))
}

func (l *Loader) loadReport(r port.EngineReport) loadcast.Report {
	out := loadcast.Report{Target: l.set.Engine, Started: r.Started, Load: placement.Load{
		Running: r.Running, Waiting: r.Waiting, Slots: l.view.places(), Loading: r.Busy,
	}}
	for _, h := range r.Held {
		out.Weights = max(out.Weights, h.Number)
	}
	return out
}

func (l *Loader) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.deps.Clock.After(d):
	}
}

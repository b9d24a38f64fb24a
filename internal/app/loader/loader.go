// Package loader runs on the VM of a model engine. It writes the declared weights to
// the engine's staging area, orders the engine to load them, and reports the engine's
// load to the gateways.
package loader

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/chunks"
	"github.com/masticwing/masticwing/internal/app/feed"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/port"
)

// Deps are the ports that a loader uses.
type Deps struct {
	Store   port.Store
	Feed    port.FeedClient
	Decoder port.ItemDecoder
	Engine  port.StagedEngine
	// Origin returns a client for the origin at an address.
	Origin func(fleet.Address) port.NumberedOrigin
	Peers  port.PeerClient
	// Connections are those that Feed and Peers use.
	Connections port.PeerConnections
	// NewPeerServer returns a server of chunks for other loaders.
	NewPeerServer func(port.PeerHandler) (port.Server, error)
	Loads         port.LoadNetwork
	Clock         port.BootClock
	Rand          port.Rand
	Metrics       port.Metrics
	Log           port.Log
}

// Loader makes one engine load the declared weights.
type Loader struct {
	settings     Settings
	deps         Deps
	view         *view
	origin       *originAdapter
	chunks       *chunks.Fetcher
	source       *feed.Source
	engineReport lastReport
	intact       *intactWeights
	// staged, order and heldCheckAt belong to the converge loop. order is nil unless the engine may
	// yet accept an order, or has accepted one with an outcome that is not known.
	staged *stagedVersion
	order  *loadOrder
	// restored is set once the record of the last load was read.
	restored bool
	// heldCheckAt is the time from which the weights held are checked again.
	heldCheckAt time.Time
	// announced is set once a report about the engine was sent to the registered gateways.
	announced atomic.Bool
	// gaugesAt is when the gauges were last recorded; only reportLoad uses it.
	gaugesAt time.Time
}

// inLinkFraction and outLinkFraction are the fractions of the VM's link that
// transfers of weights may use. The rest carries the engine's requests, about 10 KB/s,
// and its events, about 30 KB/s.
const (
	inLinkFraction  = 0.95
	outLinkFraction = 0.9
)

// New returns a loader. Run starts its work.
func New(s Settings, d Deps) *Loader {
	l := &Loader{settings: s, deps: d, intact: newIntactWeights()}
	v := newView(s, d.Decoder, d.Clock, d.Log)
	o := &originAdapter{view: v, newClient: d.Origin}
	f := chunks.New(chunks.Settings{
		Self:   chain.Member{VM: fleet.VM(s.ID), Region: s.Regions[s.Domain], Address: s.Internal},
		InRate: int64(inLinkFraction * float64(s.Link)), OutRate: int64(outLinkFraction * float64(s.Link)),
	}, chunks.Deps{
		Peers: d.Peers, Origin: o, Clock: d.Clock, Metrics: d.Metrics, Log: d.Log, Members: v.peers, OriginRate: v.originRate,
		OriginDown: o.isDown, Uses: func(name fleet.Version) chunks.Uses { return l.uses(name) },
	})
	ps := d.Decoder.Prefixes()
	source := feed.NewSource(d.Store, d.Feed, d.Clock, d.Log, v.readers, map[string]feed.PrefixOptions{
		ps.Weights: {Wait: feedWaitWeights, MaxStoreWait: storeWaitWeights}, ps.Config: {Wait: feedWait, PreferReaders: true, StoreTurn: v.storeTurn},
		ps.Members: {Wait: feedWait, MaxStoreWait: storeWaitMembers},
	})
	l.view, l.origin, l.chunks, l.source = v, o, f, source
	return l
}

const (
	// watchTimeout is the longest wait of a watch; each call is charged. The store
	// keeps 20 s of history, which a longer wait without a change would exceed.
	watchTimeout = 15 * time.Second
	// weightsBatchDelay batches declarations that are made shortly after each other.
	weightsBatchDelay = 50 * time.Millisecond
	// configBatchDelay batches configurations, of which the loader needs only a few
	// services. A configuration has some hundred kilobytes, which take a tenth of a
	// second on the link of an engine's VM.
	configBatchDelay = 5 * time.Second
	// membersBatchDelay batches changes of the registered processes. It may be long: a
	// restarted process usually has the same address as before, and a new loader
	// learns all others from its first read.
	membersBatchDelay = 5 * time.Second
	// membersListTimeout bounds the wait at the start for the list of processes, which
	// shows from which gateways the configuration can be read.
	membersListTimeout = time.Second
	// feedWaitWeights bounds the time until the loader notices that the gateway from
	// which it reads declarations no longer responds. Declared weights have to be in use within
	// 8 s.
	feedWaitWeights = time.Second
	// storeWaitWeights bounds the wait for declared weights at the store, because the
	// connection may be dead. Loaders read the store only while no gateway of
	// their domain is known or serves them.
	storeWaitWeights = 2 * time.Second
	// storeWaitMembers is the same for the registered processes.
	storeWaitMembers = 5 * time.Second
	// feedWait is the same as feedWaitWeights for the configuration and the registered
	// processes.
	feedWait = 3 * time.Second
)

// Run runs the loader until ctx ends. It returns an error if it can't start.
func (l *Loader) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", string(l.settings.Internal))
	if err != nil {
		return errors.Wrap(err, "listening for other loaders")
	}
	srv, err := l.deps.NewPeerServer(l.chunks)
	if err != nil {
		return err
	}
	ip, err := netip.ParseAddrPort(string(l.settings.Internal))
	if err != nil {
		return errors.Wrap(err, "parsing the internal address")
	}
	sender, err := l.deps.Loads.NewSender(ip.Addr())
	if err != nil {
		return err
	}
	defer func() { _ = sender.Close() }()
	ps := l.deps.Decoder.Prefixes()
	loops := supervise.NewGroup(l.deps.Clock, l.deps.Log, l.deps.Metrics)
	defer loops.Wait()
	loops.Go(ctx, "peers", func(ctx context.Context) {
		if err := srv.Serve(ctx, lis); err != nil {
			l.deps.Log.Failure("serving other loaders", err)
		}
	})
	loops.Go(ctx, "chunks", l.chunks.Run)
	loops.Go(ctx, "configuration", func(ctx context.Context) {
		l.wait(ctx, l.view.membersListed, membersListTimeout)
		l.newFollower(ps.Config, configBatchDelay).Run(ctx, l.view.applyOperatorKeys)
	})
	loops.Go(ctx, "weights", func(ctx context.Context) { l.newWeightsFollower(ps.Weights).Run(ctx, l.view.applyWeights) })
	loops.Go(ctx, "confirmation", l.confirmLoop)
	loops.Go(ctx, "members", func(ctx context.Context) { l.newFollower(ps.Members, membersBatchDelay).Run(ctx, l.view.applyMembers) })
	loops.Go(ctx, "load_reports", func(ctx context.Context) { l.reportLoad(ctx, sender) })
	loops.Go(ctx, "fetch", l.fetchDeclared)
	loops.Go(ctx, "converge", l.converge)
	loops.Go(ctx, "load_record", l.recordLoads)
	loops.Go(ctx, "connections", l.closeGonePeers)
	loops.Go(ctx, "enforce_bound", l.enforceBound)
	registrar := registration.Registrar{
		Store: l.deps.Store, Prefix: ps.Members, Self: l.settings.storedMember(), Listed: l.view.listedLease, Clock: l.deps.Clock, Log: l.deps.Log,
	}
	loops.Go(ctx, "registration", registrar.Run)
	return nil
}

// newWeightsFollower returns a follower of the declared weights that records when all of them
// were known.
func (l *Loader) newWeightsFollower(prefix string) *follow.Follower {
	f := l.newFollower(prefix, weightsBatchDelay)
	f.OnRevision = func(_ int64, calledAt time.Duration) {
		// A reader may not have seen the newest declaration; its confirmation says up to when
		// it has seen all, and of which models.
		if confirmed, fromReader := l.source.FromReader(prefix); fromReader {
			l.view.confirmations.Adopt(confirmed)
			return
		}
		// The response of the store has all changes that were made before the call.
		l.view.confirmations.List(calledAt)
	}
	return f
}

const (
	// maxConfirmationAge is the age of the last confirmation of the declared weights from which
	// the loader lists them itself: its reader runs an older build, which does not state what its
	// confirmations cover, or has another configuration. A store that responds confirms
	// them after storeWaitWeights, and a reader earlier.
	maxConfirmationAge = 5 * time.Second
	// confirmRetryDelay is the pause after a listing that failed. All calls are charged.
	confirmRetryDelay = 3 * time.Second
)

// confirmLoop keeps the declared weights confirmed until ctx ends.
func (l *Loader) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.sleep(ctx, l.confirmWeights(ctx))
	}
}

// confirmWeights lists the declared weights if they were not confirmed for maxConfirmationAge, and
// returns the time until the next check. The follower of the weights goes on in the meantime: its
// readers may respond while the store does not.
func (l *Loader) confirmWeights(ctx context.Context) time.Duration {
	readAt := l.deps.Clock.SinceBoot()
	at, ok := l.view.confirmations.Newest()
	if left := at + maxConfirmationAge - readAt; !ok || left > 0 {
		// Without any confirmation, the follower is about to list them.
		return max(left, time.Second)
	}
	items, revision, err := l.deps.Store.List(ctx, l.deps.Decoder.Prefixes().Weights)
	if err != nil {
		return confirmRetryDelay
	}
	e := follow.Event{Reset: true, At: revision, ReadAt: readAt}
	for _, it := range items {
		e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
	}
	l.view.applyWeights(e)
	return maxConfirmationAge
}

// newFollower returns a follower of a prefix that pauses for delay between two reads.
func (l *Loader) newFollower(prefix string, delay time.Duration) *follow.Follower {
	return follow.New(l.source, prefix, watchTimeout, func() time.Duration { return delay }, l.deps.Clock, l.deps.Log)
}

const (
	// reportInterval is the pause between two queries of the engine's load. An engine
	// starts and finishes about one request in this time.
	reportInterval = 100 * time.Millisecond
	// maxReportInterval is the time after which an unchanged report is sent to the
	// gateways again. It is well below the age from which they ignore a report.
	maxReportInterval = 400 * time.Millisecond
)

// reportLoad queries the engine's load and sends it to the gateways until ctx ends.
func (l *Loader) reportLoad(ctx context.Context, sender port.LoadSender) {
	reports := reportSender{sender: sender, metrics: l.deps.Metrics}
	lost := false
	for ctx.Err() == nil {
		r, err := l.deps.Engine.Report(ctx)
		now := l.deps.Clock.Now()
		switch {
		case err != nil && !lost && ctx.Err() == nil:
			lost = true
			l.deps.Log.Failure("lost the engine", err)
			l.engineReport.set(nil)
		case err == nil:
			if lost {
				lost = false
				l.deps.Log.StateChange("regained the engine", port.F("started", r.Started))
			}
			l.engineReport.set(&r)
			l.recordGauges(&r, now)
			listed := l.view.membersKnown()
			reports.send(l.loadReport(r), l.view.gateways(), now)
			if listed {
				l.announced.Store(true)
			}
		}
		l.sleep(ctx, reportInterval)
	}
}

// gaugeInterval is the time between two updates of the gauges. Metrics are scraped at
// most every 5 s.
const gaugeInterval = 5 * time.Second

// recordGauges records the weights that the engine holds and should hold, and its load.
func (l *Loader) recordGauges(r *port.EngineReport, now time.Time) {
	if now.Sub(l.gaugesAt) < gaugeInterval {
		return
	}
	l.gaugesAt = now
	m := l.deps.Metrics
	held := newestHeld(r)
	m.Gauge("loader_weights_held", float64(held.Number))
	if g, ok := l.view.goal(held); ok {
		m.Gauge("loader_weights_wanted", float64(max(g.Number, held.Number)))
	}
	m.Gauge("loader_engine_running", float64(r.Running))
	m.Gauge("loader_engine_waiting", float64(r.Waiting))
}

// loadReport returns the load report for the gateways.
func (l *Loader) loadReport(r port.EngineReport) port.LoadReport {
	out := port.LoadReport{Target: l.settings.Engine, Started: r.Started, Load: placement.Load{
		Running: r.Running, Waiting: r.Waiting, Slots: l.view.slots(), Loading: r.Busy || len(r.Held) == 0, Memory: r.Memory,
	}, Declared: l.view.enforced(), OrderCount: r.OrderCount, Intact: l.intact.number(&r), Leaving: r.Leaving}
	for _, h := range r.Held {
		out.Weights = max(out.Weights, h.Number)
	}
	return out
}

// peerCheckInterval is the time between two checks of the connections to processes that have left.
const peerCheckInterval = time.Second

// closeGonePeers closes the idle connections to processes that are no longer registered, until ctx
// ends.
func (l *Loader) closeGonePeers(ctx context.Context) {
	l.wait(ctx, l.view.membersListed, membersListTimeout)
	for ctx.Err() == nil {
		if l.view.membersKnown() {
			l.deps.Connections.Retain(l.view.isMember)
		}
		l.sleep(ctx, peerCheckInterval)
	}
}

func (l *Loader) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.deps.Clock.After(d):
	}
}

// Package directory keeps the newest declaration and the member table of a
// process up to date. Elected readers of each failure domain watch the platform;
// all processes spread what they know by gossip exchanges with their neighbours.
//
// Invariants under failures: the revision in force never decreases; the newest
// known declaration stays in force while the platform is down, slow or returns
// stale data; members on the other side of a partition are contacted until the
// partition heals.
package directory

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/core/revision"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Config configures a Directory. Zero durations are replaced by defaults.
type Config struct {
	// Self is the member record of this process. A zero Incarnation is set from
	// the clock.
	Self port.MemberRecord
	// Seeds are the addresses of the processes contacted at start to join.
	Seeds []fleet.Address
	// Key is the key of the declaration in the platform's key-value service.
	Key string
	// ExchangeInterval is the time between exchanges with neighbours.
	ExchangeInterval time.Duration
	// WatchTimeout is the maximum duration of one watch call. It also bounds
	// the time until a silently broken connection is noticed.
	WatchTimeout time.Duration
	// VMListInterval is the minimum time between reads of the VM list.
	VMListInterval time.Duration
	// StartTimeout is the time after which a process may become ready without a
	// response of the platform.
	StartTimeout time.Duration
	// StatusInterval is the minimum time between two versions of this process's
	// record that differ only in load and progress.
	StatusInterval time.Duration
	// ProbeInterval is the minimum time between attempts to reach a dead member
	// or a seed that is not a member.
	ProbeInterval time.Duration
	// ExchangeBytesPerSecond bounds the records and digests in exchanges, sent
	// and received together.
	ExchangeBytesPerSecond int
}

// DefaultExchangeBytesPerSecond is the default of Config.ExchangeBytesPerSecond.
// Of the 3 KB/s allowed per process it leaves the rest for message headers and
// framing, status streams, the declaration, and the platform calls of readers.
const DefaultExchangeBytesPerSecond = 800

func (c Config) withDefaults(now time.Time) Config {
	def := func(p *time.Duration, d time.Duration) {
		if *p <= 0 {
			*p = d
		}
	}
	def(&c.ExchangeInterval, time.Second)
	def(&c.WatchTimeout, 2*time.Second)
	def(&c.VMListInterval, 10*time.Second)
	def(&c.StartTimeout, 2*time.Second)
	def(&c.StatusInterval, 5*time.Second)
	def(&c.ProbeInterval, 3*time.Second)
	if c.ExchangeBytesPerSecond <= 0 {
		c.ExchangeBytesPerSecond = DefaultExchangeBytesPerSecond
	}
	if c.Key == "" {
		c.Key = "config/current"
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(now.UnixMilli())
	}
	return c
}

// Deps holds the ports and adapters that a Directory uses.
type Deps struct {
	KV      port.KV
	VMs     port.VMList
	Members port.MemberClient
	// Connections are those to other processes.
	Connections []port.PeerConnections
	Clock       port.Clock
	Rand        port.Rand
	// Decode parses the stored form of a declaration.
	Decode func([]byte) (*declare.Declaration, error)
	// Metrics may be nil.
	Metrics port.Metrics
	// Log may be nil.
	Log port.Log
	// Traffic returns the total bytes sent and received by this process, by
	// kind of traffic. It may be nil.
	Traffic func() []port.Traffic
}

// Directory implements port.Directory. Its Handler answers the exchanges and
// queries of other processes.
type Directory struct {
	cfg  Config
	deps Deps

	// rev holds the newest known declaration and its revision.
	rev              revision.Store
	table            *membership.Table[port.MemberRecord]
	self             selfRecord
	subscribers      *shard.Map[uint64, chan struct{}]
	lastSubscriberID atomic.Uint64
	// exchanging holds the addresses with an exchange in progress, so that an
	// unresponsive member blocks at most one goroutine.
	exchanging *shard.Map[fleet.Address, struct{}]
	// pendingAnnouncements holds the announcements that wait for an exchange in
	// progress with the same address.
	pendingAnnouncements *shard.Map[announcement, struct{}]
	fetchQueue           chan fetchRequest
	// fetching holds the revisions that are being fetched.
	fetching *shard.Map[uint64, struct{}]
	// selfChanged triggers the announcement of an urgent change or refutation of
	// this process.
	selfChanged chan struct{}
	// revisionChanged triggers the announcement of a revision, which carries no
	// records.
	revisionChanged chan struct{}
	// peerStateChanged triggers the forwarding of changes of other members.
	peerStateChanged chan struct{}
	// declarationAccepted wakes startLoop.
	declarationAccepted chan struct{}
	gossip              membership.Gossip[port.MemberRecord]
	intern              interner
	start               startup
	nextNeighbour       atomic.Uint64
	// agreedDigest is the table digest after the last exchange if both sides had
	// the same one, else 0.
	agreedDigest atomic.Uint64
	// memberLists caches the results of Members.
	memberLists *shard.Map[fleet.Kind, memberList]
}

var _ port.Directory = (*Directory)(nil)

// New returns a Directory whose member table holds only this process. Run starts
// the exchanges.
func New(cfg Config, deps Deps) *Directory {
	now := deps.Clock.Now()
	cfg = cfg.withDefaults(now)
	if deps.Metrics == nil {
		deps.Metrics = nopMetrics{}
	}
	d := &Directory{
		cfg: cfg, deps: deps,
		table:                membership.NewTable(toCore(cfg.Self), now),
		subscribers:          shard.New[uint64, chan struct{}](0),
		exchanging:           shard.New[fleet.Address, struct{}](0),
		pendingAnnouncements: shard.New[announcement, struct{}](0),
		fetchQueue:           make(chan fetchRequest, fetchQueueSize),
		fetching:             shard.New[uint64, struct{}](0),
		selfChanged:          make(chan struct{}, 1),
		revisionChanged:      make(chan struct{}, 1),
		memberLists:          shard.New[fleet.Kind, memberList](0),
		peerStateChanged:     make(chan struct{}, 1),
		declarationAccepted:  make(chan struct{}, 1),
		intern:               interner{shard.New[uint64, map[string]string](0)},
		start:                startup{ready: make(chan struct{})},
	}
	d.gossip = membership.Gossip[port.MemberRecord]{
		Table: d.table, Budget: membership.NewBudget(cfg.ExchangeBytesPerSecond, now), RecordSize: recordSize, RandIntN: deps.Rand.IntN,
	}
	d.self.rec = cloneRecord(cfg.Self)
	d.start.reason.Store(&reasonStarting)
	return d
}

// Run runs all background loops until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	loops := supervise.NewGroup(d.deps.Clock, d.deps.Log, d.deps.Metrics)
	for name, loop := range map[string]func(context.Context){
		"start": d.startLoop, "exchange": d.exchangeLoop, "announce": d.announceLoop, "reader": d.readerLoop, "vm_list": d.vmListLoop, "metrics": d.metricsLoop,
		"connections": d.connectionLoop,
	} {
		loops.Go(ctx, name, loop)
	}
	for range fetchWorkers {
		loops.Go(ctx, "fetch", d.fetchLoop)
	}
	loops.Wait()
}

// Declaration implements port.Directory. It returns nil until the process is
// ready (see updateReadiness), so that a process that has just started does not
// act on an old revision received from a single seed.
func (d *Directory) Declaration() (*declare.Declaration, time.Duration) {
	select {
	case <-d.start.ready:
	default:
		return nil, -1
	}
	snap, age := d.rev.Snapshot(d.deps.Clock.Now())
	return snap.Declaration, age
}

// Subscribe implements port.Directory.
func (d *Directory) Subscribe() (<-chan struct{}, func()) {
	id, ch := d.lastSubscriberID.Add(1), make(chan struct{}, 1)
	d.subscribers.Put(id, ch)
	return ch, func() { d.subscribers.Delete(id) }
}

// notify wakes the subscribers. It never blocks: a full channel already holds a
// pending notification.
func (d *Directory) notify() {
	d.invalidateMemberLists()
	d.subscribers.Range(func(_ uint64, ch chan struct{}) bool {
		signal(ch)
		return true
	})
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleep waits for t. It returns false if ctx ended first.
func (d *Directory) sleep(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.deps.Clock.After(t):
		return true
	}
}

// ageSince returns the age that a response states, counted from the start of its call: the
// response may have arrived long before this process got to it. An unknown age stays unknown.
func (d *Directory) ageSince(began time.Time, age time.Duration) time.Duration {
	if age < 0 {
		return age
	}
	return age + d.deps.Clock.Now().Sub(began)
}

// accept puts a stored declaration in force if its revision is higher than the
// current one. age is the time since the platform confirmed the document;
// negative if unknown. It returns the revision in the document.
func (d *Directory) accept(stored []byte, age time.Duration) (uint64, error) {
	decl, err := d.deps.Decode(stored)
	if err != nil {
		d.deps.Metrics.Count("directory_documents_refused_total", 1)
		return 0, errors.Wrap(err, "reading declaration")
	}
	now := d.deps.Clock.Now()
	if !d.rev.Accept(revision.Snapshot{Declaration: decl, Stored: stored}, age, now) {
		return decl.Revision, nil
	}
	d.deps.Metrics.Gauge("directory_revision", float64(decl.Revision))
	d.logState("declaration in force", port.F("revision", decl.Revision))
	d.publishFirstRevision()
	signal(d.declarationAccepted)
	signal(d.revisionChanged)
	d.notify()
	return decl.Revision, nil
}

func (d *Directory) logState(msg string, fields ...port.Field) {
	if d.deps.Log != nil {
		d.deps.Log.StateChange(msg, fields...)
	}
}

type nopMetrics struct{}

func (nopMetrics) Count(string, int64, ...port.Attr)           {}
func (nopMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (nopMetrics) Gauge(string, float64, ...port.Attr)         {}

func cloneRecord(r port.MemberRecord) port.MemberRecord {
	r.Labels = maps.Clone(r.Labels)
	if r.Status != nil {
		s := *r.Status
		r.Status = &s
	}
	return r
}

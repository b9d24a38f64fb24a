// Package ledger runs the ledger of calls that may run at most once: it reads
// and writes the documents in the platform's key-value service as
// core/ledger decides, and holds the callers that wait.
package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/inflight"
	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Options are the settings of a ledger. Zero values mean the defaults.
type Options struct {
	// WritesPerSecond bounds the writes to the platform. The default is 5.
	WritesPerSecond float64
	// Window is how long a key is accepted. The default is 60 min.
	Window time.Duration
	// AnswerBytes bounds the memory for answers. The default is 4 MiB.
	AnswerBytes int64
	// MaxWait bounds the wait of a call for its record, if the call's own
	// deadline is later. The default is 5 s.
	MaxWait time.Duration
	// Metrics may be nil.
	Metrics port.Metrics
}

// withDefaults fills in the defaults.
func (o Options) withDefaults() Options {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = 5
	}
	if o.Window <= 0 {
		o.Window = time.Hour
	}
	if o.AnswerBytes <= 0 {
		o.AnswerBytes = 4 << 20
	}
	if o.MaxWait <= 0 {
		o.MaxWait = 5 * time.Second
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	return o
}

// Ledger implements port.Ledger. Create one with New and call Run.
type Ledger struct {
	kv    port.KV
	clock port.Clock
	rand  port.Rand
	opts  Options

	table   *core.Table
	answers *core.ResponseCache[kept]
	pacer   *core.WriteLimiter
	leases  *leases
	// waiters receive the outcome of their attempt. The channels hold one.
	waiters *shard.Map[core.Attempt, chan core.Decision]

	ctx    context.Context
	cancel context.CancelFunc
	closed atomic.Bool

	workers *inflight.Counter

	mu    sync.Mutex // orders the start of workers before the wait for them
	ended bool
	wg    conc.WaitGroup
}

var _ port.Ledger = (*Ledger)(nil)

// New returns a ledger over kv.
func New(kv port.KV, clock port.Clock, rand port.Rand, o Options) *Ledger {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		kv: kv, clock: clock, rand: rand, opts: o,
		table:   core.NewTable(o.Window),
		answers: core.NewResponseCache[kept](o.AnswerBytes),
		pacer:   core.NewWriteLimiter(o.WritesPerSecond),
		waiters: shard.New[core.Attempt, chan core.Decision](0),
		workers: inflight.New(),
		ctx:     ctx, cancel: cancel,
	}
	l.leases = newLeases(l)
	return l
}

// SetRate changes the number of writes per second.
func (l *Ledger) SetRate(writesPerSecond float64) { l.pacer.SetRate(writesPerSecond) }

// Begin implements port.Ledger.
func (l *Ledger) Begin(ctx context.Context, k port.LedgerKey, content port.ContentDigest) (port.LedgerClaim, *port.StoredAnswer, error) {
	now := l.clock.Now()
	key, bad := core.ParseKey(k.Service, k.Customer, k.Key, now, l.opts.Window)
	if bad != nil {
		return nil, nil, bad
	}
	if a, ok := l.answers.Get(key); ok {
		return a.replay(content)
	}
	if l.closed.Load() {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "the agent is stopping")
	}
	a := core.NewAttempt(l.rand.Uint64(), l.rand.Uint64())
	dec := l.await(ctx, key, a, now)
	if dec != core.Run {
		// The answer may have come while the call waited.
		if a, ok := l.answers.Get(key); ok {
			return a.replay(content)
		}
		return nil, nil, dec.Err()
	}
	l.opts.Metrics.Count("ledger_calls", 1)
	return &ticket{l: l, key: key, attempt: a, content: content}, nil, nil
}

// await returns the decision of a call. A call whose caller has gone, or whose
// time is over, does not run, whatever is decided afterwards.
func (l *Ledger) await(ctx context.Context, key core.Key, a core.Attempt, now time.Time) core.Decision {
	ch := make(chan core.Decision, 1)
	l.waiters.Put(a, ch)
	defer l.waiters.Delete(a)
	dec, start := l.table.Submit(key, a, now)
	if dec != core.Queued {
		return dec
	}
	if start {
		l.work(key.Document())
	}
	select {
	case dec = <-ch:
		return dec
	case <-ctx.Done():
	case <-l.clock.After(l.opts.MaxWait):
	case <-l.ctx.Done():
	}
	l.table.Cancel(key, a)
	select {
	case dec = <-ch:
	default:
	}
	if dec == core.Queued || dec == core.Run {
		return core.Unavailable
	}
	return dec
}

// deliver passes outcomes to their waiters.
func (l *Ledger) deliver(out []core.Outcome) {
	for _, o := range out {
		if ch, ok := l.waiters.Get(o.Attempt); ok {
			select {
			case ch <- o.Decision:
			default: // an attempt has one outcome, so this is not reached
			}
		}
	}
}

// kept is a remembered answer and the content of its call.
type kept struct {
	answer  *port.StoredAnswer
	content port.ContentDigest
}

// replay returns a copy of the answer that is marked as remembered. It refuses a
// call of another content: its caller would take the answer for its own.
func (k kept) replay(content port.ContentDigest) (port.LedgerClaim, *port.StoredAnswer, error) {
	if k.content != content {
		return nil, nil, core.ErrKeyReused()
	}
	c := *k.answer
	c.Head.Replayed = true
	return nil, &c, nil
}

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

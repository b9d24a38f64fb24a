// Package ledger ensures that calls that are not idempotent run at most once.
// It reads and writes the ledger's documents in the platform's key-value
// service as core/ledger decides, and blocks callers until the decision on
// their call.
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
	// WritesPerSecond limits the writes to the platform. The default is 5.
	WritesPerSecond float64
	// Window is the age up to which an idempotency key is accepted. The default
	// is 60 min.
	Window time.Duration
	// MaxAnswerBytes limits the memory of the answers that are stored for
	// retries. The default is 4 MiB.
	MaxAnswerBytes int64
	// MaxWait limits how long a call waits until its attempt is recorded. An
	// earlier deadline of the call takes precedence. The default is 5 s.
	MaxWait time.Duration
	// Metrics and Log may be nil.
	Metrics port.Metrics
	Log     port.Log
}

func (o Options) withDefaults() Options {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = 5
	}
	if o.Window <= 0 {
		o.Window = time.Hour
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = 4 << 20
	}
	if o.MaxWait <= 0 {
		o.MaxWait = 5 * time.Second
	}
	if o.Metrics == nil {
		o.Metrics = noMetrics{}
	}
	return o
}

// Ledger implements port.Ledger. It is created with New and needs Run to write
// final records and to remove expired state.
type Ledger struct {
	kv    port.KV
	codec port.LedgerCodec
	clock port.Clock
	rand  port.Rand
	opts  Options

	table        *core.Table
	answers      *core.ResponseCache[cachedAnswer]
	writeLimiter *core.WriteLimiter
	leases       *leases
	// waiters holds a channel per waiting attempt, which buffers one value and
	// receives the decision on the attempt.
	waiters *shard.Map[core.Attempt, chan core.Decision]

	ctx    context.Context
	cancel context.CancelFunc
	closed atomic.Bool

	workers *inflight.Counter

	mu      sync.Mutex // guards stopped, so that no worker starts once wg.Wait has begun
	stopped bool
	wg      conc.WaitGroup
}

var _ port.Ledger = (*Ledger)(nil)

// New returns a ledger whose documents are stored in kv, in the form of codec.
func New(kv port.KV, codec port.LedgerCodec, clock port.Clock, rand port.Rand, o Options) *Ledger {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		kv: kv, codec: codec, clock: clock, rand: rand, opts: o,
		table:        core.NewTable(o.Window),
		answers:      core.NewResponseCache[cachedAnswer](o.MaxAnswerBytes),
		writeLimiter: core.NewWriteLimiter(o.WritesPerSecond),
		waiters:      shard.New[core.Attempt, chan core.Decision](0),
		workers:      inflight.New(),
		ctx:          ctx, cancel: cancel,
	}
	l.leases = newLeases(l)
	return l
}

// SetRate changes the number of writes per second.
func (l *Ledger) SetRate(writesPerSecond float64) { l.writeLimiter.SetRate(writesPerSecond) }

// Begin implements port.Ledger.
func (l *Ledger) Begin(ctx context.Context, k port.LedgerKey, content port.ContentDigest) (port.LedgerClaim, *port.StoredAnswer, error) {
	now := l.clock.Now()
	key, keyErr := core.ParseKey(k.Service, k.Customer, k.Key, now, l.opts.Window)
	if keyErr != nil {
		return nil, nil, keyErr
	}
	if a, ok := l.answers.Get(key); ok {
		return a.replay(content)
	}
	if l.closed.Load() {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "the agent is stopping")
	}
	a := core.NewAttempt(l.rand.Uint64(), l.rand.Uint64())
	decision := l.await(ctx, key, a, now)
	if decision != core.Run {
		// The answer may have been stored while the call waited.
		if a, ok := l.answers.Get(key); ok {
			return a.replay(content)
		}
		return nil, nil, decision.Err()
	}
	l.opts.Metrics.Count("ledger_calls", 1)
	return &claim{l: l, key: key, attempt: a, content: content}, nil, nil
}

// await waits for the decision on a call. If the caller disconnects or the
// deadline passes first, the call does not run, whatever is decided later.
func (l *Ledger) await(ctx context.Context, key core.Key, a core.Attempt, now time.Time) core.Decision {
	ch := make(chan core.Decision, 1)
	l.waiters.Put(a, ch)
	defer l.waiters.Delete(a)
	decision, needsWorker := l.table.Submit(key, a, now)
	if decision != core.Queued {
		return decision
	}
	if needsWorker {
		l.startWorker(key.Document())
	}
	select {
	case decision = <-ch:
		return decision
	case <-ctx.Done():
	case <-l.clock.After(l.opts.MaxWait):
	case <-l.ctx.Done():
	}
	l.table.Cancel(key, a)
	select {
	case decision = <-ch:
	default:
	}
	if decision == core.Queued || decision == core.Run {
		return core.Unavailable
	}
	return decision
}

// deliver sends decisions to the calls that wait for them.
func (l *Ledger) deliver(out []core.Outcome) {
	for _, o := range out {
		if ch, ok := l.waiters.Get(o.Attempt); ok {
			select {
			case ch <- o.Decision:
			default: // not reached, because an attempt has only one outcome
			}
		}
	}
}

// cachedAnswer is an answer stored for retries, with the content digest of its
// call.
type cachedAnswer struct {
	answer  *port.StoredAnswer
	content port.ContentDigest
}

// replay returns a copy of the answer that is marked as replayed. It rejects a
// call with different content, whose caller would otherwise get the answer to
// another call.
func (c cachedAnswer) replay(content port.ContentDigest) (port.LedgerClaim, *port.StoredAnswer, error) {
	if c.content != content {
		return nil, nil, core.ErrKeyReused()
	}
	replayed := *c.answer
	replayed.Head.Replayed = true
	return nil, &replayed, nil
}

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

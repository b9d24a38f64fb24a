package feed

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/follow"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// network carries requests to hubs by address.
type network struct {
	hubs *shard.Map[fleet.Address, *Hub]
	cut  atomic.Bool
}

var errCut = errors.New("connection cut")

func (n *network) Feed(ctx context.Context, a fleet.Address, r port.FeedRequest) (port.FeedReply, error) {
	h, ok := n.hubs.Get(a)
	if n.cut.Load() || !ok {
		return port.FeedReply{}, errCut
	}
	return h.Feed(ctx, r)
}

// counted counts the calls that read a store.
type counted struct {
	*porttest.Store
	calls atomic.Int64
}

func (c *counted) List(ctx context.Context, prefix string) ([]port.StoreItem, int64, error) {
	c.calls.Add(1)
	return c.Store.List(ctx, prefix)
}

func (c *counted) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]port.StoreChange, int64, error) {
	c.calls.Add(1)
	return c.Store.Changes(ctx, prefix, after, wait)
}

// process is one that follows the prefix "p/".
type process struct {
	store  *counted
	source *Source
	hub    *Hub
	age    atomic.Int64 // of its confirmation
	seen   atomic.Pointer[string]
}

// bed has a store and processes that follow others in it.
type bed struct {
	t     *testing.T
	store *porttest.Store
	net   *network
	ctx   context.Context
	wg    conc.WaitGroup
}

func newBed(t *testing.T) *bed {
	ctx, cancel := context.WithCancel(context.Background())
	b := &bed{t: t, store: porttest.NewStore(), net: &network{hubs: shard.New[fleet.Address, *Hub](0)}, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		b.wg.Wait()
	})
	return b
}

// add starts a process that asks readers for changes.
func (b *bed) add(name string, readers ...string) *process {
	return b.addWith(name, Prefix{Wait: 20 * time.Millisecond}, readers...)
}

// addReader starts a process that reads the store, and returns once it has.
func (b *bed) addReader(name string) *process {
	p := b.add(name)
	b.until(func() bool { return p.source.Direct("p/") }, "%s has not listed", name)
	return p
}

// untilFed returns once a process follows another one.
func (b *bed) untilFed(p *process) {
	b.t.Helper()
	b.until(func() bool { _, fed := p.source.Fed("p/"); return fed }, "nothing is passed on")
}

func (b *bed) addWith(name string, prefix Prefix, readers ...string) *process {
	p := &process{store: &counted{Store: b.store}}
	var ms []core.Member
	for _, r := range readers {
		ms = append(ms, core.Member{ID: r, Address: fleet.Address(r)})
	}
	log := logging.New(io.Discard, "x", name)
	p.source = NewSource(p.store, b.net, sysclock.Clock{}, log, func() []core.Member { return ms },
		map[string]Prefix{"p/": prefix})
	p.hub = NewHub(sysclock.Clock{}, func() time.Duration { return time.Duration(p.age.Load()) })
	pass, seen := p.hub.Serve("p/", func() bool { return p.source.Direct("p/") })
	f := follow.New(p.source, "p/", 100*time.Millisecond, func() time.Duration { return time.Millisecond }, sysclock.Clock{}, log)
	f.Applied = seen
	b.net.hubs.Put(fleet.Address(name), p.hub)
	b.wg.Go(func() {
		f.Run(b.ctx, func(e follow.Event) {
			pass(e)
			for _, c := range e.Changes {
				v := string(c.Value)
				p.seen.Store(&v)
			}
		})
	})
	return p
}

func (b *bed) put(value string, ps ...*process) {
	b.t.Helper()
	b.store.Put("p/k", value)
	for i, p := range ps {
		b.until(func() bool { s := p.seen.Load(); return s != nil && *s == value }, "process %d does not see %s", i, value)
	}
}

func (b *bed) until(ok func() bool, format string, args ...any) {
	b.t.Helper()
	for start := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			b.t.Fatalf(format, args...)
		}
	}
}

// TestFollowersSpareTheStore guards against processes that all read each change
// from the store, which fills the links to its region.
func TestFollowersSpareTheStore(t *testing.T) {
	b := newBed(t)
	reader := b.addReader("r")
	follower := b.add("f", "r")
	b.put("1", reader, follower)
	b.untilFed(follower)
	before := follower.store.calls.Load()
	for _, v := range []string{"2", "3", "4", "5"} {
		b.put(v, reader, follower)
	}
	if n := follower.store.calls.Load() - before; n != 0 {
		t.Errorf("the follower made %d calls to the store", n)
	}
	if !reader.hub.Serving() || follower.hub.Serving() {
		t.Error("only the reader serves others")
	}
}

// TestReaderInTrouble guards against a follower that stays with a reader that is
// lost, or that the store has not confirmed for a while.
func TestReaderInTrouble(t *testing.T) {
	b := newBed(t)
	reader := b.addReader("r")
	follower := b.add("f", "r")
	b.put("1", reader, follower)
	b.untilFed(follower)
	reader.age.Store(int64(serveAge + time.Millisecond))
	b.until(func() bool { return follower.source.Direct("p/") }, "the follower stays with a stale reader")
	b.put("2", follower)
	reader.age.Store(0)
	b.untilFed(follower)
	b.net.cut.Store(true)
	b.until(func() bool { return follower.source.Direct("p/") }, "the follower stays with a lost reader")
	b.put("3", follower)
}

// TestMutualFollowers guards against two processes that pass old news to each
// other, because each takes the other for the first of the domain.
func TestMutualFollowers(t *testing.T) {
	b := newBed(t)
	x, y := b.add("x", "y"), b.add("y", "x")
	for _, v := range []string{"1", "2", "3"} {
		b.put(v, x, y)
	}
}

// TestConfirmationAge guards against a follower that takes a confirmation for
// younger than it is: a key that was taken away would be used for too long.
func TestConfirmationAge(t *testing.T) {
	b := newBed(t)
	reader := b.addReader("r")
	const age = 700 * time.Millisecond
	reader.age.Store(int64(age))
	follower := b.add("f", "r")
	b.untilFed(follower)
	now := sysclock.Clock{}.SinceBoot()
	if at, _ := follower.source.Fed("p/"); now-at < age || now-at > age+2*time.Second {
		t.Errorf("confirmed %v ago, want at least %v", now-at, age)
	}
}

// TestGap guards against a follower that takes changes for complete although the
// reader has not seen those right after the follower's revision.
func TestGap(t *testing.T) {
	b := newBed(t)
	b.store.Put("p/a", "1")
	b.store.Put("p/b", "1")
	reader := b.addReader("r")
	_, err := reader.hub.Feed(b.ctx, port.FeedRequest{Prefix: "p/", After: 1})
	if !errors.Is(err, ErrGap) {
		t.Errorf("error %v, want %v", err, ErrGap)
	}
	if _, err = reader.hub.Feed(b.ctx, port.FeedRequest{Prefix: "q/"}); !errors.Is(err, ErrNotReader) {
		t.Errorf("error %v, want %v", err, ErrNotReader)
	}
}

// TestPatientPrefix guards against dozens of processes that all list a large
// prefix at the store, at their start or when their reader is lost.
func TestPatientPrefix(t *testing.T) {
	b := newBed(t)
	b.store.Put("p/k", "1")
	p := b.addWith("f", Prefix{Wait: 20 * time.Millisecond, Patient: true}, "r")
	time.Sleep(2 * patientRetry)
	if p.store.calls.Load() != 0 {
		t.Fatal("the store was read although a reader may come")
	}
	reader := b.add("r")
	b.put("2", reader, p)
	b.net.cut.Store(true)
	b.store.Put("p/k", "3")
	time.Sleep(2 * patientRetry)
	if n := p.store.calls.Load(); n != 0 {
		t.Errorf("%d calls to the store", n)
	}
}

// TestNextReader guards against a follower that reads the store itself although
// the next reader is about to.
func TestNextReader(t *testing.T) {
	b := newBed(t)
	first := b.addReader("r1")
	second := b.add("r2", "r1")
	third := b.add("r3", "r1", "r2")
	b.put("1", first, second, third)
	b.untilFed(third)
	before := third.store.calls.Load()
	first.age.Store(int64(2 * serveAge))
	b.until(func() bool { return second.source.Direct("p/") }, "the second does not take over")
	b.put("2", second, third)
	b.put("3", second, third)
	if n := third.store.calls.Load() - before; n != 0 {
		t.Errorf("the third made %d calls to the store", n)
	}
}

// TestSilentStoreIsNoticed guards against a whole domain that misses changes for
// as long as one process waits on a connection that went silent.
func TestSilentStoreIsNoticed(t *testing.T) {
	w := &porttest.Waits{}
	s := NewSource(w, nil, sysclock.Clock{}, logging.New(io.Discard, "x", "1"), func() []core.Member { return nil },
		map[string]Prefix{"p/": {Direct: time.Second}})
	for prefix, want := range map[string]time.Duration{"p/": time.Second, "q/": time.Minute} {
		if _, _, err := s.Changes(context.Background(), prefix, 0, time.Minute); err != nil || w.Last != want {
			t.Errorf("%s: waits %v, want %v; %v", prefix, w.Last, want, err)
		}
	}
}

// TestLostReaderAfterQuiet guards against followers that list a prefix at the
// store after a quiet time, in which the store dropped its history.
func TestLostReaderAfterQuiet(t *testing.T) {
	b := newBed(t)
	reader := b.addReader("r")
	follower := b.add("f", "r")
	b.put("1", reader, follower)
	b.untilFed(follower)
	b.store.Put("q/other", "x")
	// Both have gone on by then, the reader at the store and the other behind it.
	time.Sleep(300 * time.Millisecond)
	b.store.Forget()
	lists := b.store.Lists()
	b.net.cut.Store(true)
	b.until(func() bool { return follower.source.Direct("p/") }, "the follower does not notice")
	b.put("2", follower)
	if n := b.store.Lists() - lists; n != 0 {
		t.Errorf("%d listings", n)
	}
}

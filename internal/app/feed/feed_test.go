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
	"github.com/masticwing/masticwing/internal/core/confirmation"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// network passes requests to servers by address.
type network struct {
	servers      *shard.Map[fleet.Address, *Server]
	disconnected atomic.Bool
}

var errDisconnected = errors.New("disconnected")

func (n *network) Feed(ctx context.Context, a fleet.Address, r port.FeedRequest) (port.FeedReply, error) {
	s, ok := n.servers.Get(a)
	if n.disconnected.Load() || !ok {
		return port.FeedReply{}, errDisconnected
	}
	return s.Feed(ctx, r)
}

// countingStore counts the calls of List and Changes.
type countingStore struct {
	*porttest.Store
	calls atomic.Int64
}

func (c *countingStore) List(ctx context.Context, prefix string) ([]port.StoreItem, int64, error) {
	c.calls.Add(1)
	return c.Store.List(ctx, prefix)
}

func (c *countingStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]port.StoreChange, int64, error) {
	c.calls.Add(1)
	return c.Store.Changes(ctx, prefix, after, wait)
}

// process is a process that follows the prefix "p/".
type process struct {
	store           *countingStore
	source          *Source
	server          *Server
	confirmationAge atomic.Int64           // age of the last confirmation
	seen            atomic.Pointer[string] // last value of the key
}

// testNetwork is a store with processes that follow it and each other.
type testNetwork struct {
	t     *testing.T
	store *porttest.Store
	net   *network
	ctx   context.Context
	wg    conc.WaitGroup
}

func newTestNetwork(t *testing.T) *testNetwork {
	ctx, cancel := context.WithCancel(context.Background())
	tn := &testNetwork{t: t, store: porttest.NewStore(), net: &network{servers: shard.New[fleet.Address, *Server](0)}, ctx: ctx}
	t.Cleanup(func() {
		cancel()
		tn.wg.Wait()
	})
	return tn
}

// add starts a process that asks readers for changes.
func (tn *testNetwork) add(name string, readers ...string) *process {
	return tn.addWithOptions(name, PrefixOptions{Wait: 20 * time.Millisecond}, readers...)
}

// addReader starts a process that reads the store, and returns once it has listed
// the prefix.
func (tn *testNetwork) addReader(name string) *process {
	p := tn.add(name)
	tn.waitUntil(func() bool { return p.source.FromStore("p/") }, "%s has not listed", name)
	return p
}

// waitUntilFollowing returns once process p reads from another one.
func (tn *testNetwork) waitUntilFollowing(p *process) {
	tn.t.Helper()
	tn.waitUntil(func() bool { _, following := p.source.FromReader("p/"); return following }, "the process follows no reader")
}

func (tn *testNetwork) addWithOptions(name string, options PrefixOptions, readers ...string) *process {
	p := &process{store: &countingStore{Store: tn.store}}
	var ms []core.Member
	for _, r := range readers {
		ms = append(ms, core.Member{ID: r, Address: fleet.Address(r)})
	}
	log := logging.New(io.Discard, "x", name)
	p.source = NewSource(p.store, tn.net, sysclock.Clock{}, log, func() []core.Member { return ms },
		map[string]PrefixOptions{"p/": options})
	p.server = NewServer(sysclock.Clock{}, func(string) (confirmation.Coverage, bool) {
		return confirmation.Coverage{At: sysclock.Clock{}.SinceBoot() - time.Duration(p.confirmationAge.Load())}, true
	})
	apply, seen := p.server.AddPrefix("p/", func() bool { return p.source.FromStore("p/") }, 0)
	f := follow.New(p.source, "p/", 100*time.Millisecond, func() time.Duration { return time.Millisecond }, sysclock.Clock{}, log)
	f.OnRevision = func(revision int64, _ time.Duration) { seen(revision) }
	tn.net.servers.Put(fleet.Address(name), p.server)
	tn.wg.Go(func() {
		f.Run(tn.ctx, func(e follow.Event) {
			apply(e)
			for _, c := range e.Changes {
				v := string(c.Value)
				p.seen.Store(&v)
			}
		})
	})
	return p
}

func (tn *testNetwork) put(value string, ps ...*process) {
	tn.t.Helper()
	tn.store.Put("p/k", value)
	for i, p := range ps {
		tn.waitUntil(func() bool { s := p.seen.Load(); return s != nil && *s == value }, "process %d does not see %s", i, value)
	}
}

func (tn *testNetwork) waitUntil(ok func() bool, format string, args ...any) {
	tn.t.Helper()
	for start := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			tn.t.Fatalf(format, args...)
		}
	}
}

// TestFollowersMakeNoStoreCalls guards against followers that also read each change
// from the store, which saturates the links to its region.
func TestFollowersMakeNoStoreCalls(t *testing.T) {
	tn := newTestNetwork(t)
	reader := tn.addReader("r")
	follower := tn.add("f", "r")
	tn.put("1", reader, follower)
	tn.waitUntilFollowing(follower)
	before := follower.store.calls.Load()
	for _, v := range []string{"2", "3", "4", "5"} {
		tn.put(v, reader, follower)
	}
	if n := follower.store.calls.Load() - before; n != 0 {
		t.Errorf("the follower made %d calls to the store", n)
	}
	if !reader.server.HasFollowers() || follower.server.HasFollowers() {
		t.Error("only the reader serves others")
	}
}

// TestStaleAndLostReader guards against a follower that stays with a reader that
// cannot be reached, or whose view the store has not confirmed for too long.
func TestStaleAndLostReader(t *testing.T) {
	tn := newTestNetwork(t)
	reader := tn.addReader("r")
	follower := tn.add("f", "r")
	tn.put("1", reader, follower)
	tn.waitUntilFollowing(follower)
	reader.confirmationAge.Store(int64(maxConfirmationAge + time.Millisecond))
	tn.waitUntil(func() bool { return follower.source.FromStore("p/") }, "the follower stays with a stale reader")
	tn.put("2", follower)
	reader.confirmationAge.Store(0)
	tn.waitUntilFollowing(follower)
	tn.net.disconnected.Store(true)
	tn.waitUntil(func() bool { return follower.source.FromStore("p/") }, "the follower stays with a lost reader")
	tn.put("3", follower)
}

// TestMutualFollowers guards against two processes that follow each other and miss
// changes, because each takes the other for a reader of the store.
func TestMutualFollowers(t *testing.T) {
	tn := newTestNetwork(t)
	x, y := tn.add("x", "y"), tn.add("y", "x")
	for _, v := range []string{"1", "2", "3"} {
		tn.put(v, x, y)
	}
}

// TestConfirmationAge guards against a follower that takes a confirmation for more
// recent than it is. A revoked API key would then be accepted for too long.
func TestConfirmationAge(t *testing.T) {
	tn := newTestNetwork(t)
	reader := tn.addReader("r")
	const confirmationAge = 700 * time.Millisecond
	reader.confirmationAge.Store(int64(confirmationAge))
	follower := tn.add("f", "r")
	tn.waitUntilFollowing(follower)
	now := sysclock.Clock{}.SinceBoot()
	if c, _ := follower.source.FromReader("p/"); now-c.At < confirmationAge || now-c.At > confirmationAge+2*time.Second {
		t.Errorf("confirmed %v ago, want at least %v", now-c.At, confirmationAge)
	}
}

// isAtLeast reports whether an age is known and at least as long as d.
func isAtLeast(a moment.Age, d time.Duration) bool {
	age, known := a.Get()
	return known && age >= d
}

// lateReply is a port.FeedClient whose replies arrive late.
type lateReply time.Duration

func (l lateReply) Feed(_ context.Context, _ fleet.Address, r port.FeedRequest) (port.FeedReply, error) {
	time.Sleep(r.Wait + time.Duration(l))
	return port.FeedReply{At: 2, Changes: []core.Change{{Key: "p/k", Revision: 2, Age: moment.KnownAge(time.Second)}}}, nil
}

// TestLateReplyAgesItsChanges guards against a change that counts as new because this process,
// or its connection, stood still while the reply was on its way.
func TestLateReplyAgesItsChanges(t *testing.T) {
	const late = 100 * time.Millisecond
	readers := func() []core.Member { return []core.Member{{ID: "r", Address: "r"}} }
	s := NewSource(nil, lateReply(late), sysclock.Clock{}, logging.New(io.Discard, "x", "1"), readers, nil)
	changes, _, err := s.Changes(context.Background(), "p/", 1, 10*time.Millisecond)
	if err != nil || len(changes) != 1 || !isAtLeast(changes[0].Age, time.Second+late) {
		t.Errorf("got %+v, %v; want a change with an age of at least %v", changes, err, time.Second+late)
	}
}

// TestMissingHistory guards against a follower that takes changes for complete
// although the reader does not know those right after the follower's revision, and
// against a reply for a prefix that the reader does not serve.
func TestMissingHistory(t *testing.T) {
	tn := newTestNetwork(t)
	tn.store.Put("p/a", "1")
	tn.store.Put("p/b", "1")
	reader := tn.addReader("r")
	_, err := reader.server.Feed(tn.ctx, port.FeedRequest{Prefix: "p/", After: 1})
	if !errors.Is(err, ErrGap) {
		t.Errorf("error %v, want %v", err, ErrGap)
	}
	if _, err = reader.server.Feed(tn.ctx, port.FeedRequest{Prefix: "q/"}); !errors.Is(err, ErrNotReader) {
		t.Errorf("error %v, want %v", err, ErrNotReader)
	}
}

// TestPreferReaders guards against dozens of processes that all list a large prefix
// at the store, at their start or after the loss of their reader.
func TestPreferReaders(t *testing.T) {
	tn := newTestNetwork(t)
	tn.store.Put("p/k", "1")
	p := tn.addWithOptions("f", PrefixOptions{Wait: 20 * time.Millisecond, PreferReaders: true}, "r")
	time.Sleep(2 * readerRetryPause)
	if p.store.calls.Load() != 0 {
		t.Fatal("the store was read although a reader may become available")
	}
	reader := tn.add("r")
	tn.put("2", reader, p)
	tn.net.disconnected.Store(true)
	tn.store.Put("p/k", "3")
	time.Sleep(2 * readerRetryPause)
	if n := p.store.calls.Load(); n != 0 {
		t.Errorf("%d calls to the store", n)
	}
}

// TestNextReader guards against a follower that reads the store itself after the
// loss of its reader, although the next reader is about to take over.
func TestNextReader(t *testing.T) {
	tn := newTestNetwork(t)
	first := tn.addReader("r1")
	second := tn.add("r2", "r1")
	third := tn.add("r3", "r1", "r2")
	tn.put("1", first, second, third)
	tn.waitUntilFollowing(third)
	before := third.store.calls.Load()
	first.confirmationAge.Store(int64(2 * maxConfirmationAge))
	tn.waitUntil(func() bool { return second.source.FromStore("p/") }, "the second does not take over")
	tn.put("2", second, third)
	tn.put("3", second, third)
	if n := third.store.calls.Load() - before; n != 0 {
		t.Errorf("the third made %d calls to the store", n)
	}
}

// TestMaxStoreWait guards against a whole domain that misses changes for as long as
// its reader waits on a dead connection.
func TestMaxStoreWait(t *testing.T) {
	w := &porttest.WaitRecorder{}
	s := NewSource(w, nil, sysclock.Clock{}, logging.New(io.Discard, "x", "1"), func() []core.Member { return nil },
		map[string]PrefixOptions{"p/": {MaxStoreWait: time.Second}})
	for prefix, want := range map[string]time.Duration{"p/": time.Second, "q/": time.Minute} {
		if _, _, err := s.Changes(context.Background(), prefix, 0, time.Minute); err != nil || w.LastWait != want {
			t.Errorf("%s: waits %v, want %v; %v", prefix, w.LastWait, want, err)
		}
	}
}

// TestLostReaderAfterQuiet guards against followers that list a prefix at the store
// when their reader is lost after a time without changes, in which the store dropped
// its history.
func TestLostReaderAfterQuiet(t *testing.T) {
	tn := newTestNetwork(t)
	reader := tn.addReader("r")
	follower := tn.add("f", "r")
	tn.put("1", reader, follower)
	tn.waitUntilFollowing(follower)
	tn.store.Put("q/other", "x")
	// By then both know the new revision: the reader from the store, the follower
	// from the reader.
	time.Sleep(300 * time.Millisecond)
	tn.store.CompactHistory()
	lists := tn.store.ListCalls()
	tn.net.disconnected.Store(true)
	tn.waitUntil(func() bool { return follower.source.FromStore("p/") }, "the follower does not notice the lost reader")
	tn.put("2", follower)
	if n := tn.store.ListCalls() - lists; n != 0 {
		t.Errorf("%d listings", n)
	}
}

// steppedClock is the system clock with a time of day that a test sets.
type steppedClock struct {
	sysclock.Clock
	step time.Duration
}

func (c *steppedClock) Now() time.Time { return time.Now().Add(c.step) }

// TestFollowersAreCountedAcrossClockSteps guards against a reader that takes itself to have no
// followers after a step of the time of day, and then confirms its view too rarely for them.
func TestFollowersAreCountedAcrossClockSteps(t *testing.T) {
	clock := &steppedClock{}
	s := NewServer(clock, func(string) (confirmation.Coverage, bool) { return confirmation.Coverage{At: clock.SinceBoot()}, true })
	if s.HasFollowers() {
		t.Error("a server without requests has followers")
	}
	_, _ = s.Feed(context.Background(), port.FeedRequest{Prefix: "p/"})
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		if clock.step = step; !s.HasFollowers() {
			t.Errorf("no followers after a step of %v", step)
		}
	}
}

// heldFeed is a port.FeedClient whose replies say that the reader held the request for held.
type heldFeed struct{ age, held time.Duration }

func (f heldFeed) Feed(context.Context, fleet.Address, port.FeedRequest) (port.FeedReply, error) {
	return port.FeedReply{At: 1, Age: f.age, Held: f.held}, nil
}

// steppingClock advances by step whenever the time since boot is read.
type steppingClock struct {
	sysclock.Clock
	now  *time.Duration
	step time.Duration
}

func (c steppingClock) SinceBoot() time.Duration {
	*c.now += c.step
	return *c.now
}

// TestHeldRequestDoesNotAgeConfirmation guards against a follower that takes a confirmation to be
// older by the time for which its reader waited for changes, and against a reader's statement
// that dates the confirmation after the reply.
func TestHeldRequestDoesNotAgeConfirmation(t *testing.T) {
	const waited, age = time.Second, 200 * time.Millisecond
	for held, want := range map[time.Duration]time.Duration{
		0: age + waited, 900 * time.Millisecond: age + 100*time.Millisecond, 5 * time.Second: age,
	} {
		now := time.Hour
		readers := func() []core.Member { return []core.Member{{ID: "r", Address: "r"}} }
		s := NewSource(nil, heldFeed{age, held}, steppingClock{now: &now, step: waited}, logging.New(io.Discard, "x", "1"), readers, nil)
		if _, _, err := s.Changes(context.Background(), "p/", 0, waited); err != nil {
			t.Fatal(err)
		}
		if c, _ := s.FromReader("p/"); now-c.At != want {
			t.Errorf("held for %v: confirmed %v ago, want %v", held, now-c.At, want)
		}
	}
}

// TestAgeCountsUntilReply guards against a reader that stands still between the check of its
// confirmation and the reply, and states a time of the reply at which it was older.
func TestAgeCountsUntilReply(t *testing.T) {
	now := time.Hour
	const step, age = 10 * time.Millisecond, 200 * time.Millisecond
	confirmed := confirmation.Coverage{At: now - age}
	s := NewServer(steppingClock{now: &now, step: step}, func(string) (confirmation.Coverage, bool) { return confirmed, true })
	apply, _ := s.AddPrefix("p/", func() bool { return true }, 0)
	apply(follow.Event{Reset: true, At: 1, Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "p/k", Revision: 1}}}})
	reply, err := s.Feed(context.Background(), port.FeedRequest{Prefix: "p/", After: core.FromStart})
	if err != nil || reply.Age < age+step {
		t.Errorf("the confirmation is %v old at the reply, error %v; want at least %v", reply.Age, err, age+step)
	}
}

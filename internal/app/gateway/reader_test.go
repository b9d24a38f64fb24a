package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/app/follow"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// readerFeed is a port.FeedClient that asks one gateway.
type readerFeed struct{ *Gateway }

func (f *readerFeed) Feed(ctx context.Context, _ fleet.Address, r port.FeedRequest) (port.FeedReply, error) {
	return f.feedServer.Feed(ctx, r)
}

// conflictStore is a store whose conflicts contain the current items, as those of the
// platform's store do.
type conflictStore struct{ *porttest.Store }

func (s conflictStore) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	err := s.Store.Commit(ctx, expect, writes)
	if err != port.ErrConflict {
		return err
	}
	items, _, listErr := s.List(ctx, "op/")
	if listErr != nil {
		return listErr
	}
	var current []port.StoreItem
	for _, it := range items {
		for _, e := range expect {
			if e.Key == it.Key {
				current = append(current, it)
			}
		}
	}
	return &port.ConflictError{Current: current}
}

// following is a gateway whose operator keys a test reads step by step, as its follower does.
type following struct {
	*Gateway
	t      *testing.T
	after  int64
	reader *readerFeed
}

// newFollowing returns a gateway that has listed the operator keys of a store. It asks a reader
// for changes unless that is nil.
func newFollowing(t *testing.T, base *testGateway, store port.Store, reader *Gateway) *following {
	t.Helper()
	deps := base.deps
	feed := &readerFeed{reader}
	deps.Store, deps.Feed = store, feed
	g := New(base.settings, deps)
	if reader != nil {
		g.view.readers.Store(&[]core.Member{{ID: "r", Address: "r"}})
	}
	items, at, err := g.source.List(context.Background(), "op/")
	if err != nil {
		t.Fatal(err)
	}
	e := follow.Event{Reset: true, At: at, ReadAt: base.clock.SinceBoot()}
	for _, it := range items {
		e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
	}
	g.applyOperatorKeys(e)
	return &following{g, t, at, feed}
}

// poll makes one call for changes and applies the reply.
func (f *following) poll() {
	f.t.Helper()
	changes, at, err := f.source.Changes(context.Background(), "op/", f.after, time.Millisecond)
	if err != nil {
		f.t.Fatal(err)
	}
	f.apply(changes, at)
}

// apply applies a reply, as the gateway's follower does.
func (f *following) apply(changes []port.StoreChange, at int64) {
	f.after = at
	if len(changes) > 0 {
		f.applyOperatorKeys(follow.Event{Changes: changes, At: at})
	}
	f.operatorFollower.OnRevision(at, f.deps.Clock.SinceBoot())
}

func (f *following) required() int64 {
	return f.view.declarations.Load().weights["m"].Required(f.settings.WeightsBound-weightsMargin, f.deps.Clock.SinceBoot())
}

// TestFollowerLearnsWhatCheckOfReaderFound guards against a follower that adopts its reader's
// confirmations but never gets a change which the reader's watch did not report and its check
// found: the revision of the change is below the one from which the follower continues.
func TestFollowerLearnsWhatCheckOfReaderFound(t *testing.T) {
	base, fake := newEngineGateway(t)
	store := conflictStore{fake}
	reader := newFollowing(t, base, store, nil)
	follower := newFollowing(t, base, store, reader.Gateway)
	reader.poll()
	reader.confirmView(context.Background())

	// No watch reports the declaration. A later change of another prefix moves both past it.
	fake.PutWithoutWatch(weightsKey, "")
	fake.Put("other/x", "")
	for range 20 {
		base.clock.advance(readerConfirmInterval - confirmRetryDelay)
		reader.poll()
		follower.poll()
		base.clock.advance(confirmRetryDelay)
		// The first call finds the declaration, and the view is confirmed after a pause.
		if pause := reader.confirmView(context.Background()); pause == confirmRetryDelay {
			base.clock.advance(pause)
			reader.confirmView(context.Background())
		}
	}
	if _, fromReader := follower.source.FromReader("op/"); !fromReader {
		t.Fatal("the gateway does not follow its reader")
	}
	if n := reader.required(); n != 2 {
		t.Errorf("12 s after the declaration the reader may use version %d, want 2", n)
	}
	age, _ := follower.viewAge()
	if n := follower.required(); n != 2 {
		t.Errorf("12 s after the declaration the follower may use version %d, want 2; it takes its view to be confirmed %v ago and checks it in %v",
			n, age, follower.untilNextConfirm())
	}
}

// TestFollowerRefusesKeyWhoseRemovalCheckOfReaderFound is the same for an API key: the follower
// accepts it although its reader knows that it was removed.
func TestFollowerRefusesKeyWhoseRemovalCheckOfReaderFound(t *testing.T) {
	base, fake := newEngineGateway(t)
	store := conflictStore{fake}
	withKey := engineConfig
	withKey.Config.Accounts = []routes.Account{{Name: "t", Keys: []string{"k"}}}
	base.decodedItems["op/config"] = withKey
	reader := newFollowing(t, base, store, nil)
	follower := newFollowing(t, base, store, reader.Gateway)
	reader.poll()
	reader.confirmView(context.Background())

	withoutKey := withKey
	withoutKey.Config.Version++
	withoutKey.Config.Accounts = []routes.Account{{Name: "t", Keys: []string{"other"}}}
	base.decodedItems["op/config"] = withoutKey
	fake.PutWithoutWatch("op/config", "")
	fake.Put("other/x", "")
	for range 20 {
		base.clock.advance(readerConfirmInterval - confirmRetryDelay)
		reader.poll()
		follower.poll()
		base.clock.advance(confirmRetryDelay)
		if pause := reader.confirmView(context.Background()); pause == confirmRetryDelay {
			base.clock.advance(pause)
			reader.confirmView(context.Background())
		}
	}
	if _, ok := reader.view.routeTable.Load().Account("k"); ok {
		t.Error("the reader accepts the removed key")
	}
	age, _ := follower.viewAge()
	if _, ok := follower.view.routeTable.Load().Account("k"); ok && age < follower.settings.KeyBound-keyBoundMargin {
		t.Errorf("the follower accepts a key 12 s after its removal, in a view confirmed %v ago", age)
	}
}

// slowCommits is a store whose commits take a while until their response arrives.
type slowCommits struct {
	port.Store
	clock *clock
	took  time.Duration
}

func (s slowCommits) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	err := s.Store.Commit(ctx, expect, writes)
	s.clock.advance(s.took)
	return err
}

// TestConfirmationsAreDatedAtTheirStart guards against a check or a listing that confirms the
// view at its end, although the keys may have changed since its start.
func TestConfirmationsAreDatedAtTheirStart(t *testing.T) {
	const took = 3 * time.Second
	base, store := newEngineGateway(t)
	base.deps.Store = slowCommits{store, base.clock, took}
	base.confirmView(context.Background())
	if age, _ := base.viewAge(); age != took {
		t.Errorf("a check that took %v confirms the view %v ago", took, age)
	}
	gw := newUnconfirmedGateway(t, route)
	gw.view.applyOperatorKeys(follow.Event{Reset: true, At: 1, ReadAt: gw.clock.SinceBoot() - took})
	if age, _ := gw.viewAge(); age != took {
		t.Errorf("a listing that began %v ago confirms the view %v ago", took, age)
	}
}

// TestStatedAgeCounts guards against a gateway that counts the bound from its own confirmation,
// although its reader states that the declaration may be older.
func TestStatedAgeCounts(t *testing.T) {
	const age = 4 * time.Second
	gw, _ := newEngineGateway(t)
	e := lateDeclaration
	e.Changes = []port.StoreChange{{StoreItem: e.Changes[0].StoreItem, Age: moment.KnownAge(age)}}
	gw.applyOperatorKeys(e)
	if n := gw.requiredAfter(gw.settings.WeightsBound - weightsMargin - age); n != 2 {
		t.Errorf("version %d may serve requests at the end of the bound, want 2", n)
	}
}

// isAtLeast reports whether an age is known and at least as long as d.
func isAtLeast(a moment.Age, d time.Duration) bool {
	age, known := a.Get()
	return known && age >= d
}

// TestReaderStatesAgeOfLateChange guards against a reader that learns of a declaration late and
// passes it on as new.
func TestReaderStatesAgeOfLateChange(t *testing.T) {
	const late = 5 * time.Second
	base, fake := newEngineGateway(t)
	reader := newFollowing(t, base, conflictStore{fake}, nil)
	reader.poll()
	reader.confirmView(context.Background())
	fake.Put(weightsKey, "")
	base.clock.advance(late)
	reader.poll()
	reader.view.confirmations.Check(base.clock.SinceBoot()) // without it the reader refuses
	reply, err := reader.feedServer.Feed(context.Background(), port.FeedRequest{Prefix: "op/", After: 1})
	if err != nil || len(reply.Changes) != 1 || !isAtLeast(reply.Changes[0].Age, late-confirmationSlack) {
		t.Errorf("got %+v, %v; want a change with an age of at least %v", reply.Changes, err, late-confirmationSlack)
	}
}

// TestTargetsAreNotConfirmedByCheckOfOperatorKeys guards against a reader whose watch of the
// targets gets no responses and that still serves them to its followers as current, because its
// checks of the operator keys succeed.
func TestTargetsAreNotConfirmedByCheckOfOperatorKeys(t *testing.T) {
	base, fake := newEngineGateway(t)
	reader := newFollowing(t, base, conflictStore{fake}, nil)
	targets := reader.newFollower("targets/", time.Millisecond)
	apply := reader.publishThenApply(targets, reader.view.applyTargets)
	_, at, err := reader.source.List(context.Background(), "targets/")
	if err != nil {
		t.Fatal(err)
	}
	apply(follow.Event{Reset: true, At: at, ReadAt: base.clock.SinceBoot()})
	reader.poll()
	// The target's entry changes while the call for changes gets no response.
	fake.PutWithoutWatch("targets/a", "draining")
	const storeWatchMargin = 1500 * time.Millisecond // platform.watchMargin
	for silent := time.Duration(0); silent < storeWaitTargets+storeWatchMargin; silent += readerConfirmInterval {
		base.clock.advance(readerConfirmInterval)
		reader.confirmView(context.Background())
		reply, err := reader.feedServer.Feed(context.Background(), port.FeedRequest{Prefix: "targets/", After: at})
		if err == nil && silent+readerConfirmInterval > 2*time.Second {
			t.Errorf("%v after the last response about targets the reader serves them, confirmed %v ago, with %d changes",
				silent+readerConfirmInterval, reply.Age, len(reply.Changes))
		}
	}
}

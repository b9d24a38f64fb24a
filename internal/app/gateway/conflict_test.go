package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// shortConflicts is a store whose conflicts have items only if they leave out the configuration, as long ones do.
type shortConflicts struct{ *porttest.Store }

func (s shortConflicts) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	err := s.Store.Commit(ctx, expect, writes)
	for _, e := range expect {
		if err != nil && e.Key == "op/config" {
			return port.ErrConflict
		}
	}
	return err
}

// TestConflictOfLongConfiguration guards against a gateway that lists a long configuration which its reader is about to
// pass on, against one without a reader that never fetches it, and against a cordon that is not in force until the
// configuration has arrived.
func TestConflictOfLongConfiguration(t *testing.T) {
	base, fake := newEngineGateway(t)
	store := shortConflicts{fake}
	listed := func(f *following) int {
		before := fake.ListCalls()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		f.operatorFollower.Run(ctx, f.applyOperatorKeys)
		return fake.ListCalls() - before
	}
	reader := newFollowing(t, base, store, nil)
	follower := newFollowing(t, base, store, reader.Gateway)
	reader.poll()
	reader.confirmView(context.Background())
	follower.poll()
	base.clock.advance(readerConfirmInterval)
	fake.PutWithoutWatch("op/config", "")
	fake.PutWithoutWatch("op/cordon/a", "")
	base.decodedItems["op/cordon/a"] = port.CordonItem{Domain: "a"}

	follower.confirmView(context.Background())
	if !follower.view.declarations.Load().cordons["a"] {
		t.Error("the cordon is not in force")
	}
	if _, _, refuted := follower.view.refutedAgo(); refuted {
		t.Error("the view counts as refuted although only the cordon was known to differ, which is in force")
	}
	// The first check found the cordon, this one finds the configuration.
	follower.confirmView(context.Background())
	if !follower.awaitsChange() {
		t.Error("a gateway that follows a reader does not wait for it")
	}
	if first, _, refuted := follower.view.refutedAgo(); !refuted || first != 0 {
		t.Errorf("refuted %v, %v ago", refuted, first)
	}
	base.clock.advance(maxFollowedWait)
	if follower.awaitsChange() {
		t.Error("a gateway waits without end for a reader that does not pass the change on")
	}
	reader.confirmView(context.Background())
	reader.confirmView(context.Background())
	base.clock.advance(receiptTimeout)
	if reader.awaitsChange() {
		t.Error("a gateway that receives nothing waits without end")
	}
	if n := listed(reader); n < 1 {
		t.Error("the reader has not listed the keys")
	}
}

// TestConflictOfReplacedView guards against a listing of a long configuration because a check from before it was applied
// found it.
func TestConflictOfReplacedView(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.deps.Store = porttest.NewStore()
	expect := gw.view.expectedRevisions()
	gw.applyConfig(2, route)
	if gw.view.holds(expect) {
		t.Error("the view counts as that of a check from before it changed")
	}
	gw.handleConflict(context.Background(), expect, gw.clock.SinceBoot(), port.ErrConflict)
	if gw.operatorFollower.RelistDue() {
		t.Error("the keys are listed again")
	}
	gw.clock.advance(time.Second)
	gw.handleConflict(context.Background(), gw.view.expectedRevisions(), gw.clock.SinceBoot(), port.ErrConflict)
	gw.clock.advance(receiptTimeout)
	gw.handleConflict(context.Background(), gw.view.expectedRevisions(), gw.clock.SinceBoot(), port.ErrConflict)
	if !gw.operatorFollower.RelistDue() {
		t.Error("the keys are not listed again although the current view is refuted")
	}
}

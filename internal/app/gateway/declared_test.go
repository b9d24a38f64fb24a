package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/app/feed"
	"github.com/masticwing/masticwing/internal/app/follow"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

const weightsKey = "op/weights/m"

// WeightsKey returns the key under which the version of a model's weights is declared.
func (decodedItems) WeightsKey(m fleet.Model) string { return "op/weights/" + string(m) }

// newEngineGateway returns a gateway whose view is confirmed and has model m, whose weights
// were never declared.
func newEngineGateway(t *testing.T) (*testGateway, *porttest.Store) {
	t.Helper()
	gw, store := newTestGateway(t, route), porttest.NewStore()
	gw.deps.Store = store
	gw.source = feed.NewSource(store, nil, gw.clock, gw.deps.Log, func() []core.Member { return nil }, nil)
	store.Put("op/config", "")
	if _, _, err := gw.source.List(context.Background(), "op/"); err != nil {
		t.Fatal(err)
	}
	gw.decodedItems["op/config"] = port.ConfigItem{Config: routes.Config{Version: 2, Routes: []routes.Route{route}, Services: []routes.Service{
		{Name: "s", Engine: &routes.Engine{Slots: 4, Models: []fleet.Model{"m"}}},
	}}}
	gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 2}
	gw.applyOperatorKeys(follow.Event{Reset: true, At: 1, Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "op/config", Revision: 1}}}})
	gw.confirmView(context.Background())
	return gw, store
}

// lateDeclaration is the change that reports the declaration of version 2.
var lateDeclaration = follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: weightsKey, Revision: 2}}}}

// requiredAfter returns the oldest weights of model m that may serve requests d from now.
func (gw *testGateway) requiredAfter(d time.Duration) int64 {
	return gw.view.declarations.Load().minWeightsVersion("m", gw.settings.WeightsBound-weightsMargin, gw.clock.Now().Add(d))
}

// TestFirstDeclarationIsNotDatedByLaterCheck guards against old weights that are used after
// their bound, because a check of known keys passed between a model's first declaration and
// its arrival.
func TestFirstDeclarationIsNotDatedByLaterCheck(t *testing.T) {
	gw, store := newEngineGateway(t)
	store.Put(weightsKey, "")
	const late = 4 * time.Second
	gw.clock.advance(late)
	gw.confirmView(context.Background())
	gw.applyOperatorKeys(lateDeclaration)
	if n := gw.requiredAfter(gw.settings.WeightsBound - weightsMargin - late + usualConfirmationAge); n != 2 {
		t.Errorf("version %d may serve requests at the end of the bound, want 2", n)
	}
}

// TestReaderPassesOnFirstDeclarationBeforeConfirming guards against followers that adopt a
// confirmation which the reader's missing declaration is not part of.
func TestReaderPassesOnFirstDeclarationBeforeConfirming(t *testing.T) {
	gw, store := newEngineGateway(t)
	store.Put(weightsKey, "")
	gw.clock.advance(time.Second)
	gw.confirmView(context.Background())
	reply, err := gw.feedServer.Feed(context.Background(), port.FeedRequest{Prefix: "op/", After: 1})
	if err != nil {
		return // not confirmed
	}
	if reply.Age < time.Second && len(reply.Changes) == 0 {
		t.Errorf("the reader confirms %v ago a view without the declaration made 1 s ago", reply.Age)
	}
}

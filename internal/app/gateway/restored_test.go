package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/storeera"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

func storeChange(key string, revision int64) port.StoreChange {
	return port.StoreChange{StoreItem: port.StoreItem{Key: key, Revision: revision}}
}

// TestRestoredStoreSetsNothingBack guards against an older configuration or declaration that a restored store
// returns and that is put in force again, and against a cordon that ends, or is expected in the store, while
// the store lacks it.
func TestRestoredStoreSetsNothingBack(t *testing.T) {
	gw, _ := newEngineGateway(t)
	gw.decodedItems["op/cordon"] = port.CordonItem{Domain: "a"}
	gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 3}
	gw.applyOperatorKeys(follow.Event{At: 9, Changes: []port.StoreChange{storeChange(weightsKey, 8), storeChange("op/cordon", 9)}})
	if n := gw.requiredAfter(time.Hour); n != 3 {
		t.Fatalf("weights %d are required", n)
	}
	older := engineConfig.Config
	older.Version--
	gw.decodedItems["op/config"] = port.ConfigItem{Config: older}
	gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 2}
	at := storeera.Stamp(1, 5)
	gw.applyOperatorKeys(follow.Event{Reset: true, Restored: true, At: at, ReadAt: gw.clock.SinceBoot(), Changes: []port.StoreChange{
		storeChange("op/config", storeera.Stamp(1, 3)), storeChange(weightsKey, at), storeChange("op/cordon", 9),
	}})
	if v := gw.view.routeTable.Load().Version; v != engineConfig.Config.Version {
		t.Errorf("configuration %d is in force", v)
	}
	if n := gw.requiredAfter(time.Hour); n != 3 {
		t.Errorf("weights %d are required", n)
	}
	if !gw.view.declarations.Load().cordons[fleet.Domain("a")] {
		t.Error("the cordon has ended")
	}
	for _, p := range gw.view.expectedRevisions() {
		if era := storeera.Era(p.Revision); p.Revision != 0 && era != 1 || p.Key == "op/cordon" && p.Revision != 0 {
			t.Errorf("%s is expected at %d of era %d", p.Key, p.Revision, era)
		}
	}
	gw.applyOperatorKeys(follow.Event{At: at + 1, Changes: []port.StoreChange{
		{StoreItem: port.StoreItem{Key: "op/cordon", Revision: at + 1}, Removed: true},
	}})
	if gw.view.declarations.Load().cordons[fleet.Domain("a")] {
		t.Error("the cordon stays")
	}
}

// restoredStore fails each commit as one with preconditions of an older era.
type restoredStore struct{ *porttest.Store }

func (restoredStore) Commit(context.Context, []port.Precondition, []port.StoreWrite) error {
	return port.ErrHistoryGone
}

// TestCheckAfterRestoreConfirmsNothing guards against a view that counts as confirmed by a check of revisions
// of the old era.
func TestCheckAfterRestoreConfirmsNothing(t *testing.T) {
	gw, store := newEngineGateway(t)
	before, _ := gw.view.confirmations.Newest()
	gw.deps.Store = restoredStore{store}
	time.Sleep(time.Millisecond)
	gw.confirmView(context.Background())
	if at, _ := gw.view.confirmations.Newest(); at != before {
		t.Errorf("confirmed at %v, before at %v", at, before)
	}
}

// TestEvidenceStaysThroughRestore guards against evidence that ends, or goes unwritten, because a restored store
// lacks it.
func TestEvidenceStaysThroughRestore(t *testing.T) {
	const subject = quarantine.Subject("p-1")
	gw := newTestGateway(t, routes.Route{})
	key := gw.deps.Decoder.Prefixes().Quarantine + string(subject)
	gw.decodedItems[key] = port.QuarantineItem{Subject: subject, Evidence: quarantine.Evidence{Losses: 3}}
	gw.applyEvidence(follow.Event{Reset: true, At: 7, Changes: []port.StoreChange{storeChange(key, 7)}})
	for _, restored := range []bool{true, false} { // the listing of the new era, and a further one
		gw.applyEvidence(follow.Event{Reset: true, Restored: restored, At: storeera.Stamp(1, 3), Changes: []port.StoreChange{storeChange(key, 7)}})
		if us := gw.quarantine.Updates(8, gw.clock.Now()); len(us) != 1 || us[0].Subject != subject || us[0].Expect != 0 {
			t.Errorf("evidence to write: %+v", us)
		}
	}
}

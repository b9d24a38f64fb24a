package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/app/feed"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/weightsbound"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// fixedAgeFeed is a port.FeedClient whose replies carry no changes and a confirmation of
// this age for a view.
type fixedAgeFeed struct {
	age  time.Duration
	view confirmation.Digest
}

func (f fixedAgeFeed) Feed(context.Context, fleet.Address, port.FeedRequest) (port.FeedReply, error) {
	return port.FeedReply{At: 1, Age: f.age, View: f.view}, nil
}

// TestReaderConfirmationIsAdopted guards against a gateway that refuses requests with API
// keys although its reader confirms them, and against an older confirmation that replaces
// a newer one.
func TestReaderConfirmationIsAdopted(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.clock.advance(6 * time.Second)
	if c := gw.request(newInbound()); c.refused == nil {
		t.Fatal("a request with an API key was served from a view confirmed 6 s ago")
	}
	revisions := map[string]int64{}
	for _, p := range gw.view.expectedRevisions() {
		revisions[p.Key] = p.Revision
	}
	adopt := func(age time.Duration, view confirmation.Digest) {
		readers := func() []core.Member { return []core.Member{{ID: "r", Address: "r"}} }
		gw.source = feed.NewSource(nil, fixedAgeFeed{age, view}, gw.clock, logging.New(gw.log, "x", "1"), readers, nil)
		if _, _, err := gw.source.Changes(context.Background(), gw.operatorFollower.Prefix, 0, time.Second); err != nil {
			t.Fatal(err)
		}
		gw.adoptReaderConfirmation()
	}
	adopt(time.Second, 0)                            // from an older build, which does not state its view
	adopt(time.Second, confirmation.DigestOf(nil)+1) // of another view
	if age, ok := gw.viewAge(); !ok || age != 6*time.Second {
		t.Errorf("confirmed %v ago after confirmations of other views, want 6 s", age)
	}
	adopt(time.Second, confirmation.DigestOf(revisions))
	if age, ok := gw.viewAge(); !ok || age != time.Second {
		t.Errorf("confirmed %v ago, want 1 s", age)
	}
	if c := gw.request(newInbound()); c.status != 200 {
		t.Errorf("refused: %v", c.refused)
	}
	adopt(3*time.Second, confirmation.DigestOf(revisions))
	if age, ok := gw.viewAge(); !ok || age != time.Second {
		t.Errorf("confirmed %v ago after an older confirmation, want 1 s", age)
	}
}

// TestConfirmInterval guards against a gateway that asks the store for confirmations that
// its reader provides, and against a reader that confirms too rarely for its followers.
func TestConfirmInterval(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.clock.advance(time.Second)
	if d := gw.untilNextConfirm(); d != confirmInterval-time.Second {
		t.Errorf("next check in %v, want %v", d, confirmInterval-time.Second)
	}
	_, _ = gw.feedServer.Feed(context.Background(), port.FeedRequest{Prefix: "op/"})
	if d := gw.untilNextConfirm(); d != readerConfirmInterval-time.Second {
		t.Errorf("next check of a gateway with followers in %v, want %v", d, readerConfirmInterval-time.Second)
	}
}

// TestConflictUpdatesView guards against listing a configuration that the conflict already
// contains, and against missing the removal of a cordon, which no conflict contains.
func TestConflictUpdatesView(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.decodedItems["op/config"] = port.ConfigItem{Config: routes.Config{Version: 2, Routes: []routes.Route{route}}}
	expect := []port.Precondition{{Key: "op/config", Revision: 1}}
	item := port.StoreItem{Key: "op/config", Revision: 7}
	gw.handleConflict(context.Background(), expect, gw.clock.SinceBoot(), &port.ConflictError{Current: []port.StoreItem{item}})
	if v := gw.view.routeTable.Load().Version; v != 2 {
		t.Errorf("configuration %d in force, want 2", v)
	}
	if gw.view.coversConflict([]port.Precondition{{Key: "op/cordon/a", Revision: 3}}, nil) {
		t.Error("a removed key counts as covered by an empty conflict")
	}
	if gw.view.coversConflict([]port.Precondition{{Key: "op/config", Revision: 7}}, []port.StoreItem{item}) {
		t.Error("equal revisions count as covering a conflict")
	}
}

// gaugeRecorder is a port.Metrics that keeps the last value of each gauge.
type gaugeRecorder map[string]float64

func (gaugeRecorder) Count(string, int64, ...port.Attr)              {}
func (gaugeRecorder) Seconds(string, time.Duration, ...port.Attr)    {}
func (g gaugeRecorder) Gauge(name string, v float64, _ ...port.Attr) { g[name] = v }

// TestGauges guards against gauges from which an outdated view or full targets cannot be
// seen.
func TestGauges(t *testing.T) {
	gw := newTestGateway(t, route)
	m := gaugeRecorder{}
	gw.deps.Metrics = m
	gw.clock.advance(3 * time.Second)
	gw.setGauges()
	for name, want := range map[string]float64{
		"gateway_picture_age_seconds": 3, "gateway_config_version": 1, "gateway_targets": 2, "gateway_target_places": 8,
	} {
		if m[name] != want {
			t.Errorf("%s is %v, want %v", name, m[name], want)
		}
	}
}

// TestLateDeclarations guards against a gateway that counts WeightsBound from the time at
// which it learned of new weights instead of their declaration. The two differ for a
// gateway that could not reach the store at the declaration.
func TestLateDeclarations(t *testing.T) {
	for name, c := range map[string]struct {
		confirmedAgo time.Duration
		oldAllowed   time.Duration // time for which old weights may still be used
	}{
		"in time":   {300 * time.Millisecond, 8*time.Second - weightsMargin},
		"after 3 s": {3 * time.Second, 8*time.Second - weightsMargin - 3*time.Second + confirmationSlack},
	} {
		gw := newUnconfirmedGateway(t, route)
		gw.applyItem("op/config", 2, engineConfig)
		gw.view.confirmations.Check(gw.clock.SinceBoot())
		gw.clock.advance(c.confirmedAgo)
		gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 2}
		gw.applyOperatorKeys(lateDeclaration)
		const tolerance = 200 * time.Millisecond
		if n := gw.requiredAfter(c.oldAllowed - tolerance); n != 0 {
			t.Errorf("%s: old weights are refused before %v", name, c.oldAllowed)
		}
		if n := gw.requiredAfter(c.oldAllowed + tolerance); n != 2 {
			t.Errorf("%s: old weights are still used after %v", name, c.oldAllowed)
		}
	}
}

// TestStartedGatewayLearnsAgeOfDeclaration guards against a gateway that has just started and uses
// old weights after their bound, because it does not know when the newest were declared: it
// uses none until a loader states that.
func TestStartedGatewayLearnsAgeOfDeclaration(t *testing.T) {
	const age, tolerance = 5 * time.Second, 200 * time.Millisecond
	gw := newUnconfirmedGateway(t, route)
	gw.applyItem("op/config", 2, engineConfig)
	gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 2}
	e := lateDeclaration
	e.Reset = true
	gw.applyOperatorKeys(e)
	if n := gw.requiredAfter(0); n != 2 {
		t.Fatalf("version %d may serve requests while the age of version 2 is not known, want 2", n)
	}
	gw.HandleReport(port.LoadReport{Target: "a", Declared: port.DeclaredWeights{Number: 2}})
	if n := gw.requiredAfter(0); n != 2 {
		t.Errorf("version %d may serve requests after a loader stated no age, want 2", n)
	}
	gw.HandleReport(port.LoadReport{Target: "a", Declared: port.DeclaredWeights{Number: 2, Age: moment.KnownAge(age)}})
	left := gw.settings.WeightsBound - weightsMargin - age
	if n := gw.requiredAfter(left - tolerance); n != 0 {
		t.Errorf("old weights are refused %v before their bound", tolerance)
	}
	if n := gw.requiredAfter(left + tolerance); n != 2 {
		t.Errorf("old weights are still used %v after their bound", tolerance)
	}
}

// silentFeed is a port.FeedClient that gets no replies. It records whether calls have a
// deadline besides that of the client, and the sum of the times after which they would end.
type silentFeed struct {
	bounded []bool
	waited  time.Duration
}

// rpcMargin is the time that adapter/rpc gives a call besides the wait that it asks for.
const rpcMargin = 600 * time.Millisecond

func (f *silentFeed) Feed(ctx context.Context, _ fleet.Address, r port.FeedRequest) (port.FeedReply, error) {
	end, ok := ctx.Deadline()
	f.bounded = append(f.bounded, ok)
	if ok {
		f.waited += time.Until(end)
	} else {
		f.waited += r.Wait + rpcMargin
	}
	return port.FeedReply{}, errors.New("no reply")
}

// TestTargetsAreUrgent guards against a gateway that waits for several silent readers before it
// reads leaving targets from the store.
func TestTargetsAreUrgent(t *testing.T) {
	gw, store, client := newTestGateway(t, route), porttest.NewStore(), &silentFeed{}
	store.Put("targets/a", "")
	deps := gw.deps
	deps.Store, deps.Feed = store, client
	g := New(gw.settings, deps)
	g.view.readers.Store(&[]core.Member{{ID: "r0", Address: "r0"}, {ID: "r1", Address: "r1"}})
	cs, _, err := g.source.Changes(context.Background(), "targets/", 0, time.Second)
	if err != nil || len(cs) != 1 || fmt.Sprint(client.bounded) != "[false true]" {
		t.Errorf("changes %v, error %v, calls with a shorter deadline %v", cs, err, client.bounded)
	}
	// The reader may fall silent during the pause before the call.
	if d := feedBatchDelay + client.waited; d >= leavingBound {
		t.Errorf("a leaving target is known after %v, want less than %v", d, leavingBound)
	}
}

// leavingBound is the time after which a leaving target must get no new requests.
const leavingBound = 2 * time.Second

// TestReportedEnforcementIsUsed guards against a gateway that ignores which declaration the loader
// of a target enforces, and refuses all requests for old weights near their bound.
func TestReportedEnforcementIsUsed(t *testing.T) {
	gw := newTestGateway(t, route)
	limit := func(int64) (weightsbound.Limit, bool) {
		return weightsbound.Limit{Left: 2 * time.Second, Declared: 2}, true
	}
	choose := func() placement.Outcome {
		_, out := gw.targets.Choose(placement.Query{Service: route.Shares[0].Service, Processes: 1, WeightsLimit: limit}, gw.clock.Now(), func(int) int { return 0 })
		return out
	}
	if out := choose(); out != placement.AllFull {
		t.Errorf("%v near the bound without a report, want %v", out, placement.AllFull)
	}
	gw.HandleReport(port.LoadReport{Target: "a", Load: placement.Load{Slots: 4}, Declared: port.DeclaredWeights{Number: 2, Age: moment.KnownAge(time.Second)}})
	if out := choose(); out != placement.Chosen {
		t.Errorf("%v near the bound although the loader enforces it", out)
	}
}

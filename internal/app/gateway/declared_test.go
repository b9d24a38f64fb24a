package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
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

// confirmationSlack is how much later than in truth a declaration may be dated in normal
// operation; weightsMargin covers it.
const confirmationSlack = 700 * time.Millisecond

// engineConfig is a configuration with engines of model m.
var engineConfig = port.ConfigItem{Config: routes.Config{Version: 2, Routes: []routes.Route{route}, Services: []routes.Service{
	{Name: "s", Engine: &routes.Engine{Slots: 4, Models: []fleet.Model{"m"}}},
}}}

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
	gw.decodedItems["op/config"] = engineConfig
	gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 2}
	gw.applyOperatorKeys(follow.Event{Reset: true, At: 1, Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "op/config", Revision: 1}}}})
	gw.confirmView(context.Background())
	return gw, store
}

// lateDeclaration is the change that reports the declaration of version 2.
var lateDeclaration = follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: weightsKey, Revision: 2}}}}

// requiredAfter returns the oldest weights of model m that may serve requests d from now.
func (gw *testGateway) requiredAfter(d time.Duration) int64 {
	return gw.view.declarations.Load().weights["m"].Required(gw.settings.WeightsBound-weightsMargin, gw.clock.SinceBoot()+d)
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
	if n := gw.requiredAfter(gw.settings.WeightsBound - weightsMargin - late + confirmationSlack); n != 2 {
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

// boundedCommits is a store that refuses commits with too many preconditions, as the
// platform's store does.
type boundedCommits struct {
	*porttest.Store
	t       *testing.T
	checked int
}

func (s *boundedCommits) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	if s.checked += len(expect); len(expect) > maxPreconditions {
		s.t.Errorf("a commit has %d preconditions, %d are allowed", len(expect), maxPreconditions)
	}
	return s.Store.Commit(ctx, expect, writes)
}

// TestManyModelsAreConfirmed guards against a view that is never confirmed because it has more
// keys than one commit may check, and against one that is confirmed by a part of them.
func TestManyModelsAreConfirmed(t *testing.T) {
	gw, store := newEngineGateway(t)
	commits := &boundedCommits{Store: store, t: t}
	gw.deps.Store = commits
	many := engineConfig
	many.Config.Services = nil
	for i := range 3 * maxPreconditions {
		m := fleet.Model(fmt.Sprint("m", i))
		many.Config.Services = append(many.Config.Services, routes.Service{Name: fleet.Service(m), Engine: &routes.Engine{Models: []fleet.Model{m}}})
	}
	gw.applyItem("op/config", 1, many)
	gw.clock.advance(time.Second)
	gw.confirmView(context.Background())
	if age, _ := gw.viewAge(); age != 0 || commits.checked < 3*maxPreconditions {
		t.Errorf("confirmed %v ago after a check of %d keys", age, commits.checked)
	}
	store.Put("op/weights/m70", "")
	gw.clock.advance(time.Second)
	gw.confirmView(context.Background())
	if age, _ := gw.viewAge(); age != time.Second {
		t.Errorf("confirmed %v ago although a declaration is missing", age)
	}
}

// TestOlderEventDoesNotUndoNewer guards against a cordon that is lifted, or stays, because an
// older removal or listing arrives after a newer item that the reply to a check contained.
func TestOlderEventDoesNotUndoNewer(t *testing.T) {
	const key = "op/cordon/a"
	cordon := follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: key, Revision: 10}}}}
	removal := func(revision int64) follow.Event {
		return follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: key, Revision: revision}, Removed: true}}}
	}
	listing := func(at int64, items ...port.StoreChange) follow.Event {
		return follow.Event{Reset: true, At: at, Changes: items}
	}
	for name, c := range map[string]struct {
		events []follow.Event
		want   bool
	}{
		"removal of an earlier cordon":        {[]follow.Event{cordon, removal(9)}, true},
		"removal":                             {[]follow.Event{cordon, removal(11)}, false},
		"listing before the cordon":           {[]follow.Event{cordon, listing(9)}, true},
		"listing after the cordon":            {[]follow.Event{cordon, listing(11)}, false},
		"cordon before its removal":           {[]follow.Event{removal(11), cordon}, false},
		"listing with a cordon since removed": {[]follow.Event{cordon, removal(12), listing(11, cordon.Changes...)}, false},
		"listing again":                       {[]follow.Event{cordon, listing(11, cordon.Changes...)}, true},
	} {
		gw := newTestGateway(t, route)
		gw.decodedItems[key] = port.CordonItem{Domain: "a"}
		for _, e := range c.events {
			gw.view.applyOperatorKeys(e)
		}
		if got := gw.view.declarations.Load().cordons["a"]; got != c.want {
			t.Errorf("%s: cordoned %v, want %v", name, got, c.want)
		}
	}
}

// TestCordonOfTargetsDomainIsChecked guards against a cordon that a check does not find, because
// its domain is not in the settings but that of a target which registered later.
func TestCordonOfTargetsDomainIsChecked(t *testing.T) {
	gw, store := newEngineGateway(t)
	register := func(id, service, domain string, revision int64) {
		gw.applyItem("targets/"+id, revision, port.TargetItem{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: fleet.Service(service), Address: fleet.Address(id), Domain: fleet.Domain(domain), Slots: 4,
		}})
	}
	checked := func() string {
		var keys []string
		for _, p := range gw.view.expectedRevisions() {
			if strings.HasPrefix(p.Key, "op/cordon/") {
				keys = append(keys, strings.TrimPrefix(p.Key, "op/cordon/"))
			}
		}
		slices.Sort(keys)
		return strings.Join(keys, " ")
	}
	register("c", "s", "z", 3)
	register("d", "unknown", "y", 4)
	if got := checked(); got != "a b z" {
		t.Errorf("cordons of %q are checked, want those of the settings and of the service's targets", got)
	}
	gw.decodedItems["op/cordon/z"] = port.CordonItem{Domain: "z"}
	store.PutWithoutWatch("op/cordon/z", "")
	gw.clock.advance(time.Second)
	gw.confirmView(context.Background())
	if age, _ := gw.viewAge(); age != time.Second {
		t.Errorf("confirmed %v ago without the cordon", age)
	}
	gw.view.applyTargets(follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "targets/c", Revision: 5}, Removed: true}}})
	gw.view.applyOperatorKeys(follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "op/cordon/z", Revision: 6}, Removed: true}}})
	if got := checked(); got != "a b" {
		t.Errorf("cordons of %q are checked after the target has gone", got)
	}
}

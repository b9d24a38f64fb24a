package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestUnansweredRequestIsCanceledAtBound guards against a request that begins on old weights after
// their bound because it is delayed and the target's loader has stopped.
func TestUnansweredRequestIsCanceledAtBound(t *testing.T) {
	const left = 1300 * time.Millisecond
	r := route
	r.Kind, r.Timeout = routes.Streaming, 5*time.Second
	gw := newTestGateway(t, r, scriptedReply{delay: 3 * time.Second, status: 200, body: []string{"id: 1\ndata: x\n\n"}})
	config := engineConfig
	config.Config.Routes, config.Config.Keyless = []routes.Route{r}, true
	gw.applyItem("op/config", 2, config)
	declaredAgo := gw.settings.WeightsBound - confirmationSlack - left
	gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 2}
	e := lateDeclaration
	e.Changes = []port.StoreChange{{StoreItem: e.Changes[0].StoreItem, Age: moment.KnownAge(declaredAgo)}}
	gw.view.applyOperatorKeys(e)
	for _, id := range []string{"a", "b"} {
		gw.applyItem("targets/"+id, 3, port.TargetItem{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: "s", Address: fleet.Address(id), Domain: fleet.Domain(id),
			Slots: 4, Held: []port.ModelWeights{{Model: "m", Number: 1}},
		}})
		gw.HandleReport(port.LoadReport{
			Target: fleet.Address(id), Weights: 1, Intact: 1, Load: placement.Load{Slots: 4}, Declared: port.DeclaredWeights{Number: 2, Age: moment.KnownAge(declaredAgo)},
		})
	}
	in := newInbound()
	in.APIKey, in.CallerTimeout, in.WorkEstimate.Model = "", 5*time.Second, "m"
	start := time.Now()
	c := gw.request(in)
	if took := time.Since(start); c.refused == nil || c.refused.Verdict != verdict.MayHaveRun || took < left-100*time.Millisecond || took > left+time.Second {
		t.Errorf("status %d, refused %v, after %v; want an error that it may have run after %v", c.status, c.refused, took, left)
	}
	if n := len(gw.forwarder.to); n != 1 {
		t.Errorf("sent %d times, want once", n)
	}
}

package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
)

// TestUnansweredRequestIsCanceledAtBound guards against a request that begins on old weights after
// their bound because it is delayed and the target's loader has stopped: it is taken back and
// goes to a target with the declared weights.
func TestUnansweredRequestIsCanceledAtBound(t *testing.T) {
	const left = 700 * time.Millisecond
	r := route
	r.Kind, r.Resumable, r.Timeout = routes.Streaming, true, 5*time.Second
	answer := scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}}
	late := answer
	late.delay = 3 * time.Second
	gw := newTestGateway(t, r, late, answer)
	config := engineConfig
	config.Config.Routes = []routes.Route{r}
	gw.applyItem("op/config", 2, config)
	declaredAgo := gw.settings.WeightsBound - confirmationSlack - left
	gw.decodedItems[weightsKey] = port.WeightsItem{Model: "m", Number: 2}
	e := lateDeclaration
	e.Changes = []port.StoreChange{{StoreItem: e.Changes[0].StoreItem, Age: moment.KnownAge(declaredAgo)}}
	gw.view.applyOperatorKeys(e)
	for id, number := range map[string]int64{"a": 1, "b": 2} {
		gw.applyItem("targets/"+id, 3, port.TargetItem{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: "s", Address: fleet.Address(id), Domain: fleet.Domain(id),
			Slots: 4, Held: []port.ModelWeights{{Model: "m", Number: number}},
		}})
		gw.HandleReport(port.LoadReport{
			Target: fleet.Address(id), Load: placement.Load{Slots: 4}, Declared: port.DeclaredWeights{Number: 2, Age: moment.KnownAge(declaredAgo)},
		})
	}
	in := newInbound()
	in.APIKey, in.CallerTimeout, in.WorkEstimate.Model = "", 5*time.Second, "m"
	start := time.Now()
	c := gw.request(in)
	if took := time.Since(start); c.status != 200 || took < left-100*time.Millisecond || took > left+400*time.Millisecond {
		t.Errorf("status %d, refused %v, after %v; want a response of the other target after %v", c.status, c.refused, took, left)
	}
	if fw := gw.forwarder; len(fw.to) != 2 || fw.to[0] != "a" || fw.to[1] != "b" {
		t.Errorf("sent to %v, want a and then b", fw.to)
	}
}

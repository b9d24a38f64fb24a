package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
)

// newPatienceGateway returns a gateway with streams of engines.
func newPatienceGateway(t *testing.T, replies ...scriptedReply) *testGateway {
	r := streamingRoute
	r.Timeout = 6 * time.Second
	gw := newTestGateway(t, r, replies...)
	gw.applyItem("op/config", 2, port.ConfigItem{Config: routes.Config{
		Version: 2, Routes: []routes.Route{r}, Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4, Models: []fleet.Model{"m"}}}},
		Accounts: []routes.Account{{Name: "t", Keys: []string{"k"}}},
	}})
	for _, id := range []string{"a", "b"} {
		gw.applyItem("targets/"+id, 2, port.TargetItem{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: "s", Address: fleet.Address(id), Domain: fleet.Domain(id), Slots: 4, Held: []port.ModelWeights{{Model: "m", Number: 1}},
		}})
		gw.targets.RecordLoad(fleet.Instance(id), placement.Load{Slots: 4}, time.Now())
	}
	return gw
}

func patientInbound() *port.InboundRequest {
	in := newInbound()
	in.CallerTimeout = 6 * time.Second
	return in
}

// TestSilentTargetCountsAsLate guards against a target that is not known to be late because its
// requests are given up before their first event.
func TestSilentTargetCountsAsLate(t *testing.T) {
	t.Parallel()
	gw := newPatienceGateway(t, scriptedReply{delay: time.Minute}, scriptedReply{status: 200, body: []string{"id: 1\ndata: a\n\n"}})
	if out := gw.request(patientInbound()); out.status != 200 || len(gw.forwarder.sent) != 2 {
		t.Fatalf("status %d, sent to %v", out.status, gw.forwarder.to)
	}
	silent := fleet.Instance(gw.forwarder.to[0])
	q := placement.Query{Service: "s", Processes: 1, Tried: map[fleet.Instance]bool{fleet.Instance(gw.forwarder.to[1]): true}}
	c, out := gw.targets.Choose(q, time.Now().Add(failurePauseEnd), func(int) int { return 0 })
	if out != placement.Chosen || c.Instance != silent || c.ExpectedLateness <= 0 {
		t.Errorf("%v: %+v", out, c)
	}
}

// failurePauseEnd is longer than the pause of a target after its first failure.
const failurePauseEnd = 500 * time.Millisecond

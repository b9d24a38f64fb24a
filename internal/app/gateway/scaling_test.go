package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	core "github.com/masticwing/masticwing/internal/core/scaling"
	"github.com/masticwing/masticwing/internal/port"
)

// TestScalingFigures guards against orders from figures that the gateway does not have: a load report that never
// arrived, an engine that leaves, or a cordoned domain; and against orders where the deployment has no such duty.
func TestScalingFigures(t *testing.T) {
	gw := newTestGateway(t, route)
	if gw.scalingWork() != nil {
		t.Error("engines are ordered without the duty")
	}
	gw.settings.Duties = duty.Settings{API: "127.0.0.1:1", Names: []string{duty.ScalingOrders}}
	if w := gw.scalingWork(); w == nil || w.Name() != duty.ScalingOrders {
		t.Errorf("the duty is %v", w)
	}
	gw.view.targetsListed.Store(true)
	figures := func() core.Snapshot { return scalingSource{gw.Gateway}.Snapshot() }
	if s := figures(); len(s.Services)+len(s.Engines) > 0 {
		t.Errorf("a service without scaling is ordered: %+v", s)
	}
	gw.applyItem("op/config", 2, port.ConfigItem{Config: routes.Config{Version: 2, Services: []routes.Service{
		{Name: "s", Engine: &routes.Engine{Slots: 4}, Scaling: &routes.Scaling{Min: 1, Max: 3}}, {Name: "other"},
	}}})
	gw.applyItem("op/cordon/b", 3, port.CordonItem{Domain: "b"})
	gw.targets.RecordLoad("a", placement.Load{Running: 3, Waiting: 1, Slots: 4}, time.Now())
	gw.targets.RecordLeaving("b", 0, time.Now())
	s := figures()
	if len(s.Services) != 1 || len(s.Engines) != 2 || !s.Cordoned["b"] || s.Cordoned["a"] {
		t.Fatalf("figures %+v", s)
	}
	for _, e := range s.Engines {
		switch {
		case e.Domain == "a" && (e.Requests != 4 || e.Draining || e.ReportAge < 0):
			t.Errorf("the engine that reports: %+v", e)
		case e.Domain == "b" && (!e.Draining || e.ReportAge >= 0):
			t.Errorf("the engine that leaves without a report: %+v", e)
		}
	}
}

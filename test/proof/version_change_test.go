package proof

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/origin"
)

// TestVersionChangeUnderLoad guards against a response from incomplete or mixed weights.
// Version 3 is declared under load before all engines have version 2. Meanwhile an agent is
// killed, an engine restarts without its weights, the origin is down for a time, and chunks
// arrive corrupted.
func TestVersionChangeUnderLoad(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	dt.publish("v2", 2)
	v3 := dt.publish("v3", 3)
	dt.setFaults(dt.OriginAddr, origin.Faults{Corrupt: 0.3, Rate: 1 << 20})
	dt.declareVersion("v2")
	dt.sleep(300 * time.Millisecond)
	dt.logStep("v3 declared")
	dt.declareVersion("v3")
	killed := dt.agents("a", true)[0]
	dt.logStep("kill " + killed.Name)
	dt.killDaemon(killed)
	dt.setFaults(dt.OriginAddr, origin.Faults{Down: true})
	dt.sleep(500 * time.Millisecond)
	dt.startDaemonAndWait(killed)
	dt.setFaults(dt.OriginAddr, origin.Faults{Corrupt: 0.3})
	dt.restartEngine(dt.agents("b", true)[0])
	dt.must(dt.WaitVersion(dt.ctx, waitBound, v3))
	dt.logStep("v3 is served everywhere")
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkVersionsServed(v3)
}

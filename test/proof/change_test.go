package proof

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/origin"
)

// TestVersionChangedInFlight guards against an answer from partial or mixed
// weights: version 3 is declared before version 2 has spread, while requests
// run, an agent is killed, an engine restarts without its weights, the origin
// goes away and chunks arrive corrupted.
func TestVersionChangedInFlight(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	dt.publish("v2", 2)
	v3 := dt.publish("v3", 3)
	dt.setFaults(dt.OriginAddr, origin.Faults{Corrupt: 0.3, Rate: 1 << 20})
	dt.declareVersion("v2")
	dt.sleep(300 * time.Millisecond)
	dt.logStep("v3 is declared")
	dt.declareVersion("v3")
	victim := dt.agents("a", true)[0]
	dt.logStep("kill " + victim.Name)
	dt.killDaemon(victim)
	dt.setFaults(dt.OriginAddr, origin.Faults{Down: true})
	dt.sleep(500 * time.Millisecond)
	dt.startDaemonAndWait(victim)
	dt.setFaults(dt.OriginAddr, origin.Faults{Corrupt: 0.3})
	dt.restartEngine(dt.agents("b", true)[0])
	dt.must(dt.WaitVersion(dt.ctx, waitBound, v3))
	dt.logStep("v3 is served everywhere")
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkVersionsServed(v3)
}

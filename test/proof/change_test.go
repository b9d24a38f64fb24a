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
	w := deploy(t, nil)
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	w.publish("v2", 2)
	v3 := w.publish("v3", 3)
	w.faults(w.OriginAddr, origin.Faults{Corrupt: 0.3, Rate: 1 << 20})
	w.declare("v2")
	w.sleep(300 * time.Millisecond)
	w.note("v3 is declared")
	w.declare("v3")
	victim := w.agents("a", true)[0]
	w.note("kill " + victim.Name)
	w.kill(victim)
	w.faults(w.OriginAddr, origin.Faults{Down: true})
	w.sleep(500 * time.Millisecond)
	w.restart(victim)
	w.faults(w.OriginAddr, origin.Faults{Corrupt: 0.3})
	w.coldBoot(w.agents("b", true)[0])
	w.must(w.WaitVersion(w.ctx, waitBound, v3))
	w.note("v3 is served everywhere")
	w.sleep(500 * time.Millisecond)
	w.finish()
	w.served(v3)
}

package proof

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/platform"
	"github.com/masticwing/masticwing/internal/standin/service"
	"github.com/masticwing/masticwing/test/harness"
)

// pauseTime is longer than the time after which entries give up the connection to a silent
// agent, so that a retry of the call reaches another agent before the end of the pause.
const pauseTime = silentBound + time.Second

// fault is a failure that a test injects for some time.
type fault struct {
	name        string
	start, stop func()
	duration    time.Duration
}

// serviceAgents returns the agents of the plain service.
func (dt *deploymentTest) serviceAgents() []*harness.Node {
	return append(dt.agents("a", false), dt.agents("b", false)...)
}

// killFault kills the daemon of a node and starts it again after d.
func (dt *deploymentTest) killFault(n *harness.Node, d time.Duration) fault {
	return fault{"kill " + n.Name, func() { dt.killDaemon(n) }, func() { dt.startDaemonAndWait(n) }, d}
}

// pauseFault pauses the daemon of a node with SIGSTOP and resumes it after d.
func (dt *deploymentTest) pauseFault(n *harness.Node, d time.Duration) fault {
	start := func() { dt.must(n.Proc.Pause()) }
	return fault{"pause " + n.Name, start, func() { dt.must(n.Proc.Resume()) }, d}
}

// standinFault sets the faults of the stand-in at addr and clears them after d. noFaults is
// the zero value of their type.
func (dt *deploymentTest) standinFault(name, addr string, faults, noFaults any, d time.Duration) fault {
	return fault{name, func() { dt.setFaults(addr, faults) }, func() { dt.setFaults(addr, noFaults) }, d}
}

// injectFaults injects the faults one after the other in random order, with up to 200 ms of
// load without faults after each.
func (dt *deploymentTest) injectFaults(faults []fault) {
	dt.t.Helper()
	dt.random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for _, f := range faults {
		dt.logStep(f.name)
		f.start()
		dt.sleep(f.duration)
		f.stop()
		dt.sleep(time.Duration(dt.random.IntN(200)) * time.Millisecond)
	}
}

// platformFaults returns the failures of the platform to inject.
func (dt *deploymentTest) platformFaults() []fault {
	const d = 700 * time.Millisecond
	var noFaults platform.Faults
	return []fault{
		dt.standinFault("platform down", dt.PlatformAddr, platform.Faults{Down: true}, noFaults, d),
		dt.standinFault("half of the responses to writes lost", dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 0.5}, noFaults, d),
		dt.standinFault("all responses to writes lost", dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 1}, noFaults, d),
		dt.standinFault("platform slow", dt.PlatformAddr, platform.Faults{DelayMillis: 100}, noFaults, d),
	}
}

// TestKeyedCallsRunOnce guards against a keyed call that takes effect twice, and against a
// wrong verdict. Callers retry calls through other entries while agents, entries, services
// and the platform fail.
func TestKeyedCallsRunOnce(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	services, entries := dt.serviceAgents(), dt.Entries
	faults := append(dt.platformFaults(),
		dt.killFault(services[0], 300*time.Millisecond), dt.killFault(services[1], 300*time.Millisecond),
		dt.killFault(entries[0], 300*time.Millisecond), dt.killFault(entries[1], 300*time.Millisecond),
		dt.pauseFault(services[0], pauseTime), dt.pauseFault(services[1], pauseTime), dt.pauseFault(entries[0], pauseTime),
		dt.standinFault("responses of a service lost", services[0].TargetAddr, service.Faults{LoseAnswers: true}, service.Faults{}, 500*time.Millisecond),
		dt.standinFault("service fails after the effect", services[1].TargetAddr, service.Faults{Fail: true}, service.Faults{}, 500*time.Millisecond),
		dt.standinFault("service slow", services[0].TargetAddr, service.Faults{DelayMillis: 300}, service.Faults{}, time.Second),
	)
	dt.injectFaults(faults)
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkKeyedOutcomes(notRun, mayHaveRun, ran)
}

// TestPausedClaimHolder guards against a key whose call runs at two agents. The agent that holds
// the claim to the call is paused, the caller retries the call through another entry, and the
// agent resumes.
func TestPausedClaimHolder(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	for range 2 {
		for _, n := range dt.serviceAgents() {
			f := dt.pauseFault(n, pauseTime)
			dt.logStep(f.name)
			f.start()
			dt.sleep(f.duration)
			f.stop()
			dt.sleep(200 * time.Millisecond)
		}
	}
	dt.finish()
	dt.checkKeyedOutcomes(mayHaveRun, ran)
}

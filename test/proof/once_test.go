package proof

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/standin/platform"
	"github.com/masticwing/masticwing/internal/standin/service"
	"github.com/masticwing/masticwing/test/harness"
)

// pausedFor is longer than the time after which entries give up on a silent
// agent, so that a repeat of the call runs through another one meanwhile.
const pauseTime = silentBound + time.Second

// disturbance is one failure that a test switches on and off.
type fault struct {
	name     string
	on, off  func()
	duration time.Duration
}

// services returns the agents of the plain service.
func (dt *deploymentTest) serviceAgents() []*harness.Node {
	return append(dt.agents("a", false), dt.agents("b", false)...)
}

// killFor is an end of a daemon without warning and its start.
func (dt *deploymentTest) killFault(n *harness.Node, d time.Duration) fault {
	return fault{"kill " + n.Name, func() { dt.killDaemon(n) }, func() { dt.startDaemonAndWait(n) }, d}
}

// pauseFor stops a daemon with SIGSTOP and continues it.
func (dt *deploymentTest) pauseFault(n *harness.Node, d time.Duration) fault {
	on := func() { dt.must(n.Proc.Pause()) }
	return fault{"pause " + n.Name, on, func() { dt.must(n.Proc.Resume()) }, d}
}

// faultFor sets faults of a stand-in and clears them; none is their zero value.
func (dt *deploymentTest) standinFault(name, addr string, f, none any, d time.Duration) fault {
	return fault{name, func() { dt.setFaults(addr, f) }, func() { dt.setFaults(addr, none) }, d}
}

// disturb goes through the disturbances in random order, with a pause of
// undisturbed load between them.
func (dt *deploymentTest) injectFaults(ds []fault) {
	dt.t.Helper()
	dt.rnd.Shuffle(len(ds), func(i, j int) { ds[i], ds[j] = ds[j], ds[i] })
	for _, d := range ds {
		dt.logStep(d.name)
		d.on()
		dt.sleep(d.duration)
		d.off()
		dt.sleep(time.Duration(dt.rnd.IntN(200)) * time.Millisecond)
	}
}

// platformFaults are failures of the platform, one after the other.
func (dt *deploymentTest) platformFaults() []fault {
	const d = 700 * time.Millisecond
	var none platform.Faults
	return []fault{
		dt.standinFault("platform down", dt.PlatformAddr, platform.Faults{Down: true}, none, d),
		dt.standinFault("half of the answers to writes lost", dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 0.5}, none, d),
		dt.standinFault("all answers to writes lost", dt.PlatformAddr, platform.Faults{LoseWriteAnswers: 1}, none, d),
		dt.standinFault("platform slow", dt.PlatformAddr, platform.Faults{DelayMillis: 100}, none, d),
	}
}

// TestKeyedCallsRunOnce guards against a keyed call that takes effect twice
// and against a verdict that is not true, while callers repeat calls through
// other entries and agents, entries, services and the platform fail.
func TestKeyedCallsRunOnce(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	s, e := dt.serviceAgents(), dt.Entries
	ds := append(dt.platformFaults(),
		dt.killFault(s[0], 300*time.Millisecond), dt.killFault(s[1], 300*time.Millisecond),
		dt.killFault(e[0], 300*time.Millisecond), dt.killFault(e[1], 300*time.Millisecond),
		dt.pauseFault(s[0], pauseTime), dt.pauseFault(s[1], pauseTime), dt.pauseFault(e[0], pauseTime),
		dt.standinFault("answers of a service lost", s[0].TargetAddr, service.Faults{LoseAnswers: true}, service.Faults{}, 500*time.Millisecond),
		dt.standinFault("service fails after the effect", s[1].TargetAddr, service.Faults{Fail: true}, service.Faults{}, 500*time.Millisecond),
		dt.standinFault("service slow", s[0].TargetAddr, service.Faults{DelayMillis: 300}, service.Faults{}, time.Second),
	)
	dt.injectFaults(ds)
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkKeyedOutcomes(notRun, mayHaveRun, ran)
}

// TestPausedOwner guards against two agents that both run a key: the agent
// that owns it is stopped while it holds the call, the caller repeats the call
// through another entry, and the agent goes on.
func TestPausedOwner(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	for range 2 {
		for _, n := range dt.serviceAgents() {
			d := dt.pauseFault(n, pauseTime)
			dt.logStep(d.name)
			d.on()
			dt.sleep(d.duration)
			d.off()
			dt.sleep(200 * time.Millisecond)
		}
	}
	dt.finish()
	dt.checkKeyedOutcomes(mayHaveRun, ran)
}

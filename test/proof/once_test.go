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
const pausedFor = silentBound + time.Second

// disturbance is one failure that a test switches on and off.
type disturbance struct {
	name     string
	on, off  func()
	duration time.Duration
}

// services returns the agents of the plain service.
func (w *world) services() []*harness.Node {
	return append(w.agents("a", false), w.agents("b", false)...)
}

// killFor is an end of a daemon without warning and its start.
func (w *world) killFor(n *harness.Node, d time.Duration) disturbance {
	return disturbance{"kill " + n.Name, func() { w.kill(n) }, func() { w.restart(n) }, d}
}

// pauseFor stops a daemon with SIGSTOP and continues it.
func (w *world) pauseFor(n *harness.Node, d time.Duration) disturbance {
	on := func() { w.must(n.Proc.Pause()) }
	return disturbance{"pause " + n.Name, on, func() { w.must(n.Proc.Resume()) }, d}
}

// faultFor sets faults of a stand-in and clears them; none is their zero value.
func (w *world) faultFor(name, addr string, f, none any, d time.Duration) disturbance {
	return disturbance{name, func() { w.faults(addr, f) }, func() { w.faults(addr, none) }, d}
}

// disturb goes through the disturbances in random order, with a pause of
// undisturbed load between them.
func (w *world) disturb(ds []disturbance) {
	w.t.Helper()
	w.rnd.Shuffle(len(ds), func(i, j int) { ds[i], ds[j] = ds[j], ds[i] })
	for _, d := range ds {
		w.note(d.name)
		d.on()
		w.sleep(d.duration)
		d.off()
		w.sleep(time.Duration(w.rnd.IntN(200)) * time.Millisecond)
	}
}

// platformFaults are failures of the platform, one after the other.
func (w *world) platformFaults() []disturbance {
	const d = 700 * time.Millisecond
	var none platform.Faults
	return []disturbance{
		w.faultFor("platform down", w.PlatformAddr, platform.Faults{Down: true}, none, d),
		w.faultFor("half of the answers to writes lost", w.PlatformAddr, platform.Faults{LoseWriteAnswers: 0.5}, none, d),
		w.faultFor("all answers to writes lost", w.PlatformAddr, platform.Faults{LoseWriteAnswers: 1}, none, d),
		w.faultFor("platform slow", w.PlatformAddr, platform.Faults{DelayMillis: 100}, none, d),
	}
}

// TestKeyedCallsRunOnce guards against a keyed call that takes effect twice
// and against a verdict that is not true, while callers repeat calls through
// other entries and agents, entries, services and the platform fail.
func TestKeyedCallsRunOnce(t *testing.T) {
	w := deploy(t, nil)
	w.startLoad()
	s, e := w.services(), w.Entries
	ds := append(w.platformFaults(),
		w.killFor(s[0], 300*time.Millisecond), w.killFor(s[1], 300*time.Millisecond),
		w.killFor(e[0], 300*time.Millisecond), w.killFor(e[1], 300*time.Millisecond),
		w.pauseFor(s[0], pausedFor), w.pauseFor(s[1], pausedFor), w.pauseFor(e[0], pausedFor),
		w.faultFor("answers of a service lost", s[0].TargetAddr, service.Faults{LoseAnswers: true}, service.Faults{}, 500*time.Millisecond),
		w.faultFor("service fails after the effect", s[1].TargetAddr, service.Faults{Fail: true}, service.Faults{}, 500*time.Millisecond),
		w.faultFor("service slow", s[0].TargetAddr, service.Faults{DelayMillis: 300}, service.Faults{}, time.Second),
	)
	w.disturb(ds)
	w.sleep(500 * time.Millisecond)
	w.finish()
	w.told(notRun, mayHaveRun, ran)
}

// TestPausedOwner guards against two agents that both run a key: the agent
// that owns it is stopped while it holds the call, the caller repeats the call
// through another entry, and the agent goes on.
func TestPausedOwner(t *testing.T) {
	w := deploy(t, nil)
	w.startLoad()
	for range 2 {
		for _, n := range w.services() {
			d := w.pauseFor(n, pausedFor)
			w.note(d.name)
			d.on()
			w.sleep(d.duration)
			d.off()
			w.sleep(200 * time.Millisecond)
		}
	}
	w.finish()
	w.told(mayHaveRun, ran)
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/platform/platformtest"
)

// faultSet is the number of kinds of faults that a run draws from. A seed repeats its
// run only with the set that it was recorded with, so new kinds go behind the others
// and into a new set.
type faultSet int

const (
	// firstFaults has no fault of a target but responses that are cut off and crashes.
	firstFaults faultSet = 10
	// allFaults adds targets with all of platformtest.TargetFaults, which also occur
	// together at targets of one service.
	allFaults faultSet = 14
)

// faultInjector injects random faults, several of which may be in effect at once.
type faultInjector struct {
	f        *fleet
	faults   faultSet
	rng      *rand.Rand
	wg       conc.WaitGroup
	injected []string

	mu sync.Mutex // guards the following
	// locked holds the resources under a fault that has an end, at which the
	// resource is restored. Two such faults of one resource must not overlap.
	locked map[string]bool
}

// tryLock reserves a resource for a fault. It returns false if the resource is
// already under a fault.
func (inj *faultInjector) tryLock(resource string) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.locked[resource] {
		return false
	}
	inj.locked[resource] = true
	return true
}

func (inj *faultInjector) unlock(resource string) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.locked, resource)
}

// inject injects faults for d and returns once all of them have ended.
func (inj *faultInjector) inject(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range 1 + inj.rng.IntN(2) {
			inj.injectOne()
		}
		time.Sleep(time.Duration(200+inj.rng.IntN(1200)) * time.Millisecond)
	}
	inj.wg.Wait()
}

// randomDuration returns the duration of a fault, between 200 and 4200 ms.
func (inj *faultInjector) randomDuration() time.Duration {
	return time.Duration(200+inj.rng.IntN(4000)) * time.Millisecond
}

func pickRandom[T any](inj *faultInjector, xs []T) T { return xs[inj.rng.IntN(len(xs))] }

// injectFor applies a fault to a resource for a random duration, unless the resource
// is already under a fault.
func (inj *faultInjector) injectFor(resource, name string, begin, end func()) {
	d := inj.randomDuration()
	if !inj.tryLock(resource) {
		return
	}
	inj.injected = append(inj.injected, fmt.Sprintf("%s %v", name, d.Round(100*time.Millisecond)))
	begin()
	inj.wg.Go(func() {
		time.Sleep(d)
		end()
		inj.unlock(resource)
	})
}

// injectOne injects one random fault.
func (inj *faultInjector) injectOne() {
	f := inj.f
	processes := f.processes()
	switch inj.rng.IntN(int(inj.faults)) {
	case 0, 1:
		inj.disruptProcess(pickRandom(inj, processes))
	case 2:
		x := pickRandom(inj, processes)
		faults := []relay.Faults{{Cut: true}, {Freeze: relay.FreezeAll}, {Freeze: relay.FreezeOld}, {DelayMillis: 300}}
		k := inj.rng.IntN(len(faults))
		inj.injectFor("route of "+x.name, fmt.Sprintf("store of %s %+v", x.name, faults[k]),
			func() { _ = f.relay.SetFaults(x.store, faults[k]) }, func() { _ = f.relay.SetFaults(x.store, relay.Faults{}) })
	case 3:
		fault := pickRandom(inj, []platformtest.StoreFault{platformtest.StoreBusy, platformtest.StoreSilent, platformtest.StoreLosingResponses})
		inj.injectFor("store", "store "+string(fault), func() { f.store.SetFault(fault) }, func() { f.store.SetFault(platformtest.StoreHealthy) })
	case 4:
		inj.injected = append(inj.injected, "history dropped")
		f.store.DropHistory()
	case 5:
		inj.setTargetFault(pickRandom(inj, f.allTargets()), platformtest.TargetCutsOff, 3)
	case 6:
		inj.crash(pickRandom(inj, f.engines))
	case 7:
		inj.injected = append(inj.injected, "key revoked")
		f.revokeKey(fmt.Sprint("k", inj.rng.IntN(4)))
	case 8:
		inj.injected = append(inj.injected, "weights declared")
		f.declareWeights()
	case 9:
		d := pickRandom(inj, domains)
		inj.injectFor("domain "+d, "cordon of "+d, func() { f.store.Put("op/evacuate/"+d, object{}) }, func() { f.store.Remove("op/evacuate/" + d) })
	case 10, 11:
		x, fault := pickRandom(inj, f.allTargets()), pickRandom(inj, platformtest.TargetFaults())
		inj.setTargetFault(x, fault, 1+inj.rng.IntN(4))
	case 12:
		inj.cutStreams(platformtest.TargetAnswersErrors)
	case 13:
		inj.cutStreams(pickRandom(inj, platformtest.TargetFaults()))
	}
}

// setTargetFault puts a fault of a target into effect for every n-th request.
func (inj *faultInjector) setTargetFault(x *platformtest.Target, fault platformtest.TargetFault, n int) {
	inj.injectFor("responses of "+x.ID, fmt.Sprintf("%s %s (1/%d)", x.ID, fault, n),
		func() { x.SetFault(fault, n) }, func() { x.SetFault(platformtest.TargetHealthy, 1) })
}

// cutStreams makes half of the engines cut off every second stream, so that streams
// resume at others, while one of the others has another fault.
func (inj *faultInjector) cutStreams(other platformtest.TargetFault) {
	engines := inj.f.engines
	for i, k := range inj.rng.Perm(len(engines)) {
		switch {
		case i < len(engines)/2:
			inj.setTargetFault(engines[k], platformtest.TargetCutsOff, 2)
		case i == len(engines)/2:
			inj.setTargetFault(engines[k], other, 2)
		}
	}
}

// disruptProcess kills, pauses or stops a process, and restarts or resumes it.
func (inj *faultInjector) disruptProcess(x *process) {
	restart := func() {
		if err := inj.f.startProcess(x); err != nil {
			inj.f.recorder.RecordViolation("%v", err)
		}
	}
	switch inj.rng.IntN(3) {
	case 0:
		inj.injectFor(x.name, "kill of "+x.name, func() { _ = x.expectEnd().Kill() }, restart)
	case 1:
		r := x.current()
		inj.injectFor(x.name, "pause of "+x.name, func() { _ = r.Pause() }, func() { _ = r.Resume() })
	case 2:
		if !inj.tryLock(x.name) {
			return
		}
		inj.injected = append(inj.injected, "stop of "+x.name)
		r := x.expectEnd()
		inj.wg.Go(func() {
			if _, err := r.Stop(stopTimeout); err != nil {
				inj.f.recorder.RecordViolation("%v", err)
			}
			restart()
			inj.unlock(x.name)
		})
	}
}

// crash crashes an engine and restarts it without weights at the same address.
func (inj *faultInjector) crash(e *platformtest.Target) {
	addr := e.Address()
	inj.injectFor(e.ID, "crash of "+e.ID, e.Crash, func() {
		if err := e.Start(addr, 0); err != nil {
			inj.f.recorder.RecordViolation("%s does not restart: %v", e.ID, err)
		}
	})
}

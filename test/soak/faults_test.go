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
type faultSet struct {
	name string
	// kinds holds the kinds that are drawn from, each as often as its weight.
	kinds []int
	// atOnce is the highest number of faults that begin together.
	atOnce int
	// minInterval and intervalRange bound the time between two beginnings.
	minInterval, intervalRange time.Duration
}

var (
	// firstFaults has no fault of a target but responses that are cut off and crashes.
	firstFaults = faultSet{"first", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 2, 200 * time.Millisecond, 1200 * time.Millisecond}
	// allFaults adds targets with all of platformtest.TargetFaults, which also occur
	// together at targets of one service.
	allFaults = faultSet{"all", []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}, 2, 200 * time.Millisecond, 1200 * time.Millisecond}
	// weightsFaults has the faults under which gateways and loaders learn of declared weights
	// late. They are rarer than in the other sets, since a disturbed gateway is not bound by
	// weightsBound.
	weightsFaults = faultSet{"weights", []int{0, 4, 6, 14, 14, 14, 14, 15, 16, 16}, 1, 2 * time.Second, 6 * time.Second}
)

// lateStartFaults has requests that are sent in time and begin after the end of the bound.
var lateStartFaults = faultSet{"late", []int{17}, 1, 3 * time.Second, 4 * time.Second}

// faultInjector injects random faults, several of which may be in effect at once.
type faultInjector struct {
	f        *fleet
	faults   *faultSet
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
		for range 1 + inj.rng.IntN(inj.faults.atOnce) {
			inj.injectOne()
		}
		time.Sleep(inj.faults.minInterval + inj.randomMillis(inj.faults.intervalRange))
	}
	inj.wg.Wait()
}

// randomDuration returns the duration of a fault, between 200 and 4200 ms.
func (inj *faultInjector) randomDuration() time.Duration {
	return 200*time.Millisecond + inj.randomMillis(4*time.Second)
}

// randomMillis returns whole milliseconds below a limit.
func (inj *faultInjector) randomMillis(limit time.Duration) time.Duration {
	return time.Duration(inj.rng.IntN(int(limit.Milliseconds()))) * time.Millisecond
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
	endDisturbance := inj.f.history.disturb(resource)
	begin()
	inj.wg.Go(func() {
		time.Sleep(d)
		end()
		endDisturbance()
		inj.unlock(resource)
	})
}

// injectOne injects one random fault.
func (inj *faultInjector) injectOne() {
	f := inj.f
	processes := f.processes()
	switch inj.faults.kinds[inj.rng.IntN(len(inj.faults.kinds))] {
	case 0, 1:
		inj.disruptProcess(pickRandom(inj, processes))
	case 2:
		x := pickRandom(inj, processes)
		faults := []relay.Faults{{Cut: true}, {Freeze: relay.FreezeAll}, {Freeze: relay.FreezeOld}, {DelayMillis: 300}}
		k := inj.rng.IntN(len(faults))
		inj.injectFor(linkOf(x.name), fmt.Sprintf("store of %s %+v", x.name, faults[k]),
			func() { _ = f.relay.SetFaults(x.store, faults[k]) }, func() { _ = f.relay.SetFaults(x.store, relay.Faults{}) })
	case 3:
		fault := pickRandom(inj, []platformtest.StoreFault{platformtest.StoreBusy, platformtest.StoreSilent, platformtest.StoreLosingResponses})
		inj.injectFor(storeResource, "store "+string(fault), func() { f.store.SetFault(fault) }, func() { f.store.SetFault(platformtest.StoreHealthy) })
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
	case 14:
		inj.declareAmidPauses()
	case 15:
		inj.silenceWatches()
	case 16:
		if len(f.engines) < maxEngines {
			inj.injected = append(inj.injected, "engine added "+f.addEmptyEngine(pickRandom(inj, domains)))
		}
	case 17:
		inj.declareBeforeLateStarts()
	}
}

// declareBeforeLateStarts declares weights that can't be fetched before their bound ends, and makes
// the engines begin requests late around its end. In half of the cases a loader or a gateway is
// disrupted shortly before.
func (inj *faultInjector) declareBeforeLateStarts() {
	// The delay begins so late that gateways have not seen a delayed response yet.
	const lead, minDelay, delayRange = weightsBound - 2*time.Second, time.Second, 1500 * time.Millisecond
	f := inj.f
	inj.injected = append(inj.injected, "weights declared that the origin refuses")
	f.weightsOrigin.SetRefusing(true)
	f.declareWeights()
	time.Sleep(lead)
	for _, e := range f.engines {
		d := minDelay + inj.randomMillis(delayRange)
		inj.injected = append(inj.injected, fmt.Sprintf("%s begins requests %v late", e.ID, d))
		e.SetStartDelay(d)
	}
	switch inj.rng.IntN(4) {
	case 0:
		inj.pauseInSeries(pickRandom(inj, f.loaders), 1)
	case 1:
		inj.disruptProcess(pickRandom(inj, f.gateways))
	}
	time.Sleep(weightsBound - lead)
	for _, e := range f.engines {
		e.SetStartDelay(0)
	}
	f.weightsOrigin.SetRefusing(false)
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
		endDisturbance := inj.f.history.disturb(x.name)
		r := x.expectEnd()
		inj.wg.Go(func() {
			if _, err := r.Stop(stopTimeout); err != nil {
				inj.f.recorder.RecordViolation("%v", err)
			}
			restart()
			endDisturbance()
			inj.unlock(x.name)
		})
	}
}

// maxEngines bounds the engines that are added, which each start a process.
const maxEngines = 6

// declareAmidPauses declares weights while gateways and loaders are paused. Loaders are paused
// repeatedly, so that engines hold old weights at the end of the bound, at which the gateways
// run undisturbed again. Gateways whose watch was cut while they were paused check their view
// of the store before they learn of the declaration.
func (inj *faultInjector) declareAmidPauses() {
	const maxLead, maxLoaderPauses, maxAfterCut = 2 * time.Second, 3, 100 * time.Millisecond
	for _, x := range inj.f.gateways {
		if inj.rng.IntN(2) == 0 {
			inj.pauseInSeries(x, 1)
		}
	}
	inj.pauseLoaders(1 + inj.rng.IntN(maxLoaderPauses))
	time.Sleep(inj.randomMillis(maxLead))
	if inj.rng.IntN(4) > 0 {
		inj.injected = append(inj.injected, "watches cut")
		inj.f.store.CutWatches()
		time.Sleep(inj.randomMillis(maxAfterCut))
	}
	inj.injected = append(inj.injected, "weights declared")
	inj.f.declareWeights()
}

// pauseLoaders pauses most loaders a number of times.
func (inj *faultInjector) pauseLoaders(count int) {
	for _, x := range inj.f.loaders {
		if inj.rng.IntN(8) > 0 {
			inj.pauseInSeries(x, count)
		}
	}
}

// silenceWatches silences the watches of a gateway, which may read the store for others, while
// its other calls pass, and in half of the cases declares weights meanwhile and pauses loaders.
// The bound counts from the end of the silence, so the loaders are paused longer than in
// declareAmidPauses.
func (inj *faultInjector) silenceWatches() {
	const maxLead, loaderPauses = time.Second, 4
	f, x := inj.f, pickRandom(inj, inj.f.gateways)
	inj.injectFor(linkOf(x.name), "watches silent of "+x.name,
		func() { _ = f.relay.SetFaults(x.store, relay.Faults{FreezeRequests: "/kv-watch"}) }, func() { _ = f.relay.SetFaults(x.store, relay.Faults{}) })
	time.Sleep(inj.randomMillis(maxLead))
	if inj.rng.IntN(2) == 0 {
		inj.pauseLoaders(loaderPauses)
		inj.injected = append(inj.injected, "weights declared")
		f.declareWeights()
	}
}

// pauseInSeries pauses a process several times for 1 to 5 s, with little time in between.
func (inj *faultInjector) pauseInSeries(x *process, count int) {
	const minPause, pauseRange, maxGap = time.Second, 4 * time.Second, 200 * time.Millisecond
	var gaps, pauses []time.Duration
	for range count {
		gaps = append(gaps, inj.randomMillis(maxGap))
		pauses = append(pauses, minPause+inj.randomMillis(pauseRange))
	}
	if !inj.tryLock(x.name) {
		return
	}
	inj.injected = append(inj.injected, fmt.Sprintf("pauses of %s %v", x.name, pauses))
	inj.wg.Go(func() {
		defer inj.unlock(x.name)
		for i, d := range pauses {
			time.Sleep(gaps[i])
			endDisturbance := inj.f.history.disturb(x.name)
			r := x.current()
			_ = r.Pause()
			time.Sleep(d)
			_ = r.Resume()
			endDisturbance()
		}
	})
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

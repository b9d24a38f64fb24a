package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	// clientCount and requestInterval result in about 100 requests per second.
	clientCount     = 8
	requestInterval = 60 * time.Millisecond
	// recoveryTime is the time after the last fault within which the fleet has to
	// recover.
	recoveryTime = 12 * time.Second
	// measurementTime follows recoveryTime. At least minServedRatio of the requests
	// sent in it have to be served.
	measurementTime = 3 * time.Second
	minServedRatio  = 0.9
	startTimeout    = 20 * time.Second
	// stopTimeout is the grace period of the settings, 8 s, and the time to exit.
	stopTimeout = 9 * time.Second
)

// regressionSeeds maps seeds that have failed to the cause of the failure.
var regressionSeeds = map[uint64]string{
	202: "a loader missed declared weights for 15 s on a connection to the store that went silent",
}

// regressionFaultTime is the duration of the fault injection in which those seeds
// failed.
const regressionFaultTime = 15 * time.Second

// envUint returns the value of an environment variable, or defaultValue if it is
// not set.
func envUint(t *testing.T, name string, defaultValue uint64) uint64 {
	v := os.Getenv(name)
	if v == "" {
		return defaultValue
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// TestSoak guards against guarantees that hold only without faults. It fails if an
// unsafe request runs twice, a caller gets the response to another request or a
// truncated response that looks complete, a request that ran is reported as not run,
// a revoked key still works after keyBound, corrupted weights are loaded, or the
// fleet does not recover.
func TestSoak(t *testing.T) {
	t.Parallel()
	seconds := envUint(t, "SOAK_SECONDS", 10)
	seed := envUint(t, "SOAK_SEED", 1)
	for i := range envUint(t, "SOAK_RUNS", 1) {
		t.Run(fmt.Sprint("seed ", seed+i), func(t *testing.T) { runSoak(t, seed+i, time.Duration(seconds)*time.Second) })
	}
}

// TestRegressions repeats the runs of regressionSeeds.
func TestRegressions(t *testing.T) {
	t.Parallel()
	for s := range regressionSeeds {
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) { runSoak(t, s, regressionFaultTime) })
	}
}

// runSoak injects faults for faultTime while clients send requests, waits for the
// fleet to recover, and reports all violations.
func runSoak(t *testing.T, seed uint64, faultTime time.Duration) {
	f := newFleet(t)
	for start := time.Now(); !f.allReady(); time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > startTimeout {
			f.h.DumpOutput()
			t.Fatal("not all gateways serve requests within startTimeout")
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	l := &resultLog{}
	for i := range clientCount {
		wg.Go(func() { f.sendRequests(ctx, int64(100+i), seed, l) })
	}
	inj := &faultInjector{f: f, rng: rand.New(rand.NewPCG(seed, 0)), locked: map[string]bool{}}
	inj.inject(faultTime)
	faultsEnd := time.Now()
	f.declareWeights()
	time.Sleep(recoveryTime)
	measurementStart := time.Now()
	time.Sleep(measurementTime)
	cancel()
	wg.Wait()
	violations := f.findViolations(append(l.since(time.Time{}), f.startupResults...))
	if served, all := countServed(l.since(measurementStart)); float64(served) < minServedRatio*float64(all) {
		violations = append(violations, fmt.Sprintf("only %d of %d requests are served %v after the last fault", served, all, recoveryTime))
	}
	for _, e := range f.engines {
		if got := e.WeightsVersion(); got != f.weightsVersion {
			violations = append(violations, fmt.Sprintf("%s holds weights version %d; version %d was declared %v ago", e.ID, got, f.weightsVersion, time.Since(faultsEnd)))
		}
	}
	served, all := countServed(l.since(time.Time{}))
	t.Logf("seed %d: %d of %d requests served, faults: %v", seed, served, all, inj.injected)
	for i, v := range violations {
		if i == 20 {
			t.Errorf("and %d more", len(violations)-i)
			break
		}
		t.Error(v)
	}
	if t.Failed() {
		f.h.DumpOutput()
	}
}

// countServed returns the number of served requests and of all requests. It leaves
// out requests that were rejected because their key is revoked.
func countServed(rs []result) (served, all int) {
	for _, r := range rs {
		if r.status == http.StatusUnauthorized {
			continue
		}
		all++
		if r.status == http.StatusOK && r.err == nil {
			served++
		}
	}
	return served, all
}

// sendRequests sends requests with random routes, keys and gateways until ctx is
// done. It does not retry refused requests.
func (f *fleet) sendRequests(ctx context.Context, id int64, seed uint64, l *resultLog) {
	c := newClient(f, id)
	rng := rand.New(rand.NewPCG(seed, uint64(id)))
	paths := []string{"/s/x", "/s/y", "/r/x", "/w/x"}
	for ctx.Err() == nil {
		l.add(c.send(rng.IntN(len(f.callerAddr)), paths[rng.IntN(len(paths))], fmt.Sprint("k", rng.IntN(4))))
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval):
		}
	}
}

// faultInjector injects random faults, several of which may be in effect at once.
type faultInjector struct {
	f        *fleet
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
	processes := append(append([]*process{}, f.gateways...), f.loaders...)
	switch inj.rng.IntN(10) {
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
		x := pickRandom(inj, append(append([]*platformtest.Target{}, f.engines...), f.services...))
		inj.injectFor("responses of "+x.ID, "responses lost at "+x.ID, func() { x.SetFault(platformtest.TargetCutsOff, 3) }, func() { x.SetFault(platformtest.TargetHealthy, 1) })
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
		inj.injectFor(x.name, "kill of "+x.name, func() { _ = x.current().Kill() }, restart)
	case 1:
		r := x.current()
		inj.injectFor(x.name, "pause of "+x.name, func() { _ = r.Pause() }, func() { _ = r.Resume() })
	case 2:
		if !inj.tryLock(x.name) {
			return
		}
		inj.injected = append(inj.injected, "stop of "+x.name)
		r := x.current()
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

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	onceCalls = 10_000
	onceRate  = 500 // calls per second
	// onceRetryEvery is the number of calls of which one is retried through another
	// entry.
	onceRetryEvery = 4
	// maxRetryDelay is the longest delay before a retry. After a short delay, the
	// first attempt is still in progress.
	maxRetryDelay    = 2 * time.Second
	onceKillInterval = 1500 * time.Millisecond
	onceTimeout      = 5 * time.Second
)

// runOnce sends calls with idempotency keys and retries of them while agents and
// entries are killed and restarted. The service stand-ins are not restarted, so
// they keep the count of effects.
func runOnce(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains: []harness.DomainSpec{
			{Name: "a", Region: "ra", Entries: 2, Services: map[string]int{harness.Service: 2}},
			{Name: "b", Region: "rb", Entries: 1, Services: map[string]int{harness.Service: 2}},
		},
		LimitLines: limitLines(256, 64),
	})
	if err != nil {
		return err
	}
	o := &onceRun{d: d, byKey: map[string][]result{}}
	for _, e := range d.Entries {
		o.callers = append(o.callers, harness.NewCaller(e.HTTP))
	}
	killCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	var killErr error
	wg.Go(func() { killErr = o.killNodes(killCtx, b.rand(7)) })
	o.sendCalls(ctx, b.rand(8))
	cancel()
	wg.Wait()
	if killErr != nil {
		return killErr
	}
	return o.report(ctx, b)
}

// onceRun holds the results of all attempts by idempotency key.
type onceRun struct {
	d       *harness.Deployment
	callers []*harness.Caller
	mu      sync.Mutex
	byKey   map[string][]result
}

// sendCalls sends the calls at a constant rate and one in onceRetryEvery again with
// the same key.
func (o *onceRun) sendCalls(ctx context.Context, rng *rand.Rand) {
	var wg conc.WaitGroup
	start := time.Now()
	for i := range onceCalls {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / onceRate)))
		key := harness.NewKey()
		first := rng.IntN(len(o.callers))
		wg.Go(func() { o.sendCall(ctx, key, first) })
		if i%onceRetryEvery != 0 {
			continue
		}
		other := (first + 1 + rng.IntN(len(o.callers)-1)) % len(o.callers)
		delay := time.Duration(rng.Int64N(int64(maxRetryDelay)))
		wg.Go(func() {
			if pause(ctx, delay) == nil {
				o.sendCall(ctx, key, other)
			}
		})
	}
	wg.Wait()
}

func (o *onceRun) sendCall(ctx context.Context, key string, entry int) {
	r := result{entry: entry, req: harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: key, Timeout: onceTimeout, Body: `{"station":7}`,
	}}
	send(ctx, o.callers[entry], &r)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byKey[key] = append(o.byKey[key], r)
}

// killNodes repeatedly kills and restarts a random agent or entry until ctx is
// done.
func (o *onceRun) killNodes(ctx context.Context, rng *rand.Rand) error {
	nodes := o.d.Nodes()
	for killed := 0; ; killed++ {
		if pause(ctx, onceKillInterval) != nil {
			comment("%d daemons were killed", killed)
			return nil
		}
		n := nodes[rng.IntN(len(nodes))]
		if err := n.Proc.Kill(); err != nil {
			return err
		}
		if err := o.d.StartNode(context.WithoutCancel(ctx), n); err != nil {
			return err
		}
	}
}

func (o *onceRun) report(ctx context.Context, b *bench) error {
	effects := map[string]int{}
	for _, n := range o.d.Agents {
		var m map[string]int
		if err := harness.CallJSON(ctx, http.MethodGet, "http://"+n.TargetAddr+"/effects", nil, &m); err != nil {
			return err
		}
		for k, c := range m {
			effects[k] += c
		}
	}
	var all []result
	duplicates, falseNotRun, falseRan, calls := 0, 0, 0, 0
	for key, rs := range o.byKey {
		all = append(all, rs...)
		calls += len(rs)
		duplicates += max(0, effects[key]-1)
		notRun := count(rs, func(r *result) bool { return r.verdict == "not-run" })
		ran := count(rs, func(r *result) bool { return r.verdict == "ran" })
		if notRun == len(rs) && effects[key] > 0 {
			falseNotRun++
		}
		if ran > 0 && effects[key] == 0 {
			falseRan++
		}
	}
	printFailures(fmt.Sprintf("keyed calls, %d keys with %d effects", len(o.byKey), len(effects)), all)
	b.atMost("duplicate_effects", float64(duplicates), "effects", 0)
	b.atMost("false_not_run", float64(falseNotRun), "keys", 0)
	b.atMost("false_ran", float64(falseRan), "keys", 0)
	// If hardly any call has an effect, the figures above prove nothing.
	b.atLeast("keyed_effect_ratio", float64(len(effects))/float64(len(o.byKey)), "ratio", 0.5)
	return nil
}

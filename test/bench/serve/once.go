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
	onceRate  = 500
	// repeatOf is the share of calls that are repeated through another entry.
	repeatOf = 4
	// repeatWithin is the longest pause before a repeat. Short ones overlap the
	// first attempt.
	repeatWithin = 2 * time.Second
	onceEvery    = 1500 * time.Millisecond
	onceTimeout  = 5 * time.Second
)

// runOnce sends keyed calls and repeats of them while agents and entries are
// killed and restarted. The service stand-ins live on, so they keep the count
// of effects.
func runOnce(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains: []harness.DomainSpec{
			{Name: "a", Region: "ra", Entries: 2, Services: map[string]int{harness.Service: 2}},
			{Name: "b", Region: "rb", Entries: 1, Services: map[string]int{harness.Service: 2}},
		},
		LimitLines: limits(256, 64),
	})
	if err != nil {
		return err
	}
	o := &onceRun{d: d, byKey: map[string][]result{}}
	for _, e := range d.Entries {
		o.callers = append(o.callers, harness.NewCaller(e.HTTP))
	}
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	var killErr error
	wg.Go(func() { killErr = o.kills(stop, b.rand(7)) })
	o.calls(ctx, b.rand(8))
	cancel()
	wg.Wait()
	if killErr != nil {
		return killErr
	}
	return o.report(ctx, b)
}

type onceRun struct {
	d       *harness.Deployment
	callers []*harness.Caller
	mu      sync.Mutex
	byKey   map[string][]result
}

func (o *onceRun) calls(ctx context.Context, rng *rand.Rand) {
	var wg conc.WaitGroup
	start := time.Now()
	for i := range onceCalls {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / onceRate)))
		key := harness.NewKey()
		first := rng.IntN(len(o.callers))
		wg.Go(func() { o.call(ctx, key, first) })
		if i%repeatOf != 0 {
			continue
		}
		other := (first + 1 + rng.IntN(len(o.callers)-1)) % len(o.callers)
		after := time.Duration(rng.Int64N(int64(repeatWithin)))
		wg.Go(func() {
			if pause(ctx, after) == nil {
				o.call(ctx, key, other)
			}
		})
	}
	wg.Wait()
}

func (o *onceRun) call(ctx context.Context, key string, entry int) {
	r := result{entry: entry, req: harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: key, Timeout: onceTimeout, Body: `{"station":7}`,
	}}
	send(ctx, o.callers[entry], &r)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byKey[key] = append(o.byKey[key], r)
}

// kills ends and restarts an agent or an entry at a time.
func (o *onceRun) kills(ctx context.Context, rng *rand.Rand) error {
	nodes := o.d.Nodes()
	for n := 0; ; n++ {
		if pause(ctx, onceEvery) != nil {
			note("%d daemons were killed", n)
			return nil
		}
		v := nodes[rng.IntN(len(nodes))]
		if err := v.Proc.Kill(); err != nil {
			return err
		}
		if err := o.d.StartNode(context.WithoutCancel(ctx), v); err != nil {
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
	describe(fmt.Sprintf("keyed calls, %d keys with %d effects", len(o.byKey), len(effects)), all)
	b.atMost("duplicate_effects", float64(duplicates), "effects", 0)
	b.atMost("false_not_run", float64(falseNotRun), "keys", 0)
	b.atMost("false_ran", float64(falseRan), "keys", 0)
	// A run in which hardly any call had an effect shows nothing.
	b.atLeast("keyed_effect_ratio", float64(len(effects))/float64(len(o.byKey)), "ratio", 0.5)
	return nil
}

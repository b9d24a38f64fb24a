package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	overloadTokens   = 10
	overloadEngines  = 8
	overloadSlots    = 8 // per engine
	overloadDeadline = time.Second
	overloadDuration = 6 * time.Second
	smallCustomers   = 10
	// firstClassFraction is the fraction of requests that are first-class (status).
	firstClassFraction = 0.1
)

// runOverload sends load at the capacity, at twice the capacity, and in a flood by
// one of eleven customers.
func runOverload(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domainSpecs(2, 2, overloadEngines/2),
		Engine:     harness.EngineSpec{MaxRequests: overloadSlots, ColdRequests: 2, TokenDelay: "10ms"},
		LimitLines: limitLines(overloadSlots, 2),
	})
	if err != nil {
		return err
	}
	names := []string{"large"}
	for i := range smallCustomers {
		names = append(names, fmt.Sprintf("small-%d", i))
	}
	if err := declareCustomers(ctx, d, names); err != nil {
		return err
	}
	capacity := measureCapacity(ctx, d, b, overloadEngines*overloadSlots, overloadTokens)
	measureGoodput(ctx, b, d, capacity)
	measureFairShare(ctx, b, d, capacity)
	return reportOverloads(ctx, b, d, "overload")
}

// mixedClasses returns a request of the first class or of another at random.
func mixedClasses(rng *rand.Rand, _ int) harness.Request {
	if rng.Float64() < firstClassFraction {
		return generateRequest("status", overloadTokens, overloadDeadline)
	}
	return generateRequest("summary", overloadTokens, overloadDeadline)
}

func isFirstClass(r *result) bool { return r.req.Class == "status" }

// measureGoodput compares the responses in time at capacity and at twice the
// capacity.
func measureGoodput(ctx context.Context, b *bench, d *harness.Deployment, capacity float64) {
	at1 := newLoad(d, capacity, b.rand(9), mixedClasses).run(ctx, overloadDuration)
	printFailures("at capacity", at1)
	at2 := newLoad(d, 2*capacity, b.rand(10), mixedClasses).run(ctx, overloadDuration)
	printFailures("at twice the capacity", at2)
	n1, n2 := count(at1, inTime), count(at2, inTime)
	total := count(at2, isFirstClass)
	firstInTime := count(at2, func(r *result) bool { return isFirstClass(r) && r.inTime() })
	var firstClass []result
	for _, r := range at2 {
		if isFirstClass(&r) {
			firstClass = append(firstClass, r)
		}
	}
	printFailures("first class at twice the capacity", firstClass)
	b.atLeast("goodput_ratio_at_2x", float64(n2)/float64(n1), "ratio", 0.95)
	b.atLeast("first_class_goodput_at_2x", float64(firstInTime)/float64(total), "ratio", 0.99)
}

// measureFairShare sends load of three times the capacity for one customer while ten
// others send 1.2 times an equal share each.
func measureFairShare(ctx context.Context, b *bench, d *harness.Deployment, capacity float64) {
	const flood, demand = 3, 1.2
	fair := capacity / (smallCustomers + 1)
	small := demand * fair * smallCustomers
	rs := newLoad(d, flood*capacity+small, b.rand(11), func(rng *rand.Rand, _ int) harness.Request {
		r := generateRequest("summary", overloadTokens, overloadDeadline)
		r.Customer = "large"
		if rng.Float64() < small/(flood*capacity+small) {
			r.Customer = fmt.Sprintf("small-%d", rng.IntN(smallCustomers))
		}
		return r
	}).run(ctx, overloadDuration)
	printFailures("flood of one customer", rs)
	served := map[string]int{}
	for i := range rs {
		if rs[i].inTime() {
			served[rs[i].req.Customer]++
		}
	}
	worst := 1e9
	for i := range smallCustomers {
		worst = min(worst, float64(served[fmt.Sprintf("small-%d", i)])/(fair*overloadDuration.Seconds()))
	}
	comment("fair share %.0f responses, served %v", fair*overloadDuration.Seconds(), served)
	b.atLeast("fair_share_min_ratio", worst, "ratio", 0.9)
}

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	overTokens   = 10
	overEngines  = 8
	overRequests = 8
	overDeadline = time.Second
	overPart     = 6 * time.Second
	smallCount   = 10
	// firstShare is the share of first-class requests at twice the capacity.
	firstShare = 0.1
)

// runOverload offers the capacity, twice the capacity, and a flood by one of
// eleven customers.
func runOverload(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domains(2, 2, overEngines/2),
		Engine:     harness.EngineSpec{MaxRequests: overRequests, ColdRequests: 2, TokenDelay: "10ms"},
		LimitLines: limits(overRequests, 2),
	})
	if err != nil {
		return err
	}
	names := []string{"large"}
	for i := range smallCount {
		names = append(names, fmt.Sprintf("small-%d", i))
	}
	if err := customers(ctx, d, names); err != nil {
		return err
	}
	c := capacity(ctx, d, b, overEngines*overRequests, overTokens)
	goodput(ctx, b, d, c)
	fairShare(ctx, b, d, c)
	return overloads(ctx, b, d, "overload")
}

func mixed(rng *rand.Rand, _ int) harness.Request {
	if rng.Float64() < firstShare {
		return generate("status", overTokens, overDeadline)
	}
	return generate("summary", overTokens, overDeadline)
}

func first(r *result) bool { return r.req.Class == "status" }

func goodput(ctx context.Context, b *bench, d *harness.Deployment, c float64) {
	at1 := newLoad(d, c, b.rand(9), mixed).run(ctx, overPart)
	describe("at capacity", at1)
	at2 := newLoad(d, 2*c, b.rand(10), mixed).run(ctx, overPart)
	describe("at twice the capacity", at2)
	n1, n2 := count(at1, ok), count(at2, ok)
	all := count(at2, first)
	good := count(at2, func(r *result) bool { return first(r) && r.ok() })
	var firsts []result
	for _, r := range at2 {
		if first(&r) {
			firsts = append(firsts, r)
		}
	}
	describe("first class at twice the capacity", firsts)
	b.atLeast("goodput_ratio_at_2x", float64(n2)/float64(n1), "ratio", 0.95)
	b.atLeast("first_class_goodput_at_2x", float64(good)/float64(all), "ratio", 0.99)
}

// fairShare lets one customer ask for three times the capacity while ten others
// ask for 1.2 times an equal share each.
func fairShare(ctx context.Context, b *bench, d *harness.Deployment, c float64) {
	const flood, demand = 3, 1.2
	fair := c / (smallCount + 1)
	small := demand * fair * smallCount
	rs := newLoad(d, flood*c+small, b.rand(11), func(rng *rand.Rand, _ int) harness.Request {
		r := generate("summary", overTokens, overDeadline)
		r.Customer = "large"
		if rng.Float64() < small/(flood*c+small) {
			r.Customer = fmt.Sprintf("small-%d", rng.IntN(smallCount))
		}
		return r
	}).run(ctx, overPart)
	describe("flood of one customer", rs)
	got := map[string]int{}
	for i := range rs {
		if rs[i].ok() {
			got[rs[i].req.Customer]++
		}
	}
	worst := 1e9
	for i := range smallCount {
		worst = min(worst, float64(got[fmt.Sprintf("small-%d", i)])/(fair*overPart.Seconds()))
	}
	note("fair share %.0f answers, got %v", fair*overPart.Seconds(), got)
	b.atLeast("fair_share_min_ratio", worst, "ratio", 0.9)
}

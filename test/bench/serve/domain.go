package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/harness"
)

// The domain section has three failure domains with three engines each. A response
// takes 8 tokens of 10 ms each, plus the delay of the engine's timers.
const (
	responseTokens = 8
	domainSlots    = 9 * 8
	domainLoad     = 0.6 // fraction of the capacity
	// domainPhase is the duration of each phase: before the cordon, cordoned, and
	// after the uncordon.
	domainPhase = 5 * time.Second
)

// generateRequests returns a source of equal requests for a load.
func generateRequests(class string, tokens int, timeout time.Duration) func(*rand.Rand, int) harness.Request {
	return func(*rand.Rand, int) harness.Request { return generateRequest(class, tokens, timeout) }
}

// domainSpecs returns the first n of three failure domains, each in its own region.
func domainSpecs(n, entries, engines int) []harness.DomainSpec {
	var out []harness.DomainSpec
	for _, name := range []string{"a", "b", "c"}[:n] {
		out = append(out, harness.DomainSpec{Name: name, Region: "r" + name, Entries: entries, Engines: engines})
	}
	return out
}

// runDomain cordons a failure domain under load and uncordons it again.
func runDomain(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domainSpecs(3, 1, 3),
		Engine:     harness.EngineSpec{MaxRequests: 8, ColdRequests: 2, TokenDelay: "10ms"},
		LimitLines: limitLines(8, 2),
	})
	if err != nil {
		return err
	}
	rate := domainLoad * measureCapacity(ctx, d, b, domainSlots, responseTokens)
	var wg conc.WaitGroup
	var cordonTime time.Duration
	var cycleErr error
	wg.Go(func() { cordonTime, cycleErr = cordonCycle(ctx, d, "b") })
	rs := newLoad(d, rate, b.rand(2), generateRequests("summary", responseTokens, 10*time.Second)).run(ctx, 3*domainPhase)
	wg.Wait()
	if cycleErr != nil {
		return cycleErr
	}
	printFailures("domain cycle", rs)
	before := latencyQuantile(startedBetween(rs, 0, domainPhase), 0.99)
	during := latencyQuantile(startedBetween(rs, domainPhase, 3*domainPhase), 0.99)
	comment("p99 before %v, during %v", before, during)
	b.atMost("domain_out_seconds_max", cordonTime.Seconds(), "s", 3)
	b.atMost("domain_cycle_errors", float64(count(rs, failed)), "requests", 0)
	b.atMost("domain_cycle_p99_ratio", float64(during)/float64(before), "ratio", 2)
	return reportOverloads(ctx, b, d, "domain")
}

// cordonCycle cordons a domain after one phase of the load and uncordons it after
// two. It returns the time from the start of the cordon command, which is before
// the platform accepts the cordon, to the last new request at an engine of the
// domain.
func cordonCycle(ctx context.Context, d *harness.Deployment, domain string) (time.Duration, error) {
	if err := pause(ctx, domainPhase); err != nil {
		return 0, err
	}
	start := time.Now()
	if err := d.Cordon(ctx, domain); err != nil {
		return 0, err
	}
	var nodes []*harness.Node
	for _, n := range d.EngineAgents() {
		if n.Domain == domain {
			nodes = append(nodes, n)
		}
	}
	lastRequest, seen := start, int64(-1)
	for time.Since(start) < domainPhase {
		n, err := sumCounts(ctx, nodes, "generate")
		if err != nil {
			return 0, err
		}
		if n != seen {
			lastRequest, seen = time.Now(), n
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return lastRequest.Sub(start), d.Uncordon(ctx, domain)
}

// reportOverloads prints how many requests the engines received beyond their limit.
func reportOverloads(ctx context.Context, b *bench, d *harness.Deployment, section string) error {
	n, err := sumCounts(ctx, d.EngineAgents(), "overload")
	if err == nil {
		b.atMost("engine_overloads_"+section, float64(n), "requests", 0)
	}
	return err
}

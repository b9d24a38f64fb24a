package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/harness"
)

// The domain section has three failure domains with three engines each. An
// answer takes 8 tokens of 10 ms and the lag of the engine's timers.
const (
	domainTokens = 8
	domainSlots  = 9 * 8
	domainLoad   = 0.6
	domainPart   = 5 * time.Second
)

func genLoad(class string, tokens int, timeout time.Duration) func(*rand.Rand, int) harness.Request {
	return func(*rand.Rand, int) harness.Request { return generate(class, tokens, timeout) }
}

func domains(n, entries, engines int) []harness.DomainSpec {
	var out []harness.DomainSpec
	for _, name := range []string{"a", "b", "c"}[:n] {
		out = append(out, harness.DomainSpec{Name: name, Region: "r" + name, Entries: entries, Engines: engines})
	}
	return out
}

// runDomain takes a failure domain out of service and returns it under load.
func runDomain(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domains(3, 1, 3),
		Engine:     harness.EngineSpec{MaxRequests: 8, ColdRequests: 2, TokenDelay: "10ms"},
		LimitLines: limits(8, 2),
	})
	if err != nil {
		return err
	}
	rate := domainLoad * capacity(ctx, d, b, domainSlots, domainTokens)
	var wg conc.WaitGroup
	var out time.Duration
	var cycleErr error
	wg.Go(func() { out, cycleErr = cycle(ctx, d, "b") })
	rs := newLoad(d, rate, b.rand(2), genLoad("summary", domainTokens, 10*time.Second)).run(ctx, 3*domainPart)
	wg.Wait()
	if cycleErr != nil {
		return cycleErr
	}
	describe("domain cycle", rs)
	before := quantile(between(rs, 0, domainPart), 0.99)
	during := quantile(between(rs, domainPart, 3*domainPart), 0.99)
	note("p99 before %v, during %v", before, during)
	b.atMost("domain_out_seconds_max", out.Seconds(), "s", 3)
	b.atMost("domain_cycle_errors", float64(count(rs, failed)), "requests", 0)
	b.atMost("domain_cycle_p99_ratio", float64(during)/float64(before), "ratio", 2)
	return overloads(ctx, b, d, "domain")
}

// cycle cordons a domain after one part of the load and returns it after two.
// It returns the time from the start of the cordon command, which comes before
// its acceptance, to the last new request at an engine of the domain.
func cycle(ctx context.Context, d *harness.Deployment, domain string) (time.Duration, error) {
	if err := pause(ctx, domainPart); err != nil {
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
	last, seen := start, int64(-1)
	for time.Since(start) < domainPart {
		n, err := sum(ctx, nodes, "generate")
		if err != nil {
			return 0, err
		}
		if n != seen {
			last, seen = time.Now(), n
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return 0, err
		}
	}
	return last.Sub(start), d.Uncordon(ctx, domain)
}

// overloads prints how often engines got more than they bear.
func overloads(ctx context.Context, b *bench, d *harness.Deployment, section string) error {
	n, err := sum(ctx, d.EngineAgents(), "overload")
	if err == nil {
		b.atMost("engine_overloads_"+section, float64(n), "requests", 0)
	}
	return err
}

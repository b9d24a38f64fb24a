package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	latencyRate     = 1000 // requests per second
	latencyDuration = 5 * time.Second
)

// runLatency compares the latency of short responses through entry and agent with
// that of requests sent directly to the engine stand-ins. Both loads run at the
// same time and rate, so that they see the same conditions on the machine.
func runLatency(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domainSpecs(1, 1, 2),
		Engine:     harness.EngineSpec{MaxRequests: 64, ColdRequests: 64},
		LimitLines: limitLines(64, 64),
	})
	if err != nil {
		return err
	}
	warmUp(ctx, d, b, latencyRate, 1, 2*time.Second)
	version, err := d.Publish(ctx, d.Spec.Origin.Seed)
	if err != nil {
		return err
	}
	before, err := totalCPUTime(d)
	if err != nil {
		return err
	}
	rng := b.rand(12)
	direct := &directLoad{d: d, version: version, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var wg conc.WaitGroup
	l := newLoad(d, latencyRate, rng, func(*rand.Rand, int) harness.Request { return generateRequest("summary", 1, 0) })
	wg.Go(func() { direct.run(ctx, b.rand(13)) })
	through := l.run(ctx, latencyDuration)
	wg.Wait()
	after, err := totalCPUTime(d)
	if err != nil {
		return err
	}
	printFailures("through the system", through)
	printFailures("directly to the engine", direct.results)
	for _, q := range []struct {
		name  string
		q     float64
		bound float64
	}{{"added_latency_p50", 0.5, 2}, {"added_latency_p99", 0.99, 2}} {
		throughSystem, fromEngine := latencyQuantile(through, q.q), latencyQuantile(direct.results, q.q)
		comment("%s: %v through the system, %v directly", q.name, throughSystem, fromEngine)
		b.atMost(q.name, float64(throughSystem-fromEngine)/float64(time.Millisecond), "ms", q.bound)
	}
	perRequest := float64((after - before).Microseconds()) / float64(len(through))
	comment("serve.cpu_us_per_request %.0f us (entry and agent, without a bound)", perRequest)
	if n := count(through, failed); n > 0 {
		return errors.Errorf("%d requests failed", n)
	}
	return nil
}

// totalCPUTime returns the CPU time of all entries and agents.
func totalCPUTime(d *harness.Deployment) (total time.Duration, err error) {
	for _, n := range d.Nodes() {
		c, err := cpuTime(n.Proc.PID)
		if err != nil {
			return 0, err
		}
		total += c
	}
	return total, nil
}

// directLoad sends requests directly to the engines, without entry and agent.
type directLoad struct {
	d       *harness.Deployment
	version string
	client  *http.Client
	mu      sync.Mutex
	results []result
}

func (l *directLoad) run(ctx context.Context, rng *rand.Rand) {
	var wg conc.WaitGroup
	start := time.Now()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / latencyRate * float64(time.Second))
		if at >= latencyDuration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		engines := l.d.EngineAgents()
		n := engines[rng.IntN(len(engines))]
		wg.Go(func() {
			r := l.call(ctx, n)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results = append(l.results, r)
		})
	}
	wg.Wait()
}

func (l *directLoad) call(ctx context.Context, n *harness.Node) result {
	r := result{code: "connection"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.TargetAddr+"/v1/generate",
		bytes.NewReader([]byte(`{"max_tokens":1}`)))
	if err != nil {
		r.err = err.Error()
		return r
	}
	req.Header.Set("X-Request-Id", "straight")
	req.Header.Set("X-Model-Version", l.version)
	start := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		r.err = err.Error()
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	r.total = time.Since(start)
	if err == nil && resp.StatusCode == http.StatusOK {
		r.code = "ok"
	}
	return r
}

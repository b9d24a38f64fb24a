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
	latencyRate = 1000
	latencyPart = 5 * time.Second
)

// runLatency compares small fast answers through entry and agent with those
// straight from the engine stand-ins. Both loads run at once, each request to
// the system followed by one to an engine, so that they see the same machine.
func runLatency(ctx context.Context, b *bench, h *harness.Harness) error {
	d, err := deploy(ctx, h, harness.Spec{
		Domains:    domains(1, 1, 2),
		Engine:     harness.EngineSpec{MaxRequests: 64, ColdRequests: 64},
		LimitLines: limits(64, 64),
	})
	if err != nil {
		return err
	}
	warm(ctx, d, b, latencyRate, 1, 2*time.Second)
	version, err := d.Publish(ctx, d.Spec.Origin.Seed)
	if err != nil {
		return err
	}
	before, err := cpuOf(d)
	if err != nil {
		return err
	}
	rng := b.rand(12)
	s := &straight{d: d, version: version, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var wg conc.WaitGroup
	l := newLoad(d, latencyRate, rng, func(*rand.Rand, int) harness.Request { return generate("summary", 1, 0) })
	wg.Go(func() { s.run(ctx, b.rand(13)) })
	through := l.run(ctx, latencyPart)
	wg.Wait()
	after, err := cpuOf(d)
	if err != nil {
		return err
	}
	describe("through the system", through)
	describe("straight to the engine", s.results)
	for _, q := range []struct {
		name  string
		q     float64
		bound float64
	}{{"added_latency_p50", 0.5, 2}, {"added_latency_p99", 0.99, 2}} {
		t, e := quantile(through, q.q), quantile(s.results, q.q)
		note("%s: %v through, %v straight", q.name, t, e)
		b.atMost(q.name, float64(t-e)/float64(time.Millisecond), "ms", q.bound)
	}
	perRequest := float64((after - before).Microseconds()) / float64(len(through))
	note("serve.cpu_us_per_request %.0f us (entry and agent, without a bound)", perRequest)
	if n := count(through, failed); n > 0 {
		return errors.Errorf("%d requests failed", n)
	}
	return nil
}

func cpuOf(d *harness.Deployment) (total time.Duration, err error) {
	for _, n := range d.Nodes() {
		c, err := cpu(n.Proc.PID)
		if err != nil {
			return 0, err
		}
		total += c
	}
	return total, nil
}

// straight calls the engines without the system.
type straight struct {
	d       *harness.Deployment
	version string
	client  *http.Client
	mu      sync.Mutex
	results []result
}

func (s *straight) run(ctx context.Context, rng *rand.Rand) {
	var wg conc.WaitGroup
	start := time.Now()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / latencyRate * float64(time.Second))
		if at >= latencyPart || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		engines := s.d.EngineAgents()
		n := engines[rng.IntN(len(engines))]
		wg.Go(func() {
			r := s.call(ctx, n)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, r)
		})
	}
	wg.Wait()
}

func (s *straight) call(ctx context.Context, n *harness.Node) result {
	r := result{code: "connection"}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.TargetAddr+"/v1/generate",
		bytes.NewReader([]byte(`{"max_tokens":1}`)))
	if err != nil {
		r.err = err.Error()
		return r
	}
	req.Header.Set("X-Request-Id", "straight")
	req.Header.Set("X-Model-Version", s.version)
	start := time.Now()
	resp, err := s.client.Do(req)
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

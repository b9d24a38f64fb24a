package procs

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/standin/engine"
	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	// slots is the number of requests that an agent admits at a time.
	slots = 2
	// A response takes tokens times tokenDelay, so an engine can serve
	// slots / 0.4 s = 5 requests/s.
	tokens     = 10
	tokenDelay = 40 * time.Millisecond
	// loadFraction is the fraction of the engines' capacity that live requests use.
	loadFraction = 0.3
	// agentsPerEntry is the number of agents that one entry watches.
	agentsPerEntry = 32

	requestTimeout = 10 * time.Second
)

// result is the outcome of one live request.
type result struct {
	startedAt time.Time
	took      time.Duration
	firstByte time.Duration // time to the first byte
	version   string
	err       error
}

// Live sends requests at a constant rate until Stop.
type Live struct {
	// Rate is in requests per second.
	Rate    float64
	callers []*harness.Caller
	body    string
	expect  map[string][]string // texts of the response's lines, by version
	results *shard.Map[int64, result]
	next    atomic.Int64
	cancel  context.CancelFunc
	wg      conc.WaitGroup
}

// StartLive starts to send requests to the fleet's entries. The rate is a fraction
// of the capacity of the engines that the entries watch, which can be fewer than
// all.
func (f *Fleet) StartLive(ctx context.Context) *Live {
	watched := min(len(f.Agents), agentsPerEntry*len(f.Entries))
	perEngine := slots / (tokens * tokenDelay).Seconds()
	l := &Live{
		Rate: loadFraction * perEngine * float64(watched), results: shard.New[int64, result](0), expect: map[string][]string{},
		body: fmt.Sprintf(`{"prompt":"status of station 4","max_tokens":%d}`, tokens),
	}
	for _, v := range []origin.Version{f.old, f.new} {
		weights, name := v.GenerateWeights(), digest(v)
		for i := range tokens {
			l.expect[name] = append(l.expect[name], engine.FrameText(weights, []byte(l.body), i))
		}
	}
	for _, e := range f.Entries {
		l.callers = append(l.callers, harness.NewCaller(e.HTTP))
	}
	ctx, l.cancel = context.WithCancel(ctx)
	l.wg.Go(func() { l.run(ctx) })
	return l
}

// Stop sends no further requests and waits for those in progress.
func (l *Live) Stop() {
	l.cancel()
	l.wg.Wait()
}

// run starts requests at the rate, without waiting for earlier ones.
func (l *Live) run(ctx context.Context) {
	t := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.wg.Go(l.sendOne)
		}
	}
}

// sendOne sends a request and records its result.
func (l *Live) sendOne() {
	// The context is independent of Stop, which lets requests in progress finish.
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
	defer cancel()
	n := l.next.Add(1)
	startedAt := time.Now()
	resp, err := l.callers[int(n)%len(l.callers)].Send(ctx, harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "summary",
		Timeout: requestTimeout, Body: l.body,
	})
	if err == nil {
		err = l.check(&resp)
	}
	l.results.Put(n, result{startedAt, time.Since(startedAt), resp.FirstByte, resp.Version, err})
}

// check returns an error unless the response is complete and every line comes from
// the weights of the version that the response names.
func (l *Live) check(resp *harness.Response) error {
	if err := resp.CheckComplete(); err != nil {
		return err
	}
	want, ok := l.expect[resp.Version]
	if !ok || len(resp.Lines) != len(want) {
		return errors.Errorf("%d lines from version %q", len(resp.Lines), resp.Version)
	}
	for i, line := range resp.Lines {
		var frame engine.Frame
		if err := json.Unmarshal(line, &frame); err != nil || frame.Text != want[i] || frame.Seq != i {
			return errors.Errorf("line %d of version %q: %s", i, resp.Version, line)
		}
	}
	return nil
}

// Summary counts the requests of an interval and their errors, and holds quantiles
// of the latency.
type Summary struct {
	Requests, Errors int
	ExampleError     error
	P50, P99         time.Duration
}

// Summarize summarizes the requests that started between two times. Call it after
// Stop.
func (l *Live) Summarize(from, to time.Time) Summary {
	var sum Summary
	var took []time.Duration
	l.results.Range(func(_ int64, r result) bool {
		if r.startedAt.Before(from) || r.startedAt.After(to) {
			return true
		}
		sum.Requests++
		if r.err != nil {
			sum.Errors++
			sum.ExampleError = r.err
		}
		took = append(took, r.took)
		return true
	})
	if len(took) == 0 {
		return sum
	}
	slices.Sort(took)
	sum.P50, sum.P99 = took[len(took)/2], took[len(took)*99/100]
	return sum
}

// Slowest describes the n slowest requests that started between two times.
func (l *Live) Slowest(from, to time.Time, n int) []string {
	var rs []result
	l.results.Range(func(_ int64, r result) bool {
		if !r.startedAt.Before(from) && !r.startedAt.After(to) {
			rs = append(rs, r)
		}
		return true
	})
	slices.SortFunc(rs, func(a, b result) int { return cmp.Compare(b.took, a.took) })
	var out []string
	for _, r := range rs[:min(n, len(rs))] {
		out = append(out, fmt.Sprintf("at %.2f s: first byte %.3f s, total %.3f s, version %.8s",
			r.startedAt.Sub(from).Seconds(), r.firstByte.Seconds(), r.took.Seconds(), r.version))
	}
	return out
}

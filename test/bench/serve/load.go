package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/harness"
)

// maxInFlight limits the concurrent requests of one load. Requests beyond the limit
// are not sent and count as failed.
const maxInFlight = 6000

// result is the outcome of one request.
type result struct {
	req   harness.Request
	entry int
	start time.Duration // since the start of the load
	total time.Duration
	// code is "ok", the code of the error response, or a code of the bench:
	// "connection", "not_whole" or "bench_in_flight".
	code string
	// verdict is the one that the caller received; empty if the connection ended
	// before.
	verdict string
	err     string
	lines   int
}

// inTime reports whether the complete response arrived within the deadline.
func (r *result) inTime() bool {
	return r.code == "ok" && (r.req.Timeout == 0 || r.total <= r.req.Timeout)
}

// load sends requests at random times that do not depend on the responses (an open
// loop).
type load struct {
	callers []*harness.Caller
	rate    float64 // requests per second
	next    func(rng *rand.Rand, i int) harness.Request
	rng     *rand.Rand

	startedAt time.Time
	mu        sync.Mutex
	results   []result
	inFlight  int
}

func newLoad(d *harness.Deployment, rate float64, rng *rand.Rand, next func(*rand.Rand, int) harness.Request) *load {
	l := &load{rate: rate, next: next, rng: rng}
	for _, e := range d.Entries {
		l.callers = append(l.callers, harness.NewCaller(e.HTTP))
	}
	return l
}

// run sends requests for a duration and waits for all responses.
func (l *load) run(ctx context.Context, duration time.Duration) []result {
	var wg conc.WaitGroup
	l.startedAt = time.Now()
	for i, start := 0, time.Duration(0); ; i++ {
		start += time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second))
		if start >= duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(l.startedAt.Add(start)))
		req, entry := l.next(l.rng, i), l.rng.IntN(len(l.callers))
		if !l.tryStart() {
			l.add(result{req: req, entry: entry, start: start, code: "bench_in_flight"})
			continue
		}
		wg.Go(func() { l.add(l.send(ctx, req, entry)); l.done() })
	}
	wg.Wait()
	return l.results
}

// tryStart counts a request as in flight, unless maxInFlight are.
func (l *load) tryStart() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= maxInFlight {
		return false
	}
	l.inFlight++
	return true
}

func (l *load) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *load) send(ctx context.Context, req harness.Request, entry int) result {
	r := result{req: req, entry: entry, start: time.Since(l.startedAt)}
	send(ctx, l.callers[entry], &r)
	return r
}

// send sends the request of r and stores the outcome in r.
func send(ctx context.Context, c *harness.Caller, r *result) {
	start := time.Now()
	resp, err := c.Send(ctx, r.req)
	r.total, r.verdict, r.lines = time.Since(start), resp.Verdict, len(resp.Lines)
	check := resp.CheckComplete
	if strings.HasPrefix(r.req.Path, "/v1/services/") {
		check = resp.CheckServiceCall
	}
	switch {
	case err != nil:
		r.code, r.err = "connection", err.Error()
	case resp.Error != nil:
		r.code, r.err = resp.Error.Code, resp.Error.Message
		r.verdict = resp.Error.Verdict
	default:
		r.code = "ok"
		if err := check(); err != nil {
			r.code, r.err = "not_whole", err.Error()
		}
	}
}

// count returns the number of results that fulfil the condition.
func count(rs []result, cond func(*result) bool) int {
	n := 0
	for i := range rs {
		if cond(&rs[i]) {
			n++
		}
	}
	return n
}

func inTime(r *result) bool { return r.inTime() }
func failed(r *result) bool { return r.code != "ok" }

// startedBetween returns the results of requests that started in a part of the
// load.
func startedBetween(rs []result, from, to time.Duration) []result {
	var out []result
	for _, r := range rs {
		if r.start >= from && r.start < to {
			out = append(out, r)
		}
	}
	return out
}

// latencyQuantile returns a quantile of the total times of complete responses, or 0
// if there are none.
func latencyQuantile(rs []result, q float64) time.Duration {
	var times []time.Duration
	for _, r := range rs {
		if r.code == "ok" {
			times = append(times, r.total)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

// printFailures prints the number of requests and the codes of those that failed,
// with an example of each.
func printFailures(what string, rs []result) {
	counts := map[string]int{}
	example := map[string]string{}
	for _, r := range rs {
		if r.code == "ok" {
			continue
		}
		k := fmt.Sprintf("%s/%s/%s", r.code, r.verdict, firstLinePhase(&r))
		counts[k]++
		example[k] = fmt.Sprintf("%s at %.2f s after %.3f s: %s", r.req.Class, r.start.Seconds(), r.total.Seconds(), r.err)
	}
	comment("%s: %d requests, %d complete", what, len(rs), len(rs)-count(rs, failed))
	for k, c := range counts {
		comment("  %d %s, for example %.300s", c, k, example[k])
	}
}

// firstLinePhase tells whether the request failed before or after the first line of
// the response.
func firstLinePhase(r *result) string {
	if r.lines > 0 {
		return "after-first-line"
	}
	return "before-first-line"
}

// generateRequest returns a request for a response of some tokens.
func generateRequest(class string, tokens int, timeout time.Duration) harness.Request {
	return harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: class, Timeout: timeout,
		Body: fmt.Sprintf(`{"max_tokens":%d}`, tokens),
	}
}

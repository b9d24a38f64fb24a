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

// maxInFlight bounds the requests of one load. What arrives beyond it counts
// as failed.
const maxInFlight = 6000

// result is the outcome of one request.
type result struct {
	req   harness.Request
	entry int
	at    time.Duration // start, since the start of the load
	total time.Duration
	code  string // "ok", the code of the error, or a word of the bench
	// verdict is as the caller saw it; empty if the connection ended before.
	verdict string
	err     string
	lines   int
}

// ok reports whether the whole answer arrived within the deadline.
func (r *result) ok() bool { return r.code == "ok" && (r.req.Timeout == 0 || r.total <= r.req.Timeout) }

// load sends requests at random times, independent of the answers.
type load struct {
	callers []*harness.Caller
	rate    float64 // requests per second
	next    func(rng *rand.Rand, i int) harness.Request
	rng     *rand.Rand

	start   time.Time
	mu      sync.Mutex
	results []result
	flying  int
}

func newLoad(d *harness.Deployment, rate float64, rng *rand.Rand, next func(*rand.Rand, int) harness.Request) *load {
	l := &load{rate: rate, next: next, rng: rng}
	for _, e := range d.Entries {
		l.callers = append(l.callers, harness.NewCaller(e.HTTP))
	}
	return l
}

// run sends for a time and waits for all answers.
func (l *load) run(ctx context.Context, d time.Duration) []result {
	var wg conc.WaitGroup
	l.start = time.Now()
	for i, at := 0, time.Duration(0); ; i++ {
		at += time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second))
		if at >= d || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(l.start.Add(at)))
		req, entry := l.next(l.rng, i), l.rng.IntN(len(l.callers))
		if !l.enter() {
			l.add(result{req: req, entry: entry, at: at, code: "bench_in_flight"})
			continue
		}
		wg.Go(func() { l.add(l.send(ctx, req, entry)); l.leave() })
	}
	wg.Wait()
	return l.results
}

func (l *load) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.flying >= maxInFlight {
		return false
	}
	l.flying++
	return true
}

func (l *load) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flying--
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

func (l *load) send(ctx context.Context, req harness.Request, entry int) result {
	r := result{req: req, entry: entry, at: time.Since(l.start)}
	send(ctx, l.callers[entry], &r)
	return r
}

// send sends the request of r and fills in the outcome.
func send(ctx context.Context, c *harness.Caller, r *result) {
	start := time.Now()
	a, err := c.Send(ctx, r.req)
	r.total, r.verdict, r.lines = time.Since(start), a.Verdict, len(a.Lines)
	check := a.CheckComplete
	if strings.HasPrefix(r.req.Path, "/v1/services/") {
		check = a.CheckServiceCall
	}
	switch {
	case err != nil:
		r.code, r.err = "connection", err.Error()
	case a.Error != nil:
		r.code, r.err = a.Error.Code, a.Error.Message
		r.verdict = a.Error.Verdict
	default:
		r.code = "ok"
		if err := check(); err != nil {
			r.code, r.err = "not_whole", err.Error()
		}
	}
}

// count returns the number of results for which f holds.
func count(rs []result, f func(*result) bool) int {
	n := 0
	for i := range rs {
		if f(&rs[i]) {
			n++
		}
	}
	return n
}

func ok(r *result) bool     { return r.ok() }
func failed(r *result) bool { return r.code != "ok" }

// between keeps the results of requests that started in a part of the load.
func between(rs []result, from, to time.Duration) []result {
	var out []result
	for _, r := range rs {
		if r.at >= from && r.at < to {
			out = append(out, r)
		}
	}
	return out
}

// quantile returns a quantile of the total times of whole answers.
func quantile(rs []result, q float64) time.Duration {
	var ds []time.Duration
	for _, r := range rs {
		if r.code == "ok" {
			ds = append(ds, r.total)
		}
	}
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}

// describe prints the codes of the requests that failed, with one example each.
func describe(what string, rs []result) {
	n := map[string]int{}
	example := map[string]string{}
	for _, r := range rs {
		if r.code == "ok" {
			continue
		}
		k := fmt.Sprintf("%s/%s/%s", r.code, r.verdict, startedOrNot(&r))
		n[k]++
		example[k] = fmt.Sprintf("%s at %.2f s after %.3f s: %s", r.req.Class, r.at.Seconds(), r.total.Seconds(), r.err)
	}
	note("%s: %d requests, %d whole", what, len(rs), len(rs)-count(rs, failed))
	for k, c := range n {
		note("  %d %s, such as %.300s", c, k, example[k])
	}
}

func startedOrNot(r *result) string {
	if r.lines > 0 {
		return "after-first-line"
	}
	return "before-first-line"
}

// generate is a request for an answer of some tokens.
func generate(class string, tokens int, timeout time.Duration) harness.Request {
	return harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: class, Timeout: timeout,
		Body: fmt.Sprintf(`{"max_tokens":%d}`, tokens),
	}
}

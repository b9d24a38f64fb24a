package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	callersPerEntry = 3
	requestInterval = 20 * time.Millisecond
	requestTimeout  = 5 * time.Second
)

// loadGenerator sends requests to all entries until it is stopped, and counts
// the results.
type loadGenerator struct {
	succeeded, orders, refused, errors atomic.Int64
	byVersion                          *shard.Map[string, int64]
	// firstError is nil if there was no error.
	firstError atomic.Pointer[string]

	wg     conc.WaitGroup
	cancel context.CancelFunc
}

// startLoad starts callersPerEntry callers for each entry of d. One caller of
// each entry sends orders, the others generate requests.
func startLoad(ctx context.Context, d *harness.Deployment) *loadGenerator {
	l := &loadGenerator{byVersion: shard.New[string, int64](0)}
	ctx, l.cancel = context.WithCancel(ctx)
	for _, e := range d.Entries {
		c := harness.NewCaller(e.HTTP)
		for i := range callersPerEntry {
			l.wg.Go(func() { l.runCaller(ctx, c, i == 0) })
		}
	}
	return l
}

// stop waits until all callers have finished their current request.
func (l *loadGenerator) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *loadGenerator) runCaller(ctx context.Context, c *harness.Caller, orders bool) {
	for ctx.Err() == nil {
		if orders {
			l.sendOrder(c)
		} else {
			l.sendGenerate(c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(requestInterval):
		}
	}
}

// sendGenerate sends a generate request and checks that the response is
// complete.
func (l *loadGenerator) sendGenerate(c *harness.Caller) {
	// Not the callers' context, since stop lets a request in progress finish.
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
	defer cancel()
	resp, err := c.Send(ctx, harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "summary",
		Timeout: requestTimeout, Body: `{"prompt":"summarize the survey of plot 7","max_tokens":16}`,
	})
	if err == nil {
		err = resp.CheckComplete()
	}
	if l.record(resp, err) {
		l.byVersion.Update(resp.Version, func(n int64, _ bool) (int64, bool) { return n + 1, true })
	}
}

// sendOrder sends an order with an idempotency key and then retries it. The
// retry must return the verdict that the order ran.
func (l *loadGenerator) sendOrder(c *harness.Caller) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*requestTimeout)
	defer cancel()
	r := harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: harness.NewKey(), Timeout: requestTimeout, Body: `{"seedlings":12}`,
	}
	resp, err := c.Send(ctx, r)
	if err == nil {
		err = resp.CheckServiceCall()
	}
	if !l.record(resp, err) {
		return
	}
	l.orders.Add(1)
	retry, err := c.Send(ctx, r)
	if err == nil && retry.Verdict != "ran" {
		err = fmt.Errorf("retry of an order that ran: verdict %q, status %d", retry.Verdict, retry.Status)
	}
	if err != nil {
		l.recordError(err)
	}
}

// record counts a response and reports whether the request succeeded. A refused
// request that did not run is not an error.
func (l *loadGenerator) record(resp harness.Response, err error) bool {
	switch {
	case err == nil:
		l.succeeded.Add(1)
		return true
	case resp.Verdict == "not-run":
		l.refused.Add(1)
	default:
		l.recordError(err)
	}
	return false
}

func (l *loadGenerator) recordError(err error) {
	l.errors.Add(1)
	s := err.Error()
	l.firstError.CompareAndSwap(nil, &s)
}

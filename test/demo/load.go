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
	pause           = 20 * time.Millisecond
	requestTimeout  = 5 * time.Second
)

// load sends requests to all entries until it is stopped.
type load struct {
	answered, orders, refused, errors atomic.Int64
	byVersion                         *shard.Map[string, int64]
	// firstError is shown if there is any.
	firstError atomic.Pointer[string]

	wg     conc.WaitGroup
	cancel context.CancelFunc
}

// startLoad starts callers at each entry of d.
func startLoad(ctx context.Context, d *harness.Deployment) *load {
	l := &load{byVersion: shard.New[string, int64](0)}
	ctx, l.cancel = context.WithCancel(ctx)
	for _, e := range d.Entries {
		c := harness.NewCaller(e.HTTP)
		for i := range callersPerEntry {
			l.wg.Go(func() { l.loop(ctx, c, i == 0) })
		}
	}
	return l
}

// stop ends the callers after their current request.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) loop(ctx context.Context, c *harness.Caller, orders bool) {
	for ctx.Err() == nil {
		if orders {
			l.order(c)
		} else {
			l.generate(c)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// generate asks for a summary and checks the whole answer.
func (l *load) generate(c *harness.Caller) {
	// Not the load's context: a request in progress is finished.
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestTimeout)
	defer cancel()
	a, err := c.Send(ctx, harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "summary",
		Timeout: requestTimeout, Body: `{"prompt":"summarize the survey of plot 7","max_tokens":16}`,
	})
	if err == nil {
		err = a.CheckComplete()
	}
	if l.count(a, err) {
		l.byVersion.Update(a.Version, func(n int64, _ bool) (int64, bool) { return n + 1, true })
	}
}

// order places an order with an idempotency key and repeats it. The repeat must
// be told that the order ran.
func (l *load) order(c *harness.Caller) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*requestTimeout)
	defer cancel()
	r := harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: harness.NewKey(), Timeout: requestTimeout, Body: `{"seedlings":12}`,
	}
	a, err := c.Send(ctx, r)
	if err == nil {
		err = a.CheckServiceCall()
	}
	if !l.count(a, err) {
		return
	}
	l.orders.Add(1)
	again, err := c.Send(ctx, r)
	if err == nil && again.Verdict != "ran" {
		err = fmt.Errorf("repeat of an order that ran: verdict %q, status %d", again.Verdict, again.Status)
	}
	if err != nil {
		l.fault(err)
	}
}

// count counts an answer and reports whether it is good. A request that was
// refused and did not run is no error.
func (l *load) count(a harness.Response, err error) bool {
	switch {
	case err == nil:
		l.answered.Add(1)
		return true
	case a.Verdict == "not-run":
		l.refused.Add(1)
	default:
		l.fault(err)
	}
	return false
}

func (l *load) fault(err error) {
	l.errors.Add(1)
	s := err.Error()
	l.firstError.CompareAndSwap(nil, &s)
}

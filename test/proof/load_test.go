package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	// callersPerEntry is the number of callers at each entry in most tests. One of them
	// sends keyed calls.
	callersPerEntry = 4
	requestInterval = 10 * time.Millisecond
	requestTimeout  = 5 * time.Second
	// maxAttempts limits how often a caller sends one keyed call.
	maxAttempts = 4
)

// loadGenerator sends requests to all entries until it is stopped. One of the callers at
// each entry sends keyed calls and retries them through a random entry.
type loadGenerator struct {
	dt       *deploymentTest
	callers  []*harness.Caller // by index of the entry
	sequence atomic.Int64
	wg       conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

func (dt *deploymentTest) startLoad() { dt.startLoadWithCallers(callersPerEntry) }

// startLoadWithCallers starts the load with the given number of callers at each entry.
func (dt *deploymentTest) startLoadWithCallers(callers int) {
	l := &loadGenerator{dt: dt}
	l.ctx, l.cancel = context.WithCancel(dt.ctx)
	dt.loadGenerator = l
	for _, e := range dt.Entries {
		l.callers = append(l.callers, harness.NewCaller(e.HTTP))
	}
	for i := range dt.Entries {
		for c := range callers {
			caller := i*callers + c
			random := rand.New(rand.NewPCG(dt.random.Uint64(), uint64(caller)))
			l.wg.Go(func() { l.runCaller(caller, i, c == 0, random) })
		}
	}
}

// stop stops the callers and waits for the end of their current requests.
func (l *loadGenerator) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *loadGenerator) runCaller(caller, entry int, keyed bool, random *rand.Rand) {
	for l.ctx.Err() == nil {
		if keyed {
			l.sendKeyedCall(caller, entry, random)
		} else {
			l.send(caller, entry, l.newGenerateRequest())
		}
		l.waitInterval()
	}
}

func (l *loadGenerator) waitInterval() {
	select {
	case <-l.ctx.Done():
	case <-time.After(requestInterval):
	}
}

func (l *loadGenerator) send(caller, entry int, r harness.Request) requestRecord {
	return l.dt.send(l.dt, caller, l.dt.Entries[entry], l.callers[entry], r)
}

// newGenerateRequest returns a request with a unique body, so that no other request has the
// same response.
func (l *loadGenerator) newGenerateRequest() harness.Request {
	n := l.sequence.Add(1)
	return harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "summary", Timeout: requestTimeout,
		Body: fmt.Sprintf(`{"prompt":"%d: summarize the survey of plot %d","max_tokens":%d}`, n, n%7, 4+n%24),
	}
}

// sendKeyedCall sends one keyed call and retries it. After each response that the call has
// run, it stops with a probability of one half.
func (l *loadGenerator) sendKeyedCall(caller, entry int, random *rand.Rand) {
	r := harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: harness.NewKey(), Timeout: requestTimeout, Body: fmt.Sprintf(`{"order":%d}`, l.sequence.Add(1)),
	}
	for range maxAttempts {
		if l.send(caller, entry, r).outcome == ran && random.IntN(2) == 0 || l.ctx.Err() != nil {
			return
		}
		entry = random.IntN(len(l.callers))
		l.waitInterval()
	}
}

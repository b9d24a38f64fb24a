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
	// callersPerEntry is the load of most tests; one of the callers sends keyed calls.
	callersPerEntry = 4
	requestInterval = 10 * time.Millisecond
	requestTimeout  = 5 * time.Second
	// repeats bounds how often a caller repeats one keyed call.
	maxAttempts = 4
)

// load sends requests to all entries until it is stopped. At each entry, one
// of the callers places keyed calls and repeats them through any entry.
type loadGenerator struct {
	dt       *deploymentTest
	callers  []*harness.Caller // by index of the entry
	sequence atomic.Int64
	wg       conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

func (dt *deploymentTest) startLoad() { dt.startLoadWithCallers(callersPerEntry) }

// startLoadOf starts a number of callers at each entry.
func (dt *deploymentTest) startLoadWithCallers(callers int) {
	l := &loadGenerator{dt: dt}
	l.ctx, l.cancel = context.WithCancel(dt.ctx)
	dt.loadGenerator = l
	for _, e := range dt.Entries {
		l.callers = append(l.callers, harness.NewCaller(e.HTTP))
	}
	for i := range dt.Entries {
		for c := range callers {
			id := i*callers + c
			rnd := rand.New(rand.NewPCG(dt.rnd.Uint64(), uint64(id)))
			l.wg.Go(func() { l.runCaller(id, i, c == 0, rnd) })
		}
	}
}

// stop ends the callers after their current request.
func (l *loadGenerator) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *loadGenerator) runCaller(id, entry int, keyed bool, rnd *rand.Rand) {
	for l.ctx.Err() == nil {
		if keyed {
			l.sendKeyedCall(id, entry, rnd)
		} else {
			l.send(id, entry, l.newGenerateRequest())
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

func (l *loadGenerator) send(id, entry int, r harness.Request) requestRecord {
	return l.dt.send(l.dt, id, l.dt.Entries[entry], l.callers[entry], r)
}

// prompt returns a request whose body, and with it its answer, is its own.
func (l *loadGenerator) newGenerateRequest() harness.Request {
	n := l.sequence.Add(1)
	return harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "summary", Timeout: requestTimeout,
		Body: fmt.Sprintf(`{"prompt":"%d: summarize the survey of plot %d","max_tokens":%d}`, n, n%7, 4+n%24),
	}
}

// order places one keyed call and repeats it, mostly until it ran.
func (l *loadGenerator) sendKeyedCall(id, entry int, rnd *rand.Rand) {
	r := harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: harness.NewKey(), Timeout: requestTimeout, Body: fmt.Sprintf(`{"order":%d}`, l.sequence.Add(1)),
	}
	for range maxAttempts {
		if l.send(id, entry, r).outcome == ran && rnd.IntN(2) == 0 || l.ctx.Err() != nil {
			return
		}
		entry = rnd.IntN(len(l.callers))
		l.waitInterval()
	}
}

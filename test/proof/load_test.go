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
	pause           = 10 * time.Millisecond
	requestTimeout  = 5 * time.Second
	// repeats bounds how often a caller repeats one keyed call.
	repeats = 4
)

// load sends requests to all entries until it is stopped. At each entry, one
// of the callers places keyed calls and repeats them through any entry.
type load struct {
	w       *world
	callers []*harness.Caller // by index of the entry
	next    atomic.Int64
	wg      conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

func (w *world) startLoad() { w.startLoadOf(callersPerEntry) }

// startLoadOf starts a number of callers at each entry.
func (w *world) startLoadOf(callers int) {
	l := &load{w: w}
	l.ctx, l.cancel = context.WithCancel(w.ctx)
	w.load = l
	for _, e := range w.Entries {
		l.callers = append(l.callers, harness.NewCaller(e.HTTP))
	}
	for i := range w.Entries {
		for c := range callers {
			id := i*callers + c
			rnd := rand.New(rand.NewPCG(w.rnd.Uint64(), uint64(id)))
			l.wg.Go(func() { l.loop(id, i, c == 0, rnd) })
		}
	}
}

// stop ends the callers after their current request.
func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

func (l *load) loop(id, entry int, keyed bool, rnd *rand.Rand) {
	for l.ctx.Err() == nil {
		if keyed {
			l.order(id, entry, rnd)
		} else {
			l.send(id, entry, l.prompt())
		}
		l.pause()
	}
}

func (l *load) pause() {
	select {
	case <-l.ctx.Done():
	case <-time.After(pause):
	}
}

func (l *load) send(id, entry int, r harness.Request) record {
	return l.w.send(l.w, id, l.w.Entries[entry], l.callers[entry], r)
}

// prompt returns a request whose body, and with it its answer, is its own.
func (l *load) prompt() harness.Request {
	n := l.next.Add(1)
	return harness.Request{
		Path: harness.GeneratePath(harness.Group), Customer: harness.Customer, Class: "summary", Timeout: requestTimeout,
		Body: fmt.Sprintf(`{"prompt":"%d: summarize the survey of plot %d","max_tokens":%d}`, n, n%7, 4+n%24),
	}
}

// order places one keyed call and repeats it, mostly until it ran.
func (l *load) order(id, entry int, rnd *rand.Rand) {
	r := harness.Request{
		Path: harness.CallPath(harness.Service, "log"), Customer: harness.Customer, Class: "order",
		Key: harness.NewKey(), Timeout: requestTimeout, Body: fmt.Sprintf(`{"order":%d}`, l.next.Add(1)),
	}
	for range repeats {
		if l.send(id, entry, r).outcome == ran && rnd.IntN(2) == 0 || l.ctx.Err() != nil {
			return
		}
		entry = rnd.IntN(len(l.callers))
		l.pause()
	}
}

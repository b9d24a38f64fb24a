package entry

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/port"
)

func await(ctx context.Context, c <-chan struct{}) {
	select {
	case <-c:
	case <-ctx.Done():
	}
}

// TestLendsFreePlaces guards against a request that waits for the next
// computation of the permits although an answer has shown that other entries
// leave places free.
func TestLendsFreePlaces(t *testing.T) {
	w := newWorld(t, "model", 1)
	heads, end := make(chan struct{}), make(chan struct{})
	w.change(func(_ int, a *fakeAgent) {
		a.status.Load.InFlight = 2
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			await(ctx, heads)
			err := a.whole(ctx, r, sink)
			await(ctx, end)
			return err
		}
	})
	// Without Run, only requests and answers change the permits.
	e := New(w.entry.Deps)
	pool := routing.Pool{Group: "summaries"}
	agent := routing.Agent{VM: w.agents[0].status.VM, Domain: "a", Address: w.agents[0].addr}
	full := w.agents[0].state()
	full.Load.InFlight = full.Load.Limit
	e.table.RecordStatus(report(agent, &full), time.Now())
	e.sizes.Put(pool, poolSize{agents: 1, entries: 4})
	if n := e.adjustCapacity(pool); n != 2 {
		t.Fatalf("%d permits, want a quarter of 8", n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var wg conc.WaitGroup
	for range 3 {
		wg.Go(func() {
			a, err := e.Serve(ctx, generate(), func() error { return nil })
			if err != nil {
				t.Error(err)
				return
			}
			await(ctx, end)
			_ = a.Close()
		})
	}
	depth := func(queued, inUse int) func() bool {
		return func() bool {
			q, u := e.queue.Depth(pool)
			return q == queued && u == inUse
		}
	}
	w.until("one request waits", depth(1, 2))
	heads <- struct{}{}
	w.until("the answer lends it a permit", depth(0, 3))
	close(heads)
	w.until("all are at the agent", func() bool { return w.calls() == 3 })
	close(end)
	wg.Wait()
}

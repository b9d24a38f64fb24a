package entry

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/port"
)

// await waits until c is closed or receives a value, or ctx ends.
func await(ctx context.Context, c <-chan struct{}) {
	select {
	case <-c:
	case <-ctx.Done():
	}
}

// TestAnswerRaisesPermits guards against a queued request that waits for the next
// periodic update of the permits although an answer has shown that other entries
// leave slots free.
func TestAnswerRaisesPermits(t *testing.T) {
	h := newHarness(t, "model", 1)
	sendHead, endAnswers := make(chan struct{}), make(chan struct{})
	h.updateAgents(func(_ int, a *fakeAgent) {
		a.status.Load.InFlight = 2
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			await(ctx, sendHead)
			err := a.serveComplete(ctx, r, sink)
			await(ctx, endAnswers)
			return err
		}
	})
	// Without Run, only requests and answers change the permits.
	e := New(h.entry.Deps)
	pool := routing.Pool{Group: "summaries"}
	agent := routing.Agent{VM: h.agents[0].status.VM, Domain: "a", Address: h.agents[0].addr}
	full := h.agents[0].state()
	full.Load.InFlight = full.Load.Limit
	e.table.RecordStatus(targetStatus(agent, &full), time.Now())
	e.poolSizes.Put(pool, poolSize{agents: 1, entries: 4})
	if n := e.adjustCapacity(pool); n != 2 {
		t.Fatalf("%d permits, want a quarter of 8", n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var wg conc.WaitGroup
	for range 3 {
		wg.Go(func() {
			a, err := e.Serve(ctx, generateRequest(), func() error { return nil })
			if err != nil {
				t.Error(err)
				return
			}
			await(ctx, endAnswers)
			_ = a.Close()
		})
	}
	depthIs := func(queued, inUse int) func() bool {
		return func() bool {
			q, u := e.queue.Depth(pool)
			return q == queued && u == inUse
		}
	}
	h.waitUntil("one request is queued", depthIs(1, 2))
	sendHead <- struct{}{}
	h.waitUntil("the answer provides a permit for it", depthIs(0, 3))
	close(sendHead)
	h.waitUntil("all requests have reached the agent", func() bool { return h.requestCount() == 3 })
	close(endAnswers)
	wg.Wait()
}

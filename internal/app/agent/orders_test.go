package agent

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/rollout"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// skipClock advances by the duration of each wait at once. The wait between two
// keep-alives never ends, since the orders of these tests take no time.
type skipClock struct {
	now time.Time
	// suspended is the time in which the machine was suspended. Now does not include it.
	suspended time.Duration
}

func (c *skipClock) Now() time.Time { return c.now }

func (c *skipClock) SinceBoot() time.Duration { return c.now.Sub(time.Unix(0, 0)) + c.suspended }

func (c *skipClock) After(d time.Duration) <-chan time.Time {
	if d == keepAliveInterval {
		return nil
	}
	c.now = c.now.Add(d)
	ch := make(chan time.Time, 1)
	ch <- c.now
	return ch
}

func newTestOrderer(c *skipClock, kv *porttest.KV, e *porttest.Engine, boot uint64) *orderer {
	w := porttest.NewWeights()
	w.Put("v1", []byte("w"))
	return newOrderer(New(Identity{VM: "vm1", BootID: boot}, Deps{Clock: c, KV: kv, Engine: e, Weights: w}))
}

var unload = rollout.Action{Kind: rollout.Unload, Ref: rollout.Ref{Version: "v0"}}

// executeUntilDone repeats an order until it is no longer deferred, and returns
// the time that this took.
func executeUntilDone(t *rapid.T, o *orderer, c *skipClock) time.Duration {
	start := c.now
	for range 1000 {
		deferred, err := o.execute(context.Background(), unload)
		if err != nil {
			t.Fatal(err)
		}
		if !deferred {
			return c.now.Sub(start)
		}
	}
	t.Fatal("order is still deferred after 1000 attempts")
	return 0
}

// TestOrdersAreFenced guards against an engine that accepts an order of a paused
// or replaced agent after a newer one, against an order sent while another agent
// may still hold a lease, and against a lost response of the store that stops
// all orders.
func TestOrdersAreFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &skipClock{now: time.Unix(1000, 0)}
		kv, e := porttest.NewKV(c.Now), porttest.NewEngine()
		o := newTestOrderer(c, kv, e, 1)
		boot, down := uint64(1), false
		started := c.now
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				took := executeUntilDone(t, o, c)
				if down && !o.gate.LeaseHeld(c.now) && c.now.Sub(started) < rollout.LeaseDuration {
					t.Fatalf("order sent without the platform %v after the start; it took %v", c.now.Sub(started), took)
				}
			},
			"pause":   func(*rapid.T) { c.now = c.now.Add(2 * rollout.LeaseDuration) },
			"outage":  func(t *rapid.T) { down = rapid.Bool().Draw(t, "down"); kv.SetUnavailable(down) },
			"lose":    func(*rapid.T) { kv.LoseWriteAnswers(1) },
			"replace": func(*rapid.T) { boot++; started = c.now; o = newTestOrderer(c, kv, e, boot) },
			"": func(t *rapid.T) {
				fences := e.OrderFences()
				for i := 1; i < len(fences); i++ {
					if fences[i] < fences[i-1] {
						t.Fatalf("fencing numbers decreased: %v", fences)
					}
				}
			},
		})
	})
}

// TestOrderNeedsCompleteWeights guards against an order to load a version whose
// weights were released after the order was planned.
func TestOrderNeedsCompleteWeights(t *testing.T) {
	c := &skipClock{now: time.Unix(1000, 0)}
	e := porttest.NewEngine()
	o := newTestOrderer(c, porttest.NewKV(c.Now), e, 1)
	action := rollout.Action{Kind: rollout.Load, Ref: rollout.Ref{Version: "v9"}}
	if err := o.sendOrder(context.Background(), action, 1); !errors.Is(err, errWeightsIncomplete) || len(e.OrderFences()) != 0 {
		t.Fatalf("got %v, orders %v", err, e.OrderFences())
	}
}

// TestPauseBeforeOrderIsSent guards against an order that is sent although the
// agent was paused beyond the order's validity after it had decided to send it.
func TestPauseBeforeOrderIsSent(t *testing.T) {
	for _, leased := range []bool{true, false} {
		c := &skipClock{now: time.Unix(1000, 0)}
		e := porttest.NewEngine()
		o := newTestOrderer(c, porttest.NewKV(c.Now), e, 1)
		decision := rollout.Decision{Step: rollout.SendOrder, Fence: 5, ValidUntil: c.now.Add(time.Second), Leased: leased}
		c.now = decision.ValidUntil
		for _, action := range []rollout.Action{unload, {Kind: rollout.Load, Ref: rollout.Ref{Version: "v1"}}} {
			if err := o.runOrder(context.Background(), action, decision); !errors.Is(err, errLeaseLost) || len(e.OrderFences()) > 0 {
				t.Fatalf("leased %v: got %v, orders %v", leased, err, e.OrderFences())
			}
		}
	}
}

// TestLeaseLapsesWhileSuspended guards against an order under a lease that lapsed while the
// machine was suspended, in which time the monotonic clock stands still.
func TestLeaseLapsesWhileSuspended(t *testing.T) {
	c := &skipClock{now: time.Unix(1000, 0)}
	e := porttest.NewEngine()
	o := newTestOrderer(c, porttest.NewKV(c.Now), e, 1)
	o.acquireLease(context.Background())
	decision := o.gate.NextStep(c.now)
	if !decision.Leased {
		t.Fatalf("no lease: %+v", decision)
	}
	c.suspended = 2 * rollout.LeaseDuration
	if err := o.runOrder(context.Background(), unload, decision); !errors.Is(err, errLeaseLost) || len(e.OrderFences()) > 0 {
		t.Errorf("got %v, orders %v", err, e.OrderFences())
	}
}

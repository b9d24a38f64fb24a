package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

var (
	start    = time.Unix(1000, 0)
	testPool = routing.Pool{Group: "g"}
)

func request(c string, class fleet.Class, share int) Request {
	return Request{Pool: testPool, Customer: fleet.Customer(c), Class: class, Share: share, Deadline: start.Add(time.Hour)}
}

func granted(t *Ticket) bool {
	select {
	case err := <-t.Granted():
		return err == nil
	default:
		return false
	}
}

func enqueue(t *testing.T, q *Queue, r Request) *Ticket {
	t.Helper()
	x, err := q.Enqueue(r, start)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// grantsPerKind queues n requests of each kind behind a single permit and returns how
// many of the first half of the grants go to each kind.
func grantsPerKind(t *testing.T, n int, kinds ...Request) []int {
	q := NewQueue(n * len(kinds))
	holder := enqueue(t, q, request("holder", fleet.ClassStatus, 1))
	waiting := map[*Ticket]int{}
	for range n {
		for i, r := range kinds {
			waiting[enqueue(t, q, r)] = i
		}
	}
	got := make([]int, len(kinds))
	for range n * len(kinds) / 2 {
		q.Release(holder, start)
		holder = nil
		for x, i := range waiting {
			if granted(x) {
				holder = x
				got[i]++
				delete(waiting, x)
				break
			}
		}
		if holder == nil {
			t.Fatal("a free permit was not granted")
		}
	}
	return got
}

// TestSharesWithinClass guards against a customer whose part of the permits depends on
// how many requests it queues instead of on its share.
func TestSharesWithinClass(t *testing.T) {
	got := grantsPerKind(t, 200, request("a", fleet.ClassStatus, 3), request("b", fleet.ClassStatus, 1))
	if got[0] < 148 || got[0] > 152 {
		t.Errorf("grants %v, want 3 to 1", got)
	}
}

// TestFloodDoesNotDelayOthers guards against a customer that floods the queue and
// thereby delays the first request of another customer.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	q := NewQueue(1000)
	holder := enqueue(t, q, request("flood", fleet.ClassStatus, 1))
	for range 500 {
		enqueue(t, q, request("flood", fleet.ClassStatus, 1))
	}
	small := enqueue(t, q, request("small", fleet.ClassStatus, 1))
	q.SetCapacity(testPool, 3, start)
	if !granted(small) {
		t.Error("the request of the small customer waits behind the flood")
	}
	q.Release(holder, start)
}

// TestClassPriority guards against lower classes that delay status requests, and
// against status requests that starve the lower classes.
func TestClassPriority(t *testing.T) {
	got := grantsPerKind(t, 400, request("a", fleet.ClassStatus, 1), request("a", fleet.ClassSummary, 1))
	if lower := float64(got[1]) / float64(got[0]+got[1]); lower < 0.045 || lower > 0.055 {
		t.Errorf("grants %v, want 5%% for the lower class", got)
	}
}

// TestPermitInvariants guards against permits that leak or are granted twice, and
// against wrong counters, in any order of events.
func TestPermitInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(20)
		now, capacity := start, 1
		var open []*Ticket
		running := map[*Ticket]bool{}
		refresh := func() {
			for _, x := range open {
				if granted(x) {
					running[x] = true
				}
			}
		}
		leave := func(i int) {
			x := open[i]
			open = append(open[:i], open[i+1:]...)
			q.Release(x, now)
			delete(running, x)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				r := request(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), fleet.Class(rapid.IntRange(0, 3).Draw(t, "class")), rapid.IntRange(0, 9).Draw(t, "share"))
				r.MaxQueued = rapid.IntRange(0, 8).Draw(t, "max")
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				if x, err := q.Enqueue(r, now); err == nil {
					open = append(open, x)
				} else if verdict.FromError(err).Verdict != verdict.NotRun {
					t.Fatalf("refusal %v", err)
				}
			},
			"leave": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				leave(rapid.IntRange(0, len(open)-1).Draw(t, "i"))
			},
			"time":     func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond) },
			"capacity": func(t *rapid.T) { capacity = rapid.IntRange(1, 4).Draw(t, "n"); q.SetCapacity(testPool, capacity, now) },
			"": func(t *rapid.T) {
				refresh()
				queued, inUse := q.Depth(testPool)
				if inUse != len(running) || queued > 20 || queued > 0 && inUse < capacity {
					t.Fatalf("%d permits of %d in use, %d granted, %d queued", inUse, capacity, len(running), queued)
				}
			},
		})
		for len(open) > 0 {
			leave(0)
			refresh()
		}
		if queued, inUse := q.Depth(testPool); queued != 0 || inUse != 0 || q.customers.Len() != 0 {
			t.Fatalf("%d queued, %d in use, %d customers at the end", queued, inUse, q.customers.Len())
		}
	})
}

// TestDeadlineShedding guards against requests that are queued although their deadline
// cannot be met, and against shedding while a permit is free.
func TestDeadlineShedding(t *testing.T) {
	q := NewQueue(100)
	x := enqueue(t, q, request("a", fleet.ClassStatus, 1))
	q.Release(x, start.Add(100*time.Millisecond))
	short := request("a", fleet.ClassStatus, 1)
	short.Deadline = start.Add(50 * time.Millisecond)
	if x, err := q.Enqueue(short, start); err != nil || !granted(x) {
		t.Fatalf("request was shed although a permit is free: %v", err)
	}
	_, err := q.Enqueue(short, start)
	if e := verdict.FromError(err); err == nil || e.Code != verdict.CodeOverloaded || e.RetryAfter <= 0 {
		t.Errorf("error %v, want overloaded with a retry delay", err)
	}
}

// TestCustomerLimits guards against one customer that fills the queue or the memory,
// and against counts that are not given back.
func TestCustomerLimits(t *testing.T) {
	q := NewQueue(100)
	r := request("a", fleet.ClassStatus, 1)
	r.MaxQueued = 2
	first := enqueue(t, q, r)
	enqueue(t, q, r)
	if _, err := q.Enqueue(r, start); verdict.FromError(err).Code != verdict.CodeCustomerLimit {
		t.Errorf("third request: %v", err)
	}
	q.MarkStarted(first)
	enqueue(t, q, r)

	b := NewByteLimiter(100)
	for i, c := range []struct {
		customer fleet.Customer
		n, max   int64
		code     verdict.Code
	}{{"a", 60, 70, ""}, {"a", 20, 70, verdict.CodeCustomerLimit}, {"b", 50, 0, verdict.CodeOverloaded}, {"b", 40, 0, ""}} {
		err := b.Reserve(c.customer, c.n, c.max)
		if (err == nil) != (c.code == "") || err != nil && verdict.FromError(err).Code != c.code {
			t.Error(fmt.Errorf("reservation %d: %w", i, err))
		}
	}
	b.Release("a", 60)
	b.Release("b", 40)
	if b.Total() != 0 || b.customers.Len() != 0 {
		t.Errorf("%d bytes, %d customers left", b.Total(), b.customers.Len())
	}
}

// TestLateAllowsForDeviation guards against requests that are started with only the
// mean hold time left. Half of them would be cut off after they used a target.
func TestLateAllowsForDeviation(t *testing.T) {
	p := newPool()
	for i := range 200 {
		p.recordHoldTime(time.Duration(90+20*(i%2)) * time.Millisecond)
	}
	p.push(&Ticket{})
	now := time.Unix(0, 0)
	for remaining, isLate := range map[time.Duration]bool{
		105 * time.Millisecond: true, 115 * time.Millisecond: true, 140 * time.Millisecond: false,
	} {
		if got := p.isLate(&Ticket{req: Request{Deadline: now.Add(remaining)}}, now); got != isLate {
			t.Errorf("late with %v left: %v, want %v (mean hold time %v, deviation %v)", remaining, got, isLate, p.meanHoldTime, p.holdTimeDeviation)
		}
	}
}

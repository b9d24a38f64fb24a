package schedule

import "github.com/masticwing/masticwing/internal/core/fleet"

// classQueue orders the requests of one class by start-time fair queueing:
// each request starts, in virtual time, when the previous one of its customer
// finishes, and the earliest start goes first.
type classQueue struct {
	flows   map[fleet.Customer]*flow
	size    int
	virtual float64
}

// flow is the queue of one customer.
type flow struct {
	tickets []*Ticket
	finish  float64
	share   float64
}

func (q *classQueue) push(t *Ticket) {
	f := q.flows[t.req.Customer]
	if f == nil {
		f = &flow{}
		q.flows[t.req.Customer] = f
	}
	f.share = float64(max(t.req.Share, 1))
	t.start = max(q.virtual, f.finish)
	f.finish = t.start + 1/f.share
	f.tickets = append(f.tickets, t)
	q.size++
}

// pop removes the request with the earliest start. The queue is not empty.
func (q *classQueue) pop() *Ticket {
	var best *flow
	var name fleet.Customer
	for c, f := range q.flows {
		if len(f.tickets) == 0 {
			continue
		}
		if best == nil || earlier(f, c, best, name) {
			best, name = f, c
		}
	}
	t := best.tickets[0]
	best.tickets[0] = nil
	best.tickets = best.tickets[1:]
	q.size--
	q.virtual = t.start
	q.tidy()
	return t
}

func earlier(a *flow, an fleet.Customer, b *flow, bn fleet.Customer) bool {
	if a.tickets[0].start != b.tickets[0].start {
		return a.tickets[0].start < b.tickets[0].start
	}
	return an < bn
}

// remove takes a request out that stopped waiting. Later requests of its
// customer keep their start, so a customer gains nothing by canceling.
func (q *classQueue) remove(t *Ticket) {
	f := q.flows[t.req.Customer]
	if f == nil {
		return
	}
	for i, x := range f.tickets {
		if x == t {
			f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
			q.size--
			break
		}
	}
	q.tidy()
}

// tidy drops customers without requests whose finish lies in the past; their
// next request would start at the current virtual time anyway.
func (q *classQueue) tidy() {
	for c, f := range q.flows {
		if len(f.tickets) == 0 && f.finish <= q.virtual {
			delete(q.flows, c)
		}
	}
	if q.size == 0 {
		clear(q.flows)
		q.virtual = 0
	}
}

// ahead estimates the requests of the class that go before a new one of r's
// customer.
func (q *classQueue) ahead(r Request) int {
	f := q.flows[r.Customer]
	if f == nil || len(f.tickets) == 0 {
		return 0
	}
	total := 0.0
	for _, x := range q.flows {
		if len(x.tickets) > 0 {
			total += x.share
		}
	}
	n := float64(len(f.tickets)) * total / float64(max(r.Share, 1))
	return min(q.size, int(n))
}

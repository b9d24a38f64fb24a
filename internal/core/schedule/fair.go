package schedule

import "github.com/masticwing/masticwing/internal/core/fleet"

// classQueue orders the requests of one class by start-time fair queueing. The start
// tag of a request is the virtual time or, if later, the finish tag of the
// customer's previous request. The request with the lowest start tag goes first.
type classQueue struct {
	flows       map[fleet.Customer]*flow
	size        int
	virtualTime float64
}

// flow is the queue of one customer's requests. finishTag is that of the last one.
type flow struct {
	tickets   []*Ticket
	finishTag float64
	share     float64
}

// push adds a request to the queue of its customer.
func (q *classQueue) push(t *Ticket) {
	f := q.flows[t.req.Customer]
	if f == nil {
		f = &flow{}
		q.flows[t.req.Customer] = f
	}
	f.share = float64(max(t.req.Share, 1))
	t.startTag = max(q.virtualTime, f.finishTag)
	f.finishTag = t.startTag + 1/f.share
	f.tickets = append(f.tickets, t)
	q.size++
}

// pop removes and returns the request with the lowest start tag. The queue must not
// be empty.
func (q *classQueue) pop() *Ticket {
	var best *flow
	var bestCustomer fleet.Customer
	for c, f := range q.flows {
		if len(f.tickets) == 0 {
			continue
		}
		if best == nil || startsBefore(f, c, best, bestCustomer) {
			best, bestCustomer = f, c
		}
	}
	t := best.tickets[0]
	best.tickets[0] = nil
	best.tickets = best.tickets[1:]
	q.size--
	q.virtualTime = t.startTag
	q.dropIdleFlows()
	return t
}

// startsBefore reports whether the first request of flow a goes before that of flow b.
// Ties are broken by the names of the customers.
func startsBefore(a *flow, customerA fleet.Customer, b *flow, customerB fleet.Customer) bool {
	if a.tickets[0].startTag != b.tickets[0].startTag {
		return a.tickets[0].startTag < b.tickets[0].startTag
	}
	return customerA < customerB
}

// remove removes a request that stopped waiting. Later requests of its customer keep
// their start tags, so a customer gains nothing by canceling.
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
	q.dropIdleFlows()
}

// dropIdleFlows deletes the flows without requests whose finish tag is not later than
// the virtual time. The next request of such a customer starts at the virtual time
// anyway.
func (q *classQueue) dropIdleFlows() {
	for c, f := range q.flows {
		if len(f.tickets) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, c)
		}
	}
	if q.size == 0 {
		clear(q.flows)
		q.virtualTime = 0
	}
}

// requestsAhead estimates the number of requests of the class that go before the new
// request r.
func (q *classQueue) requestsAhead(r Request) int {
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

package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// Key is what requests are counted by.
type Key struct {
	Account fleet.Customer
	Window  int64
}

// Count is the number of requests of an account that a gateway has counted in a window so far.
type Count struct {
	Key
	Requests int64
}

// Demand is the work offered to a service, cumulative since the start of a gateway.
type Demand struct {
	// Requests counts the requests of callers, and Refused those refused for lack of capacity.
	Requests, Refused int64
	// PromptTokens and OutputTokens are the input tokens and the expected output tokens of Requests.
	PromptTokens, OutputTokens int64
}

// ServiceDemand is the demand for a service.
type ServiceDemand struct {
	Service fleet.Service
	Demand
}

// plus returns the sum of two demands.
func (d Demand) plus(o Demand) Demand {
	return Demand{d.Requests + o.Requests, d.Refused + o.Refused, d.PromptTokens + o.PromptTokens, d.OutputTokens + o.OutputTokens}
}

// largest returns the larger of each figure: of cumulative figures, the newest.
func (d Demand) largest(o Demand) Demand {
	return Demand{max(d.Requests, o.Requests), max(d.Refused, o.Refused), max(d.PromptTokens, o.PromptTokens), max(d.OutputTokens, o.OutputTokens)}
}

// Counter holds what this gateway counts, by account and window, and by service.
type Counter struct {
	counts *shard.Map[Key, int64]
	demand *shard.Map[fleet.Service, Demand]
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{shard.New[Key, int64](0), shard.New[fleet.Service, Demand](0)}
}

// Add counts a request.
func (c *Counter) Add(k Key) {
	c.counts.Update(k, func(n int64, _ bool) (int64, bool) { return n + 1, true })
}

// AddDemand adds to the demand for a service.
func (c *Counter) AddDemand(s fleet.Service, d Demand) {
	c.demand.Update(s, func(old Demand, _ bool) (Demand, bool) { return old.plus(d), true })
}

// Counts returns the counts of all windows from oldest on, by account, and drops those of older ones.
func (c *Counter) Counts(oldest int64) []Count {
	var out []Count
	var old []Key
	c.counts.Range(func(k Key, n int64) bool {
		if k.Window < oldest {
			old = append(old, k)
		} else {
			out = append(out, Count{k, n})
		}
		return true
	})
	for _, k := range old {
		c.counts.Delete(k)
	}
	sortCounts(out)
	return out
}

// Demand returns the demand for all services.
func (c *Counter) Demand() []ServiceDemand {
	var out []ServiceDemand
	c.demand.Range(func(s fleet.Service, d Demand) bool {
		out = append(out, ServiceDemand{s, d})
		return true
	})
	return out
}

// sortCounts sorts by account and then by window, so that an encoding states each account once.
func sortCounts(cs []Count) {
	slices.SortFunc(cs, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Window, b.Window))
	})
}

// Changes finds what has changed since the last notice. It is not safe for concurrent use.
type Changes struct {
	counts map[Key]int64
	demand map[fleet.Service]Demand
}

// Since returns those of counts and demand that the last call did not have.
func (c *Changes) Since(counts []Count, demand []ServiceDemand) ([]Count, []ServiceDemand) {
	nextCounts, nextDemand := make(map[Key]int64, len(counts)), make(map[fleet.Service]Demand, len(demand))
	var changed []Count
	for _, x := range counts {
		nextCounts[x.Key] = x.Requests
		if c.counts[x.Key] != x.Requests {
			changed = append(changed, x)
		}
	}
	var changedDemand []ServiceDemand
	for _, x := range demand {
		nextDemand[x.Service] = x.Demand
		if c.demand[x.Service] != x.Demand {
			changedDemand = append(changedDemand, x)
		}
	}
	c.counts, c.demand = nextCounts, nextDemand
	return changed, changedDemand
}

// Source is one run of a gateway.
type Source struct {
	Gateway string
	// Start differs between the runs of a gateway.
	Start uint64
}

// Notice states cumulative figures of a source. Repeats and reordering have no effect.
type Notice struct {
	Source
	Domain fleet.Domain
	// Clock is the source's time when the notice was sent, also by another gateway, or zero if unknown.
	Clock time.Duration
	// Through is the time of the source's clock up to which the counts of all windows that are not due
	// yet are complete with this notice, or zero if unknown.
	Through time.Duration
	// Age is the time since the source stated its newest figures.
	Age    time.Duration
	Counts []Count
	Demand []ServiceDemand
}

// ClockNotice states the median of the clocks of a number of gateways.
type ClockNotice struct {
	Median time.Duration
	Clocks int
}

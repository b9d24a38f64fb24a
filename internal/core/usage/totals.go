package usage

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// KeptTime is the time after its end for which the counts of a window are kept.
	KeptTime = time.Minute
	// clockAge is the age up to which a stated clock is compared. Gateways state theirs several times a
	// second.
	clockAge = 3 * time.Second
	// maxSources and maxEntries bound what is kept, five times the 390 processes of the design size, and
	// its accounts and windows.
	maxSources = 2048
	maxEntries = 8192
)

// Totals holds what gateways state, in shards by source.
type Totals struct {
	length  time.Duration
	sources *shard.Map[Source, *stated]
}

// stated is what a source has stated. The lock of its shard guards it.
type stated struct {
	domain fleet.Domain
	// heardAt is the time since boot at which the source made its newest statement.
	heardAt time.Duration
	// clock is the difference of the source's clock from the time since boot, if clockKnown.
	clock      time.Duration
	clockKnown bool
	through    time.Duration
	// counts holds entries counts, by window.
	counts  map[int64]map[fleet.Customer]int64
	entries int
	demand  map[fleet.Service]Demand
}

// NewTotals returns empty totals for windows of a length.
func NewTotals(length time.Duration) *Totals {
	return &Totals{length, shard.New[Source, *stated](0)}
}

// Merge adds a notice received at a time since boot, which is now on the clock of this gateway. Values that
// can't be meant are left out: counts below one, windows that are not kept or lie in the future.
func (t *Totals) Merge(n Notice, sinceBoot, now time.Duration) {
	if n.Gateway == "" || n.Age < 0 {
		return
	}
	full := t.sources.Len() >= maxSources
	oldest, newest := t.oldest(now), WindowAt(now, t.length)+2
	t.sources.Update(n.Source, func(s *stated, ok bool) (*stated, bool) {
		if !ok && full {
			return nil, false
		}
		if !ok {
			s = &stated{domain: n.Domain, heardAt: sinceBoot - n.Age, counts: map[int64]map[fleet.Customer]int64{}, demand: map[fleet.Service]Demand{}}
		}
		if made := sinceBoot - n.Age; made >= s.heardAt {
			s.heardAt = made
			if n.Clock > 0 {
				s.clock, s.clockKnown = n.Clock-sinceBoot, true
			}
			if n.Through > 0 {
				// A clock that was corrected states an earlier time than before.
				s.through = n.Through
			}
		}
		for _, c := range n.Counts {
			if c.Requests > 0 && c.Window >= oldest && c.Window <= newest {
				s.add(c)
			}
		}
		for _, d := range n.Demand {
			if _, known := s.demand[d.Service]; known || len(s.demand) < maxEntries {
				s.demand[d.Service] = s.demand[d.Service].largest(d.Demand)
			}
		}
		return s, true
	})
}

// add keeps the largest of the counts that a source states.
func (s *stated) add(c Count) {
	if _, known := s.counts[c.Window][c.Account]; !known {
		if s.entries >= maxEntries {
			return
		}
		s.entries++
	}
	if s.counts[c.Window] == nil {
		s.counts[c.Window] = map[fleet.Customer]int64{}
	}
	s.counts[c.Window][c.Account] = max(s.counts[c.Window][c.Account], c.Requests)
}

// oldest returns the oldest window that is kept.
func (t *Totals) oldest(now time.Duration) int64 { return WindowAt(now-KeptTime, t.length) }

// Prune drops the counts of windows that are not kept, and sources that have none and were not heard for
// KeptTime.
func (t *Totals) Prune(sinceBoot, now time.Duration) {
	oldest := t.oldest(now)
	var gone []Source
	t.sources.Range(func(k Source, s *stated) bool {
		for w, counts := range s.counts {
			if w < oldest {
				s.entries -= len(counts)
				delete(s.counts, w)
			}
		}
		if len(s.counts) == 0 && sinceBoot-s.heardAt > KeptTime {
			gone = append(gone, k)
		}
		return true
	})
	for _, k := range gone {
		t.sources.Delete(k)
	}
}

// Window returns the counts of a window by account, over all sources.
func (t *Totals) Window(window int64) map[fleet.Customer]int64 {
	out := map[fleet.Customer]int64{}
	t.sources.Range(func(_ Source, s *stated) bool {
		for a, n := range s.counts[window] {
			out[a] += n
		}
		return true
	})
	return out
}

// Missing returns how many of gateways have not stated complete counts up to a time on their clocks.
func (t *Totals) Missing(gateways []string, through time.Duration) int {
	complete := map[string]bool{}
	t.sources.Range(func(k Source, s *stated) bool {
		if s.through >= through {
			complete[k.Gateway] = true
		}
		return true
	})
	missing := 0
	for _, g := range gateways {
		if !complete[g] {
			missing++
		}
	}
	return missing
}

// Relayed returns what the sources of a domain have stated of windows from oldest on. A source that
// has ended is included as long as it has such counts.
func (t *Totals) Relayed(domain fleet.Domain, oldest int64, sinceBoot time.Duration) []Notice {
	var out []Notice
	t.sources.Range(func(k Source, s *stated) bool {
		if s.domain != domain {
			return true
		}
		n := Notice{Source: k, Domain: s.domain, Through: s.through, Age: max(0, sinceBoot-s.heardAt)}
		if s.clockKnown && n.Age <= clockAge {
			n.Clock = sinceBoot + s.clock
		}
		for w, counts := range s.counts {
			for a, c := range counts {
				if w >= oldest {
					n.Counts = append(n.Counts, Count{Key{a, w}, c})
				}
			}
		}
		if len(n.Counts) == 0 && n.Clock == 0 {
			return true
		}
		for service, d := range s.demand {
			n.Demand = append(n.Demand, ServiceDemand{service, d})
		}
		sortCounts(n.Counts)
		out = append(out, n)
		return true
	})
	return out
}

// Clocks returns the readings of all clocks at a time since boot, without those not heard lately.
func (t *Totals) Clocks(sinceBoot time.Duration) []time.Duration {
	var out []time.Duration
	t.sources.Range(func(_ Source, s *stated) bool {
		if s.clockKnown && sinceBoot-s.heardAt <= clockAge {
			out = append(out, sinceBoot+s.clock)
		}
		return true
	})
	return out
}

// DemandFigure is the demand for a service at one run of a gateway.
type DemandFigure struct {
	Source
	Domain  fleet.Domain
	Service fleet.Service
	Demand
	// Age is the time since the gateway stated its newest figures. It grows while the gateway is cut off,
	// and after it has ended.
	Age time.Duration
}

// DemandSnapshot is the demand for all services at all gateways that were heard in the last minute. The
// figures are cumulative, so the demand of a time is the difference of two snapshots by source and service.
type DemandSnapshot struct {
	// At is the time since boot of this machine.
	At      time.Duration
	Figures []DemandFigure
}

// Demand returns the snapshot at a time since boot.
func (t *Totals) Demand(sinceBoot time.Duration) DemandSnapshot {
	out := DemandSnapshot{At: sinceBoot}
	t.sources.Range(func(k Source, s *stated) bool {
		for service, d := range s.demand {
			out.Figures = append(out.Figures, DemandFigure{k, s.domain, service, d, max(0, sinceBoot-s.heardAt)})
		}
		return true
	})
	return out
}

package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// Budgets limit the requests that are sent a second time, per service, over a
// sliding window. All processes together may send ratio times the requests plus
// a slack; each uses an equal part of the slack, so that the sum holds although
// they do not know of each other.
type Budgets struct {
	ratio, slack float64
	window       time.Duration
	base         time.Time
	services     *shard.Map[fleet.Service, *usage]
}

// buckets is the number of parts of the window. One more is kept, so that the
// count covers at least a whole window.
const buckets = 10

type usage struct {
	at      int64 // number of the newest bucket
	first   [buckets + 1]int
	repeats [buckets + 1]int
}

// budgetPart is the part of the allowed repeats that is used. The rest covers
// requests that are counted in another window than here.
const budgetPart = 0.5

// NewBudgets returns budgets without requests. base is a time before any use.
func NewBudgets(ratio, slack float64, window time.Duration, base time.Time) *Budgets {
	return &Budgets{ratio: ratio, slack: slack, window: window, base: base, services: shard.New[fleet.Service, *usage](4)}
}

// First records a request that is sent for the first time.
func (b *Budgets) First(s fleet.Service, now time.Time) {
	b.update(s, now, func(u *usage, i int) { u.first[i]++ })
}

// Repeat takes one repeat and reports whether the budget allows it.
func (b *Budgets) Repeat(s fleet.Service, processes float64, now time.Time) bool {
	allowed := false
	b.update(s, now, func(u *usage, i int) {
		first, repeats := 0, 0
		for k := range u.first {
			first += u.first[k]
			repeats += u.repeats[k]
		}
		limit := budgetPart * (b.ratio*float64(first) + b.slack/max(processes, 1))
		if allowed = float64(repeats+1) <= limit; allowed {
			u.repeats[i]++
		}
	})
	return allowed
}

func (b *Budgets) update(s fleet.Service, now time.Time, f func(u *usage, i int)) {
	n := int64(now.Sub(b.base) / max(1, b.window/buckets))
	b.services.Update(s, func(u *usage, ok bool) (*usage, bool) {
		if !ok {
			u = &usage{at: n}
		}
		for ; u.at < n && n-u.at <= buckets; u.at++ {
			i := (u.at + 1) % (buckets + 1)
			u.first[i], u.repeats[i] = 0, 0
		}
		if u.at < n {
			*u = usage{at: n}
		}
		f(u, int(u.at%(buckets+1)))
		return u, true
	})
}

package placement

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Reported is what is known of a target from its registration and its last load report.
type Reported struct {
	Service fleet.Service
	Domain  fleet.Domain
	// Leaving targets are draining, or have announced that they leave.
	Leaving bool
	// Cold targets can take only a limited request rate, and Loading ones replace their weights.
	Cold, Loading bool
	// HoldsWeights is set if the target holds weights.
	HoldsWeights bool
	// Slots is at least 1, and Requests counts the requests of all processes, running and waiting.
	Slots, Requests int
	// ReportAge is the age of the report, or negative if there is none.
	ReportAge time.Duration
}

// Reports returns what is known of each target.
func (t *Table) Reports(now time.Time) []Reported {
	var out []Reported
	t.targets.Range(func(_ fleet.Instance, s *targetState) bool {
		r := Reported{
			Service: s.Service, Domain: s.Domain, Leaving: s.Draining || !s.announced.leavingSince.IsZero(), Cold: now.Before(s.ColdUntil),
			Loading: s.load.Loading, HoldsWeights: s.WeightsVersion > 0, Slots: s.slots(), Requests: s.load.total(), ReportAge: -1,
		}
		if !s.reportedAt.IsZero() {
			r.ReportAge = max(0, now.Sub(s.reportedAt))
		}
		out = append(out, r)
		return true
	})
	return out
}

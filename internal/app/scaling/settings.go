package scaling

import (
	"time"

	"github.com/masticwing/masticwing/internal/app/settings"
	core "github.com/masticwing/masticwing/internal/core/scaling"
)

// Settings configure the scaling orders.
type Settings struct{ Rules core.Rules }

// Register adds the keys of these settings to s. The defaults are explained at core.DefaultRules.
func (c *Settings) Register(s *settings.Set) {
	d := core.DefaultRules()
	s.Float("scaling", "raise_above", &c.Rules.RaiseAbove, d.RaiseAbove, 0.05, 1, "Share of the engines' highest rate above which more are ordered.")
	s.Float("scaling", "target", &c.Rules.Target, d.Target, 0.05, 1, "Share of the engines' highest rate for which a number is ordered.")
	s.Float("scaling", "lower_below", &c.Rules.LowerBelow, d.LowerBelow, 0, 1, "Share of the engines' highest rate below which fewer are ordered.")
	s.Duration("scaling", "raise_interval", &c.Rules.RaiseInterval, d.RaiseInterval, time.Second, time.Hour, "Shortest time between an order for a service and domain and one that raises it.")
	s.Duration("scaling", "lower_interval", &c.Rules.LowerInterval, d.LowerInterval, time.Second, 10*time.Minute, "Shortest time between an order for a service and domain and one that lowers it.")
	s.Duration("scaling", "report_age", &c.Rules.MaxReportAge, d.MaxReportAge, 100*time.Millisecond, time.Minute, "Age above which figures of an engine or gateway are not used.")
	s.Float("scaling", "heard_share", &c.Rules.HeardShare, d.HeardShare, 0, 1, "Share of the engines and gateways of a domain that must be heard.")
	s.Float("scaling", "fleet_share", &c.Rules.FleetShare, d.FleetShare, 0, 1, "Share of all engines and gateways that must be heard.")
	s.AddCheck(func() []settings.Fault {
		if r := c.Rules; r.LowerBelow < r.Target && r.Target < r.RaiseAbove {
			return nil
		}
		return []settings.Fault{{Section: "scaling", Key: "target", Allowed: "between [scaling] lower_below and raise_above"}}
	})
}

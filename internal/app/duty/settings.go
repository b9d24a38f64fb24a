package duty

import (
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Names of the duties in the settings.
const (
	UsageReports  = "usage_report"
	ScalingOrders = "autoscale"
)

// Settings configure the singleton duties. Without an address there are none.
type Settings struct {
	// API is the address of the platform's API for duties.
	API fleet.Address
	// Names lists the duties of the deployment.
	Names []string
	// CallsPerSecond is the rate of calls that the platform accepts from all processes together.
	CallsPerSecond float64
	// UsageWindow is the length of a window of usage, and UsageDue the time after its end by which the
	// report must have arrived.
	UsageWindow, UsageDue time.Duration
	// ReturnInterval is the time within which the duties must not change to another holder and back.
	ReturnInterval time.Duration
	// ResumeGrace is the time for which calls of a holder whose VM was suspended may still arrive.
	ResumeGrace time.Duration
}

// Register adds the keys of these settings to s.
func (c *Settings) Register(s *settings.Set) {
	var names string
	s.Address("duties", "address", &c.API, "", "The platform's API for singleton duties; empty if there are none.")
	s.String("duties", "names", &names, "", "Duties of the deployment, separated by commas: usage_report, autoscale. Others are ignored.")
	s.Float("duties", "calls_per_second", &c.CallsPerSecond, 50, 0.1, 1e6, "Calls that the platform accepts from all processes together.")
	s.Duration("duties", "usage_window", &c.UsageWindow, 5*time.Second, time.Second, 24*time.Hour, "Length of a window of usage.")
	s.Duration("duties", "usage_due", &c.UsageDue, 10*time.Second, time.Second, 24*time.Hour, "Time after the end of a window by which its report is due.")
	s.Duration("duties", "return_interval", &c.ReturnInterval, 3*time.Second, 0, time.Hour, "Time within which the duties must not change to another holder and back.")
	s.Duration("duties", "resume_grace", &c.ResumeGrace, 300*time.Millisecond, 0, time.Minute, "Time for which calls of a VM that was suspended may still arrive.")
	s.AddCheck(func() []settings.Fault {
		c.Names = nil
		for _, n := range strings.Split(names, ",") {
			if n = strings.TrimSpace(n); n != "" {
				c.Names = append(c.Names, n)
			}
		}
		if len(c.Names) > 0 && c.API == "" {
			return []settings.Fault{{Section: "duties", Key: "address", Allowed: "ip:port, since [duties] names lists duties"}}
		}
		return nil
	})
}

// Has reports whether the deployment has a duty.
func (c *Settings) Has(name string) bool {
	for _, n := range c.Names {
		if n == name {
			return c.API != ""
		}
	}
	return false
}

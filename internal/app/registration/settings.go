package registration

import (
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Settings are the settings shared by all processes that register in the
// platform's store.
type Settings struct {
	Domain fleet.Domain
	// Regions maps each failure domain to its region.
	Regions map[fleet.Domain]fleet.Region
	// Internal is the address that serves other masticwing processes.
	Internal fleet.Address
	Platform fleet.Address
}

// Register adds the keys of these settings to s.
func (c *Settings) Register(s *settings.Set) {
	s.Name("node", "domain", func(v string) { c.Domain = fleet.Domain(v) }, settings.Required, "Failure domain of this VM.")
	labels := map[string]string{}
	s.Labels("node", "regions", &labels, settings.Required, "Region of each failure domain, as domain=region.")
	s.Address("listen", "internal", &c.Internal, settings.Required, "Address for other gateways and loaders, TCP and UDP.")
	s.Address("platform", "address", &c.Platform, settings.Required, "The platform's metadata store.")
	s.AddCheck(func() []settings.Fault {
		c.Regions = map[fleet.Domain]fleet.Region{}
		for d, r := range labels {
			c.Regions[fleet.Domain(d)] = fleet.Region(r)
		}
		if _, ok := c.Regions[c.Domain]; !ok {
			return []settings.Fault{{Section: "node", Key: "domain", Value: string(c.Domain), Allowed: "a domain of [node] regions"}}
		}
		return nil
	})
}

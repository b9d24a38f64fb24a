package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestStaleViewDecidesNothingForGood guards against a gateway that was cut off from the store and sends a request to the
// region to which its route was bound before, or refuses one for good whose route or key was added since.
func TestStaleViewDecidesNothingForGood(t *testing.T) {
	bound := route
	bound.Name, bound.Prefix, bound.Regions = "bound", "/bound/", []fleet.Region{"ra"}
	request := func(path, key string) *port.InboundRequest {
		in := newInbound()
		in.Path, in.URI, in.APIKey = path, path, key
		return in
	}
	for age, want := range map[time.Duration]map[string]verdict.Code{
		time.Second:             {"/p/x": "", "/bound/x": "", "/none/x": verdict.CodeUnknownService, "/p/other key": verdict.CodeUnknownCustomer},
		2500 * time.Millisecond: {"/p/x": "", "/bound/x": verdict.CodeStaleConfiguration, "/none/x": verdict.CodeStaleConfiguration, "/p/other key": verdict.CodeStaleConfiguration},
	} {
		gw := newTestGateway(t, route)
		gw.applyConfig(2, route, bound)
		gw.view.confirmations.Check(gw.clock.SinceBoot())
		gw.clock.advance(age)
		for path, code := range want {
			key := "k"
			if path == "/p/other key" {
				key = "other"
			}
			c := gw.request(request(path, key))
			got := verdict.Code("")
			if c.refused != nil {
				got = c.refused.Code
			}
			if got != code || c.refused != nil && c.refused.Verdict != verdict.NotRun {
				t.Errorf("%s, confirmed %v ago: %v, want code %q", path, age, c.refused, code)
			}
		}
	}
}

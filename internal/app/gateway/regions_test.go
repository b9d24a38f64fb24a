package gateway

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
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

// TestLaterSendFollowsNewRegions guards against a request that is sent again to the region to which its route was bound
// when the request arrived, although the operators have bound it to another one since.
func TestLaterSendFollowsNewRegions(t *testing.T) {
	bound := func(r fleet.Region) routes.Route {
		x := route
		x.Regions = []fleet.Region{r}
		return x
	}
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no response")
	gw := newTestGateway(t, bound("ra"), scriptedReply{err: lost})
	gw.forwarder.replies[0].connecting = func() { gw.applyConfig(2, bound("rb")) }
	if c := gw.request(newInbound()); c.status != 200 {
		t.Errorf("refused: %v", c.refused)
	}
	if to := gw.forwarder.to; len(to) != 2 || to[0] != "a" || to[1] != "b" {
		t.Errorf("sent to %v, want a in the earlier region and b in the new one", to)
	}
}

// TestLaterSendIsNotBoundByStaleView guards against a second send to a region that may have changed since the store last
// confirmed the view.
func TestLaterSendIsNotBoundByStaleView(t *testing.T) {
	x := route
	x.Regions = []fleet.Region{"ra", "rb"}
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "no response")
	gw := newTestGateway(t, x, scriptedReply{err: lost})
	gw.forwarder.replies[0].connecting = func() { gw.clock.advance(3 * time.Second) }
	if c := gw.request(newInbound()); c.refused == nil || c.refused.Verdict == verdict.NotRun || len(gw.forwarder.to) != 1 {
		t.Errorf("sent to %v, refused: %v; want one send, and a refusal that does not deny that it has run", gw.forwarder.to, c.refused)
	}
}

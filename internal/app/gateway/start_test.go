package gateway

import (
	"testing"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/port"
)

// TestNoRequestsBeforeGatewaysAreKnown guards against a gateway that has just started and takes
// the whole rate of a cold target, since it does not know of the other gateways yet. Many
// gateways may start at the same time.
func TestNoRequestsBeforeGatewaysAreKnown(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.view.membersListed.Store(false)
	gw.view.applyTargets(follow.Event{Reset: true, Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "targets/a", Revision: 1}}}})
	if c := gw.request(newInbound()); c.refused == nil {
		t.Errorf("a request is sent with status %d before the gateways are listed", c.status)
	}
	if ok, reason := gw.Ready(); ok {
		t.Errorf("the gateway is ready before the gateways are listed: %q", reason)
	}
	gw.view.applyMembers(follow.Event{Reset: true})
	if c := gw.request(newInbound()); c.status != 200 {
		t.Errorf("refused: %v", c.refused)
	}
	if ok, reason := gw.Ready(); !ok {
		t.Errorf("not ready: %s", reason)
	}
}

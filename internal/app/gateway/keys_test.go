package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
)

// beforeSend is a port.Forwarder that runs a function before the first send.
type beforeSend struct {
	port.Forwarder
	run  func()
	sent int
}

func (b *beforeSend) Forward(ctx context.Context, to fleet.Address, f port.Forward) (*port.ForwardResponse, error) {
	if b.sent++; b.sent == 1 {
		b.run()
	}
	return b.Forwarder.Forward(ctx, to, f)
}

// removeKeys puts a configuration without the key of the test's requests into force.
func (gw *testGateway) removeKeys() {
	gw.applyItem("op/config", 2, port.ConfigItem{Config: routes.Config{
		Version: 2, Routes: []routes.Route{route}, Services: []routes.Service{{Name: "s"}},
		Accounts: []routes.Account{{Name: "t", Keys: []string{"other"}}},
	}})
}

// TestKeyIsCheckedBeforeEachSend guards against a retry, seconds after the first send, with a
// key that was removed meanwhile, and against a retry that is refused although no change of
// the key is known.
func TestKeyIsCheckedBeforeEachSend(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(*testGateway)
		sends     int
	}{
		"key removed":     {(*testGateway).removeKeys, 1},
		"view is too old": {func(gw *testGateway) { gw.clock.advance(6 * time.Second) }, 2},
	} {
		gw := newTestGateway(t, route, scriptedReply{err: errLost})
		fw := &beforeSend{Forwarder: gw.forwarder, run: func() { c.meanwhile(gw) }}
		gw.deps.Targets = fw
		if out := gw.request(newInbound()); (out.refused == nil) != (c.sends == 2) || fw.sent != c.sends {
			t.Errorf("%s: status %d, sent %d times, want %d", name, out.status, fw.sent, c.sends)
		}
	}
}

// TestKeyIsLookedUpAfterItsAge guards against a key of an older configuration that is accepted
// because the newer one, without the key, was confirmed just before the age was checked.
func TestKeyIsLookedUpAfterItsAge(t *testing.T) {
	gw := newTestGateway(t, route)
	c := &call{g: gw.Gateway, in: newInbound(), route: &route, routeTable: gw.view.routeTable.Load()}
	gw.clock.advance(6 * time.Second)
	gw.removeKeys()
	gw.view.confirmations.Check(gw.clock.SinceBoot())
	if e := c.authenticate(); e == nil {
		t.Error("a removed key is accepted")
	}
}

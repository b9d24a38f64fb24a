package gateway

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fanout"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/port"
)

// speedRecorder is a port.LoadSender that passes notices of speeds to a gateway.
type speedRecorder struct {
	evidenceNetwork
	to   *testGateway
	sent *[]port.SpeedNotice
}

func (r speedRecorder) SendSpeed(n port.SpeedNotice, _ []netip.AddrPort) error {
	*r.sent = append(*r.sent, n)
	r.to.HandleSpeed(n)
	return nil
}

// TestSpeedReachesOtherGateways guards against a gateway that learns of a slow target only from its own requests,
// against notices that repeat what the others know, and against a line in the log for each bad figure.
func TestSpeedReachesOtherGateways(t *testing.T) {
	load := &port.TargetLoad{Running: 1, Slots: 4}
	slow := scriptedReply{status: 200, load: load, speed: port.TargetSpeed{Factor: 2.5}, delay: 5 * time.Millisecond}
	bad := slow
	bad.speed = port.TargetSpeed{BadText: "fast"}
	gw, other := newTestGateway(t, route, slow, slow, bad, bad), newTestGateway(t, route)
	var sent []port.SpeedNotice
	var sender port.LoadSender = speedRecorder{to: other, sent: &sent}
	gw.noticeSender.Store(&sender)
	peer := netip.MustParseAddrPort("10.0.0.1:1")
	gw.view.noticeTargets.Store(&noticeTargets{to: []netip.AddrPort{peer}})
	gw.view.gatewayGroup.Store(&fanout.Group[netip.AddrPort]{})
	other.targets.RecordServiceTime("a", "s", 60*time.Millisecond, other.clock.Now())
	for range 4 {
		gw.request(newInbound())
	}
	if len(sent) == 0 || len(sent) > 2 || sent[0].Factor != 2.5 || sent[0].Running != 1 || sent[0].Target != gw.forwarder.to[0] {
		t.Errorf("notices: %+v", sent)
	}
	q := placement.Query{Service: "s", OwnDomain: "a", Processes: 2, MaxQueuedPerTarget: 12}
	if c, _ := other.targets.Choose(q, other.clock.Now(), func(int) int { return 0 }); c.Address == sent[0].Target || c.SpeedAge > time.Second {
		t.Errorf("the other gateway chose %+v", c)
	}
	log := gw.log.String()
	// One line for each of the two targets at most.
	if n := strings.Count(log, `"stated":"fast"`); n == 0 || n > 2 || strings.Count(log, `"target":"a","stated"`) > 1 {
		t.Errorf("%d lines about bad figures:\n%s", n, log)
	}
	if !strings.Contains(log, `"target_speed":2.5`) {
		t.Error("the lines of requests do not state the expected speed")
	}
}

// TestThreeNumbersAreAsBefore guards against notices or speeds where no target states one.
func TestThreeNumbersAreAsBefore(t *testing.T) {
	load := &port.TargetLoad{Running: 1, Slots: 4}
	gw := newTestGateway(t, route, scriptedReply{status: 200, load: load}, scriptedReply{status: 200, load: load})
	var sent []port.SpeedNotice
	var sender port.LoadSender = speedRecorder{to: gw, sent: &sent}
	gw.noticeSender.Store(&sender)
	gw.view.noticeTargets.Store(&noticeTargets{to: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1")}})
	gw.request(newInbound())
	gw.request(newInbound())
	if len(sent) > 0 || strings.Contains(gw.log.String(), "target_speed") {
		t.Errorf("notices %v, log %s", sent, gw.log)
	}
}

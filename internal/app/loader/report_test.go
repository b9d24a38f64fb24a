package loader

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/fanout"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/port"
)

// reportRecorder is a port.LoadSender that counts the reports to each address.
type reportRecorder map[netip.AddrPort]int

func (r reportRecorder) SendReport(_ port.LoadReport, to []netip.AddrPort) error {
	for _, a := range to {
		r[a]++
	}
	return nil
}
func (r reportRecorder) SendNotice(port.LoadNotice, []netip.AddrPort) error       { return nil }
func (r reportRecorder) SendEvidence(port.EvidenceNotice, []netip.AddrPort) error { return nil }
func (r reportRecorder) SendSpeed(port.SpeedNotice, []netip.AddrPort) error       { return nil }
func (r reportRecorder) SendUsage(usage.Notice, []netip.AddrPort) error           { return nil }
func (r reportRecorder) SendClock(usage.ClockNotice, []netip.AddrPort) error      { return nil }
func (r reportRecorder) Close() error                                             { return nil }

// TestReportsToOtherDomains guards against reports of a busy engine that go to all gateways of a large
// fleet ten times a second, against gateways that hear too rarely to use the engine, and against an
// engine that can't be used any more and of which gateways of other domains learn late.
func TestReportsToOtherDomains(t *testing.T) {
	address := func(domain, i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(domain), 0, byte(i)}), 7000)
	}
	members := map[fleet.Domain][]netip.AddrPort{}
	for d := range 5 {
		for i := range 30 {
			name := fleet.Domain(rune('a' + d))
			members[name] = append(members[name], address(d, i))
		}
	}
	to, sent := fanout.New("a", members), reportRecorder{}
	s := reportSender{sender: sent, metrics: noMetrics{}}
	now := time.Unix(1000, 0)
	const seconds = 4
	for i := range seconds * 10 {
		s.send(port.LoadReport{Target: "10.0.0.1:1", Load: placement.Load{Running: i % 8, Slots: 8}}, to, now)
		now = now.Add(reportInterval)
	}
	if own, other := sent[address(0, 0)], sent[address(1, 0)]; own != seconds*10 || other < seconds*2 || other > seconds*3 {
		t.Errorf("%d reports to a gateway of the own domain, %d to one of another, in %d s", own, other, seconds)
	}
	before := sent[address(1, 0)]
	s.send(port.LoadReport{Target: "10.0.0.1:1", Load: placement.Load{Slots: 8, Loading: true}}, to, now)
	if sent[address(1, 0)] != before+1 {
		t.Error("a gateway of another domain does not learn at once that the engine loads")
	}
}

// TestMemoryCausesNoReports guards against links between regions that are filled with reports, since the memory of an
// engine changes with each token.
func TestMemoryCausesNoReports(t *testing.T) {
	own, other := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.1.0.1:7000")
	to, sent := fanout.New("a", map[fleet.Domain][]netip.AddrPort{"a": {own}, "b": {other}}), reportRecorder{}
	s := reportSender{sender: sent, metrics: noMetrics{}}
	const seconds = 4
	for i := range seconds * 10 {
		memory := placement.Memory{Known: true, Free: 1000000 - i}
		s.send(port.LoadReport{Target: "10.0.0.1:1", Load: placement.Load{Running: 3, Slots: 8, Memory: memory}}, to, time.Unix(1000, 0).Add(time.Duration(i)*reportInterval))
	}
	// An unchanged report is sent every 400 ms.
	if most := seconds * 3; sent[own] > most || sent[other] > most || sent[own] < seconds*2 {
		t.Errorf("%d reports to a gateway of the own domain, %d to one of another, in %d s", sent[own], sent[other], seconds)
	}
}

// TestNoOrderBeforeAnnouncement guards against weights that are used although nobody has checked them:
// a loader that ordered a load is lost before any gateway has heard of it.
func TestNoOrderBeforeAnnouncement(t *testing.T) {
	e := newEngine(1)
	l := newLoader(e, &fakeOrigin{})
	l.announced.Store(false)
	l.declareForTest(2)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	sent := reportRecorder{}
	wg.Go(func() { l.chunks.Run(ctx) })
	wg.Go(func() { l.fetchDeclared(ctx) })
	wg.Go(func() { l.converge(ctx) })
	wg.Go(func() { l.reportLoad(ctx, sent) })
	// The turn of the engine is reached and its chunks are fetched within this time.
	time.Sleep(1500 * time.Millisecond)
	if r, _ := e.Report(ctx); r.OrderCount != 0 {
		t.Error("the engine has an order although the registered gateways are not known")
	}
	l.view.applyMembers(follow.Event{Reset: true})
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if r, _ := e.Report(ctx); r.OrderCount == 1 {
			return
		}
	}
	t.Error("the engine has no order although the gateways have heard of it")
}

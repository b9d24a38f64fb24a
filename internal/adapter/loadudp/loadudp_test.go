package loadudp

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/port"
)

type channelHandler struct {
	reports  chan port.LoadReport
	notices  chan port.LoadNotice
	evidence chan port.EvidenceNotice
	usage    chan usage.Notice
	clocks   chan usage.ClockNotice
}

func (h channelHandler) HandleReport(r port.LoadReport)       { h.reports <- r }
func (h channelHandler) HandleNotice(n port.LoadNotice)       { h.notices <- n }
func (h channelHandler) HandleEvidence(n port.EvidenceNotice) { h.evidence <- n }
func (h channelHandler) HandleSpeed(port.SpeedNotice)         {}
func (h channelHandler) HandleUsage(n usage.Notice)           { h.usage <- n }
func (h channelHandler) HandleClock(n usage.ClockNotice)      { h.clocks <- n }

// freeAddress returns an address at which nothing listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TestSendAndReceive guards against a field that is lost or swapped in the
// encoding, and against foreign datagrams that stop the receiver or are decoded as a
// report.
func TestSendAndReceive(t *testing.T) {
	to := freeAddress(t)
	h := channelHandler{make(chan port.LoadReport, 1), make(chan port.LoadNotice, 1), make(chan port.EvidenceNotice, 1), make(chan usage.Notice, 1), make(chan usage.ClockNotice, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		if err := (Network{}).Receive(ctx, fleet.Address(to.String()), h); err != nil {
			t.Errorf("receiving: %v", err)
		}
	})
	s, err := Network{}.NewSender(to.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	report := port.LoadReport{
		Target: "10.1.2.3:456", Started: 1767344219909, Weights: 7, OrderCount: 3, Intact: 6, Leaving: true,
		Declared: port.DeclaredWeights{Number: 8, Required: 6, Age: moment.KnownAge(1500 * time.Millisecond)},
		Load:     placement.Load{Running: 12, Waiting: 3, Slots: 16, Loading: true},
	}
	notice := port.LoadNotice{Target: "10.1.2.3:456", PromptTokens: 70000}
	evidence := port.EvidenceNotice{Relay: true, Evidence: []port.SubjectEvidence{
		{Subject: "5c1e07a2", Evidence: quarantine.Evidence{Losses: 2, Account: "a", Others: 1}},
		{Subject: "r-00112233445566778899aabbccddeeff", Evidence: quarantine.Evidence{Losses: 300}, Probe: quarantine.ProbeEnded},
	}}
	used, clocks := usageNotice(2), usage.ClockNotice{Median: 1767344219909 * time.Millisecond, Clocks: 34}
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, junk := range [][]byte{nil, {1}, make([]byte, reportBytes), make([]byte, 500)} {
			_, _ = s.(*sender).conn.WriteToUDPAddrPort(junk, to)
		}
		if err := s.SendReport(report, []netip.AddrPort{to}); err != nil {
			continue // the receiver does not listen yet
		}
		if err := s.SendEvidence(evidence, []netip.AddrPort{to}); err != nil {
			continue
		}
		if err := s.SendNotice(notice, []netip.AddrPort{to}); err != nil {
			continue
		}
		if s.SendUsage(used, []netip.AddrPort{to}) != nil || s.SendClock(clocks, []netip.AddrPort{to}) != nil {
			continue
		}
		select {
		case r := <-h.reports:
			// An age is rounded up.
			r.Declared.Age = r.Declared.Age.Plus(-time.Millisecond)
			if n := <-h.notices; r != report || n != notice {
				t.Errorf("received report %+v and notice %+v", r, n)
			}
			evidence.Evidence[1].Evidence.Losses = 255 // the largest number that is sent
			if e := <-h.evidence; !reflect.DeepEqual(e, evidence) {
				t.Errorf("received evidence %+v", e)
			}
			if u, c := <-h.usage, <-h.clocks; !reflect.DeepEqual(u, used) || c != clocks {
				t.Errorf("received usage %+v and clocks %+v", u, c)
			}
			cancel()
			// Unblocks the receiver if it handles further datagrams.
			wg.Go(func() { discardPending(h) })
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Fatal("no datagram was received")
}

func discardPending(h channelHandler) {
	for {
		select {
		case <-h.reports:
		case <-h.notices:
		case <-h.evidence:
		case <-h.usage:
		case <-h.clocks:
		case <-time.After(50 * time.Millisecond):
			return
		}
	}
}

// TestUnsupportedTargetAddress guards against a report about a target whose address
// the format cannot hold.
func TestUnsupportedTargetAddress(t *testing.T) {
	for _, a := range []fleet.Address{"", "host:80", "[::1]:80"} {
		if _, err := encodeReport(port.LoadReport{Target: a}); err == nil {
			t.Errorf("target %q was encoded, want an error", a)
		}
	}
}

// TestReportWithoutDeclaration guards against a report of an older build that is dropped or says
// that its sender enforces a declaration, and against a declaration without an age.
func TestReportWithoutDeclaration(t *testing.T) {
	report := port.LoadReport{Target: "10.1.2.3:456", Started: 5, Weights: 7, Intact: 7, Load: placement.Load{Running: 1, Slots: 16}}
	b, err := encodeReport(report)
	if err != nil {
		t.Fatal(err)
	}
	if r, ok := decodeReport(b); !ok || r != report {
		t.Errorf("decoded %+v, %v", r, ok)
	}
	old := append([]byte{undeclaredVersion}, b[1:undeclaredBytes]...)
	if r, ok := decodeReport(old); !ok || r != report {
		t.Errorf("decoded %+v, %v from an older build", r, ok)
	}
	// A build that does not check the weights after an order states only which ones are held.
	unchecked := append([]byte{uncheckedVersion}, b[1:uncheckedBytes]...)
	if r, ok := decodeReport(unchecked); !ok || r != report {
		t.Errorf("decoded %+v, %v from a build without checks", r, ok)
	}
	unmetered := append([]byte{unmeteredVersion}, b[1:unmeteredBytes]...)
	if r, ok := decodeReport(unmetered); !ok || r != report {
		t.Errorf("decoded %+v, %v from a build that does not state the memory", r, ok)
	}
	report.Declared.Number = 8
	if b, err = encodeReport(report); err != nil {
		t.Fatal(err)
	}
	if r, ok := decodeReport(b); !ok || r.Declared != (port.DeclaredWeights{}) {
		t.Errorf("decoded %+v, %v; want no declaration", r, ok)
	}
}

// TestOddEvidence guards against a datagram that a process can't decode or that makes it keep more
// than a notice holds.
func TestOddEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := append([]byte{evidenceVersion}, rapid.SliceOfN(rapid.Byte(), 0, 2*maxEvidenceBytes).Draw(t, "datagram")...)
		if n, ok := decodeEvidence(b); ok && len(n.Evidence) > port.MaxNoticeEvidence {
			t.Fatalf("%d subjects", len(n.Evidence))
		}
	})
	var n port.EvidenceNotice
	for i := range port.MaxNoticeEvidence {
		x := port.SubjectEvidence{Subject: quarantine.Subject(fmt.Sprintf("r-%032x", i)), Evidence: quarantine.Evidence{Losses: 1, Account: fleet.Customer(strings.Repeat("a", 40))}}
		n.Evidence = append(n.Evidence, x)
	}
	if got, ok := decodeEvidence(encodeEvidence(n)); !ok || !reflect.DeepEqual(got, n) {
		t.Errorf("a full notice is decoded as %+v, %v", got, ok)
	}
}

// TestSpeedNotice guards against a field of a speed notice that is lost or swapped, against one that overflows,
// and against other datagrams or a factor of zero that count as one.
func TestSpeedNotice(t *testing.T) {
	n := port.SpeedNotice{Target: "10.1.2.3:456", Running: 4, Waiting: 2, Slots: 6, Factor: 2.5}
	b, err := encodeSpeed(n)
	if got, ok := decodeSpeed(b); err != nil || !ok || got != n || len(b) != speedBytes {
		t.Errorf("%+v, %v, %v, %d bytes", got, ok, err, len(b))
	}
	b, _ = encodeSpeed(port.SpeedNotice{Target: "10.1.2.3:456", Running: 1 << 20, Waiting: -1, Slots: 6, Factor: 1e9})
	if got, ok := decodeSpeed(b); !ok || got.Running != 1<<16-1 || got.Waiting != 0 || got.Factor != 655.35 {
		t.Errorf("%+v, %v", got, ok)
	}
	notice, _ := encodeNotice(port.LoadNotice{Target: "10.1.2.3:456"})
	zero, _ := encodeSpeed(port.SpeedNotice{Target: "10.1.2.3:456", Slots: 6})
	for _, junk := range [][]byte{nil, b[:15], append(b, 0), notice, zero, make([]byte, speedBytes)} {
		if got, ok := decodeSpeed(junk); ok {
			t.Errorf("%x is read as %+v", junk, got)
		}
	}
}

// TestReportOfMemory guards against an engine whose memory is not known, or is larger than the format holds, that
// seems to have none.
func TestReportOfMemory(t *testing.T) {
	for _, c := range []struct{ sent, want placement.Memory }{
		{placement.Memory{}, placement.Memory{}}, {placement.Memory{Known: true}, placement.Memory{Known: true}},
		{placement.Memory{Known: true, Free: 1180000}, placement.Memory{Known: true, Free: 1180000}},
		{placement.Memory{Known: true, Free: 1 << 40}, placement.Memory{Known: true, Free: math.MaxInt32}},
		{placement.Memory{Known: true, Free: -1}, placement.Memory{Known: true}},
	} {
		b, err := encodeReport(port.LoadReport{Target: "10.1.2.3:456", Load: placement.Load{Memory: c.sent}})
		if err != nil {
			t.Fatal(err)
		}
		if r, ok := decodeReport(b); !ok || r.Load.Memory != c.want {
			t.Errorf("%+v: decoded %+v, %v", c.sent, r.Load.Memory, ok)
		}
	}
}

// Package loadudp sends the load of targets to the gateways in UDP datagrams.
// The process next to each target sends load reports, and each gateway notifies the
// other gateways of the requests that it sends. Delivery is not guaranteed: the next
// report replaces a lost report, and also includes the request of a lost notice.
//
// All numbers are in network byte order; sizes are in bytes. A report has 70 bytes:
// version (1), flags (1), IPv4 address and port of the target (6), start time of the
// target in Unix milliseconds (8), version of its weights (8), the numbers of
// running requests, waiting requests and slots (2 each), and of the declaration that the
// sender enforces the version (8), the oldest version that may serve requests (8) and the age
// in milliseconds (4), all zero if there is none, the number of orders that the target has begun (8)
// the newest version that it loaded intact (8), and the number of tokens for which it has memory, plus 1, or
// zero if that is not known (4). Older builds send reports without the last one, the last three or
// the last six fields, of 66, 50 or 30 bytes and with other versions. Their weights count as
// intact. A notice has 12 bytes: version (1), reserved (1), IPv4 address and port of the
// target (6), and the number of prompt tokens (4). A notice of a target's speed has 16 bytes: version
// (1), reserved (1), IPv4 address and port of the target (6), the numbers of running requests, waiting
// requests and slots (2 each), and the factor in hundredths (2). A notice of evidence has a version (1), flags
// (1), and for each subject the state of its probe (1), its numbers of losses and of losses of other accounts (1 each), and
// the subject and the account, each behind its length (1); at most 1,400 bytes in all. The format of notices of usage
// and of clocks is stated at encodeUsage and encodeClock. The version also tells reports and notices apart, so that
// builds ignore what they do not know.
package loadudp

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// undeclaredVersion is the version of reports without a declaration, uncheckedVersion of
	// those that do not state which weights are intact, and unmeteredVersion of those without the memory.
	undeclaredVersion = 1
	noticeVersion     = 2
	uncheckedVersion  = 3
	unmeteredVersion  = 5
	reportVersion     = 9
	undeclaredBytes   = 30
	uncheckedBytes    = 50
	unmeteredBytes    = 66
	reportBytes       = 70
	noticeBytes       = 12
	evidenceVersion   = 4
	speedVersion      = 6
	speedBytes        = 16
	flagLoading       = 1
	flagLeaving       = 2
	flagRelay         = 1
	// maxEvidenceBytes is below what a datagram carries without fragments.
	maxEvidenceBytes = 1400
	// maxSubjectBytes bounds a subject.
	maxSubjectBytes = 64
)

func encodeTarget(version, flags byte, target fleet.Address) ([]byte, error) {
	ap, err := netip.ParseAddrPort(string(target))
	if err != nil || !ap.Addr().Is4() {
		return nil, errors.Errorf("target %q has no IPv4 address", target)
	}
	ip := ap.Addr().As4()
	b := make([]byte, 0, reportBytes)
	b = append(b, version, flags)
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, ap.Port()), nil
}

func decodeTarget(b []byte) fleet.Address {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[2:6])), binary.BigEndian.Uint16(b[6:]))
	return fleet.Address(addr.String())
}

func encodeNotice(n port.LoadNotice) ([]byte, error) {
	b, err := encodeTarget(noticeVersion, 0, n.Target)
	return binary.BigEndian.AppendUint32(b, uint32(max(n.PromptTokens, 0))), err
}

func decodeNotice(b []byte) (port.LoadNotice, bool) {
	if len(b) != noticeBytes || b[0] != noticeVersion {
		return port.LoadNotice{}, false
	}
	return port.LoadNotice{Target: decodeTarget(b), PromptTokens: int(binary.BigEndian.Uint32(b[8:]))}, true
}

// speedUnit is the factor that a notice of a speed states as 1.
const speedUnit = 0.01

func encodeSpeed(n port.SpeedNotice) ([]byte, error) {
	b, err := encodeTarget(speedVersion, 0, n.Target)
	return appendCounts(b, n.Running, n.Waiting, n.Slots, int(min(math.Round(n.Factor/speedUnit), math.MaxUint16))), err
}

func decodeSpeed(b []byte) (port.SpeedNotice, bool) {
	if len(b) != speedBytes || b[0] != speedVersion {
		return port.SpeedNotice{}, false
	}
	at := func(offset int) int { return int(binary.BigEndian.Uint16(b[offset:])) }
	n := port.SpeedNotice{Target: decodeTarget(b), Running: at(8), Waiting: at(10), Slots: at(12), Factor: speedUnit * float64(at(14))}
	return n, n.Factor > 0
}

// appendCounts appends numbers of 2 bytes, limited to what these hold.
func appendCounts(b []byte, counts ...int) []byte {
	for _, n := range counts {
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), math.MaxUint16)))
	}
	return b
}

func encodeReport(r port.LoadReport) ([]byte, error) {
	flags := byte(0)
	if r.Load.Loading {
		flags |= flagLoading
	}
	if r.Leaving {
		flags |= flagLeaving
	}
	b, err := encodeTarget(reportVersion, flags, r.Target)
	if err != nil {
		return nil, err
	}
	b = binary.BigEndian.AppendUint64(b, uint64(r.Started))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Weights))
	b = appendCounts(b, r.Load.Running, r.Load.Waiting, r.Load.Slots)
	b = appendDeclared(b, r.Declared)
	b = binary.BigEndian.AppendUint64(b, uint64(r.OrderCount))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Intact))
	return binary.BigEndian.AppendUint32(b, encodeMemory(r.Load.Memory)), nil
}

func encodeMemory(m placement.Memory) uint32 {
	if !m.Known {
		return 0
	}
	return uint32(min(max(m.Free, 0), math.MaxInt32)) + 1
}

func decodeMemory(n uint32) placement.Memory {
	if n == 0 || n > math.MaxInt32+1 {
		return placement.Memory{}
	}
	return placement.Memory{Known: true, Free: int(n - 1)}
}

// appendDeclared appends a declaration. Its age is rounded up, so that the receiver never sees
// a smaller one.
func appendDeclared(b []byte, d port.DeclaredWeights) []byte {
	age, known := d.Age.Get()
	if !known {
		d.Number = 0
	}
	ms := min(age/time.Millisecond+1, math.MaxUint32)
	if d.Number <= 0 {
		d.Number, d.Required, ms = 0, 0, 0
	}
	b = binary.BigEndian.AppendUint64(b, uint64(d.Number))
	b = binary.BigEndian.AppendUint64(b, uint64(d.Required))
	return binary.BigEndian.AppendUint32(b, uint32(ms))
}

func decodeDeclared(b []byte) port.DeclaredWeights {
	d := port.DeclaredWeights{
		Number: int64(binary.BigEndian.Uint64(b)), Required: int64(binary.BigEndian.Uint64(b[8:])),
		Age: moment.KnownAge(time.Duration(binary.BigEndian.Uint32(b[16:])) * time.Millisecond),
	}
	if d.Number <= 0 || d.Required < 0 {
		return port.DeclaredWeights{}
	}
	return d
}

func decodeReport(b []byte) (port.LoadReport, bool) {
	declared := port.DeclaredWeights{}
	var orders, intact int64
	var memory placement.Memory
	switch {
	case len(b) == reportBytes && b[0] == reportVersion, len(b) == unmeteredBytes && b[0] == unmeteredVersion:
		if b[0] == reportVersion {
			memory = decodeMemory(binary.BigEndian.Uint32(b[unmeteredBytes:]))
		}
		declared = decodeDeclared(b[undeclaredBytes:])
		orders, intact = int64(binary.BigEndian.Uint64(b[uncheckedBytes:])), int64(binary.BigEndian.Uint64(b[uncheckedBytes+8:]))
	case len(b) == uncheckedBytes && b[0] == uncheckedVersion:
		declared = decodeDeclared(b[undeclaredBytes:])
		intact = int64(binary.BigEndian.Uint64(b[16:]))
	case len(b) != undeclaredBytes || b[0] != undeclaredVersion:
		return port.LoadReport{}, false
	default:
		intact = int64(binary.BigEndian.Uint64(b[16:]))
	}
	uint16At := func(offset int) int { return int(binary.BigEndian.Uint16(b[offset:])) }
	return port.LoadReport{
		Declared:   declared,
		Target:     decodeTarget(b),
		Started:    int64(binary.BigEndian.Uint64(b[8:])),
		Weights:    int64(binary.BigEndian.Uint64(b[16:])),
		OrderCount: orders,
		Intact:     intact,
		Leaving:    b[1]&flagLeaving != 0,
		Load: placement.Load{
			Running: uint16At(24), Waiting: uint16At(26), Slots: uint16At(28), Loading: b[1]&flagLoading != 0, Memory: memory,
		},
	}, true
}

// Network implements port.LoadNetwork.
type Network struct{}

var _ port.LoadNetwork = Network{}

// NewSender implements port.LoadNetwork. It opens a UDP socket at ip, on a port that the
// system chooses.
func (Network) NewSender(ip netip.Addr) (port.LoadSender, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	if err != nil {
		return nil, errors.Wrap(err, "opening UDP socket for load reports")
	}
	return &sender{c}, nil
}

// sender implements port.LoadSender.
type sender struct{ conn *net.UDPConn }

// SendReport implements port.LoadSender.
func (s *sender) SendReport(r port.LoadReport, to []netip.AddrPort) error {
	b, err := encodeReport(r)
	if err != nil {
		return err
	}
	return s.send(b, to)
}

// SendNotice implements port.LoadSender.
func (s *sender) SendNotice(n port.LoadNotice, to []netip.AddrPort) error {
	b, err := encodeNotice(n)
	if err != nil {
		return err
	}
	return s.send(b, to)
}

// SendSpeed implements port.LoadSender.
func (s *sender) SendSpeed(n port.SpeedNotice, to []netip.AddrPort) error {
	b, err := encodeSpeed(n)
	if err != nil {
		return err
	}
	return s.send(b, to)
}

func (s *sender) send(b []byte, to []netip.AddrPort) (err error) {
	for _, a := range to {
		if _, e := s.conn.WriteToUDPAddrPort(b, a); e != nil {
			err = errors.Wrap(e, "sending datagram")
		}
	}
	return err
}

// SendEvidence implements port.LoadSender.
func (s *sender) SendEvidence(n port.EvidenceNotice, to []netip.AddrPort) error {
	return s.send(encodeEvidence(n), to)
}

// SendUsage implements port.LoadSender.
func (s *sender) SendUsage(n usage.Notice, to []netip.AddrPort) (err error) {
	for _, b := range encodeUsage(n) {
		if e := s.send(b, to); e != nil {
			err = e
		}
	}
	return err
}

// SendClock implements port.LoadSender.
func (s *sender) SendClock(n usage.ClockNotice, to []netip.AddrPort) error {
	return s.send(encodeClock(n), to)
}

// Close implements port.LoadSender.
func (s *sender) Close() error { return s.conn.Close() }

// Receive implements port.LoadNetwork. It ignores other datagrams.
func (Network) Receive(ctx context.Context, addr fleet.Address, h port.LoadHandler) error {
	ap, err := netip.ParseAddrPort(string(addr))
	if err != nil {
		return errors.Wrap(err, "parsing address for load reports")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return errors.Wrap(err, "opening UDP socket for load reports")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	buf := make([]byte, maxEvidenceBytes+1)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			_ = c.Close()
			return errors.Wrap(err, "receiving datagram")
		}
		if r, ok := decodeReport(buf[:n]); ok {
			h.HandleReport(r)
		} else if notice, ok := decodeNotice(buf[:n]); ok {
			h.HandleNotice(notice)
		} else if evidence, ok := decodeEvidence(buf[:n]); ok {
			h.HandleEvidence(evidence)
		} else if speed, ok := decodeSpeed(buf[:n]); ok {
			h.HandleSpeed(speed)
		} else if u, ok := decodeUsage(buf[:n]); ok {
			h.HandleUsage(u)
		} else if m, ok := decodeClock(buf[:n]); ok {
			h.HandleClock(m)
		}
	}
}

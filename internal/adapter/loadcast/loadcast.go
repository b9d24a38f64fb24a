// Package loadcast carries the load of targets to the gateways in datagrams: the
// processes beside the targets report it, and the gateways tell each other what
// they send. A lost report is replaced by the next one, which also makes up for a
// lost notice.
//
// A report has 30 bytes, in network order: a version (1), flags (1), the IPv4
// address and port of the target (6), the start of the target in Unix
// milliseconds (8), the number of its weights (8), and running requests, waiting
// requests and places (2 each). A notice has 12: a version (1), a reserved byte,
// the address and port (6), and the tokens of the prompt (4).
package loadcast

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
)

const (
	versionReport = 1
	versionNotice = 2
	reportBytes   = 30
	noticeBytes   = 12
	flagLoading   = 1
)

// Notice says that a gateway has sent a request to a target.
type Notice struct {
	Target       fleet.Address
	PromptTokens int
}

// Report is the load of one target.
type Report struct {
	Target  fleet.Address
	Started int64
	Weights int64
	Load    placement.Load
}

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

func encodeNotice(n Notice) ([]byte, error) {
	b, err := encodeTarget(versionNotice, 0, n.Target)
	return binary.BigEndian.AppendUint32(b, uint32(max(n.PromptTokens, 0))), err
}

func decodeNotice(b []byte) (Notice, bool) {
	if len(b) != noticeBytes || b[0] != versionNotice {
		return Notice{}, false
	}
	return Notice{Target: decodeTarget(b), PromptTokens: int(binary.BigEndian.Uint32(b[8:]))}, true
}

func encodeReport(r Report) ([]byte, error) {
	flags := byte(0)
	if r.Load.Loading {
		flags |= flagLoading
	}
	b, err := encodeTarget(versionReport, flags, r.Target)
	if err != nil {
		return nil, err
	}
	b = binary.BigEndian.AppendUint64(b, uint64(r.Started))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Weights))
	for _, n := range []int{r.Load.Running, r.Load.Waiting, r.Load.Slots} {
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), 1<<16-1)))
	}
	return b, nil
}

func decodeReport(b []byte) (Report, bool) {
	if len(b) != reportBytes || b[0] != versionReport {
		return Report{}, false
	}
	number := func(at int) int { return int(binary.BigEndian.Uint16(b[at:])) }
	return Report{
		Target:  decodeTarget(b),
		Started: int64(binary.BigEndian.Uint64(b[8:])),
		Weights: int64(binary.BigEndian.Uint64(b[16:])),
		Load: placement.Load{
			Running: number(24), Waiting: number(26), Slots: number(28), Loading: b[1]&flagLoading != 0,
		},
	}, true
}

// Sender sends datagrams.
type Sender struct{ conn *net.UDPConn }

// NewSender opens a socket at any port of ip.
func NewSender(ip netip.Addr) (*Sender, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	return &Sender{c}, errors.Wrap(err, "opening a socket for datagrams")
}

// Report sends a report to all addresses. It returns the last error; the other
// addresses get the report all the same.
func (s *Sender) Report(r Report, to []netip.AddrPort) error {
	b, err := encodeReport(r)
	if err != nil {
		return err
	}
	return s.send(b, to)
}

// Notify sends a notice to all addresses, like Report.
func (s *Sender) Notify(n Notice, to []netip.AddrPort) error {
	b, err := encodeNotice(n)
	if err != nil {
		return err
	}
	return s.send(b, to)
}

func (s *Sender) send(b []byte, to []netip.AddrPort) (err error) {
	for _, a := range to {
		if _, e := s.conn.WriteToUDPAddrPort(b, a); e != nil {
			err = errors.Wrap(e, "sending a datagram")
		}
	}
	return err
}

// Close closes the socket.
func (s *Sender) Close() error { return s.conn.Close() }

// Handler takes what arrives.
type Handler interface {
	Reported(r Report)
	Notified(n Notice)
}

// Receive passes what arrives at addr to h until ctx ends.
func Receive(ctx context.Context, addr fleet.Address, h Handler) error {
	ap, err := netip.ParseAddrPort(string(addr))
	if err != nil {
		return errors.Wrap(err, "address for datagrams")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return errors.Wrap(err, "opening the socket for datagrams")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	buf := make([]byte, reportBytes+1)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			_ = c.Close()
			return errors.Wrap(err, "receiving a datagram")
		}
		if r, ok := decodeReport(buf[:n]); ok {
			h.Reported(r)
		} else if x, ok := decodeNotice(buf[:n]); ok {
			h.Notified(x)
		}
	}
}

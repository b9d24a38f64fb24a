// Package loadcast carries the load of targets from the processes beside them
// to the gateways in datagrams. A lost datagram is replaced by the next one.
//
// A datagram has 30 bytes, in network order: a version (1), flags (1), the
// IPv4 address and port of the target (6), the start of the target in Unix
// milliseconds (8), the number of its weights (8), and running requests, waiting
// requests and places (2 each).
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
	version     = 1
	size        = 30
	flagLoading = 1
)

// Report is the load of one target.
type Report struct {
	Target  fleet.Address
	Started int64
	Weights int64
	Load    placement.Load
}

func encode(r Report) ([]byte, error) {
	ap, err := netip.ParseAddrPort(string(r.Target))
	if err != nil || !ap.Addr().Is4() {
		return nil, errors.Errorf("target %q has no IPv4 address", r.Target)
	}
	b := make([]byte, 0, size)
	flags := byte(0)
	if r.Load.Loading {
		flags |= flagLoading
	}
	ip := ap.Addr().As4()
	b = append(b, version, flags)
	b = append(b, ip[:]...)
	b = binary.BigEndian.AppendUint16(b, ap.Port())
	b = binary.BigEndian.AppendUint64(b, uint64(r.Started))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Weights))
	for _, n := range []int{r.Load.Running, r.Load.Waiting, r.Load.Places} {
		b = binary.BigEndian.AppendUint16(b, uint16(min(max(n, 0), 1<<16-1)))
	}
	return b, nil
}

func decode(b []byte) (Report, bool) {
	if len(b) != size || b[0] != version {
		return Report{}, false
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[2:6])), binary.BigEndian.Uint16(b[6:]))
	number := func(at int) int { return int(binary.BigEndian.Uint16(b[at:])) }
	return Report{
		Target:  fleet.Address(addr.String()),
		Started: int64(binary.BigEndian.Uint64(b[8:])),
		Weights: int64(binary.BigEndian.Uint64(b[16:])),
		Load: placement.Load{
			Running: number(24), Waiting: number(26), Places: number(28), Loading: b[1]&flagLoading != 0,
		},
	}, true
}

// Sender sends reports.
type Sender struct{ conn *net.UDPConn }

// NewSender opens a socket at any port of ip.
func NewSender(ip netip.Addr) (*Sender, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
	return &Sender{c}, errors.Wrap(err, "opening a socket for load reports")
}

// Send sends a report to all addresses. It returns the last error; the other
// addresses get the report all the same.
func (s *Sender) Send(r Report, to []netip.AddrPort) error {
	b, err := encode(r)
	if err != nil {
		return err
	}
	for _, a := range to {
		if _, e := s.conn.WriteToUDPAddrPort(b, a); e != nil {
			err = errors.Wrap(e, "sending a load report")
		}
	}
	return err
}

// Close closes the socket.
func (s *Sender) Close() error { return s.conn.Close() }

// Receive calls f with each report that arrives at addr until ctx ends.
func Receive(ctx context.Context, addr fleet.Address, f func(Report)) error {
	ap, err := netip.ParseAddrPort(string(addr))
	if err != nil {
		return errors.Wrap(err, "address for load reports")
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return errors.Wrap(err, "opening the socket for load reports")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	buf := make([]byte, size+1)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receiving load reports")
		}
		if r, ok := decode(buf[:n]); ok {
			f(r)
		}
	}
}

package loadudp

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/usage"
)

const (
	usageVersion = 7
	clockVersion = 8
	clockBytes   = 13
	// maxUsageBytes is below what a datagram carries without fragments, also through a tunnel.
	maxUsageBytes = 1200
	// tagCounts and tagDemand begin a part of a notice of usage.
	tagCounts = 1
	tagDemand = 2
	// maxAccountWindows is the largest number of windows in one part.
	maxAccountWindows = 16
	// maxFigure bounds a number, so that the sum of two has no overflow.
	maxFigure = 1 << 61
)

// encodeUsage encodes a notice of usage in datagrams of maxUsageBytes at most. Each has a version (1), the start
// of the source (8), its clock in nanoseconds since 1970 (8), the time up to which its counts are complete (8,
// zero except in the last datagram), the age of the figures in milliseconds (4), its first window (8), the source's
// name and its domain, each behind its length (1), and then parts. A part has a tag (1). With tagCounts, an account
// behind its length (1), the number of windows (1), and for each its number less the first one and its count, as
// varints. With tagDemand, a
// service behind its length (1) and the four figures, as varints. Names of more than 255 bytes are left out.
func encodeUsage(n usage.Notice) [][]byte {
	if len(n.Gateway) > math.MaxUint8 || len(n.Domain) > math.MaxUint8 {
		return nil
	}
	head := binary.BigEndian.AppendUint64([]byte{usageVersion}, n.Start)
	head = binary.BigEndian.AppendUint64(head, uint64(n.Clock))
	throughAt := len(head)
	head = binary.BigEndian.AppendUint64(head, 0)
	head = binary.BigEndian.AppendUint32(head, uint32(min(max(n.Age, 0)/time.Millisecond, math.MaxUint32)))
	first := firstWindow(n.Counts)
	head = binary.BigEndian.AppendUint64(head, uint64(first))
	head = appendText(appendText(head, n.Gateway), string(n.Domain))
	var out [][]byte
	current := head
	for _, p := range usageParts(n, first) {
		if len(current)+len(p) > maxUsageBytes {
			out, current = append(out, current), head
		}
		current = append(current[:len(current):len(current)], p...)
	}
	current = append([]byte(nil), current...)
	binary.BigEndian.PutUint64(current[throughAt:], uint64(n.Through))
	return append(out, current)
}

// firstWindow returns the lowest window of counts, or zero without any.
func firstWindow(counts []usage.Count) int64 {
	if len(counts) == 0 {
		return 0
	}
	first := counts[0].Window
	for _, c := range counts {
		first = min(first, c.Window)
	}
	return max(first, 0)
}

// usageParts returns the encoded parts of a notice with its first window.
func usageParts(n usage.Notice, first int64) (parts [][]byte) {
	for i := 0; i < len(n.Counts); {
		account, end := n.Counts[i].Account, i
		for end < len(n.Counts) && end-i < maxAccountWindows && n.Counts[end].Account == account {
			end++
		}
		if len(account) <= math.MaxUint8 {
			p := append(appendText([]byte{tagCounts}, string(account)), byte(end-i))
			for _, c := range n.Counts[i:end] {
				p = binary.AppendUvarint(binary.AppendUvarint(p, uint64(max(c.Window-first, 0))), uint64(max(c.Requests, 0)))
			}
			parts = append(parts, p)
		}
		i = end
	}
	for _, d := range n.Demand {
		if len(d.Service) > math.MaxUint8 {
			continue
		}
		p := appendText([]byte{tagDemand}, string(d.Service))
		for _, f := range []int64{d.Requests, d.Refused, d.PromptTokens, d.OutputTokens} {
			p = binary.AppendUvarint(p, uint64(max(f, 0)))
		}
		parts = append(parts, p)
	}
	return parts
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

// decodeUsage decodes a datagram of a notice of usage. After a part that can't be decoded the rest is ignored,
// also the time up to which the counts are complete.
func decodeUsage(b []byte) (usage.Notice, bool) {
	if len(b) < 37 || len(b) > maxUsageBytes || b[0] != usageVersion {
		return usage.Notice{}, false
	}
	n := usage.Notice{
		Clock:   time.Duration(binary.BigEndian.Uint64(b[9:])),
		Through: time.Duration(binary.BigEndian.Uint64(b[17:])),
		Age:     time.Duration(binary.BigEndian.Uint32(b[25:])) * time.Millisecond,
	}
	n.Start = binary.BigEndian.Uint64(b[1:])
	first := int64(binary.BigEndian.Uint64(b[29:]))
	gateway, rest, ok := decodeText(b[37:])
	if !ok || gateway == "" || first < 0 || first > maxFigure || n.Clock < 0 || n.Through < 0 {
		return usage.Notice{}, false
	}
	domain, rest, ok := decodeText(rest)
	if !ok {
		return usage.Notice{}, false
	}
	n.Gateway, n.Domain = gateway, fleet.Domain(domain)
	for len(rest) > 0 && ok {
		switch rest[0] {
		case tagCounts:
			rest, ok = decodeCounts(rest[1:], first, &n)
		case tagDemand:
			rest, ok = decodeDemand(rest[1:], &n)
		default:
			ok = false
		}
	}
	if !ok {
		n.Through = 0
	}
	return n, true
}

func decodeCounts(b []byte, first int64, n *usage.Notice) (rest []byte, ok bool) {
	account, b, ok := decodeText(b)
	if !ok || len(b) == 0 || b[0] > maxAccountWindows {
		return nil, false
	}
	windows := int(b[0])
	b = b[1:]
	for range windows {
		var figures [2]int64
		if b, ok = decodeFigures(b, figures[:]); !ok {
			return nil, false
		}
		n.Counts = append(n.Counts, usage.Count{Key: usage.Key{Account: fleet.Customer(account), Window: first + figures[0]}, Requests: figures[1]})
	}
	return b, true
}

func decodeDemand(b []byte, n *usage.Notice) (rest []byte, ok bool) {
	service, b, ok := decodeText(b)
	if !ok {
		return nil, false
	}
	var f [4]int64
	if b, ok = decodeFigures(b, f[:]); !ok {
		return nil, false
	}
	d := usage.Demand{Requests: f[0], Refused: f[1], PromptTokens: f[2], OutputTokens: f[3]}
	n.Demand = append(n.Demand, usage.ServiceDemand{Service: fleet.Service(service), Demand: d})
	return b, true
}

// decodeFigures decodes numbers up to maxFigure.
func decodeFigures(b []byte, to []int64) (rest []byte, ok bool) {
	for i := range to {
		v, size := binary.Uvarint(b)
		if size <= 0 || v > maxFigure {
			return nil, false
		}
		to[i], b = int64(v), b[size:]
	}
	return b, true
}

// encodeClock encodes a notice of clocks: version (1), median in nanoseconds since 1970 (8) and number of
// clocks (4).
func encodeClock(n usage.ClockNotice) []byte {
	b := binary.BigEndian.AppendUint64([]byte{clockVersion}, uint64(n.Median))
	return binary.BigEndian.AppendUint32(b, uint32(n.Clocks))
}

func decodeClock(b []byte) (usage.ClockNotice, bool) {
	if len(b) != clockBytes || b[0] != clockVersion {
		return usage.ClockNotice{}, false
	}
	n := usage.ClockNotice{Median: time.Duration(binary.BigEndian.Uint64(b[1:])), Clocks: int(binary.BigEndian.Uint32(b[9:]))}
	return n, n.Median > 0
}

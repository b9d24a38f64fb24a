package loadudp

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/usage"
)

// usageNotice returns a notice of accounts with three windows each, and as many services.
func usageNotice(accounts int) usage.Notice {
	n := usage.Notice{
		Source: usage.Source{Gateway: "gateway-a-0", Start: 1 << 63}, Domain: "suva-a", Clock: 1767344219909 * time.Millisecond,
		Through: 1767344219000 * time.Millisecond, Age: 20 * time.Millisecond,
	}
	for a := range accounts {
		for w := range 3 {
			key := usage.Key{Account: fleet.Customer(fmt.Sprintf("account-%d", a)), Window: int64(353445120 + w)}
			n.Counts = append(n.Counts, usage.Count{Key: key, Requests: int64(1 + a*1000 + w)})
		}
		d := usage.Demand{Requests: int64(a), Refused: 1, PromptTokens: 1 << 40, OutputTokens: 3}
		n.Demand = append(n.Demand, usage.ServiceDemand{Service: fleet.Service(fmt.Sprint("s", a)), Demand: d})
	}
	return n
}

// TestUsageInSeveralDatagrams guards against a notice that has no room in a datagram, and against counts that
// are taken for complete before the last datagram.
func TestUsageInSeveralDatagrams(t *testing.T) {
	n := usageNotice(300)
	got := usage.Notice{}
	datagrams := encodeUsage(n)
	for i, b := range datagrams {
		d, ok := decodeUsage(b)
		if !ok || len(b) > 1200 {
			t.Fatalf("datagram %d of %d bytes is decoded: %v", i, len(b), ok)
		}
		if last := i == len(datagrams)-1; last != (d.Through > 0) {
			t.Errorf("datagram %d of %d is complete through %v", i, len(datagrams), d.Through)
		}
		d.Counts, d.Demand = append(got.Counts, d.Counts...), append(got.Demand, d.Demand...)
		got = d
	}
	if !reflect.DeepEqual(got, n) {
		t.Error("the decoded notice differs")
	}
}

// TestOddUsage guards against datagrams of other builds, or damaged ones, that stop the receiver, are taken for
// another kind or count more than they state.
func TestOddUsage(t *testing.T) {
	whole := encodeUsage(usageNotice(2))[0]
	rapid.Check(t, func(t *rapid.T) {
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		b := append(whole[:cut:cut], rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "rest")...)
		if n, ok := decodeUsage(b); ok {
			for _, c := range n.Counts {
				if c.Window < 0 || c.Requests < 0 {
					t.Fatalf("count %+v", c)
				}
			}
		}
		for _, version := range []byte{usageVersion + 2, 0, 255} {
			b[0] = version
			_, isUsage := decodeUsage(b)
			_, isClock := decodeClock(b)
			if isUsage || isClock {
				t.Fatalf("a message of version %d is decoded", version)
			}
		}
	})
	// Builds without this kind know only the other three.
	_, isReport := decodeReport(whole)
	_, isNotice := decodeNotice(whole)
	_, isEvidence := decodeEvidence(whole)
	if isReport || isNotice || isEvidence {
		t.Error("an older build does not ignore the datagram")
	}
}

package ledger

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// BenchmarkBegin measures how long Begin waits for the record of a call when one
// agent handles all partitions of its service. At the design size an agent gets
// 6 calls/s.
func BenchmarkBegin(b *testing.B) {
	for _, c := range []struct {
		callsPerSecond  int
		writesPerSecond float64
	}{{3, 5}, {6, 5}, {30, 5}, {30, 50}, {300, 50}} {
		b.Run(fmt.Sprintf("calls=%d/writes=%g", c.callsPerSecond, c.writesPerSecond), func(b *testing.B) {
			for range b.N {
				benchBegin(b, c.callsPerSecond, c.writesPerSecond)
			}
		})
	}
}

func benchBegin(b *testing.B, callsPerSecond int, writesPerSecond float64) {
	const duration = 10 * time.Second
	h := startHarness(b)
	l, stop := startLedger(b, h, Options{WritesPerSecond: writesPerSecond})
	latencies := make([]time.Duration, callsPerSecond*int(duration/time.Second))
	var wg conc.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(callsPerSecond))
	start := time.Now()
	for i := range latencies {
		<-ticker.C
		wg.Go(func() {
			callStart := time.Now()
			claim, _, err := l.Begin(b.Context(), newKey(), [16]byte{})
			if latencies[i] = time.Since(callStart); err != nil {
				b.Error(err)
				return
			}
			claim.Done(nil)
		})
	}
	wg.Wait()
	ticker.Stop()
	n := h.countWrites(b)
	b.ReportMetric(float64(n)/time.Since(start).Seconds(), "writes/s")
	stop()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99-ms")
}

// countWrites returns the number of writes and lease grants that the platform
// has counted.
func (h *harness) countWrites(b *testing.B) int64 {
	resp, err := http.Get(h.url + "/counts")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var counts map[string]int64
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		b.Fatal(err)
	}
	return counts["write"] + counts["grant"]
}

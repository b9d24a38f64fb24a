package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/port"
)

// TestConcurrentLines guards against interleaved lines of several goroutines in a
// writer that is not safe for concurrent use.
func TestConcurrentLines(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "entry", "e1")
	var wg conc.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				l.StateChange("changed", port.F("n", 1))
			}
		})
	}
	wg.Wait()
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	for _, b := range lines {
		if !json.Valid(b) {
			t.Fatalf("line %q", b)
		}
	}
	if len(lines) != 400 {
		t.Fatalf("%d lines, want 400", len(lines))
	}
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedOutput guards against a process that blocks because nobody reads its
// log.
func TestBlockedOutput(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	defer close(w.release)
	l, closeLog := NewAsync(w, "gateway", "g1")
	start := time.Now()
	for range 5000 {
		l.ServedRequest("request", port.F("n", 1))
		l.FailedRequest("request", port.F("n", 1))
	}
	closeLog()
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("writing 10,000 lines and closing the log took %v", d)
	}
}

// TestDroppedLines guards against a log that grows with the load, against lines
// about failed requests that are dropped because of those about served requests,
// and against dropped lines that are not reported.
func TestDroppedLines(t *testing.T) {
	var out bytes.Buffer
	l, closeLog := NewAsync(&out, "gateway", "g1")
	for range 3000 {
		l.ServedRequest("request", port.F("kind", "served"))
	}
	for range 100 {
		l.FailedRequest("request", port.F("kind", "failed"))
	}
	closeLog()
	served, failed := strings.Count(out.String(), `"kind":"served"`), strings.Count(out.String(), `"kind":"failed"`)
	if served > 2*servedPerSecond || failed != 100 || !strings.Contains(out.String(), "log lines dropped") {
		t.Errorf("%d lines about served and %d about failed requests", served, failed)
	}
}

// BenchmarkServedLine measures the time that logging adds to a served request.
func BenchmarkServedLine(b *testing.B) {
	l, closeLog := NewAsync(io.Discard, "gateway", "g1")
	defer closeLog()
	for b.Loop() {
		l.ServedRequest("request", port.F("request", "9c41d07be2a35f68"), port.F("took_ms", int64(12)), port.F("sends", 1), port.F("load", 1.5))
	}
}

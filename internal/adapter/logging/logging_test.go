package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestConcurrentLines guards against lines of several goroutines that run into
// each other in a writer that allows one write at a time.
func TestConcurrentLines(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "entry", "e1")
	var wg conc.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				l.State("changed", F("n", 1))
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

// stuck is a writer that nobody reads from.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestUnreadOutput guards against a process that waits for the reader of its log.
func TestUnreadOutput(t *testing.T) {
	w := stuck{make(chan struct{})}
	defer close(w.release)
	l, end := NewBounded(w, "gateway", "g1")
	start := time.Now()
	for range 5000 {
		l.Served("request", F("n", 1))
		l.Failed("request", F("n", 1))
	}
	end()
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("10,000 lines and the end took %v", d)
	}
}

// TestBoundedVolume guards against a log that grows with the load, against lines
// on failures that are lost among those on served requests, and against lines
// that are dropped without a word.
func TestBoundedVolume(t *testing.T) {
	var out bytes.Buffer
	l, end := NewBounded(&out, "gateway", "g1")
	for range 3000 {
		l.Served("request", F("kind", "served"))
	}
	for range 100 {
		l.Failed("request", F("kind", "failed"))
	}
	end()
	served, failed := strings.Count(out.String(), `"kind":"served"`), strings.Count(out.String(), `"kind":"failed"`)
	if served > 2*servedPerSecond || failed != 100 || !strings.Contains(out.String(), "log lines dropped") {
		t.Errorf("%d lines on served and %d on failed requests", served, failed)
	}
}

// BenchmarkServedLine measures what a line costs the request that it is about.
func BenchmarkServedLine(b *testing.B) {
	l, end := NewBounded(io.Discard, "gateway", "g1")
	defer end()
	for b.Loop() {
		l.Served("request", F("request", "9c41d07be2a35f68"), F("took_ms", int64(12)), F("sends", 1), F("load", 1.5))
	}
}

package logging

import (
	"bytes"
	"encoding/json"
	"testing"

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

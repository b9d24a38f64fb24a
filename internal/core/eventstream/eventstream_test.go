package eventstream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestOnlyCompleteEvents guards against sending the caller a part of an event
// before the stream continues from another target.
func TestOnlyCompleteEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sep := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var all strings.Builder
		n := rapid.IntRange(0, 6).Draw(t, "events")
		for i := range n {
			all.WriteString("id: " + string(rune('a'+i)) + sep + "data: x" + sep + sep)
		}
		tail := rapid.SampledFrom([]string{"", "id: z", "id: z" + sep + "data"}).Draw(t, "tail")
		in := all.String() + tail
		var s Splitter
		var out strings.Builder
		for len(in) > 0 {
			k := rapid.IntRange(1, len(in)).Draw(t, "piece")
			b, ok := s.Push([]byte(in[:k]))
			if !ok {
				t.Fatal("events are too long")
			}
			out.Write(b)
			in = in[k:]
		}
		if out.String() != all.String() || s.PartialBytes() != len(tail) || s.EventCount() != n {
			t.Fatalf("returned %q of %q, %d bytes left, %d events", out.String(), all.String(), s.PartialBytes(), s.EventCount())
		}
		want := ""
		if n > 0 {
			want = string(rune('a' + n - 1))
		}
		if s.LastID() != want {
			t.Fatalf("last id %q, want %q", s.LastID(), want)
		}
	})
}

// TestBeginRun guards against joining the rest of an interrupted event to
// the response of another target.
func TestBeginRun(t *testing.T) {
	var s Splitter
	s.Push([]byte("id: 1\n\nid: 2\nda"))
	s.BeginRun()
	b, _ := s.Push([]byte("id: 2\n\n"))
	if string(b) != "id: 2\n\n" || s.LastID() != "2" {
		t.Errorf("returned %q, last id %q", b, s.LastID())
	}
}

// TestEventTooLong guards against a target that sends an endless event.
func TestEventTooLong(t *testing.T) {
	var s Splitter
	if _, ok := s.Push(make([]byte, MaxEventBytes+1)); ok {
		t.Error("an event longer than MaxEventBytes is accepted")
	}
}

// TestOrder guards against events out of order that the log of a request does not show.
func TestOrder(t *testing.T) {
	var s Splitter
	s.Push([]byte("id: 1\n\nid: 2\n\nid: 5\n\n"))
	s.BeginRun()
	s.Push([]byte("id: 5\n\nid: 4\n\nid: x\n\n"))
	if got := s.Order(); got != (Order{Gaps: 1, Repeats: 2}) || s.FirstID() != "5" {
		t.Errorf("order %+v, first id %q", got, s.FirstID())
	}
}

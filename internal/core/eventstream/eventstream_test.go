package eventstream

import (
	"bytes"
	"errors"
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
			all.WriteString("id: " + string(rune('1'+i)) + sep + "data: x" + sep + sep)
		}
		tail := rapid.SampledFrom([]string{"", "id: z", "id: z" + sep + "data"}).Draw(t, "tail")
		in := all.String() + tail
		s := New("")
		var out strings.Builder
		for len(in) > 0 {
			k := rapid.IntRange(1, len(in)).Draw(t, "piece")
			b, err := s.Push([]byte(in[:k]))
			if err != nil {
				t.Fatal(err)
			}
			out.Write(b)
			in = in[k:]
		}
		if out.String() != all.String() || s.PartialBytes() != len(tail) || s.EventCount() != n {
			t.Fatalf("returned %q of %q, %d bytes left, %d events", out.String(), all.String(), s.PartialBytes(), s.EventCount())
		}
		want := ""
		if n > 0 {
			want = string(rune('1' + n - 1))
		}
		if s.LastID() != want {
			t.Fatalf("last id %q, want %q", s.LastID(), want)
		}
	})
}

// TestBeginRun guards against joining the rest of an interrupted event to
// the response of another target.
func TestBeginRun(t *testing.T) {
	s := New("")
	s.Push([]byte("id: 1\n\nid: 2\nda"))
	s.BeginRun()
	b, _ := s.Push([]byte("id: 2\n\n"))
	if string(b) != "id: 2\n\n" || s.LastID() != "2" {
		t.Errorf("returned %q, last id %q", b, s.LastID())
	}
}

// TestNoEventBeforeEndOfConnection guards against an empty stream that looks complete although
// its target stopped behind the head. Events before the end of the connection, or an end that
// the response states, are accepted.
func TestNoEventBeforeEndOfConnection(t *testing.T) {
	for _, c := range []struct {
		data               string
		endsWithConnection bool
		want               error
	}{
		{"", true, ErrNoEvent}, {": comment\n\n", true, ErrNoEvent}, {"id: 1\n\n", true, nil},
		{"", false, nil}, {": comment\n\n", false, nil},
	} {
		s := New("")
		if _, err := s.Push([]byte(c.data)); err != nil {
			t.Fatal(err)
		}
		if _, err := s.End(c.endsWithConnection); !errors.Is(err, c.want) {
			t.Errorf("%q, ends with the connection %v: %v", c.data, c.endsWithConnection, err)
		}
	}
}

// TestEventTooLong guards against a target that sends an endless event.
func TestEventTooLong(t *testing.T) {
	for name, b := range map[string][]byte{
		"no end of the line": make([]byte, MaxEventBytes+1),
		"no blank line":      bytes.Repeat([]byte("data: x\n"), MaxEventBytes/8+1),
		"complete":           append(bytes.Repeat([]byte("data: x\n"), MaxEventBytes/8+1), '\n'),
	} {
		if _, err := New("").Push(b); !errors.Is(err, ErrEventTooLong) {
			t.Errorf("%s: %v", name, err)
		}
	}
	s := New("")
	if b, err := s.Push(append([]byte("id: 1\n\n"), make([]byte, MaxEventBytes+1)...)); !errors.Is(err, ErrEventTooLong) || string(b) != "id: 1\n\n" {
		t.Errorf("after an event: %q, %v", b, err)
	}
}

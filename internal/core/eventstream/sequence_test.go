package eventstream

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestSequence guards against missing or repeated events, and events of another run, that are passed on.
func TestSequence(t *testing.T) {
	for _, c := range []struct {
		name, after string
		// runs holds the ids of each run, separated by spaces; "-" is an event without an id.
		runs     []string
		accepted int
		ok       bool
	}{
		{"whole", "", []string{"1 2 3"}, 3, true},
		{"from zero", "", []string{"0 1 2"}, 3, true},
		{"after an event", "12", []string{"13 14"}, 2, true},
		{"resumed", "", []string{"1 2", "3 4"}, 4, true},
		{"resumed twice", "5", []string{"6", "7", "8"}, 3, true},
		{"no event in a run", "", []string{"1 2", "", "3"}, 3, true},
		{"events without ids between others", "", []string{"- 1 - 2 -"}, 5, true},
		{"no ids", "", []string{"- -"}, 2, true},
		{"other numbering", "", []string{"10 20 30"}, 3, true},
		{"names", "", []string{"a b"}, 2, true},
		{"after a name", "x", []string{"0 1"}, 2, true},
		{"name twice", "", []string{"a a"}, 1, false},
		{"highest number", "9223372036854775806", []string{"9223372036854775807 -9223372036854775808"}, 1, false},
		{"missing", "", []string{"1 2 4"}, 2, false},
		{"twice", "", []string{"1 2 2"}, 2, false},
		{"goes back", "", []string{"10 20 10"}, 2, false},
		{"a name among numbers", "", []string{"1 x"}, 1, false},
		{"before the event to continue from", "12", []string{"1"}, 0, false},
		{"starts again", "", []string{"1 2", "1 2 3"}, 2, false},
		{"later run skips", "", []string{"1 2", "4"}, 2, false},
		{"later run without ids", "", []string{"1 2", "-"}, 2, false},
		{"later run of other numbering", "", []string{"10 20", "30"}, 2, false},
	} {
		s := New(c.after)
		var err error
		for _, run := range c.runs {
			s.BeginRun()
			for id := range strings.FieldsSeq(run) {
				if err == nil {
					_, err = s.Push([]byte(eventWithID(id)))
				}
			}
		}
		var order *OrderError
		if s.EventCount() != c.accepted || (err == nil) != c.ok || !c.ok && !errors.As(err, &order) {
			t.Errorf("%s: %d events, %v", c.name, s.EventCount(), err)
		}
	}
}

func eventWithID(id string) string {
	if id == "-" {
		return "data: x\n\n"
	}
	return "id: " + id + "\ndata: x\n\n"
}

// TestResumable guards against a later run whose first event cannot be checked.
func TestResumable(t *testing.T) {
	for ids, want := range map[string]bool{"": true, "1 2": true, "0": true, "10": false, "a": false, "1 - 2": true} {
		s := New("")
		for id := range strings.FieldsSeq(ids) {
			if _, err := s.Push([]byte(eventWithID(id))); err != nil {
				t.Fatal(err)
			}
		}
		if s.Resumable() != want {
			t.Errorf("ids %q: resumable %v", ids, !want)
		}
	}
	s := New("x")
	s.Push([]byte(eventWithID("-")))
	if s.Resumable() {
		t.Error("a stream without ids is resumable")
	}
}

// TestBlocksWithoutEvents guards against a comment that counts as an event, that is lost from the stream of one target,
// or that comes between the events of two runs.
func TestBlocksWithoutEvents(t *testing.T) {
	const comment, retry = ": ping\r\n\r\n", "retry: 10\n\n"
	s := New("")
	for _, step := range []struct{ in, out string }{
		{comment + "\n", ""}, {"id: 1\n\n" + comment, comment + "\nid: 1\n\n" + comment}, {retry, retry}, {"id: 2\n\n", "id: 2\n\n"},
	} {
		if b, err := s.Push([]byte(step.in)); err != nil || string(b) != step.out {
			t.Fatalf("pushed %q, got %q, %v", step.in, b, err)
		}
	}
	s.BeginRun()
	if b, err := s.Push([]byte(comment + retry + "id: 3\n\n" + comment)); err != nil || string(b) != "id: 3\n\n"+comment || s.EventCount() != 3 {
		t.Errorf("later run: %q, %v, %d events", b, err, s.EventCount())
	}
	s = New("")
	if _, err := s.Push([]byte(comment)); err != nil || !s.Resumable() {
		t.Errorf("a comment alone: %v, resumable %v", err, s.Resumable())
	}
	if b, err := s.End(false); err != nil || string(b) != comment {
		t.Errorf("end after a comment: %q, %v", b, err)
	}
	s = New("")
	if b, err := s.Push([]byte("\xef\xbb\xbfid: 1\n\nid: 3\n\n")); err == nil {
		t.Errorf("byte order mark: %q", b)
	}
}

// TestEnd guards against a stream that ends as complete within an event, or with a later run that sent no event.
func TestEnd(t *testing.T) {
	for name, c := range map[string]struct {
		runs []string
		ok   bool
	}{
		"events":                 {[]string{"id: 1\n\n"}, true},
		"nothing":                {[]string{""}, true},
		"within an event":        {[]string{"id: 1\n\nid: 2\n"}, false},
		"later run":              {[]string{"id: 1\n\n", "id: 2\n\n"}, true},
		"empty later run":        {[]string{"id: 1\n\n", ""}, false},
		"later run of a comment": {[]string{"id: 1\n\n", ": x\n\n\n"}, false},
		"run after an empty one": {[]string{"", "id: 1\n\n"}, true},
	} {
		s := New("")
		for _, run := range c.runs {
			s.BeginRun()
			if _, err := s.Push([]byte(run)); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
		}
		if _, err := s.End(false); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestEventsBeforeFaultAreReturned guards against losing events that arrive in one read with the one at fault.
func TestEventsBeforeFaultAreReturned(t *testing.T) {
	s := New("")
	b, err := s.Push([]byte(eventWithID("1") + eventWithID("2") + eventWithID("4") + eventWithID("5")))
	if string(b) != eventWithID("1")+eventWithID("2") || err == nil || s.LastID() != "2" {
		t.Errorf("returned %q, %v, last id %q", b, err, s.LastID())
	}
}

// TestStreamIsOneRun guards against any order of events but that of one run, however often targets break off, start
// again, skip or repeat.
func TestStreamIsOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New("")
		var out strings.Builder
		for range rapid.IntRange(1, 5).Draw(t, "runs") {
			if !s.Resumable() {
				break
			}
			s.BeginRun()
			for _, n := range rapid.SliceOfN(rapid.IntRange(0, 6), 0, 6).Draw(t, "ids") {
				b, err := s.Push([]byte(fmt.Sprintf("id: %d\n\n", n)))
				out.Write(b)
				if err != nil {
					break
				}
			}
		}
		first, last := -1, -1
		for line := range strings.Lines(out.String()) {
			var n int
			if _, err := fmt.Sscanf(line, "id: %d", &n); err != nil {
				continue
			}
			if n <= last || 0 <= first && first <= 1 && n != last+1 {
				t.Fatalf("event %d follows event %d", n, last)
			}
			if first < 0 {
				first = n
			}
			last = n
		}
	})
}

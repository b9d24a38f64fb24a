// Package eventstream splits a stream of server-sent events at event
// boundaries, so that a response never ends, or continues from another target,
// in the middle of an event.
package eventstream

import (
	"bytes"
	"strconv"
)

// MaxEventBytes bounds an incomplete event. Events of model engines are well
// below 1 KiB.
const MaxEventBytes = 1 << 20

// Splitter buffers bytes and returns complete events. The zero value is ready
// to use.
type Splitter struct {
	pending []byte
	lastID  string
	// firstID is the id of the first event of the newest run.
	firstID string
	events  int
	order   Order
}

// Order counts the events whose numeric id does not follow that of the event before.
type Order struct {
	// Gaps counts ids that skip others, and Repeats those that do not increase.
	Gaps, Repeats int
}

// Push appends b and returns all events that are now complete. The result is
// valid until the next call. It returns false if an event exceeds
// MaxEventBytes.
func (s *Splitter) Push(b []byte) ([]byte, bool) {
	s.pending = append(s.pending, b...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil, len(s.pending) <= MaxEventBytes
	}
	complete := s.pending[:end:end]
	s.countEvents(complete)
	s.pending = append([]byte(nil), s.pending[end:]...)
	return complete, true
}

// PartialBytes returns the number of buffered bytes of an incomplete event.
func (s *Splitter) PartialBytes() int { return len(s.pending) }

// BeginRun prepares for the events of another run. It drops the buffered bytes of an
// incomplete event.
func (s *Splitter) BeginRun() { s.pending, s.firstID = nil, "" }

// FirstID returns the id of the first event of the newest run that has one, or an
// empty string.
func (s *Splitter) FirstID() string { return s.firstID }

// LastID returns the id of the last complete event that has one, or an empty
// string.
func (s *Splitter) LastID() string { return s.lastID }

// EventCount returns the number of complete events so far.
func (s *Splitter) EventCount() int { return s.events }

// Order returns how the ids of the complete events so far follow each other.
func (s *Splitter) Order() Order { return s.order }

// lastEventEnd returns the offset after the last blank line, or 0.
func lastEventEnd(b []byte) int {
	return max(endOfLast(b, "\n\n"), endOfLast(b, "\r\n\r\n"))
}

// endOfLast returns the offset after the last occurrence of sep, or 0.
func endOfLast(b []byte, sep string) int {
	i := bytes.LastIndex(b, []byte(sep))
	if i < 0 {
		return 0
	}
	return i + len(sep)
}

// countEvents updates the event count and the last id from complete events.
func (s *Splitter) countEvents(b []byte) {
	for len(b) > 0 {
		line, rest, _ := bytes.Cut(b, []byte("\n"))
		b = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			s.events++
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.recordID(string(bytes.TrimSpace(id)))
		}
	}
}

// recordID sets the last id and compares it with the one before. Ids that are not
// numbers are not compared.
func (s *Splitter) recordID(id string) {
	before, errBefore := strconv.ParseInt(s.lastID, 10, 64)
	n, err := strconv.ParseInt(id, 10, 64)
	s.lastID = id
	if s.firstID == "" {
		s.firstID = id
	}
	switch {
	case errBefore != nil || err != nil:
	case n <= before:
		s.order.Repeats++
	case n > before+1:
		s.order.Gaps++
	}
}

// Package eventstream splits a stream of server-sent events at event
// boundaries, so that a response never ends, or continues from another target,
// in the middle of an event.
package eventstream

import "bytes"

// MaxEventBytes bounds an incomplete event. Events of model engines are well
// below 1 KiB.
const MaxEventBytes = 1 << 20

// Splitter buffers bytes and returns complete events. The zero value is ready
// to use.
type Splitter struct {
	pending []byte
	lastID  string
	events  int
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

// DiscardPartial drops the buffered bytes of an incomplete event.
func (s *Splitter) DiscardPartial() { s.pending = nil }

// LastID returns the id of the last complete event that has one, or an empty
// string.
func (s *Splitter) LastID() string { return s.lastID }

// EventCount returns the number of complete events so far.
func (s *Splitter) EventCount() int { return s.events }

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
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

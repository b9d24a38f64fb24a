// Package eventstream cuts a stream of server-sent events into whole events,
// so that an answer never ends, or goes on elsewhere, in the middle of one.
package eventstream

import "bytes"

// MaxEventBytes bounds an event that is not complete yet. Events of model
// engines are well below 1 KiB.
const MaxEventBytes = 1 << 20

// Splitter collects bytes and returns whole events. The zero value is ready.
type Splitter struct {
	pending []byte
	lastID  string
	events  int
}

// Push takes the next bytes and returns all events that are complete with them.
// The result is valid until the next call. It returns false if an event is
// longer than MaxEventBytes.
func (s *Splitter) Push(b []byte) ([]byte, bool) {
	s.pending = append(s.pending, b...)
	end := lastEnd(s.pending)
	if end == 0 {
		return nil, len(s.pending) <= MaxEventBytes
	}
	whole := s.pending[:end:end]
	s.scan(whole)
	s.pending = append([]byte(nil), s.pending[end:]...)
	return whole, true
}

// PartialBytes returns the number of bytes of an event that is not complete.
func (s *Splitter) PartialBytes() int { return len(s.pending) }

// DiscardPartial drops the bytes of an event that is not complete.
func (s *Splitter) DiscardPartial() { s.pending = nil }

// LastID returns the id of the last whole event, or an empty text.
func (s *Splitter) LastID() string { return s.lastID }

// EventCount returns the number of whole events.
func (s *Splitter) EventCount() int { return s.events }

// lastEnd returns the offset behind the last blank line.
func lastEnd(b []byte) int {
	return max(behind(b, "\n\n"), behind(b, "\r\n\r\n"))
}

func behind(b []byte, sep string) int {
	at := bytes.LastIndex(b, []byte(sep))
	if at < 0 {
		return 0
	}
	return at + len(sep)
}

func (s *Splitter) scan(b []byte) {
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

// Package eventstream splits a stream of server-sent events at event boundaries and
// checks that the events follow each other, so that a response never ends, or
// continues from another target, within an event or with events of another run.
package eventstream

import (
	"bytes"

	"github.com/pkg/errors"
)

// MaxEventBytes bounds an incomplete event, which is held in memory for each stream.
// Events of model engines are well below 1 KiB.
const MaxEventBytes = 64 << 10

// ErrEventTooLong means that an event exceeds MaxEventBytes.
var ErrEventTooLong = errors.Errorf("event is longer than %d bytes", MaxEventBytes)

// Splitter buffers the bytes of one stream and returns its complete events. The stream
// may consist of several runs, each of which continues the one before.
type Splitter struct {
	pending  []byte
	sequence sequence
	events   int
}

// New returns a splitter for a stream that continues after the event with an id, or for
// a whole stream if the id is empty.
func New(after string) *Splitter { return &Splitter{sequence: newSequence(after)} }

// BeginRun prepares for the events of another run. It drops the buffered bytes of an
// incomplete event.
func (s *Splitter) BeginRun() {
	s.pending = nil
	s.sequence.beginRun(s.events > 0)
}

// Push appends b and returns all events that are now complete. The result is valid until
// the next call. An error is an *OrderError or ErrEventTooLong; the events before the
// one at fault are returned with it.
func (s *Splitter) Push(b []byte) ([]byte, error) {
	s.pending = append(s.pending, b...)
	end := 0
	for {
		n := eventEnd(s.pending[end:])
		if n == 0 {
			break
		}
		if err := s.accept(s.pending[end : end+n]); err != nil {
			return s.take(end), err
		}
		end += n
	}
	complete := s.take(end)
	if len(s.pending) > MaxEventBytes {
		return complete, ErrEventTooLong
	}
	return complete, nil
}

// take removes the first n buffered bytes and returns them.
func (s *Splitter) take(n int) []byte {
	if n == 0 {
		return nil
	}
	out := s.pending[:n:n]
	s.pending = append([]byte(nil), s.pending[n:]...)
	return out
}

// accept checks the order of one complete event and counts it. Blank lines between
// events are not events.
func (s *Splitter) accept(event []byte) error {
	if len(bytes.TrimSpace(event)) == 0 {
		return nil
	}
	if len(event) > MaxEventBytes {
		return ErrEventTooLong
	}
	if err := s.sequence.accept(eventID(event)); err != nil {
		return err
	}
	s.events++
	return nil
}

// PartialBytes returns the number of buffered bytes of an incomplete event.
func (s *Splitter) PartialBytes() int { return len(s.pending) }

// EventCount returns the number of complete events so far.
func (s *Splitter) EventCount() int { return s.events }

// LastID returns the id of the last complete event that has one, or else the id after
// which the stream continues.
func (s *Splitter) LastID() string { return s.sequence.last }

// FirstID returns the id of the first event of the newest run, or an empty string.
func (s *Splitter) FirstID() string { return s.sequence.first }

// Resumable reports whether another run may follow. Either no event was returned yet, or
// the ids show which event has to come next.
func (s *Splitter) Resumable() bool {
	return s.events == 0 || s.sequence.started && s.sequence.consecutive
}

// Gaps returns the number of events whose id skips others, in a stream whose ids are not
// consecutive anyway.
func (s *Splitter) Gaps() int { return s.sequence.gaps }

// eventEnd returns the offset after the first blank line, or 0.
func eventEnd(b []byte) int {
	for start := 0; ; {
		n := bytes.IndexByte(b[start:], '\n')
		if n < 0 {
			return 0
		}
		blank := n == 0 || n == 1 && b[start] == '\r'
		start += n + 1
		if blank {
			return start
		}
	}
}

// eventID returns the id of a complete event, or an empty string.
func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}

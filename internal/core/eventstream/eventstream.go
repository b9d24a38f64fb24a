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

// Errors of a stream besides OrderError.
var (
	// ErrEventTooLong means that an event exceeds MaxEventBytes.
	ErrEventTooLong = errors.Errorf("event is longer than %d bytes", MaxEventBytes)
	// ErrPartialEvent means that a stream ends within an event.
	ErrPartialEvent = errors.New("stream ends within an event")
	// ErrNoEvent means that the connection ended before the first event of a run, and
	// that nothing else shows its end.
	ErrNoEvent = errors.New("connection ends before the first event of a stream")
)

// Splitter buffers the bytes of one stream and returns its complete events. The stream
// may consist of several runs, each of which continues the one before. Blocks without an
// id and data, such as comments, are returned with the events of their run: those before
// the first event of the stream together with it, and those before the first event of a
// later run not at all.
type Splitter struct {
	pending []byte
	// held is the number of leading bytes of pending that are blocks before the first
	// event.
	held      int
	sequence  sequence
	events    int
	runEvents int
}

// New returns a splitter for a stream that continues after the event with an id, or for
// a whole stream if the id is empty.
func New(after string) *Splitter { return &Splitter{sequence: newSequence(after)} }

// BeginRun prepares for the events of another run. It drops the buffered bytes.
func (s *Splitter) BeginRun() {
	s.pending, s.held, s.runEvents = nil, 0, 0
	s.sequence.beginRun(s.events > 0)
}

// ForNextRun returns a splitter that checks whether a later run continues the stream, while the
// current run goes on.
func (s *Splitter) ForNextRun() *Splitter {
	n := &Splitter{sequence: s.sequence, events: s.events}
	n.BeginRun()
	return n
}

// Push appends b and returns all events that are now complete. The result is valid until
// the next call. An error is an *OrderError, ErrEventTooLong or ErrNotEvents; the events
// before the one at fault are returned with it.
func (s *Splitter) Push(b []byte) ([]byte, error) {
	s.pending = append(s.pending, b...)
	end, pos := 0, s.held
	for {
		n := blockEnd(s.pending[pos:])
		if n == 0 {
			break
		}
		block := s.pending[pos : pos+n]
		if err := checkLines(block); err != nil {
			return s.take(end), err
		}
		id, isEvent := parseBlock(block)
		switch {
		case isEvent:
			if err := s.accept(block, id); err != nil {
				return s.take(end), err
			}
			pos += n
			end = pos
		case s.runEvents > 0:
			pos += n
			end = pos
		case s.events == 0:
			pos += n
		default:
			s.pending = append(s.pending[:pos], s.pending[pos+n:]...)
		}
	}
	complete := s.take(end)
	s.held = pos - end
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

// accept checks the order of one complete event and counts it.
func (s *Splitter) accept(event []byte, id string) error {
	if len(event) > MaxEventBytes {
		return ErrEventTooLong
	}
	if err := s.sequence.accept(id); err != nil {
		return err
	}
	s.events++
	s.runEvents++
	return nil
}

// End returns the blocks that are still held at the regular end of a run. It fails if
// the run ends within an event, if a later run had no event, and if a run without an event
// endsWithConnection: nothing tells it from that of a target that stopped behind the head.
func (s *Splitter) End(endsWithConnection bool) ([]byte, error) {
	switch {
	case len(s.pending) > s.held:
		return nil, ErrPartialEvent
	case s.events > 0 && s.runEvents == 0:
		return nil, &OrderError{After: s.sequence.last}
	case endsWithConnection && s.runEvents == 0:
		return nil, ErrNoEvent
	}
	return s.take(s.held), nil
}

// PartialBytes returns the number of buffered bytes of an incomplete event.
func (s *Splitter) PartialBytes() int { return len(s.pending) - s.held }

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

// blockEnd returns the offset after the first blank line, or 0.
func blockEnd(b []byte) int {
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

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// parseBlock returns the id of a block, or an empty string, and whether the block is an
// event.
func parseBlock(block []byte) (id string, isEvent bool) {
	for line := range bytes.Lines(bytes.TrimPrefix(block, byteOrderMark)) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, isEvent = string(bytes.TrimSpace(v)), true
		}
		isEvent = isEvent || bytes.HasPrefix(line, []byte("data"))
	}
	return id, isEvent
}

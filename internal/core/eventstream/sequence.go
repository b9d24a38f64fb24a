package eventstream

import (
	"fmt"
	"strconv"
)

// OrderError means that an event does not follow the one before it: the target left out
// or repeated an event, or a later run did not continue the stream.
type OrderError struct {
	// After is the id of the event before, or the one after which the stream continues.
	After string
	// ID is the id of the event at fault, or empty if it has none.
	ID string
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %q does not follow event %q", e.ID, e.After)
}

// sequence checks the ids of a stream. Ids are consecutive in a whole stream that starts
// with 0 or 1, and in one that starts with the id after that from which it continues. The
// ids of other streams only have to increase, and no later run can continue them.
type sequence struct {
	// last is the id of the last event, and number its value.
	last   string
	number int64
	// first is the id of the first event of the newest run.
	first       string
	started     bool
	consecutive bool
	// laterRun is set until the first event of a run that continues the stream.
	laterRun bool
	gaps     int
}

func newSequence(after string) sequence {
	n, err := strconv.ParseInt(after, 10, 64)
	return sequence{last: after, number: n, consecutive: err == nil || after == ""}
}

// beginRun prepares for another run, which continues the stream if continues is set.
func (s *sequence) beginRun(continues bool) { s.first, s.laterRun = "", continues }

// accept checks the id of the next event. Events without an id, such as comments, are
// accepted within a run only.
func (s *sequence) accept(id string) error {
	n, err := strconv.ParseInt(id, 10, 64)
	switch {
	case id == "" && !s.laterRun:
		return nil
	case err != nil:
		return s.acceptOther(id)
	case s.consecutive && n == s.number+1, s.last == "" && n == 0:
	case s.laterRun, s.started && s.consecutive, s.last != "" && n <= s.number:
		return &OrderError{After: s.last, ID: id}
	default:
		s.countGap(n)
		s.consecutive = false
	}
	s.advance(id, n)
	return nil
}

// acceptOther accepts an id that is not a number, in a run that does not have to
// continue consecutive ids.
func (s *sequence) acceptOther(id string) error {
	if s.laterRun || s.started && s.consecutive {
		return &OrderError{After: s.last, ID: id}
	}
	s.consecutive = false
	s.advance(id, s.number)
	return nil
}

func (s *sequence) countGap(n int64) {
	if s.started && n > s.number+1 {
		s.gaps++
	}
}

func (s *sequence) advance(id string, n int64) {
	s.last, s.number, s.started, s.laterRun = id, n, true, false
	if s.first == "" {
		s.first = id
	}
}

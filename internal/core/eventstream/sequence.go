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
// ids of other streams only have to increase, as far as they are numbers, and no later
// run can continue them.
type sequence struct {
	// last is the id of the last event, or the one after which the stream continues, and
	// number its value if isNumber is set.
	last     string
	number   int64
	isNumber bool
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
	return sequence{last: after, number: n, isNumber: err == nil, consecutive: err == nil || after == ""}
}

// beginRun prepares for another run, which continues the stream if continues is set.
func (s *sequence) beginRun(continues bool) { s.first, s.laterRun = "", continues }

// accept checks the id of the next event. Events without an id are accepted within a run
// only.
func (s *sequence) accept(id string) error {
	if id == "" && !s.laterRun {
		return nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	isNumber := err == nil
	switch {
	case isNumber && s.isNext(n):
	case s.mustBeNext(), s.isRepeat(id, n, isNumber):
		return &OrderError{After: s.last, ID: id}
	default:
		s.consecutive = false
		if s.started && s.isNumber && isNumber {
			s.gaps++
		}
	}
	s.last, s.number, s.isNumber = id, n, isNumber
	s.started, s.laterRun = true, false
	if s.first == "" {
		s.first = id
	}
	return nil
}

// isNext reports whether n follows the last event of a stream with consecutive ids.
func (s *sequence) isNext(n int64) bool {
	if s.last == "" && !s.started {
		return n == 0 || n == 1
	}
	return s.consecutive && s.isNumber && n > s.number && n-s.number == 1
}

// mustBeNext reports whether only the next consecutive id may follow.
func (s *sequence) mustBeNext() bool { return s.laterRun || s.started && s.consecutive }

// isRepeat reports whether an id is the last one again, or a number that is not above it.
func (s *sequence) isRepeat(id string, n int64, isNumber bool) bool {
	return id == s.last || isNumber && s.isNumber && n <= s.number
}

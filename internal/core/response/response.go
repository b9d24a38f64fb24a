// Package response tracks how far one response to a caller has come, so that nothing
// of a second response can follow, and so that an incomplete one never looks complete.
package response

import "github.com/pkg/errors"

// Errors of calls that do not fit the progress of the response. The adapter aborts such
// a response.
var (
	ErrBegun   = errors.New("a response has already begun")
	ErrNotOpen = errors.New("the response is not open")
)

type state uint8

const (
	unsent state = iota
	open
	complete
	aborted
)

// Progress is the progress of one response: unsent, then open, and complete at its end.
// A refusal is complete at once. A call that does not fit makes the response aborted,
// which is final. The zero value is unsent. It is used by one goroutine.
type Progress struct{ state state }

// Begin opens the response. It returns ErrBegun unless the response is unsent.
func (p *Progress) Begin() error { return p.advance(unsent, open, ErrBegun) }

// Refuse completes an unsent response. It returns ErrBegun for any other.
func (p *Progress) Refuse() error { return p.advance(unsent, complete, ErrBegun) }

// Continue returns ErrNotOpen unless data may follow.
func (p *Progress) Continue() error { return p.advance(open, open, ErrNotOpen) }

// End completes an open response. It returns ErrNotOpen for any other.
func (p *Progress) End() error { return p.advance(open, complete, ErrNotOpen) }

// Abort makes the response aborted, even if it is complete.
func (p *Progress) Abort() { p.state = aborted }

// Complete reports whether the response was refused or came to its end. The caller of any
// other response must be able to tell that it is incomplete.
func (p *Progress) Complete() bool { return p.state == complete }

func (p *Progress) advance(from, to state, err error) error {
	if p.state != from {
		p.state = aborted
		return err
	}
	p.state = to
	return nil
}

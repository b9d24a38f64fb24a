package entry

import (
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// answer is an answer whose first piece was received. It is used by one
// goroutine.
type answer struct {
	src    port.Answer
	first  []byte
	err    error
	ready  bool
	ended  bool
	closed bool
	done   func()
	permit func()
}

// prefetch receives the first piece and checks that the answer belongs to the
// request.
func (a *answer) prefetch(q *port.ServeRequest) error {
	h := a.src.Head()
	if h.ID != q.ID {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer belongs to request %q", h.ID)
	}
	if q.Group != "" && h.Version == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer does not name its version")
	}
	a.first, a.err = a.src.Next()
	a.ready = true
	if a.err != nil && !errors.Is(a.err, io.EOF) {
		return a.err
	}
	return nil
}

func (a *answer) release(f func()) { a.permit = f }

// Head implements port.Answer.
func (a *answer) Head() port.AnswerHead { return a.src.Head() }

// Next implements port.Answer.
func (a *answer) Next() ([]byte, error) {
	if a.ready {
		a.ready = false
		b := a.first
		a.first = nil
		return b, a.err
	}
	return a.src.Next()
}

// end closes the stream and leaves the target.
func (a *answer) end() error {
	if a.ended {
		return nil
	}
	a.ended = true
	err := a.src.Close()
	a.done()
	return err
}

// Close implements port.Answer. It returns the permit.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	err := a.end()
	if a.permit != nil {
		a.permit()
	}
	return err
}

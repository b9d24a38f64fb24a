package entry

import (
	"github.com/masticwing/masticwing/internal/port"
)

// targetAnswer is the answer of one target. prefetch receives its first piece
// before the caller reads it. It is used by one goroutine.
type targetAnswer struct {
	src port.Answer
	// firstPiece and firstErr are the result of prefetch; hasFirst means that Next
	// has not returned them yet.
	firstPiece    []byte
	firstErr      error
	hasFirst      bool
	streamClosed  bool
	closed        bool
	releaseTarget func()
	releasePermit func()
}

// prefetch checks that the answer belongs to the request, starts at the frame that the
// request names and, for a group, is the stream of one run. Then it receives the first
// piece.
func (a *targetAnswer) prefetch(req *port.ServeRequest) error {
	source := a.src.Head().Source()
	if err := source.CheckRequest(req.ID); err != nil {
		return err
	}
	if err := source.CheckStart(req.Resume); err != nil {
		return err
	}
	if req.Group != "" {
		if err := source.CheckStream(); err != nil {
			return err
		}
	}
	a.firstPiece, a.firstErr = a.src.Next()
	a.hasFirst = true
	if a.firstErr != nil && !port.AnswerEnded(a.firstErr) {
		return a.firstErr
	}
	return nil
}

// onClose sets a function that Close calls to release the permit.
func (a *targetAnswer) onClose(f func()) { a.releasePermit = f }

// Head implements port.Answer.
func (a *targetAnswer) Head() port.AnswerHead { return a.src.Head() }

// Next implements port.Answer.
func (a *targetAnswer) Next() ([]byte, error) {
	if a.hasFirst {
		a.hasFirst = false
		b := a.firstPiece
		a.firstPiece = nil
		return b, a.firstErr
	}
	return a.src.Next()
}

// closeStream closes the stream and releases the slot in the target.
func (a *targetAnswer) closeStream() error {
	if a.streamClosed {
		return nil
	}
	a.streamClosed = true
	err := a.src.Close()
	a.releaseTarget()
	return err
}

// Close implements port.Answer. It also releases the permit.
func (a *targetAnswer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	err := a.closeStream()
	if a.releasePermit != nil {
		a.releasePermit()
	}
	return err
}

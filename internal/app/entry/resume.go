package entry

import (
	"bytes"
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// resumable is the answer of a group's request. If its target is lost, another
// target with the same version continues it after the last whole line, so the
// caller sees one answer of one version. It is used by one goroutine.
type resumable struct {
	*answer
	e     *Entry
	ctx   context.Context
	r     port.ServeRequest
	p     *plan
	tried map[fleet.VM]bool
	// head is the head of the first target's answer.
	head port.AnswerHead
	// lines counts the lines passed on, and split is true if a part of a line
	// follows them; such an answer cannot be resumed.
	lines   uint64
	split   bool
	resumes int
}

// Head implements port.Answer.
func (a *resumable) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *resumable) Next() ([]byte, error) {
	for {
		b, err := a.answer.Next()
		if err == nil || errors.Is(err, io.EOF) {
			a.count(b)
			return b, err
		}
		if !a.mayResume(err) {
			return nil, err
		}
		if a.resume() != nil {
			// The first error says what became of the answer.
			return nil, err
		}
	}
}

func (a *resumable) count(b []byte) {
	a.lines += uint64(bytes.Count(b, []byte{'\n'}))
	if len(b) > 0 {
		a.split = b[len(b)-1] != '\n'
	}
}

// mayResume reports whether another target may continue after err. Resumes
// have the bounds of retries.
func (a *resumable) mayResume(err error) bool {
	switch verdict.FromError(err).Code {
	case verdict.CodeTargetLost, verdict.CodeTargetError:
	default:
		return false
	}
	return !a.split && a.ctx.Err() == nil && a.resumes < routing.MaxRetries && a.e.budget.TryWithdraw(a.p.pool)
}

// resume replaces the answer of the lost target by the rest of it from another
// one. The permit stays with the request.
func (a *resumable) resume() error {
	a.resumes++
	a.e.countRetry(&a.r, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "resumed"))
	_ = a.end()
	p := *a.p
	p.version, p.older = a.head.Version, nil
	q := a.r
	q.Resume, q.Version = a.lines, a.head.Version
	next, err := a.e.attempts(a.ctx, &q, &p, a.tried)
	if err != nil {
		return err
	}
	if next.Head().Version != a.head.Version {
		_ = next.Close()
		return verdict.New(verdict.MayHaveRun, verdict.CodeVersionMismatch, "resumed by another version")
	}
	next.permit, a.answer = a.permit, next
	return nil
}

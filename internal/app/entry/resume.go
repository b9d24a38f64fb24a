package entry

import (
	"bytes"
	"context"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// resumableAnswer is the answer to a group's request. If its target is lost,
// another target with the same version continues it after the last complete line,
// so the caller receives one answer from one version. It is used by one goroutine.
type resumableAnswer struct {
	*targetAnswer
	e     *Entry
	ctx   context.Context
	r     port.ServeRequest
	pc    *poolConfig
	tried map[fleet.VM]bool
	// head is the head of the first target's answer.
	head port.AnswerHead
	// lines is the number of complete lines sent to the caller. partialLine means
	// that a part of another line was sent; such an answer cannot be resumed.
	lines       uint64
	partialLine bool
	resumes     int
	// finalErr is the end or the error of the answer. Nothing follows it.
	finalErr error
}

// Head implements port.Answer.
func (a *resumableAnswer) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *resumableAnswer) Next() ([]byte, error) {
	if a.finalErr != nil {
		return nil, a.finalErr
	}
	b, err := a.nextPiece()
	a.finalErr = err
	return b, err
}

func (a *resumableAnswer) nextPiece() ([]byte, error) {
	for {
		b, err := a.targetAnswer.Next()
		if err == nil || port.AnswerEnded(err) {
			a.countLines(b)
			return b, err
		}
		if !a.mayResume(err) {
			return nil, err
		}
		if a.resume() != nil {
			// The error of the lost target tells the caller more than that of the
			// failed resume.
			return nil, err
		}
	}
}

func (a *resumableAnswer) countLines(b []byte) {
	a.lines += uint64(bytes.Count(b, []byte{'\n'}))
	if len(b) > 0 {
		a.partialLine = b[len(b)-1] != '\n'
	}
}

// mayResume reports whether another target may continue the answer after err.
// Resumes are limited like retries.
func (a *resumableAnswer) mayResume(err error) bool {
	switch verdict.FromError(err).Code {
	case verdict.CodeTargetLost, verdict.CodeTargetError:
	default:
		return false
	}
	return !a.partialLine && a.ctx.Err() == nil && a.resumes < routing.MaxRetries && a.e.budget.TryWithdraw(a.pc.pool)
}

// resume lets another target continue the answer of the lost one. The request
// keeps its permit.
func (a *resumableAnswer) resume() error {
	a.resumes++
	a.e.countRetry(&a.r, verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "resumed"))
	_ = a.closeStream()
	pc := *a.pc
	pc.version, pc.olderVersions = a.head.Version, nil
	req := a.r
	req.Resume, req.Version = a.lines, a.head.Version
	next, err := a.e.tryTargets(a.ctx, &req, &pc, a.tried)
	if err != nil {
		return err
	}
	if err := next.Head().Source().CheckVersion(a.head.Version); err != nil {
		_ = next.Close()
		return err
	}
	next.releasePermit, a.targetAnswer = a.releasePermit, next
	return nil
}

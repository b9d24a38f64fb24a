package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// maxLineBytes bounds one line of an answer.
const maxLineBytes = 1 << 20

// line is any line of an engine's stream: a head, a frame or the end.
type line struct {
	Head *struct {
		RequestID fleet.RequestID `json:"request_id"`
		Version   fleet.Version   `json:"version"`
	} `json:"head"`
	End *struct {
		Frames uint64 `json:"frames"`
	} `json:"end"`
	RequestID fleet.RequestID `json:"request_id"`
	Version   fleet.Version   `json:"version"`
	Seq       uint64          `json:"seq"`
}

// answer reads the JSON lines of one answer. Frames are passed on as the
// engine sent them; the head and the end line are not.
type answer struct {
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	lines  *bufio.Scanner
	head   port.AnswerHead
	next   uint64
	done   error
}

func newAnswer(
	ctx context.Context, cancel context.CancelFunc, resp *http.Response, r port.EngineRequest,
) (*answer, error) {
	a := &answer{ctx: ctx, cancel: cancel, body: resp.Body, lines: bufio.NewScanner(resp.Body), next: r.Resume}
	a.lines.Buffer(nil, maxLineBytes)
	_, l, err := a.line()
	if err != nil {
		return a, err
	}
	if l.Head == nil {
		return a, broken("engine's answer does not start with a head")
	}
	a.head = port.AnswerHead{
		ID:          l.Head.RequestID,
		Version:     l.Head.Version,
		ContentType: resp.Header.Get("Content-Type"),
		Status:      http.StatusOK,
	}
	return a, nil
}

func broken(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, format, args...)
}

// line returns the next line with its newline. A stream that ends without an
// end line is an error.
func (a *answer) line() ([]byte, line, error) {
	var l line
	if !a.lines.Scan() {
		err := a.lines.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return nil, l, sendError(a.ctx, errors.Wrap(err, "reading engine's answer"))
	}
	raw := a.lines.Bytes()
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, l, broken("engine's answer is not JSON lines")
	}
	return append(raw, '\n'), l, nil
}

// Head implements port.Answer.
func (a *answer) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *answer) Next() ([]byte, error) {
	if a.done != nil {
		return nil, a.done
	}
	b, err := a.frame()
	a.done = err
	return b, err
}

func (a *answer) frame() ([]byte, error) {
	raw, l, err := a.line()
	switch {
	case err != nil:
		return nil, err
	case l.End != nil && l.End.Frames == a.next:
		return nil, io.EOF
	case l.End != nil:
		return nil, broken("engine's answer has %d frames, received %d", l.End.Frames, a.next)
	case l.RequestID != a.head.ID:
		return nil, broken("engine's frame belongs to request %q", l.RequestID)
	case l.Version != a.head.Version:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeVersionMismatch,
			"engine's frame is from version %q, answer is from %q", l.Version, a.head.Version)
	case l.Seq != a.next:
		return nil, broken("engine's frame %d follows frame %d", l.Seq, a.next)
	}
	a.next++
	return raw, nil
}

// Close implements port.Answer. It cancels an answer that is not finished by
// closing the connection, which the engine notices.
func (a *answer) Close() error {
	if a.done == io.EOF {
		// Reads the end of the body, so that the connection can be used again.
		_, _ = io.Copy(io.Discard, io.LimitReader(a.body, maxLineBytes))
	}
	a.cancel()
	return a.body.Close()
}

package enginehttp

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// maxLineBytes bounds one line of an answer. Each answer in progress has a buffer
	// of up to this size. A frame has a few tokens; the bound leaves room for a whole
	// answer in one frame.
	maxLineBytes = 256 << 10
	// maxTrailingBytes and trailingTimeout bound what is read after the end of an
	// answer, so that the engine does not take the close of the connection for a
	// cancellation. It is the last part of the chunked encoding.
	maxTrailingBytes = 4 << 10
	trailingTimeout  = 100 * time.Millisecond
)

// streamLine is one line of an answer: the head, a frame or the end.
type streamLine struct {
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

// rawLine is one line with its newline, and its decoded form. The bytes are valid until
// the next line is read.
type rawLine struct {
	raw     []byte
	decoded streamLine
}

// answerStream reads the JSON lines of one answer. Next returns frames unchanged; it
// does not return the head and the end line.
type answerStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	body   io.ReadCloser
	lines  *bufio.Scanner
	head   port.AnswerHead
	// firstLine is the line that readStart has read and Next has not returned yet.
	firstLine *rawLine
	nextSeq   uint64
	finalErr  error
}

func newAnswerStream(
	ctx context.Context, cancel context.CancelFunc, resp *http.Response, r port.EngineRequest,
) (*answerStream, error) {
	a := &answerStream{ctx: ctx, cancel: cancel, body: resp.Body, lines: bufio.NewScanner(resp.Body), nextSeq: r.Resume}
	a.lines.Buffer(nil, maxLineBytes)
	_, l, err := a.readLine()
	if err != nil {
		return a, err
	}
	if l.Head == nil {
		return a, brokenAnswer("engine's answer does not start with a head")
	}
	a.head = port.AnswerHead{
		ID:          l.Head.RequestID,
		Version:     l.Head.Version,
		ContentType: resp.Header.Get("Content-Type"),
		Status:      http.StatusOK,
	}
	if r.Resume > 0 {
		return a, a.readStart()
	}
	return a, nil
}

// readStart reads the line after the head of a resumed answer. Its number is the start of
// the answer, which the engine's head does not state. The end line, if nothing was left,
// has the number of all frames.
func (a *answerStream) readStart() error {
	raw, l, err := a.readLine()
	if err != nil {
		return err
	}
	a.firstLine = &rawLine{raw, l}
	if l.End != nil {
		a.head.Start = l.End.Frames
		return nil
	}
	a.head.Start = l.Seq
	return a.checkSource(l)
}

// checkSource returns an error unless a frame belongs to the request and the version that
// the head names.
func (a *answerStream) checkSource(l streamLine) error {
	switch {
	case l.RequestID != a.head.ID:
		return brokenAnswer("engine's frame belongs to request %q", l.RequestID)
	case l.Version != a.head.Version:
		return verdict.New(verdict.MayHaveRun, verdict.CodeVersionMismatch,
			"engine's frame is from version %q, answer is from %q", l.Version, a.head.Version)
	}
	return nil
}

// brokenAnswer returns the error of an answer that violates the protocol.
func brokenAnswer(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, format, args...)
}

// readLine returns the next line, with its newline and decoded. The end of the
// response body is an error, since an answer is complete only with its end line.
func (a *answerStream) readLine() ([]byte, streamLine, error) {
	var l streamLine
	if !a.lines.Scan() {
		err := a.lines.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return nil, l, sendError(a.ctx, errors.Wrap(err, "reading the engine's answer"))
	}
	raw := a.lines.Bytes()
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil, l, brokenAnswer("engine's answer is not JSON lines")
	}
	return append(raw, '\n'), l, nil
}

// Head implements port.Answer.
func (a *answerStream) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *answerStream) Next() ([]byte, error) {
	if a.finalErr != nil {
		return nil, a.finalErr
	}
	b, err := a.nextFrame()
	a.finalErr = err
	return b, err
}

func (a *answerStream) nextFrame() ([]byte, error) {
	raw, l, err := a.takeLine()
	switch {
	case err != nil:
		return nil, err
	case l.End != nil && l.End.Frames == a.nextSeq:
		return nil, io.EOF
	case l.End != nil:
		return nil, brokenAnswer("engine's answer has %d frames, received %d", l.End.Frames, a.nextSeq)
	}
	if err := a.checkSource(l); err != nil {
		return nil, err
	}
	if l.Seq != a.nextSeq {
		return nil, brokenAnswer("engine's frame %d follows frame %d", l.Seq, a.nextSeq)
	}
	a.nextSeq++
	return raw, nil
}

// takeLine returns the line that readStart has read, or else the next one.
func (a *answerStream) takeLine() ([]byte, streamLine, error) {
	if l := a.firstLine; l != nil {
		a.firstLine = nil
		return l.raw, l.decoded, nil
	}
	return a.readLine()
}

// Close implements port.Answer. If the answer is incomplete, it closes the
// connection, so that the engine cancels the request.
func (a *answerStream) Close() error {
	if a.finalErr == io.EOF {
		// Reads the rest of the body: the engine is still sending it.
		_ = boundedhttp.ReadStart(a.body, maxTrailingBytes, trailingTimeout)
	}
	a.cancel()
	return a.body.Close()
}

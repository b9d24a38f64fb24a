package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/boundedhttp"
	"github.com/masticwing/masticwing/internal/adapter/closeguard"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/response"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// codeOK is the value of the metric attribute "code" for requests without an error.
const codeOK verdict.Code = "ok"

// exchange is one HTTP request and its response. Only a response that was refused or has
// come to its end, as progress tells, is complete; the connection of any other is closed.
type exchange struct {
	api      *API
	w        http.ResponseWriter
	hr       *http.Request
	rc       *http.ResponseController
	r        *port.ServeRequest
	caller   *caller
	start    time.Time
	progress response.Progress
	// closeGuard is in use from the head of the response to its end.
	closeGuard      closeguard.Guard
	admitted        bool // the customer is known and may be named in metrics
	bodyInterrupted bool // the read of the body was ended for the benefit of others
	bodyRead        bool // the body has arrived completely
	frames          int
	// endsWithNewline is true if the last byte sent is a newline.
	endsWithNewline bool
}

// interrupt unblocks a write to the caller, which then fails.
func (x *exchange) interrupt() { _ = x.rc.SetWriteDeadline(time.Now()) }

// failBeforeHead sends an error as the response, or aborts it if it has already begun.
func (x *exchange) failBeforeHead(err error) {
	if begun := x.progress.Refuse(); begun != nil {
		x.abort(begun)
		return
	}
	e := verdict.FromError(err)
	x.recordEnd(e.Verdict, e.Code)
	if x.caller != nil && x.caller.refusedForMemory {
		// Frees the buffers of the connection, which stay allocated while it is idle.
		x.w.Header().Set("Connection", "close")
	}
	if !x.bodyRead {
		limitUnreadBody(x.w, x.hr)
	}
	writeError(x.w, e, x.r.ID)
}

func (x *exchange) recordEnd(v verdict.Verdict, code verdict.Code) {
	x.api.countVerdict(x.r, v, code)
	x.recordSeconds("masticwing_entry_request_seconds")
}

func (x *exchange) recordSeconds(name string) {
	if x.admitted {
		x.api.metrics.Seconds(name, time.Since(x.start),
			port.Attr{Key: "customer", Value: string(x.r.Customer)},
			port.Attr{Key: "class", Value: x.r.Class.String()})
	}
}

// copyAnswer sends the answer to the caller, one frame at a time.
func (x *exchange) copyAnswer(ctx context.Context, a port.Answer) {
	frame, err := a.Next()
	if err != nil && !port.AnswerEnded(err) {
		x.failBeforeHead(x.api.gate.Error(ctx, verdict.FromError(err)))
		return
	}
	if h := a.Head(); x.r.Group == "" && !boundedhttp.StatusIsValid(h.Status) {
		// An agent of a build that does not check the statuses of its service.
		x.failBeforeHead(verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "service answered with the status %d", h.Status))
		return
	}
	if herr := x.writeHead(a.Head()); herr != nil {
		x.abort(herr)
		return
	}
	for err == nil {
		if x.frames == 0 {
			x.recordSeconds("masticwing_entry_first_byte_seconds")
		}
		if werr := x.sendFrame(ctx, frame); werr != nil {
			x.abort(werr)
			return
		}
		x.frames++
		frame, err = a.Next()
	}
	if !port.AnswerEnded(err) {
		x.failAfterHead(x.api.gate.Error(ctx, verdict.FromError(err)))
		return
	}
	x.writeEnd(a.Head())
}

func (x *exchange) writeHead(h port.AnswerHead) error {
	if err := x.progress.Begin(); err != nil {
		return err
	}
	if x.closeGuard.Active() {
		if err := x.closeGuard.Begin(); err != nil {
			return x.writeFailure(err)
		}
	}
	out := x.w.Header()
	out.Set("Trailer", headerVerdict)
	out.Set(headerRequest, string(x.r.ID))
	if h.Replayed {
		out.Set(headerReplayed, "true")
	}
	status := http.StatusOK
	switch {
	case x.r.Group != "":
		out.Set(headerVersion, string(h.Version))
		out.Set("Content-Type", "application/x-ndjson")
	default:
		out.Set("Content-Type", h.ContentType)
		status = h.Status
	}
	x.w.WriteHeader(status)
	return nil
}

// sendFrame writes one frame and returns once it is in the socket buffer.
func (x *exchange) sendFrame(ctx context.Context, frame []byte) error {
	if err := x.progress.Continue(); err != nil {
		return err
	}
	if len(frame) == 0 {
		return nil
	}
	if err := x.api.callerMemory.reserveFrame(ctx, x.caller, len(frame)); err != nil {
		return err
	}
	defer x.api.callerMemory.releaseFrame(x.caller)
	x.endsWithNewline = frame[len(frame)-1] == '\n'
	if _, err := x.w.Write(frame); err != nil {
		return x.writeFailure(err)
	}
	if err := x.rc.Flush(); err != nil {
		return x.writeFailure(err)
	}
	return nil
}

func (x *exchange) writeFailure(err error) error {
	if x.caller.disconnected.Load() {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeSlowCaller, "caller is the slowest over the memory bound")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
}

// abort makes serve close the connection in the middle of the response. No error can be
// sent, since a part of a frame may have been written.
func (x *exchange) abort(err error) {
	e := verdict.FromError(err)
	x.recordEnd(e.Verdict, e.Code)
	x.progress.Abort()
}

// failAfterHead ends a response after its head was sent. The answer of a group ends
// with the error as its last line. The body of a service's answer has no place for
// an error, so the connection is closed before the end of the body.
func (x *exchange) failAfterHead(e *verdict.Error) {
	if x.r.Group == "" {
		x.abort(e)
		return
	}
	x.recordEnd(e.Verdict, e.Code)
	x.end(e.Verdict, errorJSON(e, x.r.ID))
}

type endBody struct {
	End endDetail `json:"end"`
}

type endDetail struct {
	Verdict   string          `json:"verdict"`
	Version   fleet.Version   `json:"version"`
	Frames    int             `json:"frames"`
	RequestID fleet.RequestID `json:"request_id"`
}

// writeEnd ends a complete answer, that of a group with an end line.
func (x *exchange) writeEnd(h port.AnswerHead) {
	var line []byte
	if x.r.Group != "" {
		b, err := json.Marshal(endBody{endDetail{verdict.Ran.String(), h.Version, x.frames, x.r.ID}})
		if err != nil {
			x.abort(verdict.Wrap(err, verdict.Ran, verdict.CodeInternal, "encoding the end of the answer"))
			return
		}
		line = append(b, '\n')
	}
	x.recordEnd(verdict.Ran, codeOK)
	x.end(verdict.Ran, line)
}

// end completes the response with its last line, which is empty for a service, and its
// trailer. If the line cannot be written, the response stays incomplete.
func (x *exchange) end(v verdict.Verdict, lastLine []byte) {
	if x.writeLastLine(lastLine) != nil {
		return
	}
	x.w.Header().Set(headerVerdict, v.String())
	if x.closeGuard.Active() && (x.rc.Flush() != nil || x.closeGuard.End() != nil) {
		return
	}
	_ = x.progress.End()
}

// writeLastLine writes the last line of a stream, after a newline if the previous
// frame did not end with one.
func (x *exchange) writeLastLine(b []byte) error {
	if len(b) > 0 && x.frames > 0 && !x.endsWithNewline {
		b = append([]byte{'\n'}, b...)
	}
	_, err := x.w.Write(b)
	return err
}

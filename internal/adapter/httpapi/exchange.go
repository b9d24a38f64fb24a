package httpapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// codeOK is the value of the code attribute of answers without an error.
const codeOK verdict.Code = "ok"

// exchange is one request and its answer.
type exchange struct {
	api    *API
	w      http.ResponseWriter
	rc     *http.ResponseController
	r      *port.ServeRequest
	caller *caller
	start  time.Time
	known  bool
	held   int64 // bytes counted for the body
	frames int
	// newline is true if the last byte sent ends a line.
	newline bool
}

// interrupt makes a blocked write return.
func (x *exchange) interrupt() { _ = x.rc.SetWriteDeadline(time.Now()) }

// fail answers a request before the first byte.
func (x *exchange) fail(err error) {
	e := verdict.FromError(err)
	x.finish(e.Verdict, e.Code)
	if x.caller != nil && x.caller.refused {
		// An idle connection would keep its buffers.
		x.w.Header().Set("Connection", "close")
	}
	writeError(x.w, e, x.r.ID)
}

func (x *exchange) finish(v verdict.Verdict, code verdict.Code) {
	x.api.count(x.r, v, code)
	x.seconds("masticwing_entry_request_seconds")
}

func (x *exchange) seconds(name string) {
	if x.known {
		x.api.metrics.Seconds(name, time.Since(x.start),
			port.Attr{Key: "customer", Value: string(x.r.Customer)},
			port.Attr{Key: "class", Value: x.r.Class.String()})
	}
}

// copy sends the answer. It holds one frame at a time.
func (x *exchange) copy(ctx context.Context, a port.Answer) {
	frame, err := a.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		x.fail(err)
		return
	}
	x.head(a.Head())
	for err == nil {
		if x.frames == 0 {
			x.seconds("masticwing_entry_first_byte_seconds")
		}
		if werr := x.send(ctx, frame); werr != nil {
			x.cut(werr)
			return
		}
		x.frames++
		frame, err = a.Next()
	}
	if !errors.Is(err, io.EOF) {
		x.failLate(verdict.FromError(err))
		return
	}
	x.end(a.Head())
}

func (x *exchange) head(h port.AnswerHead) {
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
		if h.Status >= http.StatusOK && h.Status <= 599 {
			status = h.Status
		}
	}
	x.w.WriteHeader(status)
}

// send writes one frame and returns once the connection has taken it.
func (x *exchange) send(ctx context.Context, frame []byte) error {
	if len(frame) == 0 {
		return nil
	}
	if err := x.api.callers.beginWrite(ctx, x.caller, len(frame)); err != nil {
		return err
	}
	defer x.api.callers.endWrite(x.caller)
	x.newline = frame[len(frame)-1] == '\n'
	if _, err := x.w.Write(frame); err != nil {
		return x.writeError(err)
	}
	if err := x.rc.Flush(); err != nil {
		return x.writeError(err)
	}
	return nil
}

func (x *exchange) writeError(err error) error {
	if x.caller.ended.Load() {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeSlowCaller, "caller is the slowest over the memory bound")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
}

// cut closes the connection of a caller that did not take the answer. Nothing
// more can be sent: a part of a frame may be in the connection.
func (x *exchange) cut(err error) {
	e := verdict.FromError(err)
	x.finish(e.Verdict, e.Code)
	panic(http.ErrAbortHandler)
}

// failLate ends an answer after its first byte. A stream of lines ends with
// the error as its last line. The body of a service call has no place for an
// error, so its connection is closed before the end of the body.
func (x *exchange) failLate(e *verdict.Error) {
	if x.r.Group == "" {
		x.cut(e)
	}
	x.finish(e.Verdict, e.Code)
	x.line(errorJSON(e, x.r.ID))
	x.w.Header().Set(headerVerdict, e.Verdict.String())
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

func (x *exchange) end(h port.AnswerHead) {
	x.finish(verdict.Ran, codeOK)
	if x.r.Group != "" {
		b, err := json.Marshal(endBody{endDetail{verdict.Ran.String(), h.Version, x.frames, x.r.ID}})
		if err == nil {
			x.line(append(b, '\n'))
		}
	}
	x.w.Header().Set(headerVerdict, verdict.Ran.String())
}

// line writes the last line of a stream on a line of its own.
func (x *exchange) line(b []byte) {
	if x.frames > 0 && !x.newline {
		_, _ = x.w.Write([]byte{'\n'})
	}
	_, _ = x.w.Write(b)
}

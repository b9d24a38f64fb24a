package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// codeOK is the value of the metric attribute "code" for requests without an error.
const codeOK verdict.Code = "ok"

// exchange is one HTTP request and its response.
type exchange struct {
	api       *API
	w         http.ResponseWriter
	rc        *http.ResponseController
	r         *port.ServeRequest
	caller    *caller
	start     time.Time
	admitted  bool  // the customer is known and may be named in metrics
	bodyBytes int64 // memory reserved for the body
	frames    int
	// endsWithNewline is true if the last byte sent is a newline.
	endsWithNewline bool
}

// interrupt unblocks a write to the caller, which then fails.
func (x *exchange) interrupt() { _ = x.rc.SetWriteDeadline(time.Now()) }

// failBeforeHead sends an error as the response.
func (x *exchange) failBeforeHead(err error) {
	e := verdict.FromError(err)
	x.recordEnd(e.Verdict, e.Code)
	if x.caller != nil && x.caller.refusedForMemory {
		// Frees the buffers of the connection, which stay allocated while it is idle.
		x.w.Header().Set("Connection", "close")
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
		x.failBeforeHead(err)
		return
	}
	x.writeHead(a.Head())
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
		x.failAfterHead(verdict.FromError(err))
		return
	}
	x.writeEnd(a.Head())
}

func (x *exchange) writeHead(h port.AnswerHead) {
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

// sendFrame writes one frame and returns once it is in the socket buffer.
func (x *exchange) sendFrame(ctx context.Context, frame []byte) error {
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

// abort closes the connection in the middle of the response. No error can be sent,
// since a part of a frame may have been written.
func (x *exchange) abort(err error) {
	e := verdict.FromError(err)
	x.recordEnd(e.Verdict, e.Code)
	panic(http.ErrAbortHandler)
}

// failAfterHead ends a response after its head was sent. The answer of a group ends
// with the error as its last line. The body of a service's answer has no place for
// an error, so the connection is closed before the end of the body.
func (x *exchange) failAfterHead(e *verdict.Error) {
	if x.r.Group == "" {
		x.abort(e)
	}
	x.recordEnd(e.Verdict, e.Code)
	x.writeLastLine(errorJSON(e, x.r.ID))
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

func (x *exchange) writeEnd(h port.AnswerHead) {
	x.recordEnd(verdict.Ran, codeOK)
	if x.r.Group != "" {
		b, err := json.Marshal(endBody{endDetail{verdict.Ran.String(), h.Version, x.frames, x.r.ID}})
		if err == nil {
			x.writeLastLine(append(b, '\n'))
		}
	}
	x.w.Header().Set(headerVerdict, verdict.Ran.String())
}

// writeLastLine writes the last line of a stream, after a newline if the previous
// frame did not end with one.
func (x *exchange) writeLastLine(b []byte) {
	if x.frames > 0 && !x.endsWithNewline {
		_, _ = x.w.Write([]byte{'\n'})
	}
	_, _ = x.w.Write(b)
}

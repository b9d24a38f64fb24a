package httpapi

import (
	"context"
	"io"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/bodybuffer"
	"github.com/masticwing/masticwing/internal/adapter/callerconns"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// firstBodyBytes is the memory that is reserved at first for a body without a Content-Length. It doubles when it is
// used up.
const firstBodyBytes = bodybuffer.MinBytes

// readAdmittedBody reads the body of the request into x.r, with a limit of time. It fails as soon as new requests
// are refused, or another caller needs the connection or the memory.
func (x *exchange) readAdmittedBody() error {
	admission, interrupt := context.WithCancelCause(x.api.gate.Admission())
	defer interrupt(nil)
	_ = x.rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	unregister := context.AfterFunc(admission, func() { _ = x.rc.SetReadDeadline(time.Now()) })
	conn := callerconns.FromContext(x.hr.Context())
	conn.BodyBegins(interrupt)
	x.api.callerMemory.beginBody(x.caller, interrupt)
	body, err := x.readBody()
	conn.BodyEnds()
	if !unregister() {
		x.bodyInterrupted = true
		x.w.Header().Set("Connection", "close")
		return context.Cause(admission)
	}
	if err == nil {
		err = x.api.callerMemory.bodyArrived(x.caller)
	}
	if err != nil {
		return err
	}
	x.r.Body, x.bodyRead = body, true
	_ = x.rc.SetReadDeadline(time.Time{})
	return nil
}

// readBody reads the body of a request into memory that it reserves before. It fails if the body is longer than
// the limit.
func (x *exchange) readBody() ([]byte, error) {
	hr, memory, limit := x.hr, x.api.callerMemory, x.api.cfg.MaxBody
	tooLarge := verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body is larger than %d bytes", limit)
	if hr.ContentLength > limit {
		return nil, tooLarge
	}
	size := hr.ContentLength
	if size < 0 {
		size = min(firstBodyBytes, limit)
	}
	if err := memory.growBody(x.caller, size); err != nil {
		return nil, err
	}
	var body bodybuffer.Buffer
	defer body.Release()
	for {
		// A caller that sends single bytes makes no progress.
		n, err := readFull(hr.Body, body.Space(int(size)))
		body.Add(n)
		switch {
		case int64(body.Len()) > limit:
			return nil, tooLarge
		case err == io.EOF:
			return body.Bytes(), nil
		case err != nil:
			return nil, badRequest("body cannot be read")
		}
		memory.bodyProgress(x.caller)
		if int64(body.Len()) > size {
			grown := min(2*size, limit)
			if err := memory.growBody(x.caller, grown-size); err != nil {
				return nil, err
			}
			size = grown
		}
	}
}

// readFull reads into b until it is full, or r fails or ends. Unlike io.ReadFull it keeps the error of r: io.EOF
// is the end of a body, and io.ErrUnexpectedEOF that of its connection.
func readFull(r io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = r.Read(b[n:])
		n += m
	}
	return n, err
}

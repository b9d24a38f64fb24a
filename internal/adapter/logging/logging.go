// Package logging writes structured log lines: one for each decision about a
// request and one for each change of a process's state.
package logging

import (
	"io"
	"sync"

	"github.com/phuslu/log"

	"github.com/masticwing/masticwing/internal/port"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes JSON lines.
type Logger struct {
	l *log.Logger
	// served writes the lines about served requests, which may be dropped first.
	served *log.Logger
}

// New returns a logger that writes synchronously to w. Each line has the role and
// id of the process.
func New(w io.Writer, role, id string) *Logger {
	l := newLogger(&lockedWriter{w: w}, role, id)
	return &Logger{l, l}
}

// NewAsync returns a logger that never waits for w and drops lines that exceed a
// rate limit. The returned function writes the queued lines; it must be called
// before the process ends.
func NewAsync(w io.Writer, role, id string) (*Logger, func()) {
	b := newAsyncWriter(w, droppedLineFormatter(role, id))
	l := &Logger{
		l:      newLogger(limitedWriter{&b.otherLimit, b.other}, role, id),
		served: newLogger(limitedWriter{&b.servedLimit, b.served}, role, id),
	}
	return l, b.close
}

func newLogger(w io.Writer, role, id string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str("role", role).Str("id", id).Value(),
		Writer:     &log.IOWriter{Writer: w},
	}
}

// lockedWriter serializes writes, since any goroutine may log and not every
// writer is safe for concurrent use.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

var _ port.Log = (*Logger)(nil)

// StateChange logs a change of state, at level info.
func (l *Logger) StateChange(msg string, fields ...port.Field) { write(l.l.Info(), msg, fields) }

// Failure logs a change to a failed state, at level error.
func (l *Logger) Failure(msg string, err error, fields ...port.Field) {
	write(l.l.Error().Err(err), msg, fields)
}

// ServedRequest logs a request that was served, at level info.
func (l *Logger) ServedRequest(msg string, fields ...port.Field) { write(l.served.Info(), msg, fields) }

// FailedRequest logs a request that was not served, at level warn.
func (l *Logger) FailedRequest(msg string, fields ...port.Field) { write(l.l.Warn(), msg, fields) }

func write(e *log.Entry, msg string, fields []port.Field) {
	for _, f := range fields {
		e = e.Any(f.Key, f.Value)
	}
	e.Msg(msg)
}

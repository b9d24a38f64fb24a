// Package logging writes one line for each change of state. Everything that
// happens per request is counted in metrics instead.
package logging

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// Logger writes JSON lines.
type Logger struct{ l *log.Logger }

// New returns a logger that writes lines with the process's role and id to w.
func New(w io.Writer, role, id string) *Logger {
	return &Logger{&log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("role", role).Str("id", id).Value(),
		Writer:     &log.IOWriter{Writer: &lines{w: w}},
	}}
}

// lines writes one line at a time, since any goroutine may log and not every
// writer allows that.
type lines struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(b)
}

// Field is one key and value of a line.
type Field struct {
	Key   string
	Value any
}

// F returns a field.
func F(key string, value any) Field { return Field{key, value} }

// State logs a change of state.
func (l *Logger) State(msg string, fields ...Field) { write(l.l.Info(), msg, fields) }

// Fault logs a change to a faulty state.
func (l *Logger) Fault(msg string, err error, fields ...Field) {
	write(l.l.Error().Err(err), msg, fields)
}

// Served logs a request that was served.
func (l *Logger) Served(msg string, fields ...Field) { write(l.l.Info(), msg, fields) }

// Failed logs a request that was not served.
func (l *Logger) Failed(msg string, fields ...Field) { write(l.l.Warn(), msg, fields) }

func write(e *log.Entry, msg string, fields []Field) {
	for _, f := range fields {
		e = e.Any(f.Key, f.Value)
	}
	e.Msg(msg)
}

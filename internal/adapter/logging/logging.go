// Package logging writes one structured line for each decision that touches a
// request and for each change of what a process believes.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes JSON lines.
type Logger struct {
	l *log.Logger
	// served writes the lines on served requests.
	served *log.Logger
}

// New returns a logger that writes lines with the process's role and id to w
// before its methods return.
func New(w io.Writer, role, id string) *Logger {
	l := logger(&lines{w: w}, role, id)
	return &Logger{l, l}
}

// NewBounded returns a logger that never waits for w and drops lines beyond a
// rate. The function writes the lines that wait; it is called before the process
// ends.
func NewBounded(w io.Writer, role, id string) (*Logger, func()) {
	b := newBounded(w, dropLine(role, id))
	l := &Logger{
		l:      logger(lane{&b.allowOther, b.other}, role, id),
		served: logger(lane{&b.allowServed, b.served}, role, id),
	}
	return l, b.close
}

func logger(w io.Writer, role, id string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: timeFormat,
		Context:    log.NewContext(nil).Str("role", role).Str("id", id).Value(),
		Writer:     &log.IOWriter{Writer: w},
	}
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

// Millis returns a field with a duration in milliseconds.
func Millis(key string, d time.Duration) Field { return Field{key, d.Milliseconds()} }

// State logs a change of state.
func (l *Logger) State(msg string, fields ...Field) { write(l.l.Info(), msg, fields) }

// Fault logs a change to a faulty state.
func (l *Logger) Fault(msg string, err error, fields ...Field) {
	write(l.l.Error().Err(err), msg, fields)
}

// Served logs a request that was served.
func (l *Logger) Served(msg string, fields ...Field) { write(l.served.Info(), msg, fields) }

// Failed logs a request that was not served.
func (l *Logger) Failed(msg string, fields ...Field) { write(l.l.Warn(), msg, fields) }

func write(e *log.Entry, msg string, fields []Field) {
	for _, f := range fields {
		e = e.Any(f.Key, f.Value)
	}
	e.Msg(msg)
}

package port

import "time"

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// F returns a field with the given key and value.
func F(key string, value any) Field { return Field{key, value} }

// Millis returns a field with a duration in milliseconds.
func Millis(key string, d time.Duration) Field { return Field{key, d.Milliseconds()} }

// Log writes structured log lines: one for each decision about a request and one for each
// change of a process's state. No method waits for the output.
type Log interface {
	// StateChange logs a change of state.
	StateChange(msg string, fields ...Field)
	// Failure logs a change to a failed state.
	Failure(msg string, err error, fields ...Field)
	// ServedRequest logs a request that was served. Its lines are the first to be dropped
	// above the rate limit.
	ServedRequest(msg string, fields ...Field)
	// FailedRequest logs a request that was not served.
	FailedRequest(msg string, fields ...Field)
}

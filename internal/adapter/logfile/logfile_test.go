package logfile

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestRead guards against skipping lines that a log collector has prefixed, and
// against a malformed line that stops the parsing of a file.
func TestRead(t *testing.T) {
	const text = `  -9.9823 vm-1 {"time":"2026-01-02T08:56:58.016Z","level":"info","role":"masticwing-loader","id":"vm-1","started":1767344219909123456,"message":"regained the engine"}
goroutine 1 [running]:
{"time":"2026-01-02T08:56
{"time":"2026-01-02T08:56:59.000Z","id":"vm-2","message":"started"}
{"time":"yesterday","id":"vm-3","message":"started"}
`
	lines, err := Read(strings.NewReader(text))
	if err != nil || len(lines) != 2 {
		t.Fatalf("%d lines, %v", len(lines), err)
	}
	l := lines[0]
	if l.Process != "vm-1" || l.Role != "masticwing-loader" || l.Message != "regained the engine" || l.Time.UnixMilli() != 1767344218016 {
		t.Errorf("line %+v", l)
	}
	if n := l.Fields["started"]; len(l.Fields) != 1 || n != json.Number("1767344219909123456") {
		t.Errorf("fields %v", l.Fields)
	}
}

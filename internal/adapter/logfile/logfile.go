// Package logfile parses the log output of masticwing processes.
package logfile

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/explain"
)

// maxLineBytes limits a line. The longest ones contain an error of a few kilobytes.
const maxLineBytes = 1 << 20

// Read returns the log lines of r in their order. It ignores text before the first
// brace of a line, since log collectors add a prefix, and skips lines that are not
// log lines of masticwing.
func Read(r io.Reader) ([]explain.Line, error) {
	var out []explain.Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes()); ok {
			out = append(out, l)
		}
	}
	return out, errors.Wrap(s.Err(), "reading log lines")
}

func parseLine(b []byte) (explain.Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return explain.Line{}, false
	}
	d := json.NewDecoder(bytes.NewReader(b[start:]))
	d.UseNumber() // float64 would round identifiers of more than 53 bits
	l := explain.Line{}
	if d.Decode(&l.Fields) != nil {
		return l, false
	}
	takeString := func(field string) string {
		s, _ := l.Fields[field].(string)
		delete(l.Fields, field)
		return s
	}
	l.Role, l.Process, l.Message = takeString("role"), takeString("id"), takeString("message")
	takeString("level")
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, takeString("time"))
	return l, err == nil && l.Message != ""
}

package eventstream

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrNotEvents means that a stream has a line that is neither a field nor a comment. A
// target that breaks off within a chunk may send the head of another response, or the
// text of an error, where the rest of the chunk is due.
var ErrNotEvents = errors.New("stream has bytes that are no events")

// standardFields are the fields of server-sent events, which need no colon.
var standardFields = map[string]bool{"data": true, "id": true, "event": true, "retry": true}

// httpFields are fields of HTTP heads that servers commonly write in lower case. They
// cannot be told from other fields of an event by their form.
var httpFields = map[string]bool{
	"connection": true, "content-length": true, "content-type": true, "date": true, "keep-alive": true, "server": true,
	"transfer-encoding": true,
}

// checkLines returns ErrNotEvents unless all lines of a block are comments or fields. The
// names of fields that targets add to events, such as weight-versions, are in lower case,
// as opposed to those of HTTP heads. Values may be any text.
func checkLines(block []byte) error {
	for line := range bytes.Lines(bytes.TrimPrefix(block, byteOrderMark)) {
		name, _, hasColon := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch {
		case len(name) == 0, standardFields[string(name)]:
			// An empty name is that of a comment or a blank line.
		case !hasColon, httpFields[string(name)], !isFieldName(name):
			return ErrNotEvents
		}
	}
	return nil
}

// isFieldName reports whether a name consists of lower-case letters, digits, hyphens and
// underscores.
func isFieldName(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' && b != '_' {
			return false
		}
	}
	return true
}

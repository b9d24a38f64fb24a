package eventstream

import (
	"errors"
	"testing"
)

// TestBytesThatAreNoEvents guards against the head of another response, the text of an
// error or a page that reaches the caller within a stream, where a target broke off.
func TestBytesThatAreNoEvents(t *testing.T) {
	const before = "id: 1\ndata: a\n\n"
	for name, rest := range map[string]string{
		"head":                       "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"head behind a field":        "id: 2\nHTTP/1.1 500 Internal Server Error\r\n\r\n",
		"head in a field name":       "id: 2\ndaHTTP/1.1 500 Internal Server Error\r\n\r\n",
		"head in data":               "id: 2\ndata: bHTTP/1.1 500 Internal Server Error\r\nRequest-Id: r\r\n\r\n",
		"lower-case head in data":    "id: 2\ndata: bHTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
		"page":                       "<html>\n\n",
		"JSON":                       "{\"error\": \"x\"}\n\n",
		"text":                       "failed\n\n",
		"text behind an event":       "id: 2\ndata: b\ninternal error\n\n",
		"text with a colon":          "internal error: x\n\n",
		"binary":                     "id: 2\n\x00\x01: x\n\n",
		"size of a chunk":            "1f\r\nid: 2\ndata: b\n\n",
		"head in front of the event": "HTTP/1.1 200 OK\nid: 2\ndata: b\n\n",
	} {
		s := New("")
		if b, err := s.Push([]byte(before + rest)); !errors.Is(err, ErrNotEvents) || string(b) != before {
			t.Errorf("%s: %q, %v", name, b, err)
		}
	}
}

// TestLinesOfEvents guards against a target's events that are taken for other bytes.
func TestLinesOfEvents(t *testing.T) {
	for _, block := range []string{
		"id: 1\ndata: a\n\n", "id:1\r\ndata:a\r\n\r\n", "\n", ": comment\n\n", ":\n\n", "data\n\n", "event: x\nretry: 5\ndata\n\n",
		"weight-versions: 3\nid: 1\ndata: a\n\n", "data: HTTP/1.1 500 Internal Server Error\ndata: Content-Length: 0\n\n",
		"\xef\xbb\xbfid: 1\ndata: a\n\n", "data: <html>\ndata: {\"a\": 1}\n\n", "x_1: y\ndata: z\n\n",
	} {
		s := New("")
		if _, err := s.Push([]byte(block)); err != nil {
			t.Errorf("%q: %v", block, err)
		}
	}
}

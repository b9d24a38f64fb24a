package response

import "bytes"

var (
	protocolName = []byte("HTTP/")
	// statusLineForm is the start of a status line; a 0 stands for any digit.
	statusLineForm = []byte("HTTP/0.0 000")
)

// HeadScanner looks for a second status line in the head of one response, with the interim
// responses before it. A sender that stops within a line of a head and sends another response
// on the same connection leaves the second status line in a field or in the reason phrase of
// the first. Read as one head, the two have the status of the first and the body of the
// second. The zero value is at the start of a head.
type HeadScanner struct {
	// line holds the bytes of the current line.
	line []byte
	// lines is the number of complete lines of the current head.
	lines     int
	isInterim bool
	done      bool
}

// Push scans the next bytes of a connection, up to the end of the head, and reports whether
// there is a second status line.
func (s *HeadScanner) Push(b []byte) (found bool) {
	for len(b) > 0 && !s.done {
		part, rest, ended := bytes.Cut(b, []byte("\n"))
		if s.pushLine(part) {
			return true
		}
		if ended {
			s.endLine()
		}
		b = rest
	}
	return false
}

// pushLine adds bytes to the current line and searches those that were not searched before.
func (s *HeadScanner) pushLine(part []byte) (found bool) {
	from := max(0, len(s.line)-len(statusLineForm)+1)
	if s.lines == 0 {
		// The response's own status line is at the start.
		from = max(from, 1)
	}
	s.line = append(s.line, part...)
	return containsStatusLine(s.line[min(from, len(s.line)):])
}

func (s *HeadScanner) endLine() {
	isBlank := len(bytes.TrimSuffix(s.line, []byte("\r"))) == 0
	switch {
	case isBlank && s.isInterim:
		s.lines, s.isInterim = 0, false
	case isBlank:
		s.done, s.line = true, nil
		return
	default:
		if s.lines == 0 {
			const firstDigit = len("HTTP/0.0 ")
			s.isInterim = len(s.line) > firstDigit && s.line[firstDigit] == '1'
		}
		s.lines++
	}
	s.line = s.line[:0]
}

func containsStatusLine(b []byte) bool {
	for {
		n := bytes.Index(b, protocolName)
		if n < 0 {
			return false
		}
		if startsWithStatusLine(b[n:]) {
			return true
		}
		b = b[n+1:]
	}
}

func startsWithStatusLine(b []byte) bool {
	if len(b) < len(statusLineForm) {
		return false
	}
	for i, f := range statusLineForm {
		isDigit := b[i] >= '0' && b[i] <= '9'
		if f == '0' && !isDigit || f != '0' && b[i] != f {
			return false
		}
	}
	return true
}

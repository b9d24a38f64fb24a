package response

import "testing"

// TestSecondStatusLine guards against the head of another response within a head, and against
// heads and bodies that are refused because they name the protocol.
func TestSecondStatusLine(t *testing.T) {
	const ok, failed = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Internal Server Error\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	for text, want := range map[string]bool{
		ok + "Connection: c" + failed: true, ok + "Content-Length: 1" + failed: true, ok + failed: true, "HTTP/1.1 200 O" + failed: true,
		"HTTP/" + failed: true, interim + ok + "X: " + failed: true, interim[:30] + ok: true, "x" + ok: true, ok + "X: HTTP/1.0 200": true,
		"": false, ok + "Via: HTTP/1.1 proxy\r\n\r\n": false, interim + interim + ok + "\r\n": false, ok + "X: HTTP/1.1 50\r\n\r\n": false,
		ok + "X: HTTP/11 500\r\n\r\n": false, ok + "X: HTTP/1.1  500\r\n\r\n": false, ok + "\r\n" + failed: false, ok + "\n" + failed: false,
		ok + "X: 1\r\n\r\n" + ok + "X: " + failed: false,
	} {
		for _, piece := range []int{1, 2, 7, 1000} {
			var s HeadScanner
			got := false
			for rest := []byte(text); len(rest) > 0 && !got; rest = rest[min(piece, len(rest)):] {
				got = s.Push(rest[:min(piece, len(rest))])
			}
			if got != want {
				t.Errorf("%q in pieces of %d bytes: %v", text, piece, got)
			}
		}
	}
}

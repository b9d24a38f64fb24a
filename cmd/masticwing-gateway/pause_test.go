package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestPausedStreamKeepsItsPlace guards against a sound stream that is given up for a pause although no other target
// accepts the request, or before one has sent an event, and against events that come twice when both targets go on.
func TestPausedStreamKeepsItsPlace(t *testing.T) {
	const pause = 2 * time.Second
	for name, c := range map[string]struct {
		other func(c net.Conn, id string)
		body  string
	}{
		"other target is full": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, head("503 Service Unavailable", "b", id, "Not-Executed: 1", "Content-Length: 0"))
		}, runEvents("a", 1, 4)},
		"other target fails": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, head("500 Internal Server Error", "b", id, "Content-Length: 0"))
		}, runEvents("a", 1, 4)},
		"other target accepts": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, head("200 OK", "b", id, stream, chunked)+chunk(runEvents("b", 3, 4))+"0\r\n\r\n")
		}, runEvents("a", 1, 2) + runEvents("b", 3, 4)},
		"other target accepts later": {func(c net.Conn, id string) {
			time.Sleep(pause)
			_, _ = io.WriteString(c, head("200 OK", "b", id, stream, chunked)+chunk(runEvents("b", 3, 4))+"0\r\n\r\n")
		}, runEvents("a", 1, 4)},
		"other target sends its first event later": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, head("200 OK", "b", id, stream, chunked)+chunk("id: 3\nda"))
			time.Sleep(pause)
			_, _ = io.WriteString(c, chunk("ta: b3\n\n"+runEvents("b", 4, 4))+"0\r\n\r\n")
		}, runEvents("a", 1, 4)},
		"other target breaks off before an event": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, head("200 OK", "b", id, stream, chunked)+chunk("id: 3\nda"))
			_ = c.Close()
		}, runEvents("a", 1, 4)},
		"other target repeats events": {func(c net.Conn, id string) {
			_, _ = io.WriteString(c, head("200 OK", "b", id, stream, chunked)+chunk(runEvents("b", 2, 4))+"0\r\n\r\n")
		}, runEvents("a", 1, 4)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var offers atomic.Int64
			a := startRawTarget(t, func(conn net.Conn, r *http.Request) {
				id := r.Header.Get("Request-Id")
				_, _ = io.WriteString(conn, head("200 OK", "a", id, stream, chunked)+chunk(runEvents("a", 1, 2)))
				time.Sleep(pause)
				_, _ = io.WriteString(conn, chunk(runEvents("a", 3, 4))+"0\r\n\r\n")
			})
			b := startRawTarget(t, func(conn net.Conn, r *http.Request) {
				offers.Add(1)
				c.other(conn, r.Header.Get("Request-Id"))
			})
			_, body, err := call(t, startGateway(t, a, b), "1", "1.1")
			if err != nil || body != c.body {
				t.Errorf("body %q, %v; want %q", strings.ReplaceAll(body, "\n", " "), err, strings.ReplaceAll(c.body, "\n", " "))
			}
			if n := offers.Load(); n != 1 {
				t.Errorf("the other target was asked %d times", n)
			}
		})
	}
}

// TestBrokenStreamContinuesWithSuccessor guards against a stream that is cut although another target was asked while
// its own paused: the own one breaks off before the other one's first event.
func TestBrokenStreamContinuesWithSuccessor(t *testing.T) {
	a := startRawTarget(t, func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, head("200 OK", "a", r.Header.Get("Request-Id"), stream, chunked)+chunk(runEvents("a", 1, 2)))
		time.Sleep(1600 * time.Millisecond)
		_ = conn.Close()
	})
	b := startRawTarget(t, func(conn net.Conn, r *http.Request) {
		time.Sleep(800 * time.Millisecond)
		_, _ = io.WriteString(conn, head("200 OK", "b", r.Header.Get("Request-Id"), stream, chunked)+chunk(runEvents("b", 3, 4))+"0\r\n\r\n")
	})
	_, body, err := call(t, startGateway(t, a, b), "1", "1.1")
	if want := runEvents("a", 1, 2) + runEvents("b", 3, 4); err != nil || body != want {
		t.Errorf("body %q, %v", body, err)
	}
}

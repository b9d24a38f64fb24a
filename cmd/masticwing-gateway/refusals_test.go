package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// startRawTarget starts a target that calls answer for each request.
func startRawTarget(t *testing.T, answer func(c net.Conn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer(c, req)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// callUnsafe sends a request of the unsafe route and returns the status and the body.
func callUnsafe(t *testing.T, addr, id string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/u/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(b)
}

// TestRepeatedRefusalOfSameRequest guards against a refusal that is taken once more for
// the next attempt of the same request: an address that another instance has taken over
// is registered twice, so that the request is sent there twice with the same id.
func TestRepeatedRefusalOfSameRequest(t *testing.T) {
	var runs atomic.Int64
	refusal := func(id string) string { return head("421 Misdirected Request", "b", id, "Content-Length: 0") }
	x := startRawTarget(t, func(c net.Conn, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if r.Header.Get("Expect-Instance") != "b" {
			_, _ = io.WriteString(c, refusal(id))
			time.Sleep(20 * time.Millisecond)
			// Arrives when the next response on this connection is due.
			_, _ = io.WriteString(c, refusal(id))
			return
		}
		runs.Add(1)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, head("200 OK", "b", id, "Content-Length: 2")+"ok")
	})
	addr := startGateway(t, x, x)
	if status, body := callUnsafe(t, addr, "1"); status != http.StatusOK || body != "ok" || runs.Load() != 1 {
		t.Errorf("status %d, %q, %d runs", status, body, runs.Load())
	}
}

// TestStrayRefusalDoesNotRepeatRequest guards against a request that runs at one target
// and is refused, or runs at a second one, because of an earlier refusal on the
// connection to the first.
func TestStrayRefusalDoesNotRepeatRequest(t *testing.T) {
	for name, lines := range map[string][]string{
		"with its id": {"HTTP/1.1 503 Service Unavailable", "Request-Id: 1"}, "without an id": {"HTTP/1.1 503 Service Unavailable"},
		"other instance": {"HTTP/1.1 421 Misdirected Request"}, "without an id, 429": {"HTTP/1.1 429 Too Many Requests"},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			stray := ""
			for _, l := range append(lines, "Not-Executed: 1", "Content-Length: 0", "", "") {
				stray += l + "\r\n"
			}
			stray = stray[:len(stray)-len("\r\n")]
			answer := func(name string, stray string) func(c net.Conn, r *http.Request) {
				return func(c net.Conn, r *http.Request) {
					id := r.Header.Get("Request-Id")
					runs.Add(1)
					if id == "2" {
						_, _ = io.WriteString(c, stray)
						time.Sleep(100 * time.Millisecond)
					}
					_, _ = io.WriteString(c, head("200 OK", name, id, fmt.Sprintf("Content-Length: %d", len(name)))+name)
				}
			}
			addr := startGateway(t, startRawTarget(t, answer("a", stray)), startRawTarget(t, answer("b", "")))
			for _, id := range []string{"1", "2"} {
				if status, body := callUnsafe(t, addr, id); status != http.StatusOK || body != "a" {
					t.Errorf("request %s: status %d, %q", id, status, body)
				}
			}
			if runs.Load() != 2 {
				t.Errorf("2 requests ran %d times", runs.Load())
			}
		})
	}
}

// TestPromiseNeedsRefusal guards against a status that promises callers that their request
// has not run, passed on for a request that may run only once from a target that does not
// state so. Other statuses are the target's to give.
func TestPromiseNeedsRefusal(t *testing.T) {
	for status, want := range map[string]int{
		"408 Request Timeout": 502, "429 Too Many Requests": 502, "503 Service Unavailable": 502,
		"500 Internal Server Error": 500, "504 Gateway Timeout": 504, "404 Not Found": 404, "400 Bad Request": 400,
	} {
		var runs atomic.Int64
		target := startRawTarget(t, func(c net.Conn, r *http.Request) {
			runs.Add(1)
			_, _ = io.WriteString(c, head(status, "a", r.Header.Get("Request-Id"), "Content-Length: 5")+"body\n")
		})
		addr := startGateway(t, target, target)
		if got, body := callUnsafe(t, addr, "1"); got != want || runs.Load() != 1 {
			t.Errorf("%s: status %d, %q, %d runs", status, got, body, runs.Load())
		}
	}
}

// Package straytest has servers for tests of HTTP clients that send a response once
// more on a kept connection, or break it off, as faulty peers do.
package straytest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// MalformedStatuses are statuses of a response that no caller may get as an answer: out of range, or no three
// digits.
var MalformedStatuses = []string{"000", "099", "600", "999", "abc", "20"}

// Start starts a server that answers its first request with first and all others with
// later. If the connection has carried a request before, first is sent once more in front
// of later. Both are encoded responses.
func Start(t testing.TB, first, later string) fleet.Address {
	t.Helper()
	var requests atomic.Int64
	return start(t, func(c net.Conn, reused bool) {
		response := later
		switch {
		case requests.Add(1) == 1:
			response = first
		case reused:
			response = first + later
		}
		_, _ = io.WriteString(c, response)
	})
}

// IdleTime is the time that a client of StartIdle has to leave between two requests.
const IdleTime = 60 * time.Millisecond

// StartIdle starts a server that answers its first request with first, which it sends once
// more while the connection is idle, and all others with later.
func StartIdle(t testing.TB, first, later string) fleet.Address {
	t.Helper()
	var requests atomic.Int64
	return start(t, func(c net.Conn, _ bool) {
		if requests.Add(1) > 1 {
			_, _ = io.WriteString(c, later)
			return
		}
		_, _ = io.WriteString(c, first)
		time.Sleep(IdleTime / 6)
		_, _ = io.WriteString(c, first)
	})
}

// start starts a server that calls answer for each request. reused means that the
// connection has carried another one.
func start(t testing.TB, answer func(c net.Conn, reused bool)) fleet.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for reused := false; ; reused = true {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			answer(c, reused)
		}
	}
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			// It ends with the client's connection, which may outlive the test.
			go serve(c)
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return fleet.Address(l.Addr().String())
}

package headerlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// server is an HTTP server whose limit may change.
type server struct {
	addr              string
	limit             atomic.Int64
	requests, refused atomic.Int32
}

func newServer(t *testing.T, limit int64) *server {
	s := &server{}
	s.limit.Store(limit)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	}))
	srv.Listener = &Listener{srv.Listener, func() int { return int(s.limit.Load()) }, func() { s.refused.Add(1) }}
	srv.Config.ConnState = OnStateChange
	srv.Start()
	t.Cleanup(srv.Close)
	s.addr = srv.Listener.Addr().String()
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

const requestLine = "POST / HTTP/1.1\r\n"

// fields returns the fields of a request, n bytes long.
func fields(n, body int) string {
	s := fmt.Sprintf("Host: x\r\nContent-Length: %d\r\nX-Filler: ", body)
	return s + strings.Repeat("f", n-len(s)-2) + "\r\n"
}

// TestLongHeaderIsRefused guards against callers whose headers take the memory of a process.
func TestLongHeaderIsRefused(t *testing.T) {
	const limit = 1 << 10
	for name, part := range map[string]string{
		"fields":           requestLine + fields(limit+1, 0) + "\r\n",
		"unfinished field": requestLine + "Host: x\r\nX-Filler: " + strings.Repeat("f", 200<<10),
		"request line":     "GET /" + strings.Repeat("p", limit),
		"carriage returns": requestLine + "Host: x\r\n" + strings.Repeat("\r", limit+2),
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, limit)
			c := s.dial(t)
			// The server may have closed the connection before all is written.
			_, _ = io.WriteString(c, part)
			b, err := io.ReadAll(c)
			if err != nil || string(b) != refusal {
				t.Errorf("response %q, %v; want %q and the end of the connection", b, err, refusal)
			}
			if s.requests.Load() != 0 || s.refused.Load() != 1 {
				t.Errorf("%d requests served, %d refused", s.requests.Load(), s.refused.Load())
			}
		})
	}
}

// TestHeaderWithinLimit guards against a request within the limit that is refused: on a kept connection, with a
// body that is longer than the limit, or after the limit was raised.
func TestHeaderWithinLimit(t *testing.T) {
	const limit = 1 << 10
	s := newServer(t, limit)
	c := s.dial(t)
	r := bufio.NewReader(c)
	for i, size := range []int{limit, 200, limit, 2 * limit, 100} {
		if size > limit {
			s.limit.Store(int64(size))
		}
		body := strings.Repeat("b", i*3000)
		if _, err := io.WriteString(c, requestLine+fields(size, len(body))+"\r\n"+body); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != http.StatusOK || string(b) != body {
			t.Errorf("%d bytes of fields: status %d, body of %d bytes, %v", size, res.StatusCode, len(b), err)
		}
	}
}

// TestCountIsIndependentOfReads guards against a header that is counted wrongly because of how it is split over reads,
// and against bytes of the body that are counted.
func TestCountIsIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		line := rapid.StringMatching(`[A-Z]{1,5} /[a-z/]{0,30} HTTP/1\.1`).Draw(t, "line") + end
		var all string
		for range rapid.IntRange(0, 5).Draw(t, "number of fields") {
			all += rapid.StringMatching(`[A-Za-z]{1,9}: [ -~]{0,40}`).Draw(t, "field") + end
		}
		request := line + all + end + rapid.String().Draw(t, "body")
		h := header{reading: true}
		for rest := request; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			h.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if h.reading || h.lineBytes != len(line) || h.fieldBytes != len(all) {
			t.Fatalf("%+v, want a line of %d bytes and fields of %d", h, len(line), len(all))
		}
	})
}

package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// idleCaller keeps a connection open on which no answer is expected.
type idleCaller struct {
	conn net.Conn
	in   *bufio.Reader
}

// idleCallers connects n callers. Every third one has sent nothing yet, the
// rest have had one answer.
func idleCallers(t *testing.T, addr string, n int) []idleCaller {
	t.Helper()
	all := make([]idleCaller, n)
	for i := range all {
		var c net.Conn
		var err error
		if i%3 == 0 {
			c, err = net.Dial("tcp", addr)
		} else {
			c = dial(t, addr)
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		all[i] = idleCaller{c, bufio.NewReader(c)}
		if i%3 == 0 {
			continue
		}
		if status, v, err := all[i].answer(); status != http.StatusOK || v != "ran" {
			t.Fatalf("first answer: %d %q %v", status, v, err)
		}
	}
	return all
}

// answer reads a whole answer.
func (c idleCaller) answer() (status int, verdict string, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", err
	}
	if verdict = res.Trailer.Get(headerVerdict); verdict != "" {
		return res.StatusCode, verdict, nil
	}
	var e errorBody
	if err := json.Unmarshal(b, &e); err != nil || string(e.Error.Code) != "shutting_down" || e.Error.Verdict != res.Header.Get(headerVerdict) {
		return 0, "", fmt.Errorf("status %d, headers %v, body %q: %w", res.StatusCode, res.Header, b, err)
	}
	if !res.Close || res.Header.Get(headerRequest) == "" {
		return 0, "", fmt.Errorf("headers %v, close %v", res.Header, res.Close)
	}
	return res.StatusCode, res.Header.Get(headerVerdict), nil
}

// TestIdleConnectionsEndWithAVerdict guards against a request that gets no
// verdict, or runs, because its caller sends it at the moment in which a
// stopping entry closes the idle connection.
func TestIdleConnectionsEndWithAVerdict(t *testing.T) {
	const callers, window = 300, 3 * time.Millisecond
	var ran atomic.Int32
	api, addr := listen(t, plain, backend(&ran, io.EOF, "a\n"))
	all := idleCallers(t, addr, callers)
	before := ran.Load()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	start := make(chan struct{})
	var silent, crossed atomic.Int32
	var wg conc.WaitGroup
	for i, c := range all {
		delay, gap := time.Duration(rnd.Int64N(int64(window))), time.Duration(rnd.Int64N(int64(window)))
		wg.Go(func() {
			<-start
			time.Sleep(delay)
			// A write fails once the connection has closed; the answer is there.
			_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: resort\r\nContent-Length: 2\r\n", groupPath, headerCustomer)
			if i%2 == 0 {
				time.Sleep(gap)
			}
			_, _ = io.WriteString(c.conn, "\r\n{}")
			status, v, err := c.answer()
			if status == http.StatusRequestTimeout {
				crossed.Add(1)
			}
			if v != "not-run" {
				silent.Add(1)
				t.Logf("caller %d: status %d, verdict %q, %v", i, status, v, err)
			}
		})
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = api.Drain(canceled)
	close(start)
	last, cancelLast := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancelLast()
	api.Close(last)
	wg.Wait()
	t.Logf("%d of %d requests crossed the close", crossed.Load(), callers)
	if n := silent.Load(); n > 0 {
		t.Errorf("%d of %d callers got no verdict", n, callers)
	}
	if n := ran.Load() - before; n != 0 {
		t.Errorf("%d requests ran after the drain began", n)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = c.Close()
		t.Error("the address still accepts callers")
	}
}

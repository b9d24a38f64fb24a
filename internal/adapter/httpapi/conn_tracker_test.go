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

// idleCaller has an open connection on which no response is pending.
type idleCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// idleCallers connects n callers. Every third one has sent nothing; the others have
// received one response.
func idleCallers(t *testing.T, addr string, n int) []idleCaller {
	t.Helper()
	all := make([]idleCaller, n)
	for i := range all {
		var c net.Conn
		var err error
		if i%3 == 0 {
			c, err = net.Dial("tcp", addr)
		} else {
			c = sendRequest(t, addr)
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		all[i] = idleCaller{c, bufio.NewReader(c)}
		if i%3 == 0 {
			continue
		}
		if status, v, err := all[i].readResponse(); status != http.StatusOK || v != "ran" {
			t.Fatalf("first answer: %d %q %v", status, v, err)
		}
	}
	return all
}

// readResponse reads a complete response and returns its status and verdict.
func (c idleCaller) readResponse() (status int, verdict string, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(c.reader, nil)
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

// TestShutdownRefusesOnOpenConnections guards against a caller of net/http whose request fails
// without a verdict because the entry that shuts down has closed the idle connection.
func TestShutdownRefusesOnOpenConnections(t *testing.T) {
	var ran atomic.Int32
	api, addr := listen(t, defaultConfig, backend(&ran, io.EOF, "a\n"))
	all := idleCallers(t, addr, 30)
	before := ran.Load()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := api.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	wg.Go(func() { api.Close(ctx) })
	waitUntil(t, "the listener is closed", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	for i, c := range all {
		_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: resort\r\nContent-Length: 2\r\n\r\n{}", groupPath, headerCustomer)
		if status, v, err := c.readResponse(); status != http.StatusServiceUnavailable || v != "not-run" || err != nil {
			t.Errorf("caller %d: status %d, verdict %q, %v", i, status, v, err)
		}
		_ = c.conn.Close()
	}
	wg.Wait()
	if n := ran.Load() - before; n != 0 {
		t.Errorf("%d requests ran after the drain began", n)
	}
}

// TestShutdownOfIdleConnections guards against a request that gets no verdict, or
// runs, because its caller sends it at the moment at which an entry that shuts down
// closes the idle connection.
func TestShutdownOfIdleConnections(t *testing.T) {
	const callers, window = 300, 3 * time.Millisecond
	var ran atomic.Int32
	api, addr := listen(t, defaultConfig, backend(&ran, io.EOF, "a\n"))
	api.settleTime = 0 // so that the requests meet the close
	all := idleCallers(t, addr, callers)
	before := ran.Load()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	start := make(chan struct{})
	var withoutVerdict, timedOut atomic.Int32
	var wg conc.WaitGroup
	for i, c := range all {
		delay, pause := time.Duration(rnd.Int64N(int64(window))), time.Duration(rnd.Int64N(int64(window)))
		wg.Go(func() {
			<-start
			time.Sleep(delay)
			// The write may fail because the connection is closed; the final response
			// has arrived in this case.
			_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: x\r\n%s: resort\r\nContent-Length: 2\r\n", groupPath, headerCustomer)
			if i%2 == 0 {
				time.Sleep(pause)
			}
			_, _ = io.WriteString(c.conn, "\r\n{}")
			status, v, err := c.readResponse()
			if status == http.StatusRequestTimeout {
				timedOut.Add(1)
			}
			if v != "not-run" {
				withoutVerdict.Add(1)
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
	t.Logf("%d of %d requests got the final response", timedOut.Load(), callers)
	if n := withoutVerdict.Load(); n > 0 {
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

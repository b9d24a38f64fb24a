package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// fakeBackend admits requests with fixed results and serves them with a function.
type fakeBackend struct {
	admit  error
	limits port.RequestLimits
	serve  func(ctx context.Context, r port.ServeRequest) (port.Answer, error)
}

func (b *fakeBackend) Admit(port.ServeRequest) (port.RequestLimits, error) { return b.limits, b.admit }

func (b *fakeBackend) Serve(ctx context.Context, r port.ServeRequest, begin func() error) (port.Answer, error) {
	if err := begin(); err != nil {
		return nil, err
	}
	return b.serve(ctx, r)
}

// fakeAnswer returns the frames and errors of next, which gets the index of the
// frame.
type fakeAnswer struct {
	head   port.AnswerHead
	next   func(i int) ([]byte, error)
	i      int
	closed *atomic.Int32
}

func (a *fakeAnswer) Head() port.AnswerHead { return a.head }

func (a *fakeAnswer) Next() ([]byte, error) {
	a.i++
	return a.next(a.i - 1)
}

func (a *fakeAnswer) Close() error {
	a.closed.Add(1)
	return nil
}

// backend returns a backend whose answers consist of pieces and end with err.
func backend(closed *atomic.Int32, err error, pieces ...string) *fakeBackend {
	return &fakeBackend{serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
		return &fakeAnswer{head: port.AnswerHead{Version: "v1", ContentType: "text/plain", Status: 201}, closed: closed,
			next: func(i int) ([]byte, error) {
				if i < len(pieces) {
					return []byte(pieces[i]), nil
				}
				return nil, err
			}}, nil
	}}
}

// endless returns a backend whose answers never end.
func endless(closed *atomic.Int32) *fakeBackend {
	frame := []byte(strings.Repeat("x", 2047) + "\n")
	return &fakeBackend{serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
		return &fakeAnswer{closed: closed, next: func(int) ([]byte, error) { return frame, nil }}, nil
	}}
}

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

// listen serves an API on loopback and returns its address.
func listen(t *testing.T, cfg Config, b port.EntryHandler) (*API, string) {
	t.Helper()
	return listenWithMetrics(t, cfg, b, noMetrics{})
}

// endCounter counts the requests that have ended, including refused ones.
type endCounter struct {
	noMetrics
	ended *atomic.Int32
}

func (c endCounter) Count(name string, n int64, _ ...port.Attr) {
	if name == "masticwing_entry_verdicts_total" {
		c.ended.Add(int32(n))
	}
}

func listenWithMetrics(t *testing.T, cfg Config, b port.EntryHandler, m port.Metrics) (*API, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := New(cfg, b, m)
	var wg conc.WaitGroup
	wg.Go(func() { _ = a.Serve(lis) })
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		a.Close(ctx)
		wg.Wait()
	})
	return a, lis.Addr().String()
}

var defaultConfig = Config{Memory: 32 << 20, MaxBody: 1 << 10}

const (
	groupPath   = "/v1/groups/g/generate"
	servicePath = "/v1/services/s/call/read"
)

func post(t *testing.T, addr, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest("POST", "http://"+addr+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerCustomer, "resort")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

// TestAnswerFormat guards against a response that does not tell the caller its
// verdict or version, or whether it is complete.
func TestAnswerFormat(t *testing.T) {
	lostError := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")
	closedError := verdict.Wrap(io.EOF, verdict.MayHaveRun, verdict.CodeTargetLost, "closed")
	for _, c := range []struct {
		path      string
		err       error
		pieces    []string
		status    int
		body      string
		trailer   string
		truncated bool
	}{
		{groupPath, io.EOF, []string{"a\n", "b"}, 200, "a\nb\n{\"end\":{\"verdict\":\"ran\",\"version\":\"v1\",\"frames\":2,", "ran", false},
		{groupPath, lostError, []string{"a"}, 200, "a\n{\"error\":{\"code\":\"target_lost\",", "may-have-run", false},
		{groupPath, lostError, nil, 502, "{\"error\":{\"code\":\"target_lost\",", "", false},
		{servicePath, io.EOF, []string{"a", "b"}, 201, "ab", "ran", false},
		{servicePath, lostError, []string{"a"}, 201, "a", "", true},
		{groupPath, closedError, []string{"a\n"}, 200, "a\n{\"error\":{\"code\":\"target_lost\",", "may-have-run", false},
		{groupPath, closedError, nil, 502, "{\"error\":{\"code\":\"target_lost\",", "", false},
		{servicePath, closedError, []string{"a"}, 201, "a", "", true},
	} {
		var closed atomic.Int32
		_, addr := listen(t, defaultConfig, backend(&closed, c.err, c.pieces...))
		res, body, err := post(t, addr, c.path, "{}")
		if res.StatusCode != c.status || !strings.HasPrefix(body, c.body) || res.Trailer.Get(headerVerdict) != c.trailer || (err != nil) != c.truncated {
			t.Errorf("%s, %v: status %d, body %q, trailer %v, %v", c.path, c.err, res.StatusCode, body, res.Trailer, err)
		}
		if closed.Load() != 1 {
			t.Errorf("answer was closed %d times", closed.Load())
		}
	}
}

// TestRefusals guards against input above its limit that is accepted, and against
// an error that a program cannot parse.
func TestRefusals(t *testing.T) {
	var closed atomic.Int32
	api, addr := listen(t, defaultConfig, backend(&closed, io.EOF))
	for _, c := range []struct {
		path, body string
		headers    []string
		status     int
		code       string
	}{
		{"/v1/nothing", "", nil, 404, "bad_request"},
		{"/v1/groups/" + strings.Repeat("g", 200) + "/generate", "{}", nil, 400, "bad_request"},
		{groupPath, "{}", []string{headerCustomer, ""}, 400, "bad_request"},
		{groupPath, "{}", []string{headerClass, "urgent"}, 400, "bad_request"},
		{groupPath, "{}", []string{headerTimeout, "0"}, 400, "bad_request"},
		{groupPath, "{}", []string{headerIdempotencyKey, "6ba7b810-9dad-11d1-80b4-00c04fd430c8"}, 400, "bad_request"},
		{groupPath, "not json", nil, 400, "bad_request"},
		{servicePath, strings.Repeat("x", 1025), nil, 413, "too_large"},
	} {
		res, body, _ := post(t, addr, c.path, c.body, c.headers...)
		var e errorBody
		if err := json.Unmarshal([]byte(body), &e); err != nil {
			t.Errorf("%s: body %q: %v", c.path, body, err)
		}
		if res.StatusCode != c.status || string(e.Error.Code) != c.code || e.Error.Verdict != "not-run" || res.Header.Get(headerVerdict) != "not-run" {
			t.Errorf("%s %v: status %d, body %q, headers %v", c.path, c.headers, res.StatusCode, body, res.Header)
		}
	}
	if res, _, _ := post(t, addr, servicePath, strings.Repeat("x", 1024)); res.StatusCode != 201 {
		t.Errorf("body of the largest size: status %d", res.StatusCode)
	}
	if api.BytesHeld() != 0 {
		t.Errorf("%d bytes held at the end", api.BytesHeld())
	}
}

// sendWithoutReading sends a request on a connection with a small receive buffer.
func sendWithoutReading(t *testing.T, addr string) net.Conn {
	t.Helper()
	c := sendRequest(t, addr)
	if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	return c
}

// sendRequest sends a request on a new connection.
func sendRequest(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%s: resort\r\nContent-Length: 2\r\n\r\n{}", groupPath, headerCustomer)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func waitUntil(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not reached: %s", condition)
}

// TestMemoryOfSlowCallers guards against callers that read nothing and fill the
// entry's memory, and against an effect of such callers on others.
func TestMemoryOfSlowCallers(t *testing.T) {
	const bound, slow = 1 << 20, 60
	var closed, ended atomic.Int32
	api, addr := listenWithMetrics(t, Config{Memory: bound, MaxBody: 1 << 10}, endless(&closed), endCounter{ended: &ended})
	for range slow {
		sendWithoutReading(t, addr)
	}
	fits := bound / (openAnswerBytes + 2048)
	// A request that has waited for memory for a second is refused before its answer
	// is opened; the other callers that do not fit are disconnected.
	waitUntil(t, "the callers that do not fit are disconnected", func() bool { return ended.Load() >= int32(slow-fits) })
	if n := api.BytesHeld(); n > bound || n == 0 {
		t.Errorf("%d bytes held, bound %d", n, bound)
	}
	c := sendRequest(t, addr)
	start := time.Now()
	if _, err := io.CopyN(io.Discard, bufio.NewReader(c), 4<<20); err != nil {
		t.Errorf("a caller that reads: %v", err)
	}
	t.Logf("a caller that reads gets 4 MiB in %v", time.Since(start))
}

// TestCallerDisconnects guards against a request that continues after its caller has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	var closed atomic.Int32
	api, addr := listen(t, defaultConfig, endless(&closed))
	stopped := make(chan struct{})
	waiting := &fakeBackend{serve: func(ctx context.Context, _ port.ServeRequest) (port.Answer, error) {
		<-ctx.Done()
		close(stopped)
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "caller left")
	}}
	_, addr2 := listen(t, defaultConfig, waiting)
	blocked, queued := sendWithoutReading(t, addr), sendWithoutReading(t, addr2)
	waitUntil(t, "memory is held for the frame", func() bool { return api.BytesHeld() > 0 })
	time.Sleep(50 * time.Millisecond)
	_, _ = blocked.Close(), queued.Close()
	waitUntil(t, "the answer is closed", func() bool { return closed.Load() == 1 && api.BytesHeld() == 0 })
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the queued request was not canceled")
	}
}

// TestDrain guards against a graceful shutdown that interrupts a request in progress
// or admits a new one.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	var closed atomic.Int32
	slow := backend(&closed, io.EOF, "a\n")
	inner := slow.serve
	started := make(chan struct{})
	slow.serve = func(ctx context.Context, r port.ServeRequest) (port.Answer, error) {
		close(started)
		<-release
		return inner(ctx, r)
	}
	api, addr := listen(t, defaultConfig, slow)
	var wg conc.WaitGroup
	var body string
	wg.Go(func() { _, body, _ = post(t, addr, groupPath, "{}") })
	<-started
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if api.Drain(short) == nil {
		t.Error("drained while a request is in progress")
	}
	res, refused, _ := post(t, addr, groupPath, "{}")
	if res.StatusCode != 503 || !strings.Contains(refused, `"code":"shutting_down"`) || res.Header.Get(headerVerdict) != "not-run" {
		t.Errorf("new request: status %d, %q", res.StatusCode, refused)
	}
	close(release)
	if err := api.Drain(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
	if !strings.Contains(body, `"verdict":"ran"`) {
		t.Errorf("request in progress got %q", body)
	}
}

// FuzzDecode guards against input of callers that crashes the process or exceeds
// the limits.
func FuzzDecode(f *testing.F) {
	f.Add("g", "c", "status", "1000", "0193a0b0-0000-7000-8000-000000000001", []byte(`{"prompt":"x"}`))
	f.Add("../g", "", "x", "-1", "{0193a0b0-0000-7000-8000-000000000001}", []byte(`{"prompt":{"a":[`))
	f.Fuzz(func(t *testing.T, name, customer, class, timeout, key string, body []byte) {
		h := http.Header{headerCustomer: {customer}, headerClass: {class}, headerTimeout: {timeout}, headerIdempotencyKey: {key}}
		r := port.ServeRequest{Body: body}
		r.Group = "g"
		r.Call = name
		if decodeHeaders(h, &r) != nil || decodeBody(&r) != nil {
			return
		}
		if len(r.Customer) == 0 || len(r.Customer) > maxName || len(r.Call) > maxName || r.Timeout <= 0 || r.Timeout > MaxTimeout ||
			r.Class > 3 || r.IdempotencyKey != "" && len(r.IdempotencyKey) != uuidLength || !json.Valid(body) {
			t.Fatalf("accepted %+v", r)
		}
	})
}

// TestMaxTokensRange guards against a value of max_tokens that no engine supports
// but that is accepted.
func TestMaxTokensRange(t *testing.T) {
	_, addr := listen(t, defaultConfig, backend(new(atomic.Int32), io.EOF, "a\n"))
	for body, want := range map[string]int{
		`{"max_tokens":1}`: 200, `{"max_tokens":1048576}`: 200, `{}`: 200,
		`{"max_tokens":-5}`: 400, `{"max_tokens":0}`: 400, `{"max_tokens":12345678901234567890}`: 400,
		`{"max_tokens":"8"}`: 400, `{"max_tokens":1.5}`: 400, `{"max_tokens":null}`: 400,
	} {
		if res, text, _ := post(t, addr, groupPath, body); res.StatusCode != want {
			t.Errorf("%s: status %d, want %d: %s", body, res.StatusCode, want, text)
		}
	}
}

// TestRequestSmuggling guards against a second request that is read from the body of
// a request with both a Content-Length and a chunked encoding.
func TestRequestSmuggling(t *testing.T) {
	_, addr := listen(t, defaultConfig, backend(new(atomic.Int32), io.EOF, "a\n"))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	head := "POST " + groupPath + " HTTP/1.1\r\nHost: h\r\n" + headerCustomer + ": resort\r\n"
	hidden := head + "Content-Length: 2\r\n\r\n{}"
	chunked := "2\r\n{}\r\n0\r\n\r\n"
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s%s", head, len(chunked)+len(hidden), chunked, hidden)
	all, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(all), "HTTP/1.1 "); n != 1 {
		t.Errorf("%d answers to one request:\n%s", n, all)
	}
}

// exchangeRaw sends a request of the protocol version and returns everything that the
// entry sends on the connection.
func exchangeRaw(t *testing.T, addr, path, protocol string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s %s\r\nHost: x\r\nConnection: close\r\n%s: resort\r\nContent-Length: 2\r\n\r\n{}",
		path, protocol, headerCustomer)
	if err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(c)
	return string(all), err
}

// TestIncompleteAnswerIsMarked guards against an incomplete answer that a caller takes
// for a complete one. For a caller with HTTP/1.0 the end of the connection is the end of
// the body, so only a reset connection tells that a service's answer is incomplete.
func TestIncompleteAnswerIsMarked(t *testing.T) {
	lostError := verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "gone")
	var closed atomic.Int32
	panicking := &fakeBackend{serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
		return &fakeAnswer{head: port.AnswerHead{Version: "v1", Status: 200}, closed: &closed, next: func(i int) ([]byte, error) {
			if i == 0 {
				return []byte("one\n"), nil
			}
			panic(http.ErrAbortHandler)
		}}, nil
	}}
	const chunkedEnd = "\r\n0\r\n"
	for name, c := range map[string]struct {
		backend  *fakeBackend
		path     string
		protocol string
		complete bool
		end      string // in the part that was received
	}{
		"group, complete":               {backend(&closed, io.EOF, "one\n"), groupPath, "HTTP/1.0", true, "{\"end\":"},
		"group, failed":                 {backend(&closed, lostError, "one\n"), groupPath, "HTTP/1.0", true, "{\"error\":"},
		"group, failed in a line":       {backend(&closed, lostError, "on"), groupPath, "HTTP/1.0", true, "on\n{\"error\":"},
		"group, handler failed":         {panicking, groupPath, "HTTP/1.0", false, ""},
		"service, complete":             {backend(&closed, io.EOF, "one\n"), servicePath, "HTTP/1.0", true, "one\n"},
		"service, failed":               {backend(&closed, lostError, "one\n"), servicePath, "HTTP/1.0", false, ""},
		"service, handler failed":       {panicking, servicePath, "HTTP/1.0", false, ""},
		"service, failed, chunked":      {backend(&closed, lostError, "one\n"), servicePath, "HTTP/1.1", true, "one\n"},
		"service, complete, chunked":    {backend(&closed, io.EOF, "one\n"), servicePath, "HTTP/1.1", true, chunkedEnd},
		"service, failed before a byte": {backend(&closed, lostError), servicePath, "HTTP/1.0", true, "target_lost"},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr := listen(t, defaultConfig, c.backend)
			got, err := exchangeRaw(t, addr, c.path, c.protocol)
			if (err == nil) != c.complete || !strings.Contains(got, c.end) {
				t.Errorf("received %q, %v; want a regular end: %v, with %q", got, err, c.complete, c.end)
			}
			if strings.Contains(name, "failed, chunked") && strings.Contains(got, chunkedEnd) {
				t.Errorf("the end of the body was sent: %q", got)
			}
		})
	}
}

// TestFailedWriteEndsAnswer guards against an answer that is read on, and so continued at
// another target, after a write to its caller has failed.
func TestFailedWriteEndsAnswer(t *testing.T) {
	var closed, readAfterFailure atomic.Int32
	failed := make(chan struct{})
	frame := []byte(strings.Repeat("x", 2047) + "\n")
	var api *API
	b := &fakeBackend{serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
		return &fakeAnswer{closed: &closed, next: func(int) ([]byte, error) {
			select {
			case <-failed:
				readAfterFailure.Add(1)
			default:
			}
			return frame, nil
		}}, nil
	}}
	api, addr := listen(t, defaultConfig, b)
	inner := api.server.Handler
	api.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(&failingWriter{ResponseWriter: w, failAt: 3, failed: failed}, r)
	})
	c := sendRequest(t, addr)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	all, _ := io.ReadAll(c)
	waitUntil(t, "the answer is closed", func() bool { return closed.Load() == 1 })
	if n := readAfterFailure.Load(); n != 0 {
		t.Errorf("%d frames read after the failed write", n)
	}
	if n := strings.Count(string(all), "x\n"); n > 2 || strings.Contains(string(all), "\r\n0\r\n") {
		t.Errorf("%d frames received, and %d bytes with a regular end", n, len(all))
	}
}

// failingWriter fails only the write with the number failAt, like a connection that takes
// data again afterwards.
type failingWriter struct {
	http.ResponseWriter
	writes, failAt int
	failed         chan struct{}
}

// Write implements http.ResponseWriter.
func (w *failingWriter) Write(b []byte) (int, error) {
	if w.writes++; w.writes == w.failAt {
		close(w.failed)
		return 0, io.ErrShortWrite
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap is used by http.ResponseController.
func (w *failingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// TestClosedServerMarksIncompleteAnswer guards against an answer of a service that a caller
// with HTTP/1.0 takes for complete because the entry has closed its connections, as at the
// end of a drain or of the process.
func TestClosedServerMarksIncompleteAnswer(t *testing.T) {
	var closed atomic.Int32
	sent, release := make(chan struct{}), make(chan struct{})
	b := &fakeBackend{serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
		return &fakeAnswer{head: port.AnswerHead{Status: 200}, closed: &closed, next: func(i int) ([]byte, error) {
			if i == 0 {
				return []byte("one\n"), nil
			}
			close(sent)
			<-release
			return nil, io.EOF
		}}, nil
	}}
	api, addr := listen(t, defaultConfig, b)
	var wg conc.WaitGroup
	var got string
	var err error
	wg.Go(func() { got, err = exchangeRaw(t, addr, servicePath, "HTTP/1.0") })
	<-sent
	_ = api.server.Close()
	wg.Wait()
	close(release)
	if err == nil {
		t.Errorf("the connection was closed regularly after %q", got)
	}
}

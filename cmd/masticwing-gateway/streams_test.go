package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/loadudp"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/adapter/targetconn"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/gateway"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
	"github.com/masticwing/masticwing/platform"
)

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

// head returns the encoded head of a response of a target to a request.
func head(status, target, id string, lines ...string) string {
	lines = append([]string{"HTTP/1.1 " + status, "Request-Id: " + id, "Response-Signature: " + target}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// runEvents returns the events of a target's run, from one number to another.
func runEvents(target string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s%d\n\n", n, target, n)
	}
	return b.String()
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const (
	chunked = "Transfer-Encoding: chunked"
	stream  = "Content-Type: text/event-stream"
)

// startScriptedTarget starts a target that answers the first request on each connection
// with a complete stream if warm is set, and the others with answer, byte for byte. It
// closes the connection behind the latter if closes is set.
func startScriptedTarget(t *testing.T, target string, warm, closes bool, answer func(id string) string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := &atomic.Int64{}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			requests.Add(1)
			id := req.Header.Get("Request-Id")
			if warm && n == 0 {
				_, _ = io.WriteString(c, head("200 OK", target, id, stream, chunked)+chunk(runEvents(target, 1, 3))+"0\r\n\r\n")
				continue
			}
			_, _ = io.WriteString(c, answer(id))
			if closes {
				return
			}
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
	return l.Addr().String(), requests
}

// newGateway returns a gateway with a resumable streaming route, an unsafe one, a safe one and
// the given targets, of which it prefers those whose id begins with a. retries is the slack of
// the retry budget.
func newGateway(t *testing.T, grace time.Duration, retries float64, targets map[string]string) *gateway.Gateway {
	t.Helper()
	return newGatewayOf(t, porttest.NewStore(), grace, retries, targets)
}

// newGatewayOf is newGateway with a store that the test changes.
func newGatewayOf(t *testing.T, store *porttest.Store, grace time.Duration, retries float64, targets map[string]string) *gateway.Gateway {
	t.Helper()
	store.Put("op/config", `{"Version":1,"Routes":[
		{"Name":"r","Host":"h","Prefix":"/p/","Kind":"streaming","TimeoutMs":20000,"TargetLatencyMs":400,"Service":"s","MaxAttempts":2,"Anonymous":true,"Resumable":true},
		{"Name":"s","Host":"h","Prefix":"/s/","Kind":"safe","TimeoutMs":20000,"TargetLatencyMs":400,"Service":"s","MaxAttempts":2,"Anonymous":true},
		{"Name":"u","Host":"h","Prefix":"/u/","Kind":"unsafe","TimeoutMs":20000,"TargetLatencyMs":400,"Service":"s","MaxAttempts":1,"Anonymous":true}],
		"Services":[{"Name":"s"}]}`)
	for id, addr := range targets {
		store.Put("servers/"+id, fmt.Sprintf(`{"Service":"s","Address":%q,"Zone":%q,"Slots":8,"State":"ready","born":1}`, addr, "zone-"+id[:1]))
	}
	set := gateway.Settings{
		Settings: registration.Settings{
			Domain: "zone-a", Regions: map[fleet.Domain]fleet.Region{"zone-a": "r", "zone-b": "r"}, Internal: "127.0.0.1:0",
		},
		KeyBound: 5 * time.Second, ConfigBound: 2 * time.Second, WeightsBound: 8 * time.Second, DrainBound: 2 * time.Second, RetryRatio: 0.2, RetrySlack: retries, RetryWindow: 10 * time.Second, Memory: 64 << 20, Grace: grace, Descriptors: 4096, TargetConnections: 128,
	}
	set.ID = "g"
	peers := rpc.NewClient()
	t.Cleanup(peers.Close)
	return gateway.New(set, gateway.Deps{
		Store: store, Feed: peers, Peers: peers, NewFeedServer: newFeedServer(daemon.Env{}), Loads: loadudp.Network{}, Decoder: platform.Decoder{}, Targets: platform.NewTargetClient(nil, targetconn.Limits{}),
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: noMetrics{}, Log: logging.New(io.Discard, "masticwing-gateway", "g"),
	})
}

// startGateway starts a gateway with the targets a and b, of which it prefers a. It returns the
// address for callers.
func startGateway(t *testing.T, a, b string) string {
	t.Helper()
	return startGatewayWith(t, 100, map[string]string{"a": a, "b": b})
}

// startGatewayWith is like startGateway with other targets and another retry budget.
func startGatewayWith(t *testing.T, retries float64, targets map[string]string) string {
	t.Helper()
	return startServing(t, newGateway(t, 0, retries, targets))
}

// startServing runs a gateway until the test ends. It returns the address for callers.
func startServing(t *testing.T, g *gateway.Gateway) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { g.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	srv := httptest.NewServer(platform.IngressHandler(g, g.Closing))
	t.Cleanup(srv.Close)
	awaitReady(t, g)
	return srv.Listener.Addr().String()
}

func awaitReady(t *testing.T, g *gateway.Gateway) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		ok, reason := g.Ready()
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the gateway is not ready: %s", reason)
		}
	}
}

// call sends a request on a new connection. It returns all that the caller receives, the
// body in it, and the error with which the body ended.
func call(t *testing.T, addr, id, version string) (raw, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(c, "GET /p/x HTTP/%s\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n", version, id)
	var b strings.Builder
	res, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &b)), nil)
	if err != nil {
		return b.String(), "", err
	}
	got, err := io.ReadAll(res.Body)
	return b.String(), string(got), err
}

// errorHead is what the first target sends behind a stream that breaks off.
func errorHead(id string) string {
	return head("500 Internal Server Error", "a", id, "Content-Type: text/plain", "Content-Length: 7") + "failed\n"
}

// breaks are the ways in which the first target breaks off behind its second event, in a
// chunked response.
var breaks = map[string]func(id string) string{
	"in a chunk": func(id string) string {
		return chunk(runEvents("a", 1, 2)) + "400\r\nid: 3\ndata: a" + errorHead(id) + strings.Repeat("x", 1024)
	},
	"in a field name": func(id string) string {
		return chunk(runEvents("a", 1, 2)) + "400\r\nid: 3\nda" + errorHead(id) + strings.Repeat("x", 1024)
	},
	"between events in a chunk": func(id string) string {
		return "400\r\n" + runEvents("a", 1, 2) + errorHead(id) + "\n\n" + strings.Repeat("x", 1024)
	},
	"in a chunk, lower-case head": func(id string) string {
		return chunk(runEvents("a", 1, 2)) + "400\r\nid: 3\ndata: aHTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n" + strings.Repeat("x", 1024)
	},
	"between events": func(id string) string { return chunk(runEvents("a", 1, 2)) + errorHead(id) },
	"in an event": func(id string) string {
		return chunk(runEvents("a", 1, 2)) + chunk("id: 3\nda") + errorHead(id)
	},
	"in an event that ends": func(id string) string {
		return chunk(runEvents("a", 1, 2)) + chunk("id: 3\nda") + "0\r\n\r\n" + errorHead(id)
	},
	"head as a chunk": func(id string) string {
		return chunk(runEvents("a", 1, 2)) + chunk(head("500 Internal Server Error", "a", id, "Content-Length: 0")) + "0\r\n\r\n"
	},
	"in a size line": func(id string) string { return chunk(runEvents("a", 1, 2)) + "1" + errorHead(id) },
	"in the trailer": func(id string) string { return chunk(runEvents("a", 1, 2)) + "0\r\nX-T" + errorHead(id) },
}

// breaksWithoutLength are the same in a response that the end of the connection delimits.
var breaksWithoutLength = map[string]func(id string) string{
	"in an event":    func(id string) string { return runEvents("a", 1, 2) + "id: 3\nda" + errorHead(id) },
	"in data":        func(id string) string { return runEvents("a", 1, 2) + "id: 3\ndata: a" + errorHead(id) },
	"between events": func(id string) string { return runEvents("a", 1, 2) + errorHead(id) },
	"between events, empty error": func(id string) string {
		return runEvents("a", 1, 2) + head("500 Internal Server Error", "a", id, "Content-Length: 0")
	},
	"by its end": func(string) string { return runEvents("a", 1, 2) + "id: 3\nda" },
}

// brokenAnswers returns the responses of the first target.
func brokenAnswers() map[string]brokenAnswer {
	out := map[string]brokenAnswer{}
	for name, rest := range breaks {
		answer := func(id string) string { return head("200 OK", "a", id, stream, chunked) + rest(id) }
		out[name], out[name+", closed"] = brokenAnswer{answer, false}, brokenAnswer{answer, true}
	}
	for name, rest := range breaksWithoutLength {
		answer := func(id string) string { return head("200 OK", "a", id, stream) + rest(id) }
		out[name+", no length"] = brokenAnswer{answer, true}
		old := func(id string) string { return strings.Replace(answer(id), "1.1", "1.0", 1) }
		out[name+", HTTP/1.0"] = brokenAnswer{old, true}
	}
	return out
}

// brokenAnswer is a response behind which the target may close the connection.
type brokenAnswer struct {
	answer func(id string) string
	closes bool
}

// laterAnswers are the answers of the second target that do not continue the stream.
var laterAnswers = map[string]func(id string) string{
	"500": func(id string) string {
		return head("500 Internal Server Error", "b", id, "Content-Length: 7") + "failed\n"
	},
	"500 with events": func(id string) string {
		return head("500 Internal Server Error", "b", id, stream, chunked) + chunk(runEvents("b", 3, 4)) + "0\r\n\r\n"
	},
	"503 not executed": func(id string) string {
		return head("503 Service Unavailable", "b", id, "Not-Executed: 1", "Content-Length: 5") + "full\n"
	},
	"503": func(id string) string {
		return head("503 Service Unavailable", "b", id, "Content-Length: 5") + "full\n"
	},
	"421": func(id string) string { return head("421 Misdirected Request", "b", id, "Content-Length: 0") },
	"html": func(id string) string {
		return head("200 OK", "b", id, "Content-Type: text/html", "Content-Length: 27") + "<html>\n\n<p>error</p></html>"
	},
	"html with an event": func(id string) string {
		body := "<html>\n\n" + runEvents("b", 3, 3)
		return head("200 OK", "b", id, "Content-Type: text/html", fmt.Sprintf("Content-Length: %d", len(body))) + body
	},
	"events go back": func(id string) string {
		return head("200 OK", "b", id, stream, chunked) + chunk(runEvents("b", 1, 4)) + "0\r\n\r\n"
	},
	"interim and error": func(id string) string {
		return "HTTP/1.1 103 Early Hints\r\nRequest-Id: " + id + "\r\n\r\n" + head("500 Internal Server Error", "b", id, "Content-Length: 7") + "failed\n"
	},
	"HTTP/1.0 error": func(id string) string {
		return strings.Replace(head("500 Internal Server Error", "b", id), "1.1", "1.0", 1) + "failed\n\n"
	},
	"HTTP/1.0 without events": func(id string) string {
		return strings.Replace(head("200 OK", "b", id, stream), "1.1", "1.0", 1) + "failed\n\n"
	},
	"error for another request": func(id string) string { return head("500 Internal Server Error", "b", "x", "Content-Length: 0") },
	"nothing":                   func(string) string { return "" },
}

// TestBrokenStreamHasOnlyEvents guards against an error, its text or its head in the middle
// of a caller's stream, and against a stream that breaks off and looks complete. The error
// comes from the first target, on the same connection, and from the second one.
func TestBrokenStreamHasOnlyEvents(t *testing.T) {
	for first, broken := range brokenAnswers() {
		for second, later := range laterAnswers {
			for _, version := range []string{"1.0", "1.1"} {
				t.Run(first+", "+second+", HTTP "+version, func(t *testing.T) {
					t.Parallel()
					checkBrokenStream(t, broken, later, version)
				})
			}
		}
	}
}

func checkBrokenStream(t *testing.T, broken brokenAnswer, later func(id string) string, version string) {
	a, sentA := startScriptedTarget(t, "a", true, broken.closes, broken.answer)
	b, _ := startScriptedTarget(t, "b", false, true, later)
	addr := startGateway(t, a, b)
	if _, body, err := call(t, addr, "1", "1.1"); body != runEvents("a", 1, 3) || err != nil {
		t.Fatalf("first request: %q, %v", body, err)
	}
	raw, body, err := call(t, addr, "2", version)
	if body != runEvents("a", 1, 2) || err == nil || strings.Count(raw, "HTTP/1.") != 1 || sentA.Load() != 2 {
		t.Errorf("%q, error %v, %d requests at the first target", raw, err, sentA.Load())
	}
}

// TestBrokenStreamContinues guards against a stream that is cut although the second target
// continues it, whatever the first one sent where it broke off.
func TestBrokenStreamContinues(t *testing.T) {
	for name, broken := range brokenAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, _ := startScriptedTarget(t, "a", true, broken.closes, broken.answer)
			b, _ := startScriptedTarget(t, "b", false, false, func(id string) string {
				return head("200 OK", "b", id, stream, chunked) + chunk("weight-versions: 2\n"+runEvents("b", 3, 3)+": ping\n\n"+runEvents("b", 4, 4)) + "0\r\n\r\n"
			})
			addr := startGateway(t, a, b)
			if _, body, err := call(t, addr, "1", "1.1"); body != runEvents("a", 1, 3) || err != nil {
				t.Fatalf("first request: %q, %v", body, err)
			}
			want := runEvents("a", 1, 2) + "weight-versions: 2\n" + runEvents("b", 3, 3) + ": ping\n\n" + runEvents("b", 4, 4)
			if raw, body, err := call(t, addr, "2", "1.1"); body != want || err != nil {
				t.Errorf("%q, %v", raw, err)
			}
		})
	}
}

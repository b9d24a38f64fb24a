//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	host        = "desk.example"
	answerLimit = 5 * time.Second
)

// startSmall starts two workers of a plain service and one gateway, with a route for each prefix.
func startSmall(d *deployment, kind string, prefixes ...string) (*gateway, []*worker, error) {
	var rs []map[string]any
	for i, p := range prefixes {
		rs = append(rs, map[string]any{
			"Name": fmt.Sprintf("route-%d", i), "Host": host, "Prefix": p, "Kind": kind, "Service": "desk", "MaxAttempts": 1,
			"TimeoutMs": 2000, "TargetLatencyMs": 200, "Priority": 1,
		})
	}
	d.putConfig(map[string]any{
		"Version": 1, "Routes": rs, "Services": []map[string]any{{"Name": "desk", "MaxConns": 100, "HealthPath": "/health"}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
	})
	var ws []*worker
	for i := range 2 {
		w, err := d.addWorker(fmt.Sprintf("i-%d", i), "desk", "zone-a", 6, 5*time.Millisecond, 0)
		if err != nil {
			return nil, nil, err
		}
		ws = append(ws, w)
	}
	g, err := d.addGateway("gateway-1", "zone-a")
	return g, ws, err
}

// answer is a response that a client has read.
type answer struct {
	status          int
	id, signature   string
	body, readError string
}

// exchange sends raw bytes on a new channel and reads answers until the channel ends or is silent.
func exchange(d *deployment, addr, method, raw string) ([]answer, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	d.record.printf("client sends %q", raw)
	if _, err := io.WriteString(c, raw); err != nil {
		return nil, err
	}
	var out []answer
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(answerLimit))
		res, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			d.record.printf("channel: %v", err)
			return out, nil
		}
		b, err := io.ReadAll(res.Body)
		a := answer{status: res.StatusCode, id: res.Header.Get("Request-Id"), signature: res.Header.Get("Response-Signature"), body: string(b)}
		if err != nil {
			a.readError = err.Error()
		}
		d.record.printf("client gets %d, Request-Id %q, Response-Signature %q, body %q %s", a.status, a.id, a.signature, a.body, a.readError)
		out = append(out, a)
		if res.Close {
			return out, nil
		}
	}
}

// runsOf returns what has reached the workers.
func runsOf(d *deployment, ws []*worker) []run {
	var out []run
	for _, w := range ws {
		for _, r := range w.all() {
			d.record.printf("worker %s got %s %s, Request-Id %q, body %q, executed %v", r.worker, r.method, r.uri, r.id, r.body, r.executed)
			out = append(out, r)
		}
	}
	return out
}

// http10Framing sends one request whose chunked body holds the text of another request. As HTTP/1.0, with both
// a length and a transfer coding, its framing is faulty.
func http10Framing(d *deployment, trouble bool) ([]string, error) {
	g, ws, err := startSmall(d, "unsafe", "/desk/")
	if err != nil {
		return nil, err
	}
	inner := "POST /desk/orders HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: inner-1\r\nDeadline-Ms: 2000\r\nContent-Length: 5\r\n\r\nORDER"
	size := fmt.Sprintf("%x\r\n", len(inner))
	version := "1.1"
	if trouble {
		version = "1.0"
	}
	raw := "POST /desk/notes HTTP/" + version + "\r\nHost: " + host + "\r\nRequest-Id: outer-1\r\nDeadline-Ms: 2000\r\nConnection: keep-alive\r\n" +
		"Content-Length: " + fmt.Sprint(len(size)) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + size + inner + "\r\n0\r\n\r\n"
	answers, err := exchange(d, g.callers, http.MethodPost, raw)
	if err != nil {
		return nil, err
	}
	var broken []string
	for _, r := range runsOf(d, ws) {
		switch {
		case !r.executed:
		case r.id == "inner-1":
			broken = append(broken, fmt.Sprintf("UNASKED: worker %s ran %s %s (%s), which was inside the body of outer-1", r.worker, r.method, r.uri, r.id))
		case r.id == "outer-1" && r.body != inner:
			broken = append(broken, fmt.Sprintf("UNASKED: worker %s ran outer-1 with the body %q", r.worker, r.body))
		}
	}
	for _, a := range answers {
		if a.id == "inner-1" && a.status/100 == 2 {
			broken = append(broken, "MIXED: the client of outer-1 got a success for inner-1")
		}
	}
	return broken, nil
}

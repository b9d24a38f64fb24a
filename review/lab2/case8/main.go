// Command 8 shows which requests run after a configuration has taken the last keys away.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	lab "review2"
)

const (
	maxFds = 4100
	// revokeBound is RevokeMs of buoycheck-fleet.
	revokeBound = 5 * time.Second
	// requests is the number of requests with each key.
	requests = 10
)

// client is a client with a kept channel.
type client struct {
	l    *lab.Lab
	conn net.Conn
	r    *bufio.Reader
}

// send sends a request with a key on the kept channel, and returns the status of the answer, or zero.
func (c *client) send(addr, id, key string) int {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			c.l.Logf("client: %s: no channel: %v", id, err)
			return 0
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c.conn, "POST /w/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nKey: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 5\r\n\r\nhello", id, key)
	res, err := http.ReadResponse(c.r, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		c.l.Logf("client: %s: key %s: no answer: %v", id, key, err)
		_ = c.conn.Close()
		c.conn = nil
		return 0
	}
	c.l.Logf("client: %s: key %s: status %d", id, key, res.StatusCode)
	return res.StatusCode
}

func play(l *lab.Lab) (int, error) {
	routes := []lab.Object{{"Name": "w", "Host": "h.example", "Prefix": "/w/", "Kind": "unsafe", "TimeoutMs": 2000,
		"TargetLatencyMs": 100, "Priority": 0, "Service": "desk", "MaxAttempts": 1, "Anonymous": false}}
	services := []lab.Object{{"Name": "desk", "HealthPath": "/health", "MaxConns": 110}}
	l.Config(3, routes, services, []lab.Object{{"Name": "harbour", "ApiKeys": []string{"key-one", "key-two"}, "Priority": 0}})
	w, err := l.StartWorker("w1", "desk", "a", 10*time.Millisecond)
	if err != nil {
		return 0, err
	}
	g, err := l.StartGateway("frontend-a-1", "a", l.StoreAddr, maxFds)
	if err != nil {
		return 0, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	c := &client{l: l}
	if s := c.send(g.Front, "before-one", "key-one"); s != http.StatusOK {
		return 0, fmt.Errorf("a request with a valid key is answered with %d", s)
	}
	if s := c.send(g.Front, "before-none", "no-such-key"); s != http.StatusUnauthorized {
		return 0, fmt.Errorf("a request with an unknown key is answered with %d", s)
	}
	// The tenant leaves, and its keys with it. Without the disruption another tenant stays.
	tenants := []lab.Object{}
	if !l.Trouble {
		tenants = append(tenants, lab.Object{"Name": "reef", "ApiKeys": []string{"key-three"}, "Priority": 0})
	}
	l.Config(7, routes, services, tenants)
	time.Sleep(revokeBound + time.Second)
	for i := range requests {
		for _, key := range []string{"key-one", "key-two", "no-such-key"} {
			c.send(g.Front, fmt.Sprintf("after-%s-%02d", key, i), key)
		}
		time.Sleep(100 * time.Millisecond)
	}
	ran := map[string]int{}
	for _, r := range w.Runs() {
		for _, key := range []string{"key-one", "key-two", "no-such-key"} {
			if len(r.ID) > len("after-")+len(key) && r.ID[:len("after-")+len(key)] == "after-"+key {
				ran[key]++
				l.Logf("worker %s: ran %s with Tenant %q", w.ID, r.ID, r.Tenant)
			}
		}
	}
	l.Logf("requests sent later than RevokeMs after the acknowledgement that ran: %d of %d with key-one, %d with key-two; %d with a key that no configuration held",
		ran["key-one"], requests, ran["key-two"], ran["no-such-key"])
	if ran["key-one"]+ran["key-two"] > 0 {
		return lab.Broken, nil
	}
	return lab.Held, nil
}

func main() {
	l, err := lab.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(lab.NotRun)
	}
	code, err := play(l)
	if err != nil {
		l.Logf("could not run: %v", err)
		code = lab.NotRun
	}
	os.Exit(l.Close(code))
}

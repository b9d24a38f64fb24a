// Command 6 shows on which weights requests run through a gateway that starts before a late load was checked.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	lab "review2"
)

const (
	maxFds = 4100
	// stand is the time for which one side machine stands still, and rotAfter the time from its begin until pieces
	// turn bad there.
	stand, rotAfter = 3500 * time.Millisecond, 100 * time.Millisecond
	// dark is the time for which the loader of that machine is gone after it.
	dark = 3500 * time.Millisecond
	// stopAfter is the time from the begin of the stand until the gateway is stopped, and restartDelay that from its
	// end until it starts again.
	stopAfter, restartDelay = 1500 * time.Millisecond, 300 * time.Millisecond
	// perSecond is the number of requests a second, for two workers as many as the sheet has.
	perSecond = 27
	length    = 25 * time.Second
)

// stream sends one request for a stream.
func stream(l *lab.Lab, addr, id string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		l.Logf("client: %s: no channel", id)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	body := "body of " + id
	_, _ = fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nModel: %s\r\nToken-Usage: 600,50\r\n"+
		"Prompt-Prefix: 5c1e07a2:40,%x:560\r\nContent-Length: %d\r\n\r\n%s", id, lab.Model, id, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		l.Logf("client: %s: no answer: %v", id, err)
		return
	}
	b, err := io.ReadAll(res.Body)
	l.Logf("client: %s: status %d, %d events, signature %q, error %v", id, res.StatusCode, bytes.Count(b, []byte("\n\n")), res.Header.Get("Response-Signature"), err)
}

func play(l *lab.Lab) (int, error) {
	origin := httptest.NewServer(http.HandlerFunc(lab.ServeOrigin))
	l.Config(3, []lab.Object{{"Name": "s", "Host": "h.example", "Prefix": "/s/", "Kind": "streaming", "TimeoutMs": 6000,
		"TargetLatencyMs": 400, "Priority": 1, "Service": "llm", "MaxAttempts": 2, "SessionAffinity": true, "Resumable": true, "TargetGapMs": 400}},
		[]lab.Object{{"Name": "origin", "Origin": strings.TrimPrefix(origin.URL, "http://"), "Zone": "a", "LinkMbps": 9.9, "MaxConns": 48},
			{"Name": "llm", "HealthPath": "/health", "MaxConns": 304, "ColdPerS": 26, "Engine": lab.Object{"Slots": 16,
				"Models": []lab.Object{{"Name": lab.Model}}, "layers": 16, "Stride": 5, "step_ms": 8.87, "read_per_s": 19100, "Chunks": lab.Pieces, "ChunkBytes": lab.PieceBytes}}}, nil)
	var engines []*engine
	var loaders []*lab.Proc
	for i := range 2 {
		e, err := startEngine(l, fmt.Sprintf("i-e%d", i))
		if err != nil {
			return 0, err
		}
		p, err := l.StartLoader(fmt.Sprintf("side-a-%d", i), "a", l.StoreAddr, e.addr, "llm")
		if err != nil {
			return 0, err
		}
		engines, loaders = append(engines, e), append(loaders, p)
	}
	g, err := l.StartGateway("frontend-a-1", "a", l.StoreAddr, maxFds)
	if err != nil {
		return 0, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	ordered := make(chan struct{})
	engines[0].onOrder = func() {
		close(ordered)
		if !l.Trouble {
			return
		}
		l.Logf("the machine of %s stands still, with the order on its way", engines[0].id)
		engines[0].still.Lock()
		loaders[0].Signal(syscall.SIGSTOP)
		time.AfterFunc(rotAfter, func() { engines[0].spoil(7, 23, 41) })
		time.AfterFunc(stand, func() {
			l.Logf("the machine goes on; its loader is killed")
			loaders[0].Signal(syscall.SIGKILL)
			engines[0].still.Unlock()
			<-loaders[0].Done()
			time.AfterFunc(dark, func() { _ = l.Run(loaders[0]) })
		})
	}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; time.Now().Before(end); n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				stream(l, g.Front, fmt.Sprintf("req%05d", n))
			}()
			time.Sleep(time.Second / perSecond)
		}
	}()
	l.Store.Put("op/version/"+lab.Model, lab.Object{"Model": lab.Model, "Version": 2})
	l.Logf("version 2 is acknowledged")
	select {
	case <-ordered:
	case <-time.After(10 * time.Second):
		return 0, fmt.Errorf("no order within 10 s")
	}
	time.Sleep(stopAfter)
	l.Logf("SIGTERM to %s", g.Name)
	g.Signal(syscall.SIGTERM)
	<-g.Done()
	time.Sleep(restartDelay)
	if err := l.Run(g); err != nil {
		return 0, err
	}
	wg.Wait()
	bad := 0
	for _, e := range engines {
		e.mu.Lock()
		bad += len(e.badRuns)
		e.mu.Unlock()
	}
	l.Logf("%d requests made tokens with layers that were taken while a piece had been bad for over %v", bad, excused)
	if bad > 0 {
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

// Command 7 shows what is left of a gateway's connections after clients have sent bodies that stop short of their
// end, were refused, and stay open.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	lab "review2"
)

const (
	// maxFds is MaxFds of a frontend machine of buoycheck-fleet.
	maxFds = 4100
	// crowd is the number of clients whose bodies stop short of their end. Each has one channel at a time.
	crowd = 4300
	// reservedFds is the number of descriptors for all but the crowd.
	reservedFds = 200
	// perSecond is how many of them connect in a second.
	perSecond = 300
	// crowdBudget is the time for which they say that they wait.
	crowdBudget = 30 * time.Second
	// routeTimeout is TimeoutMs of the route, and answerBound the time after it in which there has to be an answer.
	routeTimeout, answerBound = time.Second, 500 * time.Millisecond
)

// counts counts the channels of the crowd, the answers to it, those without "Connection: close", and the channels
// that the gateway has closed.
type counts struct{ connected, refused, keptOpen, closed atomic.Int64 }

// stopShort sends a chunked body in small chunks up to just before its end, reads the answer and stays open. It
// connects again once the gateway has closed the channel.
func stopShort(addr string, n int, c *counts, end <-chan struct{}) {
	for try := 0; ; try++ {
		select {
		case <-end:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		c.connected.Add(1)
		stop := make(chan struct{})
		go func() {
			select {
			case <-end:
			case <-stop:
			}
			_ = conn.Close()
		}()
		_, _ = fmt.Fprintf(conn, "POST /w/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: short%05d%03d\r\nDeadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"5\r\nabcde\r\n5\r\nabcd", n, try, crowdBudget.Milliseconds())
		r := bufio.NewReader(conn)
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			c.refused.Add(1)
			if !res.Close {
				c.keptOpen.Add(1)
			}
			_ = res.Body.Close()
		}
		for err == nil {
			_, err = r.ReadByte()
		}
		select {
		case <-end:
		default:
			c.closed.Add(1)
		}
		close(stop)
	}
}

// ordinary sends one request on a new channel, and returns its status and how long the answer took. A client waits
// for its time budget of 3 s.
func ordinary(l *lab.Lab, addr, id string) (status int, took time.Duration) {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		l.Logf("client: %s: no channel: %v", id, err)
		return -1, time.Since(start)
	}
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(3 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /w/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello", id)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	took = time.Since(sent)
	if err != nil {
		l.Logf("client: %s: no answer after %v: %v", id, took.Round(time.Millisecond), err)
		return 0, took
	}
	_ = res.Body.Close()
	l.Logf("client: %s: status %d after %v, signature %q", id, res.StatusCode, took.Round(time.Millisecond), res.Header.Get("Response-Signature"))
	return res.StatusCode, took
}

func run() int {
	l, err := lab.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	code, err := play(l)
	if err != nil {
		l.Logf("could not run: %v", err)
		code = lab.NotRun
	}
	return l.Close(code)
}

func play(l *lab.Lab) (int, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < crowd+reservedFds {
		return 0, fmt.Errorf("the crowd needs %d descriptors, the limit is %d", crowd+reservedFds, files.Cur)
	}
	l.Config(3, []lab.Object{{"Name": "w", "Host": "h.example", "Prefix": "/w/", "Kind": "unsafe", "TimeoutMs": routeTimeout.Milliseconds(),
		"TargetLatencyMs": 100, "Priority": 0, "Service": "desk", "MaxAttempts": 1}},
		[]lab.Object{{"Name": "desk", "HealthPath": "/health", "MaxConns": 110}}, nil)
	if _, err := l.StartWorker("w1", "desk", "a", 15*time.Millisecond); err != nil {
		return 0, err
	}
	g, err := l.StartGateway("frontend-a-1", "a", l.StoreAddr, maxFds)
	if err != nil {
		return 0, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	for i := range 5 {
		if s, _ := ordinary(l, g.Front, fmt.Sprintf("before%02d", i)); s != http.StatusOK {
			return 0, fmt.Errorf("an ordinary request is answered with %d before the disruption", s)
		}
	}
	var c counts
	end := make(chan struct{})
	defer close(end)
	report := func(when string) {
		now, peak := g.MemoryKB()
		l.Logf("%s: crowd: %d channels so far, %d answered (%d without Connection: close), %d closed by the gateway; gateway: runs %v, %d descriptors, %d kB (peak %d kB), ready status %d",
			when, c.connected.Load(), c.refused.Load(), c.keptOpen.Load(), c.closed.Load(), g.Running(), g.Descriptors(), now, peak, g.ReadyStatus())
	}
	if l.Trouble {
		for n := range crowd {
			go stopShort(g.Front, n, &c, end)
			time.Sleep(time.Second / perSecond)
		}
	}
	report("the crowd is there")
	// The time budgets of all requests of the crowd that the gateway has begun to read are over then.
	time.Sleep(crowdBudget + 5*time.Second)
	report("after the crowd's time budgets")
	const requests = 20
	unanswered, late := 0, 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s, took := ordinary(l, g.Front, fmt.Sprintf("after%02d", i))
			mu.Lock()
			defer mu.Unlock()
			if s == 0 || took > routeTimeout {
				unanswered++
			}
			if s == 0 || took > routeTimeout+answerBound {
				late++
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	report("at the end")
	l.Logf("%d of %d ordinary requests were unanswered at TimeoutMs, %d of them still %v later", unanswered, requests, late, answerBound)
	if 2*late > unanswered {
		return lab.Broken, nil
	}
	return lab.Held, nil
}

func main() { os.Exit(run()) }

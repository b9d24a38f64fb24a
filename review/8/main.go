// Command 8 shows what becomes of requests in progress at a gateway while clients send headers far over the
// configured limit.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/masticwing/masticwing/review/lab2"
)

const (
	// memoryMB is MemoryMb of a frontend machine of buoycheck-fleet, and maxFds its MaxFds.
	memoryMB, maxFds = 284, 4100
	// crowd is the number of clients that send long headers, and headerBytes the length of each header. HeaderBytes of
	// the configuration is 16384.
	crowd, headerBytes = 400, 900 << 10
	// callers is the number of ordinary clients. Each keeps its channel.
	callers = 8
	// work is the time that a worker takes for a request.
	work = 300 * time.Millisecond
	// length is the time for which ordinary clients send requests.
	length = 20 * time.Second
	// lostAllowed is the number of lost requests that the rule allows.
	lostAllowed = 3
)

// sendLongHeader sends a request with a long header and a chunked body that stops short of its end, and stays open.
func sendLongHeader(addr string, n int, pad string, answered *atomic.Int64, end <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return
	}
	go func() {
		<-end
		_ = conn.Close()
	}()
	_, _ = fmt.Fprintf(conn, "POST /w/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: long%08d\r\nDeadline-Ms: 30000\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n5\r\nabcd", n, pad)
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		answered.Add(1)
		_ = res.Body.Close()
	}
}

// caller is an ordinary client with a kept channel.
type caller struct {
	l            *lab.Lab
	name, addr   string
	lost, served *atomic.Int64
}

// run sends one request after the other until end. It counts those whose channel ended without an answer.
func (c *caller) run(end <-chan struct{}) {
	var conn net.Conn
	var r *bufio.Reader
	for i, used := 0, 0; ; i++ {
		select {
		case <-end:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.addr, time.Second); err != nil {
				conn = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
			r, used = bufio.NewReader(conn), 0
		}
		id := fmt.Sprintf("%s-%04d", c.name, i)
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = fmt.Fprintf(conn, "POST /w/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nhello", id)
		res, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		if err != nil {
			c.l.Logf("client: %s: no answer, request %d of its channel: %v", id, used+1, err)
			if used > 0 {
				c.lost.Add(1)
			}
			_ = conn.Close()
			conn = nil
			continue
		}
		used++
		c.l.Logf("client: %s: status %d", id, res.StatusCode)
		if res.StatusCode == http.StatusOK {
			c.served.Add(1)
		}
		if res.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}

// watchMemory ends the process once it uses more memory than its machine has, as the platform does. It returns
// whether that has happened before end.
func watchMemory(l *lab.Lab, g *lab.Proc, end <-chan struct{}) (killed bool) {
	for {
		select {
		case <-end:
			return false
		case <-time.After(20 * time.Millisecond):
		}
		if now, _ := g.MemoryKB(); now > memoryMB<<10 {
			l.Logf("platform: %s uses %d kB of %d MB and is killed", g.Name, now, memoryMB)
			g.Signal(syscall.SIGKILL)
			return true
		}
	}
}

func play(l *lab.Lab) (int, error) {
	l.Config(3, []lab.Object{{"Name": "w", "Host": "h.example", "Prefix": "/w/", "Kind": "unsafe", "TimeoutMs": 3000,
		"TargetLatencyMs": 400, "Priority": 0, "Service": "desk", "MaxAttempts": 1}},
		[]lab.Object{{"Name": "desk", "HealthPath": "/health", "MaxConns": 110}}, nil)
	if _, err := l.StartWorker("w1", "desk", "a", work); err != nil {
		return 0, err
	}
	g, err := l.StartGateway("frontend-a-1", "a", l.StoreAddr, maxFds)
	if err != nil {
		return 0, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var lost, served, answered atomic.Int64
	end := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			(&caller{l, fmt.Sprintf("c%d", i), g.Front, &lost, &served}).run(end)
		}()
	}
	killed := make(chan bool, 1)
	go func() { killed <- watchMemory(l, g, end) }()
	time.Sleep(5 * time.Second)
	before := served.Load()
	if before == 0 || lost.Load() > 0 {
		return 0, fmt.Errorf("%d requests served, %d lost before the disruption", before, lost.Load())
	}
	if l.Trouble {
		pad := strings.Repeat("X-Pad: "+strings.Repeat("p", 4000)+"\r\n", headerBytes/4009)
		for n := range crowd {
			go sendLongHeader(g.Front, n, pad, &answered, end)
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(length - 5*time.Second)
	now, peak := g.MemoryKB()
	l.Logf("gateway: runs %v, %d kB (peak %d kB); the crowd got %d answers", g.Running(), now, peak, answered.Load())
	close(end)
	wasKilled := <-killed
	wg.Wait()
	l.Logf("%d requests served, %d requests of kept channels ended without an answer; the gateway was killed for its memory: %v", served.Load(), lost.Load(), wasKilled)
	if wasKilled && lost.Load() > lostAllowed {
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

// Command 9 shows what becomes of streams whose worker pauses for a moment while the gateway is stopped as planned.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	lab "review2"
)

const (
	maxFds = 4100
	// events is the number of events of a stream, and interval the time between two of them.
	events, interval = 20, 50 * time.Millisecond
	// pauseAfter is the event after which a worker preempts a request, and pause the time for which it does so.
	pauseAfter, pause = 8, 1800 * time.Millisecond
	// streams is the number of streams.
	streams = 8
)

// engine is a sound model worker. Its memory is nearly full.
type engine struct {
	l           *lab.Lab
	id, addr    string
	born        int64
	preempts    bool // it preempts requests in the middle of their streams
	full        bool // it has no memory for further requests
	running     atomic.Int64
	whole, runs atomic.Int64
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		running := e.running.Load()
		if e.full {
			running = 2
		}
		_ = json.NewEncoder(w).Encode(lab.Object{"Stage": "unified", "Models": []lab.Object{{"Name": lab.Model, "Version": 1, "Adapters": []string{}}},
			"layers": lab.Object{"From": 0, "Target": 1, "Version": 1}, "Busy": false, "Sequence": 0, "Queued": 0, "Running": running, "KvUsed": 1179900, "KvTotal": 1180000, "Handles": 0, "born": e.born})
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		e.staged(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"), r.URL.Path == "/order":
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	default:
		e.run(w, r)
	}
}

func (e *engine) staged(w http.ResponseWriter, r *http.Request) {
	if q := r.URL.Query().Get("ChunkCount"); q != "" {
		i, _ := strconv.Atoi(q)
		_, _ = w.Write(lab.PieceData(1, i))
		return
	}
	held := []int{}
	for i := range lab.Pieces {
		held = append(held, i)
	}
	_ = json.NewEncoder(w).Encode(lab.Object{"held": held})
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.full {
		e.l.Logf("worker %s: has no memory for %s after event %q", e.id, id, r.Header.Get("Last-Event-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.runs.Add(1)
	e.l.Logf("worker %s: runs %s after event %q", e.id, id, r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", "s."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		d := interval
		if e.preempts && n == pauseAfter+1 {
			d = pause
		}
		select {
		case <-r.Context().Done():
			e.l.Logf("worker %s: %s was left before event %d", e.id, id, n)
			return
		case <-time.After(d):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = rc.Flush()
	}
	e.whole.Add(1)
}

func (l *labRun) startEngine(id string, preempts, full bool) (*engine, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{l: l.Lab, id: id, addr: lis.Addr().String(), born: time.Now().UnixMilli(), preempts: preempts, full: full}
	go func() { _ = http.Serve(lis, e) }()
	l.Store.Put("servers/"+id, lab.Object{"Service": "llm", "Address": e.addr, "Zone": "a", "Version": "1", "Slots": 16, "State": "ready",
		"ColdLeftMs": 0, "Sequence": 1, "born": e.born, "Models": []lab.Object{{"Name": lab.Model, "Version": 1}}})
	return e, nil
}

type labRun struct{ *lab.Lab }

// stream sends one request for a stream on conn and returns how many events came, and whether the answer was whole.
func stream(l *lab.Lab, addr, id string) (n int, whole bool) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		l.Logf("client: %s: no channel: %v", id, err)
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	start := time.Now()
	_ = conn.SetDeadline(start.Add(6 * time.Second))
	body := "body of " + id
	_, _ = fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nModel: %s\r\nToken-Usage: 600,100\r\n"+
		"Prompt-Prefix: 5c1e07a2:40,%x:560\r\nContent-Length: %d\r\n\r\n%s", id, lab.Model, id, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		l.Logf("client: %s: no answer after %v: %v", id, time.Since(start).Round(time.Millisecond), err)
		return 0, false
	}
	b, err := io.ReadAll(res.Body)
	n = bytes.Count(b, []byte("\n\n"))
	l.Logf("client: %s: status %d, %d events after %v, end of the answer: %v", id, res.StatusCode, n, time.Since(start).Round(time.Millisecond), err)
	return n, err == nil
}

func play(lb *lab.Lab) (int, error) {
	l := &labRun{lb}
	origin := httptest.NewServer(http.HandlerFunc(lab.ServeOrigin))
	l.Config(3, []lab.Object{{"Name": "s", "Host": "h.example", "Prefix": "/s/", "Kind": "streaming", "TimeoutMs": 6000,
		"TargetLatencyMs": 400, "Priority": 1, "Service": "llm", "MaxAttempts": 2, "SessionAffinity": true, "Resumable": true, "TargetGapMs": 400}},
		[]lab.Object{{"Name": "origin", "Origin": strings.TrimPrefix(origin.URL, "http://"), "Zone": "a", "LinkMbps": 9.9, "MaxConns": 48},
			{"Name": "llm", "HealthPath": "/health", "MaxConns": 304, "ColdPerS": 26, "Engine": lab.Object{"Slots": 16,
				"Models": []lab.Object{{"Name": lab.Model}}, "layers": 1, "Stride": 5, "step_ms": 8.87, "read_per_s": 19100}}}, nil)
	first, err := l.startEngine("i-e0", l.Trouble, false)
	if err != nil {
		return 0, err
	}
	second, err := l.startEngine("i-e1", false, true)
	if err != nil {
		return 0, err
	}
	for i, e := range []*engine{first, second} {
		if _, err := l.StartLoader(fmt.Sprintf("side-a-%d", i), "a", l.StoreAddr, e.addr, "llm"); err != nil {
			return 0, err
		}
	}
	g, err := l.StartGateway("frontend-a-1", "a", l.StoreAddr, maxFds)
	if err != nil {
		return 0, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var cut, whole, refused atomic.Int64
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n, ok := stream(lb, g.Front, fmt.Sprintf("stream%02d", i))
			switch {
			case ok && n == events:
				whole.Add(1)
			case n > 0:
				cut.Add(1)
			default:
				refused.Add(1)
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	l.Logf("SIGTERM to %s", g.Name)
	g.Signal(syscall.SIGTERM)
	wg.Wait()
	<-g.Done()
	l.Logf("%d streams whole, %d cut in the middle, %d without an event", whole.Load(), cut.Load(), refused.Load())
	if cut.Load() > 0 {
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

package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryMb is MemoryMb of a frontend machine.
	memoryMb = 284
	// bodyBytes is BodyBytes of the configuration, and smallBodyBytes the size on the sheet.
	bodyBytes      = 4194304
	smallBodyBytes = 600
	// bodyClients is the number of clients of the site file (32, 27 and 32). Each has one request at a
	// time.
	bodyClients = 91
	bodiesTime  = 20 * time.Second
)

// bodies sends long request bodies. A process that exceeds its memory is killed, as the platform
// does.
func bodies(dir string, rec *record, trouble bool) (bool, error) {
	d, err := newPlainDeployment(dir, rec, "unsafe")
	if err != nil {
		return false, err
	}
	defer d.stop()
	gateway := d.gateways[0]
	runs := &runs{received: map[string]bool{}}
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], fmt.Sprintf("127.%d.100.%d:%d", d.second, i+1, workerPort), workTime, d.store, rec)
		if err != nil {
			return false, err
		}
		w.began = runs.add
	}
	time.Sleep(2 * time.Second)
	size := smallBodyBytes
	if trouble {
		size = bodyBytes
	}
	done, killed := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); killOverLimit(gateway, d.fronts[0], rec, done, killed) }()
	var answered, lost atomic.Int64
	for i := range bodyClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 6 * time.Second}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-killed:
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				bytes := size
				if n == 0 {
					// The first request shows that the channel is kept.
					bytes = smallBodyBytes
				}
				status, err := post(h, d.fronts[0], id, bytes)
				switch {
				case err == nil:
					answered.Add(1)
					rec.add("client: %s gets %d", id, status)
				case runs.has(id):
					lost.Add(1)
					rec.add("client: %s was run, and its channel ends without an answer: %v", id, err)
				default:
					rec.add("client: %s ends with %v", id, err)
				}
			}
		}()
	}
	select {
	case <-killed:
	case <-time.After(bodiesTime):
	}
	close(done)
	wg.Wait()
	rec.add("%d requests were answered, the first of each client among them; %d were run and ended without an answer; all but the first have %d bytes",
		answered.Load(), lost.Load(), size)
	// "more than three times"
	return lost.Load() > 3, nil
}

// runs holds the requests that workers began to work on.
type runs struct {
	mu       sync.Mutex
	received map[string]bool
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received[id] = true
}

func (r *runs) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received[id]
}

// killOverLimit kills a process whose memory exceeds memoryMb.
func killOverLimit(p *process, front string, rec *record, done <-chan struct{}, killed chan<- struct{}) {
	peak := 0
	for {
		select {
		case <-done:
			rec.add("%s had at most %d MB", p.name, peak)
			return
		case <-time.After(20 * time.Millisecond):
		}
		resident, unread := residentMb(p.cmd.Process.Pid), unreadMb(p.cmd.Process.Pid, front)
		peak = max(peak, resident+unread)
		if resident+unread > memoryMb {
			rec.add("%s has %d MB and %d MB received and not yet read, together more than %d: it is killed", p.name, resident, unread, memoryMb)
			_ = p.signal(syscall.SIGKILL)
			<-p.done
			close(killed)
			return
		}
	}
}

func residentMb(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) == 3 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// unreadMb returns the bytes that a process has received from its clients and not yet read, which
// count toward its memory.
func unreadMb(pid int, front string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	ap, parseErr := netip.ParseAddrPort(front)
	if err != nil || parseErr != nil {
		return 0
	}
	ip := ap.Addr().As4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], ap.Port())
	var unread int64
	for _, l := range strings.Split(string(b), "\n") {
		f := strings.Fields(l)
		if len(f) < 5 || f[1] != local || f[3] == "0A" {
			continue
		}
		if _, rx, ok := strings.Cut(f[4], ":"); ok {
			n, _ := strconv.ParseInt(rx, 16, 64)
			unread += n
		}
	}
	return int(unread >> 20)
}

func post(h *http.Client, front, id string, size int) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+routePrefix+"2f", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return 0, err
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "6000")
	req.Header.Set("Key", apiKey)
	res, err := h.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

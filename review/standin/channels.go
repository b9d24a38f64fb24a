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
	"unsafe"
)

const (
	// maxSockets is MaxFds of a frontend machine (4,100) without the 200 that are reserved for files.
	maxSockets = 3900
	// contactTime is ContactMs.
	contactTime = 3 * time.Second
	// drainTime is DrainMs.
	drainTime = 2 * time.Second
	// workers is the number of workers of the pool, which takes all requests of the sheet.
	workers      = 14
	requestsPerS = 192
	// workTime is the time for which a request holds a slot. It keeps all slots taken.
	workTime       = 1250 * time.Millisecond
	replacedAtOnce = 2 // x of the release
	replaceGap     = time.Second
	// newChannelClients is the number of clients that open a new channel each second.
	newChannelClients = 8
	channelsTime      = 110 * time.Second
	// afterTime is the time for which requests go on after the rule was broken. No worker is replaced
	// then.
	afterTime = 5 * time.Second
	// workerPort is the port of all workers, each of which has an address of its own.
	workerPort = 8744
)

// channels replaces the workers of a service one after the other, and opens new client channels
// meanwhile.
func channels(dir string, rec *record, trouble bool) (bool, error) {
	d, err := newPlainDeployment(dir, rec, "safe")
	if err != nil {
		return false, err
	}
	defer d.stop()
	gateway := d.gateways[0]
	if err := limitFiles(gateway.cmd.Process.Pid, maxSockets); err != nil {
		return false, err
	}
	n := 0
	var live []*worker
	start := func() error {
		n++
		addr := fmt.Sprintf("127.%d.%d.%d:%d", d.second, 100+n/200, 1+n%200, workerPort)
		w, err := newWorker(fmt.Sprintf("i-%d", n), zones[n%len(zones)], addr, workTime, d.store, rec)
		if err == nil {
			live = append(live, w)
		}
		return err
	}
	for range workers {
		if err := start(); err != nil {
			return false, err
		}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	var answered atomic.Int64
	load(&wg, d.fronts[0], requestsPerS, &answered, done)
	p := newProbe(d.fronts[0], d.ready[0], rec)
	wg.Add(1)
	go func() { defer wg.Done(); p.run(done) }()

	end := time.Now().Add(channelsTime)
	time.Sleep(3 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(replaceGap)
		pid := gateway.cmd.Process.Pid
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		rec.add("%s has %d descriptors, %d of them channels that their worker has closed; %d workers have been started; %d requests answered with success",
			gateway.name, len(fds), closedByWorker(pid), n, answered.Load())
		if p.broken.Load() {
			end = earlier(end, time.Now().Add(afterTime))
			continue
		}
		if !trouble {
			continue
		}
		for range replacedAtOnce {
			if err := start(); err != nil {
				return false, err
			}
			old := live[0]
			live = live[1:]
			wg.Add(1)
			go func() { defer wg.Done(); old.leave(drainTime) }()
		}
	}
	close(done)
	wg.Wait()
	select {
	case <-gateway.done:
		return false, fmt.Errorf("%s has ended", gateway.name)
	default:
	}
	if answered.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return p.broken.Load(), nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// closedByWorker returns the number of a process's channels to workers that the worker has closed
// and the process has not (CLOSE_WAIT).
func closedByWorker(pid int) (n int) {
	own := map[string]bool{}
	fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	for _, f := range fds {
		if target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, f.Name())); err == nil {
			own[target] = true
		}
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0
	}
	remote := fmt.Sprintf(":%04X", workerPort)
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 9 && strings.HasSuffix(f[2], remote) && f[3] == "08" && own["socket:["+f[9]+"]"] {
			n++
		}
	}
	return n
}

// limitFiles sets the number of descriptors that a process of the test may have.
func limitFiles(pid, n int) error {
	limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// load sends requests over kept channels, at a rate that does not depend on the answers.
func load(wg *sync.WaitGroup, front string, perS int, answered *atomic.Int64, done <-chan struct{}) {
	h := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1000, IdleConnTimeout: 12 * time.Second}, Timeout: 6 * time.Second}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n, t := 0, time.Now(); ; n++ {
			t = t.Add(time.Second / time.Duration(perS))
			select {
			case <-done:
				return
			case <-time.After(time.Until(t)):
			}
			id := fmt.Sprintf("c%07d", n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				if get(h, front, id) {
					answered.Add(1)
				}
			}()
		}
	}()
}

func get(h *http.Client, front, id string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+front+routePrefix+"2f", nil)
	if err != nil {
		return false
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "6000")
	req.Header.Set("Key", apiKey)
	res, err := h.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// probe opens new client channels each second, and asks whether the gateway is ready, on a kept
// channel, as the platform does.
type probe struct {
	front, ready string
	record       *record
	broken       atomic.Bool
}

func newProbe(front, ready string, rec *record) *probe {
	return &probe{front: front, ready: ready, record: rec}
}

// run looks for a span of contactTime in which the gateway said that it is ready and took no new
// channel, while seven clients or more tried.
func (p *probe) run(done <-chan struct{}) {
	h := &http.Client{Timeout: time.Second}
	var since time.Time
	tried := 0
	for round := 0; ; round++ {
		began := time.Now()
		ready := p.isReady(h)
		taken := p.open(round)
		ready = ready && p.isReady(h)
		if taken > 0 || !ready {
			since, tried = time.Time{}, 0
		} else {
			if since.IsZero() {
				since = began
			}
			tried += newChannelClients
		}
		p.record.add("new channels: %d of %d taken, ready: %v", taken, newChannelClients, ready)
		if !since.IsZero() && time.Since(since) > contactTime && tried >= 7 {
			p.record.add("no new channel was taken for %.1f s, while %d clients tried and the gateway said that it is ready: RECOVER is broken",
				time.Since(since).Seconds(), tried)
			p.broken.Store(true)
		}
		select {
		case <-done:
			return
		case <-time.After(time.Until(began.Add(time.Second))):
		}
	}
}

func (p *probe) isReady(h *http.Client) bool {
	res, err := h.Get(p.ready)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// open opens new channels, sends a request on each, and returns the number of those on which the
// gateway answered anything within a second, after which a client gives the attempt up. The
// requests are for a route that does not exist, which needs no worker.
func (p *probe) open(round int) int {
	var taken atomic.Int64
	var wg sync.WaitGroup
	for i := range newChannelClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.DialTimeout("tcp", p.front, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(c, "GET /nothing/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: p%d-%d\r\nDeadline-Ms: 1000\r\nKey: %s\r\n\r\n", routeHost, round, i, apiKey)
			if _, err := bufio.NewReader(c).ReadString('\n'); err == nil {
				taken.Add(1)
			}
		}()
	}
	wg.Wait()
	return int(taken.Load())
}

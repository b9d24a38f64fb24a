//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// traffic sends requests at a steady rate to each gateway until it is stopped.
type traffic struct {
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex // guards the following
	statuses map[string]int
	sentAt   map[string]time.Time
}

// startTraffic sends perSecond requests to each gateway at equal intervals, each with an id of its own, on kept
// channels.
func startTraffic(gs []*gateway, method, path string, perSecond int) *traffic {
	return startTrafficWith(gs, method, path, nil, perSecond)
}

// startTrafficWith is the same with requests that prepare has completed.
func startTrafficWith(gs []*gateway, method, path string, prepare func(req *http.Request, id string), perSecond int) *traffic {
	return start(gs, method, path, prepare, func() time.Duration { return time.Second / time.Duration(perSecond) })
}

// startSparseTraffic is the same with perSecond requests on average, at random times.
func startSparseTraffic(gs []*gateway, method, path string, perSecond float64) *traffic {
	return start(gs, method, path, nil, func() time.Duration { return time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)) })
}

func start(gs []*gateway, method, path string, prepare func(req *http.Request, id string), interval func() time.Duration) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{stop: cancel, statuses: map[string]int{}, sentAt: map[string]time.Time{}}
	for n, g := range gs {
		client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer client.CloseIdleConnections()
			next := time.Now()
			for i := 0; ; i++ {
				next = next.Add(interval())
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(next)):
				}
				id := fmt.Sprintf("g%d-%06d", n, i)
				t.wg.Add(1)
				go func() {
					defer t.wg.Done()
					t.send(client, method, "http://"+g.callers+path, id, prepare)
				}()
			}
		}()
	}
	return t
}

func (t *traffic) send(client *http.Client, method, url, id string, prepare func(req *http.Request, id string)) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		panic(err) // the arguments are constant
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	if prepare != nil {
		prepare(req, id)
	}
	t.mu.Lock()
	t.sentAt[id] = time.Now()
	t.mu.Unlock()
	outcome := "no answer"
	if res, err := client.Do(req); err == nil {
		outcome = fmt.Sprint(res.StatusCode)
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	t.mu.Lock()
	t.statuses[outcome]++
	t.mu.Unlock()
}

// end stops the traffic and waits for the answers.
func (t *traffic) end(r *record) {
	t.stop()
	t.wg.Wait()
	r.printf("clients sent %d requests and got %v", len(t.sentAt), t.statuses)
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// client sends requests through a gateway at intervals until done is closed.
func client(front string, rec *record, prefix string, interval time.Duration, done <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Add(1)
	h := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32}, Timeout: 6 * time.Second}
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			id := fmt.Sprintf("%s%06d", prefix, n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				request(h, front, rec, id)
			}()
		}
	}()
	return &wg
}

func request(h *http.Client, front string, rec *record, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+routePrefix+"2f", strings.NewReader("prompt of "+id))
	if err != nil {
		return
	}
	req.Host = routeHost
	for k, v := range map[string]string{"Request-Id": id, "Model": model, "Token-Usage": "1290,100", "Prompt-Prefix": "5c1e07a2:40," + hexOf(id) + ":1250",
		"Deadline-Ms": "6000", "Key": apiKey, "Content-Type": "application/json"} {
		req.Header.Set(k, v)
	}
	res, err := h.Do(req)
	if err != nil {
		rec.add("client: %s ends with %v", id, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	n := 0
	sc := bufio.NewScanner(res.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "id: ") {
			n++
		}
	}
	_, _ = io.Copy(io.Discard, res.Body)
	rec.add("client: %s gets %d, version %s, %d events", id, res.StatusCode, res.Header.Get("Weight-Versions"), n)
}

func hexOf(s string) string { return fmt.Sprintf("%x", s) }

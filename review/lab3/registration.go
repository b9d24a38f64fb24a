//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	// lateBy is how long after its call the store does a write whose answer is lost.
	lateBy = 4 * time.Second
	// downTime is how long a killed process is down.
	downTime = 1300 * time.Millisecond
)

// loaderSettings is deploy/loader.ini with the values of a small deployment. The verbs are the id, the admin
// and the internal address, and the addresses of the store and of the engine.
const loaderSettings = `[node]
id = %s
admin = %s
domain = zone-a
regions = zone-a=region-a,zone-b=region-b,zone-c=region-c

[listen]
internal = %s

[platform]
address = %s

[engine]
address = %s
service = llm

[limits]
weights_bound = 8000ms
link_mbit = 7.6
memory = 152MiB
`

// lossyStore is a store that, while it is armed, does the registration of a gateway late and loses the answer.
type lossyStore struct {
	http.Handler
	d     *deployment
	key   string
	armed atomic.Bool
}

// ServeHTTP implements http.Handler.
func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/kv-txn" || !s.armed.Load() {
		s.Handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !bytes.Contains(body, []byte(`"`+s.key+`"`)) || !s.armed.CompareAndSwap(true, false) {
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.Handler.ServeHTTP(w, r)
		return
	}
	s.d.record.printf("the store loses its answer to the write of %s, which it does %v later", s.key, lateBy)
	time.AfterFunc(lateBy, func() {
		rec := httptest.NewRecorder()
		s.Handler.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/kv-txn", bytes.NewReader(body)))
		s.d.record.printf("the store does the late write of %s: status %d", s.key, rec.Code)
	})
	<-r.Context().Done()
}

// addLoader starts the loader of an engine.
func (d *deployment) addLoader(name string, e *platformtest.Target) error {
	var addrs [2]string
	for i := range addrs {
		a, err := freeAddr()
		if err != nil {
			return err
		}
		addrs[i] = a
	}
	g := &gateway{name: name, config: filepath.Join(d.dir, name+".ini"), command: loaderCommand}
	text := fmt.Sprintf(loaderSettings, name, addrs[0], addrs[1], d.storeAt, e.Address())
	if err := os.WriteFile(g.config, []byte(text), 0o600); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	return d.start(g)
}

// startEngines starts the origin of weights, two engines that hold version 1 and their loaders, and writes a
// configuration with a route to them.
func (d *deployment) startEngines() error {
	var origin platformtest.Origin
	originAt, err := d.serve(&origin)
	if err != nil {
		return err
	}
	d.putConfig(map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "reports", "Host": host, "Prefix": "/reports/", "Kind": "streaming", "Service": "llm", "MaxAttempts": 2, "TimeoutMs": 6000,
			"TargetLatencyMs": 400, "Priority": 1, "SessionAffinity": true, "Resumable": true, "TargetGapMs": 400,
		}},
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
		"Services": []map[string]any{
			{"Name": "origin", "Origin": originAt, "Zone": "zone-a", "LinkMbps": 9.9, "MaxConns": 48},
			{"Name": "llm", "MaxConns": 200, "ColdPerS": 26, "Engine": map[string]any{
				"Slots": platformtest.Slots, "Models": []map[string]any{{"Name": platformtest.Model}}, "layers": 1, "Stride": 5, "step_ms": 1, "read_per_s": 100000,
			}},
		},
	})
	d.declare(1)
	d.recorder = platformtest.NewRecorder()
	for i := range 2 {
		at, err := freeAddr()
		if err != nil {
			return err
		}
		e := platformtest.NewTarget(fmt.Sprintf("e-%d", i), "llm", "zone-a", true, d.recorder, d.store)
		if err := e.Start(at, 1); err != nil {
			return err
		}
		d.closers, d.engines = append(d.closers, e.Crash), append(d.engines, e)
		if err := d.addLoader(fmt.Sprintf("loader-%d", i), e); err != nil {
			return err
		}
	}
	return nil
}

// declare names a version of the weights.
func (d *deployment) declare(version int) {
	d.store.Put("op/version/"+platformtest.Model, map[string]any{"Model": platformtest.Model, "Version": version})
	d.record.printf("version %d is named", version)
}

// lostRegistration kills a gateway right after the store has lost its answer to the gateway's registration, which
// it does late. All gateways are killed and start again, and new weights are named.
func lostRegistration(d *deployment, trouble bool) ([]string, error) {
	lossy := &lossyStore{Handler: pagedStore{d.store}, d: d, key: "masticwing/members/gateway-1"}
	var err error
	if d.storeAt, err = d.serve(lossy); err != nil {
		return nil, err
	}
	if err := d.startEngines(); err != nil {
		return nil, err
	}
	g, err := d.addGateway("gateway-1", "zone-a")
	if err != nil {
		return nil, err
	}
	before := startStreams(d.gateways[len(d.gateways)-1:])
	time.Sleep(5 * time.Second)
	lossy.armed.Store(trouble)
	if err := d.restart(g); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	before.end(d.record)
	d.changeConfig()
	d.record.printf("the final fault")
	if err := d.restart(g); err != nil {
		return nil, err
	}
	back := time.Now()
	time.Sleep(7 * time.Second)
	d.declare(2)
	time.Sleep(time.Until(back.Add(recoverTime)))
	after := startStreams([]*gateway{g})
	time.Sleep(40 * time.Second)
	after.end(d.record)
	for _, e := range d.engines {
		d.record.printf("engine %s holds version %d", e.ID, e.WeightsVersion())
	}
	for _, l := range append(g.logLines("number of gateways"), g.logLines("registered in")...) {
		d.record.printf("log of %s: %s", g.name, l)
	}
	if err := g.awaitReady(); err != nil {
		return nil, err
	}
	sent, served := len(after.sentAt), after.statuses["200"]
	d.record.printf("served before the final fault %d of %d, later than %v after the start %d of %d; gateway-1 says that it is ready",
		before.statuses["200"], len(before.sentAt), recoverTime, served, sent)
	if 4*before.statuses["200"] < len(before.sentAt) {
		return nil, fmt.Errorf("under a quarter was served before the fault")
	}
	if 4*served < sent {
		return []string{fmt.Sprintf("RECOVER: of %d requests sent later than %v after the gateways were back, %d were served", sent, recoverTime, served)}, nil
	}
	return nil, nil
}

// restart kills a process and starts it again.
func (d *deployment) restart(g *gateway) error {
	if err := g.cmd.Process.Kill(); err != nil {
		return err
	}
	<-g.exited
	d.record.printf("killed %s", g.name)
	time.Sleep(downTime)
	return d.start(g)
}

// startStreams sends 15 streams a second to each gateway.
func startStreams(gs []*gateway) *traffic {
	return startTrafficWith(gs, http.MethodPost, "/reports/day", func(req *http.Request, id string) {
		body := "body of " + id
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		req.Header.Set("Model", platformtest.Model)
		req.Header.Set("Token-Usage", "100,60")
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%08x:60", uint32(time.Now().UnixNano())))
	}, 15)
}

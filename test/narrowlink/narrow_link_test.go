// Package narrowlink runs the gateways of a failure domain behind one link to the store, and checks that they follow
// the operators' configuration once the link was narrow for some seconds.
package narrowlink

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/platform/platformtest"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	// gateways is the number of gateways behind the link, and idleRoutes that of the routes without requests. A
	// configuration of so many has some 700 KB, two thirds of the longest value that the store takes.
	gateways, idleRoutes = 10, 3000
	// wideRate and narrowRate are the rates of the link, 32 and 8 Mbit/s.
	wideRate, narrowRate = 32e6 / 8, 8e6 / 8
	narrowTime           = 5500 * time.Millisecond
	// configBound is the time within which a configuration has to be in force at a process that is in touch with
	// the store, and contactTime the time after an impairment from which on it is in touch.
	configBound, contactTime = 3 * time.Second, 4 * time.Second
	startTimeout             = 30 * time.Second
)

// domainBehindLink is a failure domain b, in region rb, whose gateways share a link to the store, and a domain a, in
// region ra, with a target only.
type domainBehindLink struct {
	t       *testing.T
	h       *harness.Harness
	relay   *relay.Relay
	store   *platformtest.Store
	callers []string // addresses at which the gateways serve callers
	version int64
	sent    atomic.Int64
}

const linkRoute = "store"

func newDomainBehindLink(t *testing.T) *domainBehindLink {
	h, err := harness.New(t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	d := &domainBehindLink{t: t, h: h, relay: relay.New(), store: platformtest.NewStore()}
	t.Cleanup(d.relay.Close)
	server := httptest.NewServer(d.store)
	t.Cleanup(func() { go server.Close() })
	link := h.FreeAddr()
	if err := d.relay.AddRoute(linkRoute, link, strings.TrimPrefix(server.URL, "http://")); err != nil {
		t.Fatal(err)
	}
	d.setRate(wideRate)
	d.putConfig(0, "ra")
	recorder := platformtest.NewRecorder()
	for _, domain := range []string{"a", "b"} {
		if err := platformtest.NewTarget("s-r"+domain, "desk", domain, false, recorder, d.store).Start(h.FreeAddr(), 0); err != nil {
			t.Fatal(err)
		}
	}
	for i := range gateways {
		d.startGateway(fmt.Sprintf("gateway-b-%02d", i), link)
	}
	return d
}

func (d *domainBehindLink) startGateway(name, link string) {
	callers := d.h.FreeAddr()
	path, err := d.h.WriteFile(name+".ini", fmt.Sprintf("[node]\nid = %s\nadmin = %s\ndomain = b\nregions = a=ra,b=rb\n"+
		"[listen]\ncallers = %s\nready = %s\ninternal = %s\n[platform]\naddress = %s\n[limits]\nmemory = 256MiB\n",
		name, d.h.FreeAddr(), callers, d.h.FreeAddr(), d.h.FreeAddr(), link))
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := d.h.Start(name, "masticwing-gateway", "run", "--config", path); err != nil {
		d.t.Fatal(err)
	}
	d.callers = append(d.callers, callers)
}

func (d *domainBehindLink) setRate(bytesPerSecond int64) {
	if err := d.relay.SetFaults(linkRoute, relay.Faults{BytesPerSecond: bytesPerSecond}); err != nil {
		d.t.Fatal(err)
	}
}

type object = map[string]any

// putConfig sets a configuration with idle routes, in which the route /bound/ is bound to a region. A route of each
// version shows whether a gateway uses it.
func (d *domainBehindLink) putConfig(idle int, region string) {
	d.version++
	route := func(name, prefix string) object {
		return object{"Name": name, "Host": "h.example", "Prefix": prefix, "Kind": "safe", "TimeoutMs": 1000, "TargetLatencyMs": 100,
			"Service": "desk", "MaxAttempts": 2, "Anonymous": true}
	}
	bound := route("bound", "/bound/")
	bound["AllowedRegions"] = []string{region}
	routes := []object{bound, route("version", d.versionPath())}
	for i := range idle {
		routes = append(routes, route(fmt.Sprintf("idle-%06d", i), fmt.Sprintf("/idle-%06d/", i)))
	}
	d.store.Put("op/config", object{
		"Version": d.version, "Routes": routes, "Tenants": []object{{"Name": "t", "ApiKeys": []string{"k"}}},
		"Limits":   object{"HeaderBytes": 16384, "BodyBytes": 65536, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
		"Services": []object{{"Name": "desk", "MaxConns": 100}},
	})
}

func (d *domainBehindLink) versionPath() string { return fmt.Sprintf("/version-%d/", d.version) }

// get sends a request to a gateway and returns the status, or zero without a response, and the target that served it.
func (d *domainBehindLink) get(gateway int, path string) (status int, target string) {
	id := fmt.Sprintf("%016x", d.sent.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.callers[gateway]+path+"x", nil)
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "900")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	_ = res.Body.Close()
	for _, t := range []string{"s-ra", "s-rb"} {
		if res.Header.Get("Response-Signature") == platformtest.Signature(t, id) {
			target = t
		}
	}
	return res.StatusCode, target
}

// getServed sends a request up to three times, until it is served: a gateway may have no place or no connection for one.
func (d *domainBehindLink) getServed(gateway int, path string) (status int, target string) {
	for range 3 {
		if status, target = d.get(gateway, path); status == http.StatusOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, target
}

// late returns the gateways that do not serve the route of the current version. It asks all at the same time.
func (d *domainBehindLink) late() []int {
	var wg conc.WaitGroup
	served := make([]bool, len(d.callers))
	for i := range d.callers {
		wg.Go(func() {
			status, _ := d.getServed(i, d.versionPath())
			served[i] = status == http.StatusOK
		})
	}
	wg.Wait()
	var out []int
	for i, ok := range served {
		if !ok {
			out = append(out, i)
		}
	}
	return out
}

// awaitVersion waits until all gateways serve the route of the current version.
func (d *domainBehindLink) awaitVersion() {
	d.t.Helper()
	for start := time.Now(); len(d.late()) > 0; time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > startTimeout {
			d.h.DumpOutput()
			d.t.Fatalf("gateways %v do not use version %d within %v", d.late(), d.version, startTimeout)
		}
	}
}

// TestRequestsStayInRegionsAfterNarrowLink guards against gateways that stay on a replaced configuration, and so send
// requests to earlier regions, since each of them fetches it whole again and again over a link that was narrow.
func TestRequestsStayInRegionsAfterNarrowLink(t *testing.T) {
	d := newDomainBehindLink(t)
	d.awaitVersion()
	d.putConfig(idleRoutes, "ra")
	d.awaitVersion()
	d.setRate(narrowRate)
	d.putConfig(idleRoutes, "rb")
	time.Sleep(narrowTime)
	d.setRate(wideRate)
	time.Sleep(contactTime - configBound)
	for _, region := range []string{"ra", "rb", "ra"} {
		d.putConfig(idleRoutes, region)
		time.Sleep(configBound)
		if late := d.late(); len(late) > 0 {
			t.Errorf("gateways %v do not use version %d %v after it was set", late, d.version, configBound)
		}
		for i := range d.callers {
			if status, target := d.getServed(i, "/bound/"); target != "s-"+region {
				t.Errorf("gateway %d: a request bound to region %s is served by %q, status %d", i, region, target, status)
			}
		}
		time.Sleep(3 * time.Second)
	}
	if t.Failed() {
		d.h.DumpOutput()
	}
}

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// Package abuse runs the system's processes beside callers that keep to no limit: bodies that stop short of
// their end, and bodies far over the limit. It checks what does not depend on the machine's speed: that the
// process lives, that its memory and descriptors stay under their bounds, and that ordinary requests are served.
package abuse

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/masticwing/masticwing/platform/platformtest"
	"github.com/masticwing/masticwing/test/harness"
)

// Limits of the gateway under test. They are low, so that a small crowd exceeds them. A gateway of the smallest
// deployment has 184 MB for 4,100 descriptors, about as many bytes for each one.
const (
	gatewayMemoryMiB   = 64
	gatewayDescriptors = 1400
	gatewayCrowd       = 1600
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

type object = map[string]any

// gatewayTest is a gateway as a process, with a plain service.
type gatewayTest struct {
	*crowdTest
	recorder *platformtest.Recorder
}

// startGateway starts the stand-ins and the gateway.
func startGateway(t *testing.T) *gatewayTest {
	t.Helper()
	h := harness.ForTest(t)
	store, recorder := platformtest.NewStore(), platformtest.NewRecorder()
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() { go storeServer.Close() })
	store.Put("op/config", object{
		"Version": 3,
		"Routes": []object{{"Name": "once", "Host": "h", "Prefix": "/w/", "Kind": "unsafe", "TimeoutMs": 5000, "TargetLatencyMs": 100,
			"Service": "desk", "MaxAttempts": 1}},
		"Limits":   object{"HeaderBytes": 16384, "BodyBytes": platformtest.LongBodyBytes, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
		"Services": []object{{"Name": "desk", "MaxConns": 100}},
	})
	target := platformtest.NewTarget("s-a", "desk", "a", false, recorder, store)
	if err := target.Start(h.FreeAddr(), 1); err != nil {
		t.Fatal(err)
	}
	callers, ready := h.FreeAddr(), h.FreeAddr()
	config, err := h.WriteFile("gateway.ini", fmt.Sprintf("[node]\nid = gateway\nadmin = %s\ndomain = a\nregions = a=ra\n[listen]\ncallers = %s\nready = %s\n"+
		"internal = %s\n[platform]\naddress = %s\n[limits]\nmemory = %dMiB\ndescriptors = %d\n",
		h.FreeAddr(), callers, ready, h.FreeAddr(), strings.TrimPrefix(storeServer.URL, "http://"), gatewayMemoryMiB, gatewayDescriptors))
	if err != nil {
		t.Fatal(err)
	}
	p, err := h.Start("gateway", "masticwing-gateway", "run", "--config", config)
	if err != nil {
		t.Fatal(err)
	}
	g := &gatewayTest{recorder: recorder, crowdTest: &crowdTest{
		t: t, process: p, callers: callers, healthURL: "http://" + ready + "/ready", memoryMiB: gatewayMemoryMiB, descriptors: gatewayDescriptors, bodyBytes: platformtest.LongBodyBytes,
		head: func(id, framing string) string {
			// The caller states that it waits for an hour.
			return fmt.Sprintf("POST /w/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 3600000\r\n%s\r\n", id, framing)
		},
		body: func(id string) string { return "body of " + id },
	}}
	g.serveOrdinary("start")
	return g
}

// check fails the test if a target got a request of the crowd, or a changed one.
func (g *gatewayTest) check() {
	g.t.Helper()
	g.crowdTest.check()
	for id := range g.recorder.Executions() {
		if strings.HasPrefix(id, crowdPrefix) {
			g.t.Errorf("request %s ran, although its body never ended", id)
		}
	}
	for _, v := range g.recorder.Violations() {
		g.t.Error(v)
	}
}

// TestGatewayBesideUnfinishedBodies guards against a gateway that runs out of memory or descriptors, or serves
// nobody any more, because of callers whose bodies stop short of their end and that stay connected.
func TestGatewayBesideUnfinishedBodies(t *testing.T) {
	for name, write := range map[string]writer{
		"small chunks": smallChunks, "one-byte chunks": tinyChunks, "large chunk": largeChunk, "announced": announced, "long header": longHeader,
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			g.run(gatewayCrowd, write)
			g.check()
		})
	}
}

// TestGatewayBesideBodiesOverLimit is the same for bodies far over the limit.
func TestGatewayBesideBodiesOverLimit(t *testing.T) {
	for name, write := range map[string]writer{"announced": announcedOverLimit, "chunked": chunkedOverLimit} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			g.run(gatewayCrowd, write)
			g.check()
		})
	}
}

// TestGatewayBesideLongHeaders is the same for headers that never end, far over the limit.
func TestGatewayBesideLongHeaders(t *testing.T) {
	g := startGateway(t)
	g.run(gatewayCrowd, endlessHeader)
	g.check()
}

// TestGatewayBesideAllKinds is the same for all kinds of such callers at once.
func TestGatewayBesideAllKinds(t *testing.T) {
	g := startGateway(t)
	g.run(gatewayCrowd, smallChunks, tinyChunks, largeChunk, announced, longHeader, announcedOverLimit, chunkedOverLimit)
	g.check()
}

// TestGatewayServesLongestBody guards against limits that refuse a single request inside those of the configuration.
func TestGatewayServesLongestBody(t *testing.T) {
	g := startGateway(t)
	for name, chunk := range map[string]int{"announced": 0, "chunks": 1000, "one chunk": platformtest.LongBodyBytes} {
		if status, err := g.sendLongBody("long"+strings.ReplaceAll(name, " ", ""), chunk); err != nil || status != 200 {
			t.Errorf("%s: status %d, %v", name, status, err)
		}
	}
	g.check()
}

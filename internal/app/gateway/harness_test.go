package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/app/registration"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/response"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// decodedItems is a port.ItemDecoder that returns the decoded item stored under an item's
// key. A nil value makes the item unreadable.
type decodedItems map[string]port.DecodedItem

func (m decodedItems) Prefixes() port.Prefixes {
	return port.Prefixes{Operator: "op/", Config: "op/config", Targets: "targets/", Members: "members/", Quarantine: "quarantine/", Duties: "duties/"}
}
func (m decodedItems) CordonKey(d fleet.Domain) string { return "op/cordon/" + string(d) }
func (m decodedItems) Decode(it port.StoreItem) (port.DecodedItem, error) {
	if m[it.Key] == nil {
		return nil, fmt.Errorf("%s can't be read", it.Key)
	}
	return m[it.Key], nil
}

// scriptedReply is the outcome of one request sent through a forwarder.
type scriptedReply struct {
	err    error
	status int
	// body holds the data of each read, and bodyErr the error after the last one; nil
	// stands for io.EOF.
	body    []string
	bodyErr error
	// delay is the time before the response, and interval the time before each read of
	// the body. Both end early with the request.
	delay, interval time.Duration
	// announced is what the head of the response states about further requests.
	announced port.TargetAnnouncement
	// load and speed are what the response states.
	load  *port.TargetLoad
	speed port.TargetSpeed
	// connecting is called while the connection opens.
	connecting func()
}

// noConnections is the part of a port.Forwarder without connections.
type noConnections struct{}

func (noConnections) CloseIdle(func(fleet.Address) bool) {}
func (noConnections) Connections() (open, idle int)      { return 0, 0 }

// forwarder is a port.Forwarder that returns replies in order, and then status 200. It
// records each request and its address.
type forwarder struct {
	noConnections
	mu      sync.Mutex
	replies []scriptedReply
	sent    []port.Forward
	to      []fleet.Address
	// withdrawn counts the requests that were not sent because of Forward.MaySend.
	withdrawn int
}

func (fw *forwarder) Forward(ctx context.Context, to fleet.Address, f port.Forward) (*port.ForwardResponse, error) {
	fw.mu.Lock()
	fw.sent, fw.to = append(fw.sent, f), append(fw.to, to)
	sent := len(fw.sent)
	r := scriptedReply{status: 200, body: []string{"ok"}}
	if n := len(fw.sent); n <= len(fw.replies) {
		r = fw.replies[n-1]
	}
	fw.mu.Unlock()
	if r.connecting != nil {
		r.connecting()
	}
	if !f.MaySend() {
		fw.mu.Lock()
		fw.withdrawn++
		fw.mu.Unlock()
		return nil, verdict.Wrap(&port.RefusedError{Reason: port.RefusalWithdrawn}, verdict.NotRun, verdict.CodeTargetFull, "withdrawn")
	}
	if err := wait(ctx, r.delay); err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTargetLost, "no response")
	}
	if r.announced != (port.TargetAnnouncement{}) {
		f.Announced(r.announced)
	}
	if r.err != nil {
		return nil, r.err
	}
	if r.bodyErr == nil {
		r.bodyErr = io.EOF
	}
	return &port.ForwardResponse{Status: r.status, Header: port.Header{"X-Run": {fmt.Sprint(sent)}}, Length: -1, Body: &bodyReader{ctx, r.body, r.bodyErr, r.interval}, Load: r.load, Speed: r.speed}, nil
}

// wait waits for d or until ctx ends, and returns the error of ctx.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// bodyReader returns one segment per read, and err after the last one.
type bodyReader struct {
	ctx      context.Context
	segments []string
	err      error
	interval time.Duration
}

func (p *bodyReader) Read(b []byte) (int, error) {
	if err := wait(p.ctx, p.interval); err != nil {
		return 0, err
	}
	if len(p.segments) == 0 {
		return 0, p.err
	}
	n := copy(b, p.segments[0])
	p.segments = p.segments[1:]
	return n, nil
}
func (p *bodyReader) Close() error { return nil }

// callerRecorder is a port.ResponseWriter that records the response. misuse is the first
// call that did not fit the progress of the response.
type callerRecorder struct {
	status   int
	header   port.Header
	body     bytes.Buffer
	refused  *verdict.Error
	aborted  bool
	progress response.Progress
	misuse   error
	// failAfter is the number of calls of Data after which the caller has disconnected;
	// zero means never.
	failAfter, dataCalls int
	// dataDelay is the time that each call of Data takes.
	dataDelay time.Duration
}

func (c *callerRecorder) check(err error) error {
	if err != nil && c.misuse == nil {
		c.misuse = err
	}
	return err
}

func (c *callerRecorder) Head(h port.ResponseHead) error {
	if err := c.check(c.progress.Begin()); err != nil {
		return err
	}
	c.status, c.header = h.Status, h.Header
	return nil
}

func (c *callerRecorder) Data(b []byte) error {
	if err := c.check(c.progress.Continue()); err != nil {
		return err
	}
	time.Sleep(c.dataDelay)
	if c.dataCalls++; c.failAfter > 0 && c.dataCalls > c.failAfter {
		return errors.New("caller has disconnected")
	}
	c.body.Write(b)
	return nil
}

func (c *callerRecorder) End() error { return c.check(c.progress.End()) }

func (c *callerRecorder) Refuse(e *verdict.Error) error {
	if err := c.check(c.progress.Refuse()); err != nil {
		return err
	}
	c.refused = e
	return nil
}

func (c *callerRecorder) Abort() {
	c.progress.Abort()
	c.aborted = true
}

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

// clock is the system clock with a time since boot that tests control.
type clock struct {
	sysclock.Clock
	mu        sync.Mutex
	sinceBoot time.Duration
}

func (c *clock) SinceBoot() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sinceBoot
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sinceBoot += d
}

// testGateway is a gateway with one service, which has a target in domain a and one in
// domain b. It does not run; tests apply changes of the store directly.
type testGateway struct {
	// stopReports ends the reports of useEngines.
	stopReports func()
	*Gateway
	t            *testing.T
	forwarder    *forwarder
	clock        *clock
	decodedItems decodedItems
	log          *bytes.Buffer
}

var route = routes.Route{
	Name: "r", Host: "h", Prefix: "/p/", Kind: routes.Safe, Timeout: 2 * time.Second, LatencyObjective: 100 * time.Millisecond,
	MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}},
}

// newTestGateway returns a gateway with route r whose view is confirmed and whose targets
// answer with replies.
func newTestGateway(t *testing.T, r routes.Route, replies ...scriptedReply) *testGateway {
	t.Helper()
	gw := newUnconfirmedGateway(t, r, replies...)
	gw.view.confirmations.Check(gw.clock.SinceBoot())
	return gw
}

// newUnconfirmedGateway is newTestGateway with a view that was never confirmed.
func newUnconfirmedGateway(t *testing.T, r routes.Route, replies ...scriptedReply) *testGateway {
	t.Helper()
	gw := &testGateway{t: t, forwarder: &forwarder{replies: replies}, clock: &clock{sinceBoot: time.Hour}, decodedItems: decodedItems{}, log: &bytes.Buffer{}}
	s := Settings{
		Settings: registration.Settings{Domain: "a", Regions: map[fleet.Domain]fleet.Region{"a": "ra", "b": "rb"}}, KeyBound: 5 * time.Second, ConfigBound: 2 * time.Second,
		WeightsBound: 8 * time.Second, DrainBound: 2 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, Memory: 64 * mib, Descriptors: 4096, TargetConnections: 128,
	}
	gw.Gateway = New(s, Deps{
		Decoder: gw.decodedItems, Targets: gw.forwarder, Clock: gw.clock, Rand: sysclock.Rand{}, Metrics: noMetrics{},
		Log: logging.New(gw.log, "masticwing-gateway", "g"),
	})
	gw.operatorFollower = follow.New(nil, "op/", time.Second, func() time.Duration { return time.Millisecond }, gw.clock, gw.deps.Log)
	gw.applyConfig(1, r)
	gw.view.applyMembers(follow.Event{Reset: true})
	gw.applyEvidence(follow.Event{Reset: true})
	for _, id := range []string{"a", "b"} {
		gw.applyItem("targets/"+id, 1, port.TargetItem{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: "s", Address: fleet.Address(id), Domain: fleet.Domain(id), Slots: 4,
		}})
	}
	return gw
}

func (gw *testGateway) applyConfig(version int64, rs ...routes.Route) {
	gw.applyItem("op/config", version, port.ConfigItem{Config: routes.Config{
		Version: version, Routes: rs, Services: []routes.Service{{Name: "s"}},
		Accounts: []routes.Account{{Name: "t", Keys: []string{"k"}}},
	}})
}

// applyItem applies a change of a key to the gateway's view.
func (gw *testGateway) applyItem(key string, revision int64, item port.DecodedItem) {
	gw.decodedItems[key] = item
	e := follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: key, Revision: revision}}}}
	if strings.HasPrefix(key, "op/") {
		gw.view.applyOperatorKeys(e)
	} else {
		gw.view.applyTargets(e)
	}
}

func newInbound() *port.InboundRequest {
	return &port.InboundRequest{
		ID: "1", Method: "GET", Host: "h", URI: "/p/x", Path: "/p/x", APIKey: "k", Header: port.Header{},
		ReceivedAt: time.Now(), CallerTimeout: time.Second,
	}
}

func (gw *testGateway) request(in *port.InboundRequest) *callerRecorder {
	return gw.respond(in, &callerRecorder{})
}

// respond serves a request to c. It fails the test if a call does not fit the progress of the response.
func (gw *testGateway) respond(in *port.InboundRequest, c *callerRecorder) *callerRecorder {
	gw.t.Helper()
	gw.Serve(context.Background(), in, c)
	c.aborted = !c.progress.Complete()
	if c.misuse != nil {
		gw.t.Errorf("the gateway goes on with a response that does not allow it: %v", c.misuse)
	}
	return c
}

// useEngines makes the targets model engines that hold weights and whose loaders report their load
// until the test ends.
func (gw *testGateway) useEngines(r routes.Route) {
	gw.applyItem("op/config", 2, port.ConfigItem{Config: routes.Config{
		Version: 2, Routes: []routes.Route{r}, Services: []routes.Service{{Name: "s", Engine: &routes.Engine{Slots: 4, Models: []fleet.Model{"m"}}}},
		Accounts: []routes.Account{{Name: "t", Keys: []string{"k"}}},
	}})
	for _, id := range []string{"a", "b"} {
		gw.applyItem("targets/"+id, 2, port.TargetItem{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: "s", Address: fleet.Address(id), Domain: fleet.Domain(id), Slots: 4,
			Held: []port.ModelWeights{{Model: "m", Number: 1}},
		}})
	}
	report := func() {
		for _, id := range []fleet.Instance{"a", "b"} {
			gw.targets.RecordLoad(id, placement.Load{Slots: 4}, time.Now())
			gw.targets.RecordLoadedWeights(fleet.Address(id), 0, placement.LoadedWeights{Intact: 1}, time.Now())
		}
	}
	report()
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			report()
		}
	})
	gw.stopReports = func() { cancel(); wg.Wait() }
	gw.t.Cleanup(gw.stopReports)
}

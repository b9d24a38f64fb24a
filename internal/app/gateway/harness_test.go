package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/enroll"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// facts is a reader of items whose value names an entry of the map.
type facts map[string]port.Fact

func (f facts) Prefixes() port.Prefixes {
	return port.Prefixes{Operator: "op/", Targets: "targets/", Members: "members/"}
}
func (f facts) CordonKey(d fleet.Domain) string { return "op/cordon/" + string(d) }
func (f facts) Read(it port.Item) (port.Fact, error) {
	if f[it.Key] == nil {
		return nil, fmt.Errorf("%s can't be read", it.Key)
	}
	return f[it.Key], nil
}

// reply is what a target does with a request.
type reply struct {
	err    error
	status int
	// body is read piece by piece; end is the error behind it, io.EOF if nil.
	body []string
	end  error
	// wait is the time before the answer; it ends with the request.
	wait time.Duration
}

type target struct {
	mu      sync.Mutex
	replies []reply
	sent    []port.Forward
	to      []fleet.Address
}

func (t *target) Forward(ctx context.Context, to fleet.Address, f port.Forward) (*port.ForwardAnswer, error) {
	t.mu.Lock()
	t.sent, t.to = append(t.sent, f), append(t.to, to)
	r := reply{status: 200, body: []string{"ok"}}
	if n := len(t.sent); n <= len(t.replies) {
		r = t.replies[n-1]
	}
	t.mu.Unlock()
	if r.wait > 0 {
		select {
		case <-ctx.Done():
			return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeTargetLost, "no answer")
		case <-time.After(r.wait):
		}
	}
	if r.err != nil {
		return nil, r.err
	}
	if r.end == nil {
		r.end = io.EOF
	}
	return &port.ForwardAnswer{Status: r.status, Header: port.Header{"X-Run": {fmt.Sprint(len(t.sent))}}, Length: -1, Body: &pieces{r.body, r.end}}, nil
}

// pieces returns one piece for each read.
type pieces struct {
	left []string
	end  error
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, p.end
	}
	n := copy(b, p.left[0])
	p.left = p.left[1:]
	return n, nil
}
func (p *pieces) Close() error { return nil }

// caller records the answer to a request.
type caller struct {
	status  int
	header  port.Header
	body    bytes.Buffer
	refused *verdict.Error
	aborted bool
}

func (c *caller) Head(h port.OutboundHead) error {
	c.status, c.header = h.Status, h.Header
	return nil
}
func (c *caller) Data(b []byte) error {
	c.body.Write(b)
	return nil
}
func (c *caller) Refuse(e *verdict.Error) { c.refused = e }
func (c *caller) Abort()                  { c.aborted = true }

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

// clock is the system clock with a time since boot that tests move.
type clock struct {
	sysclock.Clock
	mu   sync.Mutex
	boot time.Duration
}

func (c *clock) SinceBoot() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.boot
}

func (c *clock) forward(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boot += d
}

// bed is a gateway with two targets of one service in domains a and b.
type bed struct {
	*Gateway
	target *target
	clock  *clock
	facts  facts
	log    *bytes.Buffer
}

var route = routes.Route{
	Name: "r", Host: "h", Prefix: "/p/", Kind: routes.Safe, Timeout: 2 * time.Second, LatencyObjective: 100 * time.Millisecond,
	MaxAttempts: 2, Shares: []routes.Share{{Service: "s", Weight: 1}},
}

func newBed(t *testing.T, r routes.Route, replies ...reply) *bed {
	t.Helper()
	b := &bed{target: &target{replies: replies}, clock: &clock{boot: time.Hour}, facts: facts{}, log: &bytes.Buffer{}}
	set := Settings{
		Settings: enroll.Settings{Domain: "a", Regions: map[fleet.Domain]fleet.Region{"a": "ra", "b": "rb"}}, KeyBound: 5 * time.Second,
		WeightsBound: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second,
	}
	b.Gateway = New(set, Deps{
		Facts: b.facts, Targets: b.target, Clock: b.clock, Rand: sysclock.Rand{}, Metrics: noMetrics{},
		Log: logging.New(b.log, "masticwing-gateway", "g"),
	})
	b.operator = follow.New(nil, "op/", time.Second, func() time.Duration { return time.Millisecond }, b.clock, b.deps.Log)
	b.configure(1, r)
	for _, id := range []string{"a", "b"} {
		b.put("targets/"+id, 1, port.TargetFact{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: "s", Address: fleet.Address(id), Domain: fleet.Domain(id), Places: 4,
		}})
	}
	b.confirmed.Store(int64(b.clock.SinceBoot()))
	return b
}

func (b *bed) configure(version int64, rs ...routes.Route) {
	b.put("op/config", version, port.ConfigFact{Config: routes.Config{
		Version: version, Routes: rs, Services: []routes.Service{{Name: "s"}},
		Accounts: []routes.Account{{Name: "t", Keys: []string{"k"}}},
	}})
}

// put makes a change of a key known to the gateway.
func (b *bed) put(key string, revision int64, f port.Fact) {
	b.facts[key] = f
	e := follow.Event{Changes: []port.Change{{Item: port.Item{Key: key, Revision: revision}}}}
	if strings.HasPrefix(key, "op/") {
		b.picture.applyOperator(e, b.clock.Now())
	} else {
		b.picture.applyTargets(e)
	}
}

func inbound() *port.Inbound {
	return &port.Inbound{
		ID: "1", Method: "GET", Host: "h", URI: "/p/x", Path: "/p/x", Key: "k", Header: port.Header{},
		Received: time.Now(), Patience: time.Second,
	}
}

func (b *bed) ask(in *port.Inbound) *caller {
	c := &caller{}
	b.Serve(context.Background(), in, c)
	return c
}

package httpapi

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestMemoryOfOpenAnswers guards against open answers whose memory is not counted,
// and against a request that runs although there is no memory for its answer. None
// of the callers is slow, so none may be disconnected.
func TestMemoryOfOpenAnswers(t *testing.T) {
	const open = 4
	// These requests have no Content-Length, so each body counts as the limit of bodies.
	const bodyBytes = 1 << 10
	const held = open * (openAnswerBytes + bodyBytes)
	for _, c := range []struct {
		cfg      Config
		customer int64
		status   int
		code     string
	}{
		{Config{Memory: held + bodyBytes, MaxBody: bodyBytes}, 0, 503, "overloaded"},
		{defaultConfig, held + bodyBytes, 429, "customer_limit"},
	} {
		var closed, ran atomic.Int32
		release := make(chan struct{})
		api, addr := listen(t, c.cfg, &fakeBackend{
			limits: port.RequestLimits{CustomerBytes: c.customer},
			serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
				ran.Add(1)
				return &fakeAnswer{closed: &closed, next: func(int) ([]byte, error) { <-release; return nil, io.EOF }}, nil
			},
		})
		var wg conc.WaitGroup
		var complete atomic.Int32
		for range open {
			wg.Go(func() {
				if _, b, err := post(t, addr, groupPath, "{}"); err == nil && strings.Contains(b, `"verdict":"ran"`) {
					complete.Add(1)
				}
			})
		}
		waitUntil(t, "all answers are open", func() bool { return ran.Load() == open })
		res, b, _ := post(t, addr, groupPath, "{}")
		if res.StatusCode != c.status || !strings.Contains(b, c.code) || res.Header.Get(headerVerdict) != verdict.NotRun.String() || !res.Close {
			t.Errorf("one more: status %d, headers %v, body %q", res.StatusCode, res.Header, b)
		}
		if n := api.BytesHeld(); n != held {
			t.Errorf("%d bytes held, want %d", n, held)
		}
		close(release)
		wg.Wait()
		waitUntil(t, "all memory is released", func() bool { return api.BytesHeld() == 0 })
		if ran.Load() != open || complete.Load() != open {
			t.Errorf("%d ran, %d complete answers, want %d", ran.Load(), complete.Load(), open)
		}
	}
}

// memoryTest is the memory for callers and callers whose bodies are being read.
type memoryTest struct {
	*callerMemory
	// interrupted holds the errors of the bodies that were given up.
	interrupted map[fleet.RequestID]error
}

func newMemoryTest(limit, maxBody int64) *memoryTest {
	return &memoryTest{newCallerMemory(limit, maxBody), map[fleet.RequestID]error{}}
}

func (m *memoryTest) begin(id fleet.RequestID, customer fleet.Customer, maxBytes int64) *caller {
	c := &caller{id: id, customer: customer, maxBytes: maxBytes, interrupt: func() {}}
	m.beginBody(c, func(err error) { m.interrupted[id] = err })
	return c
}

// block lets a caller have blocked its request for d.
func (m *memoryTest) block(c *caller, d time.Duration) {
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		v.blockedSince = time.Now().Add(-d)
		return v, ok
	})
}

// TestUnfinishedBodiesGiveUpMemory guards against callers that never end their bodies and hold the memory of others
// for 30 s, against a body that is given up although parts of it arrive, and against one of another customer that is given up
// for the limit of the own one.
func TestUnfinishedBodiesGiveUpMemory(t *testing.T) {
	const body = 256 << 10
	for _, c := range []struct {
		limit, customer int64
		// victim is the request that is given up.
		victim fleet.RequestID
	}{
		{4 * body, 0, "other"},
		{1 << 30, 4 * body, "own"},
	} {
		m := newMemoryTest(c.limit, body)
		other, own, active := m.begin("other", "b", c.customer), m.begin("own", "a", c.customer), m.begin("active", "a", c.customer)
		for _, x := range []*caller{other, own, active} {
			if err := m.growBody(x, body); err != nil {
				t.Fatal(err)
			}
		}
		if c.customer > 0 {
			if err := m.growBody(m.begin("third", "a", c.customer), body); err != nil {
				t.Fatal(err)
			}
		}
		next := m.begin("next", "a", c.customer)
		if err := m.growBody(next, body); err == nil {
			t.Error("a body was given up that had not stood still for long")
		}
		m.block(other, 3*slowTime)
		m.block(own, 2*slowTime)
		m.block(active, 2*slowTime)
		m.bodyProgress(active)
		if err := m.growBody(next, body); err != nil {
			t.Errorf("no memory beside bodies that stand still: %v", err)
		}
		if len(m.interrupted) != 1 || m.interrupted[c.victim] != errSlowBody {
			t.Errorf("interrupted %v, want %s alone", m.interrupted, c.victim)
		}
		for _, x := range []*caller{other, own} {
			if err := m.bodyArrived(x); (err != nil) != (x.id == c.victim) {
				t.Errorf("body of %s arrived: %v", x.id, err)
			}
		}
	}
}

// TestLargeBodiesLeaveMemory guards against bodies that fill the memory, so that not even a small request is
// served, and against a body of the largest size that never finds enough.
func TestLargeBodiesLeaveMemory(t *testing.T) {
	const limit, body = 4 << 20, 256 << 10
	m := newMemoryTest(limit, body)
	n := 0
	for m.growBody(m.begin(fleet.RequestID(strconv.Itoa(n)), "a", 0), body) == nil {
		n++
	}
	if n != limit*3/4/body {
		t.Errorf("%d bodies are held, want three quarters of the memory", n)
	}
	small := m.begin("small", "a", 0)
	if err := m.growBody(small, smallBodyBytes); err != nil {
		t.Errorf("no memory for a small body: %v", err)
	}
	if err := m.reserveAnswer(t.Context(), small); err != nil {
		t.Errorf("no memory for its answer: %v", err)
	}
	m = newMemoryTest(body+body/8, body)
	if err := m.growBody(m.begin("one", "a", 0), body); err != nil {
		t.Errorf("no memory for one body of the largest size: %v", err)
	}
}

// TestMemoryIsReleasedOnce guards against memory that is released twice or never, in any order of the steps of
// requests, some of which are given up.
func TestMemoryIsReleasedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, body = 1 << 20, 200 << 10
		m := newMemoryTest(limit, body)
		var callers []*caller
		anyCaller := func() *caller { return callers[rapid.IntRange(0, len(callers)-1).Draw(t, "caller")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if n, large := m.bytes.Total(), m.largeBodies.Total(); n < 0 || n > limit || large < 0 || large > largeShare(limit, body) {
					t.Fatalf("%d bytes held, %d of them for large bodies", n, large)
				}
			},
			"begin": func(t *rapid.T) {
				id := fleet.RequestID(strconv.Itoa(len(callers)))
				callers = append(callers, m.begin(id, rapid.SampledFrom([]fleet.Customer{"a", "b"}).Draw(t, "customer"), limit/2))
			},
			"grow": func(t *rapid.T) {
				if len(callers) > 0 {
					_ = m.growBody(anyCaller(), rapid.Int64Range(0, body).Draw(t, "bytes"))
				}
			},
			"block": func(*rapid.T) {
				if len(callers) > 0 {
					m.block(anyCaller(), 2*slowTime)
				}
			},
			"arrive": func(*rapid.T) {
				if len(callers) > 0 {
					_ = m.bodyArrived(anyCaller())
				}
			},
			"release body": func(*rapid.T) {
				if len(callers) > 0 {
					m.releaseBody(anyCaller())
				}
			},
			"release": func(*rapid.T) {
				if len(callers) > 0 {
					m.release(anyCaller())
				}
			},
		})
		for _, c := range callers {
			m.releaseBody(c)
			m.release(c)
		}
		if n, large := m.bytes.Total(), m.largeBodies.Total(); n != 0 || large != 0 {
			t.Fatalf("%d bytes held at the end, %d of them for large bodies", n, large)
		}
	})
}

// TestUnfinishedBodyIsRefused guards against a body that is given up for the memory of another and whose caller gets
// no refusal.
func TestUnfinishedBodyIsRefused(t *testing.T) {
	const body = 512 << 10
	var closed atomic.Int32
	api, addr := listen(t, Config{Memory: body + body/2, MaxBody: body}, backend(&closed, io.EOF, "a\n"))
	c := dialRaw(t, addr, unfinishedCall(fmt.Sprintf("Content-Length: %d", body), "abc"))
	waitUntil(t, "the body holds its memory", func() bool { return api.BytesHeld() == body })
	waitUntil(t, "a body as long is served", func() bool {
		res, _, err := post(t, addr, servicePath, strings.Repeat("x", body))
		return err == nil && res.StatusCode == http.StatusCreated
	})
	b, err := io.ReadAll(c)
	if s := string(b); err != nil || !strings.HasPrefix(s, "HTTP/1.1 503") || !strings.Contains(s, headerVerdict+": "+verdict.NotRun.String()) {
		t.Errorf("the request that was given up got %q, %v; want a refusal as not run", s, err)
	}
	waitUntil(t, "all memory is released", func() bool { return api.BytesHeld() == 0 })
}

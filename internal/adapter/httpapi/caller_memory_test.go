package httpapi

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// TestMemoryOfOpenAnswers guards against open answers whose memory is not counted,
// and against a request that runs although there is no memory for its answer. None
// of the callers is slow, so none may be disconnected.
func TestMemoryOfOpenAnswers(t *testing.T) {
	const open = 4
	// These requests have no Content-Length, so each body counts as bodyGrowBytes.
	const held = open * (openAnswerBytes + bodyGrowBytes)
	for _, c := range []struct {
		cfg      Config
		customer int64
		status   int
		code     string
	}{
		{Config{Memory: held + bodyGrowBytes, MaxBody: 1 << 10}, 0, 503, "overloaded"},
		{defaultConfig, held + bodyGrowBytes, 429, "customer_limit"},
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

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

// TestOpenAnswersAreCounted guards against open answers that cost memory and
// are not counted, and against a request that runs although there is no memory
// for its answer. None of the callers is slow, so none may be ended.
func TestOpenAnswersAreCounted(t *testing.T) {
	const open = 4
	// The bodies of these callers have no stated length and count as bodyStep.
	const held = open * (openBytes + bodyStep)
	for _, c := range []struct {
		cfg      Config
		customer int64
		status   int
		code     string
	}{
		{Config{Memory: held + bodyStep, MaxBody: 1 << 10}, 0, 503, "overloaded"},
		{plain, held + bodyStep, 429, "customer_limit"},
	} {
		var closed, ran atomic.Int32
		release := make(chan struct{})
		api, addr := listen(t, c.cfg, &fakeBackend{
			bounds: Bounds{CustomerBytes: c.customer},
			serve: func(context.Context, port.ServeRequest) (port.Answer, error) {
				ran.Add(1)
				return &fakeAnswer{closed: &closed, next: func(int) ([]byte, error) { <-release; return nil, io.EOF }}, nil
			},
		})
		var wg conc.WaitGroup
		var whole atomic.Int32
		for range open {
			wg.Go(func() {
				if _, b, err := post(t, addr, groupPath, "{}"); err == nil && strings.Contains(b, `"verdict":"ran"`) {
					whole.Add(1)
				}
			})
		}
		until(t, "all answers are open", func() bool { return ran.Load() == open })
		res, b, _ := post(t, addr, groupPath, "{}")
		if res.StatusCode != c.status || !strings.Contains(b, c.code) || res.Header.Get(headerVerdict) != verdict.NotRun.String() || !res.Close {
			t.Errorf("one more: status %d, headers %v, body %q", res.StatusCode, res.Header, b)
		}
		if n := api.BytesHeld(); n != held {
			t.Errorf("%d bytes held, want %d", n, held)
		}
		close(release)
		wg.Wait()
		until(t, "all bytes are returned", func() bool { return api.BytesHeld() == 0 })
		if ran.Load() != open || whole.Load() != open {
			t.Errorf("%d ran, %d whole answers, want %d", ran.Load(), whole.Load(), open)
		}
	}
}

package httpapi

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// closeTime is the time that an entry has after its drain time to answer its callers.
const closeTime = 2 * time.Second

// stopBusy drains and closes an API whose requests in progress do not end by themselves. It
// fails the test unless that takes less than closeTime.
func stopBusy(t *testing.T, api *API) {
	t.Helper()
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if api.Drain(short) == nil {
		t.Error("drained while a request is in progress")
	}
	start := time.Now()
	last, cancelLast := context.WithTimeout(context.Background(), closeTime)
	defer cancelLast()
	api.Close(last)
	if d := time.Since(start); d >= closeTime {
		t.Errorf("closed after %v", d)
	}
}

// TestShutdownAnswersRequestsInProgress guards against a request that gets no verdict, or a
// wrong one, because the drain time ends while it waits or is at a target.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	for v, want := range map[verdict.Verdict]string{verdict.NotRun: "503 shutting_down not-run", verdict.MayHaveRun: "502 interrupted may-have-run"} {
		started := make(chan struct{})
		api, addr := listen(t, defaultConfig, &fakeBackend{serve: func(ctx context.Context, _ port.ServeRequest) (port.Answer, error) {
			close(started)
			<-ctx.Done()
			return nil, verdict.Wrap(ctx.Err(), v, verdict.CodeCanceled, "canceled")
		}})
		var wg conc.WaitGroup
		wg.Go(func() {
			res, body, err := post(t, addr, servicePath, "{}")
			code := strings.Fields(want)[1]
			if got := fmt.Sprint(res.StatusCode, " ", code, " ", res.Header.Get(headerVerdict)); got != want || !strings.Contains(body, `"code":"`+code+`"`) || err != nil {
				t.Errorf("%s %q, %v; want %s", got, body, err, want)
			}
		})
		<-started
		stopBusy(t, api)
		wg.Wait()
	}
}

// TestShutdownEndsAnswers guards against an answer that looks complete, or has no verdict,
// because the drain time ends while it is sent.
func TestShutdownEndsAnswers(t *testing.T) {
	for path, complete := range map[string]bool{groupPath: true, servicePath: false} {
		var closed atomic.Int32
		started := make(chan struct{})
		api, addr := listen(t, defaultConfig, &fakeBackend{serve: func(ctx context.Context, _ port.ServeRequest) (port.Answer, error) {
			return &fakeAnswer{head: port.AnswerHead{Version: "v1", Status: 200}, closed: &closed, next: func(i int) ([]byte, error) {
				if i == 0 {
					return []byte("a\n"), nil
				}
				close(started)
				<-ctx.Done()
				return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeCanceled, "canceled")
			}}, nil
		}})
		var wg conc.WaitGroup
		wg.Go(func() {
			_, body, err := post(t, addr, path, "{}")
			if complete != (err == nil) || complete != strings.Contains(body, `"code":"interrupted"`) {
				t.Errorf("%s: %q, %v", path, body, err)
			}
		})
		<-started
		stopBusy(t, api)
		wg.Wait()
	}
}

// TestLateBodyIsRefused guards against a request that runs after the drain has begun, or gets
// no verdict, because its body arrives late or not at all.
func TestLateBodyIsRefused(t *testing.T) {
	for name, rest := range map[string]string{"late": "}", "never": ""} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int32
			api, addr := listen(t, defaultConfig, backend(&ran, io.EOF, "a\n"))
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\n%s: resort\r\nContent-Length: 2\r\n\r\n{", groupPath, headerCustomer)
			waitUntil(t, "the request is in progress", func() bool { return api.BytesHeld() > 0 })
			ctx, cancel := context.WithTimeout(context.Background(), closeTime)
			defer cancel()
			api.gate.close()
			_, _ = io.WriteString(c, rest)
			if err := api.Drain(ctx); err != nil {
				t.Error(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(closeTime))
			b, _ := io.ReadAll(c)
			if s := string(b); !strings.HasPrefix(s, "HTTP/1.1 503 ") || !strings.Contains(s, `"code":"shutting_down"`) || !strings.Contains(s, "X-Masticwing-Verdict: not-run") {
				t.Errorf("%q", s)
			}
			if ran.Load() != 0 {
				t.Error("the request ran")
			}
		})
	}
}

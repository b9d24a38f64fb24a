package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/httpapi"
	"github.com/masticwing/masticwing/internal/adapter/inisettings"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/otelmetrics"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// fakeDirectory extends the fake port.Directory to an entry's Directory.
type fakeDirectory struct{ *porttest.Directory }

func (fakeDirectory) Run(ctx context.Context) { <-ctx.Done() }

func (fakeDirectory) NotReadyReason() string { return "" }

func (fakeDirectory) Traffic() []port.Traffic { return nil }

func (fakeDirectory) Handler() port.MemberHandler { return nil }

func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// getStatus returns the HTTP status of a GET request, or 0 if it failed.
func getStatus(url string) int {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func postGenerate(addr string) (string, error) {
	req, err := http.NewRequest("POST", "http://"+addr+"/v1/groups/summaries/generate", strings.NewReader("{}"))
	if err != nil {
		return "", err
	}
	req.Header.Set("X-Masticwing-Customer", "resort")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// TestGracefulShutdown guards against a graceful shutdown that interrupts a request
// in progress, accepts a new one, or leaves the process ready.
func TestGracefulShutdown(t *testing.T) {
	h := newHarness(t, "model", 1)
	started, release := make(chan struct{}), make(chan struct{})
	h.updateAgents(func(_ int, a *fakeAgent) {
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			close(started)
			<-release
			return a.serveComplete(ctx, r, sink)
		}
	})
	admin, listen := freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "entry.ini")
	config := fmt.Sprintf("[node]\nid = e1\nadmin = %s\ndomain = a\nregion = r\nrpc = %s\n[platform]\naddress = 127.0.0.1:1\n[http]\nlisten = %s\n",
		admin, freeAddress(t), listen)
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	role := Role(func(c *Config, env daemon.Env) (Parts, error) {
		dir, client := fakeDirectory{h.dir}, rpc.NewClient()
		server, err := rpc.NewServer(rpc.Handlers{Meter: client.Meter})
		e := New(Deps{
			ID: c.ID, Domain: c.Domain, MaxQueued: c.MaxQueued, Directory: dir, Agents: client,
			Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: env.Metrics,
		})
		api := httpapi.New(httpapi.Config{Memory: c.Memory, MaxBody: c.MaxBody}, e, env.Metrics)
		return Parts{Directory: dir, Entry: e, API: api, Server: server, Close: client.Close}, err
	})
	adapters := daemon.Adapters{
		ReadSettings: inisettings.Read,
		NewLog:       func(out io.Writer, role, id string) (port.Log, func()) { return logging.NewAsync(out, role, id) },
		NewMetrics: func() (port.Metrics, http.Handler, error) {
			m, err := otelmetrics.New()
			return m, m.Handler(), err
		},
	}
	var wg conc.WaitGroup
	var out bytes.Buffer
	code := -1
	wg.Go(func() {
		code = daemon.Main(adapters, role, []string{"masticwing-entry", "run", "--config", path}, io.Discard, &out)
	})
	h.waitUntil("the entry is ready", func() bool { return getStatus("http://"+admin+"/readyz") == 200 })

	var body string
	wg.Go(func() { body, _ = postGenerate(listen) })
	<-started
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	h.waitUntil("the entry is not ready", func() bool { return getStatus("http://"+admin+"/readyz") == 503 })
	h.waitUntil("the entry announces that it is leaving", func() bool { return h.dir.Self().State == port.MemberLeaving })
	h.waitUntil("new requests are refused", func() bool {
		b, err := postGenerate(listen)
		return err == nil && strings.Contains(b, `"code":"shutting_down"`) && strings.Contains(b, `"verdict":"not-run"`)
	})
	time.Sleep(50 * time.Millisecond)
	close(release)
	wg.Wait()
	if code != 0 || !strings.Contains(body, `"end":{"verdict":"ran"`) || h.requestCount() != 1 {
		t.Fatalf("exit code %d, request in progress got %q, %d requests at the agent\n%s", code, body, h.requestCount(), out.String())
	}
}

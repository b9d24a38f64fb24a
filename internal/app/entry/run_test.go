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

	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// fakeDirectory runs the fake of the port inside a process.
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

func get(url string) int {
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

// TestPlannedStop guards against a planned stop that interrupts a request in
// progress, starts a new one, or leaves the process ready.
func TestPlannedStop(t *testing.T) {
	w := newWorld(t, "model", 1)
	started, release := make(chan struct{}), make(chan struct{})
	w.change(func(_ int, a *fakeAgent) {
		a.serve = func(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
			close(started)
			<-release
			return a.whole(ctx, r, sink)
		}
	})
	admin, listen := freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf("[node]\nid = e1\nadmin = %s\ndomain = a\nregion = r\nrpc = %s\n[platform]\naddress = 127.0.0.1:1\n[http]\nlisten = %s\n",
		admin, freeAddress(t), listen)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	role := Role(func(*Config, daemon.Env, *rpc.Client) (Directory, error) {
		return fakeDirectory{w.dir}, nil
	})
	var wg conc.WaitGroup
	var out bytes.Buffer
	code := -1
	wg.Go(func() {
		code = daemon.Main(role, []string{"masticwing-entry", "run", "--config", path}, io.Discard, &out)
	})
	w.until("the entry is ready", func() bool { return get("http://"+admin+"/readyz") == 200 })

	var body string
	wg.Go(func() { body, _ = postGenerate(listen) })
	<-started
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	w.until("the entry is not ready", func() bool { return get("http://"+admin+"/readyz") == 503 })
	w.until("the entry announces that it leaves", func() bool { return w.dir.Self().State == port.MemberLeaving })
	w.until("new requests are refused", func() bool {
		b, err := postGenerate(listen)
		return err == nil && strings.Contains(b, `"code":"shutting_down"`) && strings.Contains(b, `"verdict":"not-run"`)
	})
	time.Sleep(50 * time.Millisecond)
	close(release)
	wg.Wait()
	if code != 0 || !strings.Contains(body, `"end":{"verdict":"ran"`) || w.calls() != 1 {
		t.Fatalf("exit code %d, request in progress got %q, %d calls\n%s", code, body, w.calls(), out.String())
	}
}

package daemon

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
)

type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *syncBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// TestReloadOnSIGHUP guards against a daemon that exits on SIGHUP, as the runtime
// does without a handler, and against changed or invalid settings that are not
// logged.
func TestReloadOnSIGHUP(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.ini")
	writeSettings := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeSettings("[node]\nid = a\n")
	out := &syncBuffer{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	installed := make(chan struct{})
	wg.Go(func() {
		watchReload(ctx, path, func() []error { return []error{errors.New("bad value")} }, logging.New(out, "x", "1"), installed)
	})
	<-installed
	writeSettings("[node]\nid = b\n")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for start := time.Now(); !strings.Contains(out.String(), `"changed":"id = b"`); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("log %q", out.String())
		}
	}
	if !strings.Contains(out.String(), "bad value") {
		t.Errorf("the fault is not logged: %q", out.String())
	}
}

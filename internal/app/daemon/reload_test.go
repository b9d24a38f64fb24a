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

type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// TestHangup guards against a daemon that ends on SIGHUP, as the runtime does
// without a handler, and against changed settings that nobody is told of.
func TestHangup(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.ini")
	write := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[node]\nid = a\n")
	out := &output{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	ready := make(chan struct{})
	wg.Go(func() {
		watchReload(ctx, path, func() []error { return []error{errors.New("bad value")} }, logging.New(out, "x", "1"), ready)
	})
	<-ready
	write("[node]\nid = b\n")
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

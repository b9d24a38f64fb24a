package httpapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/port"
)

// childEnv makes TestKilledProcessMarksIncompleteAnswer the process that is killed.
const childEnv = "HTTPAPI_TEST_KILLED_PROCESS"

// TestKilledProcessMarksIncompleteAnswer guards against an answer of a service that a
// caller with HTTP/1.0 takes for complete because the entry's process was killed.
func TestKilledProcessMarksIncompleteAnswer(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		serveUntilKilled(t)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestKilledProcessMarksIncompleteAnswer$")
	cmd.Env = append(os.Environ(), childEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	lines := bufio.NewScanner(out)
	next := func() string {
		if !lines.Scan() {
			t.Errorf("the process ended: %v", lines.Err())
		}
		return lines.Text()
	}
	addr := next()
	var wg conc.WaitGroup
	var got string
	wg.Go(func() { got, err = exchangeRaw(t, addr, servicePath, "HTTP/1.0") })
	if s := next(); s != "sent" {
		t.Errorf("the process wrote %q", s)
	}
	_ = cmd.Process.Kill()
	wg.Wait()
	if err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the connection was not reset after %q: %v", got, err)
	}
}

// serveUntilKilled serves answers that stop after one frame, and writes the address and,
// after the first frame, "sent" to the standard output.
func serveUntilKilled(t *testing.T) {
	var closed atomic.Int32
	b := &fakeBackend{serve: func(ctx context.Context, _ port.ServeRequest) (port.Answer, error) {
		return &fakeAnswer{head: port.AnswerHead{Status: 200}, closed: &closed, next: func(i int) ([]byte, error) {
			if i == 0 {
				return []byte("one\n"), nil
			}
			fmt.Println("sent")
			<-ctx.Done()
			return nil, ctx.Err()
		}}, nil
	}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(lis.Addr())
	var wg conc.WaitGroup
	api := New(defaultConfig, b, noMetrics{})
	wg.Go(func() { _ = api.Serve(lis) })
	// The input ends if the parent ends without having killed this process.
	_, _ = io.Copy(io.Discard, os.Stdin)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	api.Close(ctx)
	wg.Wait()
}

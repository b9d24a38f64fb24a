package targethttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// TestGivenUpRequestIsNotSentLater guards against a request that the kernel still sends to an
// engine or a service after it was given up, because the target did not read it for a while.
func TestGivenUpRequestIsNotSentLater(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	proceed, received := make(chan struct{}), make(chan error, 1)
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		c, err := lis.Accept()
		if err == nil {
			defer func() { _ = c.Close() }()
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			<-proceed
			_, err = io.Copy(io.Discard, c)
		}
		received <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+lis.Addr().String(), bytes.NewReader(make([]byte, 256<<10)))
	if err != nil {
		t.Fatal(err)
	}
	tr := NewSingleUseTransport()
	defer tr.CloseIdleConnections()
	if res, err := tr.RoundTrip(req); err == nil {
		_ = res.Body.Close()
		t.Fatal("a target that does not read has answered")
	}
	close(proceed)
	if err := <-received; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target read the rest of the request, then %v; want a reset", err)
	}
}

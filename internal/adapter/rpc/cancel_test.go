package rpc

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// TestCanceledRequestIsNotSentLater guards against a request that the kernel still sends to an
// agent after its caller has given it up, because the agent or the link to it was slow.
func TestCanceledRequestIsNotSentLater(t *testing.T) {
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
	c := NewClient()
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	a, err := c.Serve(ctx, fleet.Address(lis.Addr().String()), port.ServeRequest{ID: "1", Body: make([]byte, 256<<10)}, nil)
	if err == nil {
		_ = a.Close()
		t.Fatal("an agent that does not read has answered")
	}
	close(proceed)
	if err := <-received; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the agent read the rest of the request, then %v; want a reset", err)
	}
}

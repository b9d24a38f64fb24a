package tcpreset

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestCloseDropsUnsentData guards against data that the kernel sends after the connection of a
// request that was given up is closed.
func TestCloseDropsUnsentData(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	client, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	// Fills the buffers of both kernels.
	_ = client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	written, _ := client.Write(make([]byte, 64<<20))
	Close(client)
	n, err := io.Copy(io.Discard, server)
	if !errors.Is(err, syscall.ECONNRESET) || n >= int64(written) {
		t.Errorf("read %d of %d bytes, then %v; want a reset", n, written, err)
	}
}

// TestCloseOfOtherConnections guards against a connection that stays open because it is not a TCP
// connection.
func TestCloseOfOtherConnections(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	Close(a)
	if _, err := b.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from the other end: %v", err)
	}
}

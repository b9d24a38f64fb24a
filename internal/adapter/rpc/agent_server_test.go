package rpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// singleFrameAgent passes all its data to the sink in one call.
type singleFrameAgent struct {
	port.AgentHandler
	data []byte
}

func (a singleFrameAgent) Load() port.Load { return port.Load{} }

func (a singleFrameAgent) Serve(_ context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	if err := sink.Head(port.AnswerHead{ID: r.ID}, port.Load{}); err != nil {
		return err
	}
	return sink.Data(a.data)
}

// TestLargeDataIsSplitIntoFrames guards against large frames: the entry holds
// several copies of a frame for each caller that does not read.
func TestLargeDataIsSplitIntoFrames(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789"), 1000)
	s, err := NewServer(Handlers{Agent: singleFrameAgent{data: want}})
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(ctx, lis) })
	c := NewClient()
	defer func() { c.Close(); cancel(); wg.Wait() }()
	a, err := c.Serve(ctx, fleet.Address(lis.Addr().String()), port.ServeRequest{ID: "r"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	var got []byte
	for {
		b, err := a.Next()
		if err == io.EOF {
			break
		}
		if err != nil || len(b) > maxFrameBytes {
			t.Fatalf("frame of %d bytes, %v", len(b), err)
		}
		got = append(got, b...)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("received %d bytes that differ from the %d sent", len(got), len(want))
	}
}

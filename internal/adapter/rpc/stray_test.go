package rpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// repeatingAgent refuses its first request, twice in the same stream. It sends the refusal
// once more to the second request, and answers all others.
type repeatingAgent struct {
	pb.DRPCAgentUnimplementedServer
	requests atomic.Int64
}

// Serve implements the generated interface.
func (a *repeatingAgent) Serve(in *pb.ServeRequest, stream pb.DRPCAgent_ServeStream) error {
	refusal := &pb.ServeReply{RequestId: "first", Part: &pb.ServeReply_Refused{
		Refused: &pb.Error{Verdict: pb.Verdict_VERDICT_NOT_RUN, Code: string(verdict.CodeTargetFull)},
	}}
	switch a.requests.Add(1) {
	case 1:
		_ = stream.Send(refusal)
		return stream.Send(refusal)
	case 2:
		return stream.Send(refusal)
	default:
		for _, m := range []*pb.ServeReply{headReply(), dataReply(0, "one\n"), endReply(&pb.End{Frames: 1, Version: "v"})} {
			m.RequestId = in.GetRequestId()
			if err := stream.Send(m); err != nil {
				return err
			}
		}
		return nil
	}
}

// TestRefusalOfEarlierRequest guards against a refusal that an agent sends once more, and
// that is taken for that of the next request.
func TestRefusalOfEarlierRequest(t *testing.T) {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterAgent(mux, &repeatingAgent{}); err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = drpcserver.New(mux).Serve(ctx, lis) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	client := NewClient()
	defer client.Close()
	addr := fleet.Address(lis.Addr().String())
	if _, err := call(client, addr, "first"); verdict.FromError(err).Verdict != verdict.NotRun {
		t.Errorf("a refused request: %v", err)
	}
	if _, err := call(client, addr, "second"); err == nil || verdict.FromError(err).Verdict != verdict.MayHaveRun {
		t.Errorf("a request with the refusal of another: %v", err)
	}
	if got, err := call(client, addr, "third"); got != "one\n" || err != nil {
		t.Errorf("the next request: %q, %v", got, err)
	}
}

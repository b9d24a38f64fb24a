package rpc

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// scriptedAgent sends fixed messages to each request and then closes the stream.
type scriptedAgent struct {
	pb.DRPCAgentUnimplementedServer
	replies []*pb.ServeReply
}

// Serve implements the generated interface.
func (a *scriptedAgent) Serve(in *pb.ServeRequest, stream pb.DRPCAgent_ServeStream) error {
	for _, m := range a.replies {
		m.RequestId = in.GetRequestId()
		if err := stream.Send(m); err != nil {
			return err
		}
	}
	return nil
}

// serveScript starts a server of a scriptedAgent.
func serveScript(t *testing.T, replies ...*pb.ServeReply) fleet.Address {
	t.Helper()
	mux := drpcmux.New()
	if err := pb.DRPCRegisterAgent(mux, &scriptedAgent{replies: replies}); err != nil {
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
	return fleet.Address(lis.Addr().String())
}

func headReply() *pb.ServeReply {
	return &pb.ServeReply{Part: &pb.ServeReply_Head{Head: &pb.Head{Version: "v"}}}
}

func dataReply(seq uint64, text string) *pb.ServeReply {
	return &pb.ServeReply{Part: &pb.ServeReply_Data{Data: &pb.Data{Seq: seq, Bytes: []byte(text)}}}
}

func endReply(e *pb.End) *pb.ServeReply { return &pb.ServeReply{Part: &pb.ServeReply_End{End: e}} }

// TestAnswerNeedsItsEnd guards against an answer that counts as complete although its
// end is missing or does not fit, and against parts of another answer behind it.
func TestAnswerNeedsItsEnd(t *testing.T) {
	refused := &pb.ServeReply{Part: &pb.ServeReply_Refused{Refused: &pb.Error{Verdict: pb.Verdict_VERDICT_NOT_RUN, Code: "target_full"}}}
	for name, c := range map[string]struct {
		replies []*pb.ServeReply
		code    verdict.Code
	}{
		"closed without an end": {nil, verdict.CodeTargetLost},
		"too few frames":        {[]*pb.ServeReply{endReply(&pb.End{Frames: 2, Version: "v"})}, verdict.CodeBrokenAnswer},
		"other version":         {[]*pb.ServeReply{endReply(&pb.End{Frames: 1, Version: "w"})}, verdict.CodeVersionMismatch},
		"second head":           {[]*pb.ServeReply{headReply(), endReply(&pb.End{Frames: 1, Version: "v"})}, verdict.CodeBrokenAnswer},
		"refusal after head":    {[]*pb.ServeReply{refused}, verdict.CodeBrokenAnswer},
		"repeated frame":        {[]*pb.ServeReply{dataReply(0, "one\n")}, verdict.CodeBrokenAnswer},
		"skipped frame":         {[]*pb.ServeReply{dataReply(2, "three\n")}, verdict.CodeBrokenAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveScript(t, append([]*pb.ServeReply{headReply(), dataReply(0, "one\n")}, c.replies...)...)
			client := NewClient()
			defer client.Close()
			got, err := call(client, addr, "r")
			if got != "one\n" || err == nil {
				t.Fatalf("got %q, %v; want the first frame and an error", got, err)
			}
			if e := verdict.FromError(err); e.Code != c.code || e.Verdict == verdict.NotRun {
				t.Errorf("error %v, want %s", err, c.code)
			}
			if errors.Is(err, io.EOF) {
				t.Errorf("the error %q has io.EOF in its chain", err)
			}
		})
	}
}

// sinkAgent answers each request with serve.
type sinkAgent struct {
	port.AgentHandler
	serve func(sink port.AnswerSink) error
}

func (a sinkAgent) Load() port.Load { return port.Load{} }

func (a sinkAgent) Serve(_ context.Context, _ port.ServeRequest, sink port.AnswerSink) error {
	return a.serve(sink)
}

// TestSinkHoldsOneAnswer guards against parts of two answers in one, against data
// outside of an answer, and against an answer that looks complete after a call that
// did not fit. The agents ignore the errors of the sink.
func TestSinkHoldsOneAnswer(t *testing.T) {
	head, other := port.AnswerHead{Version: "v"}, port.AnswerHead{Version: "w"}
	notRun := verdict.New(verdict.NotRun, verdict.CodeTargetFull, "full")
	for name, c := range map[string]struct {
		serve func(s port.AnswerSink) error
		body  string
		code  verdict.Code
	}{
		"second head": {func(s port.AnswerSink) error {
			_, _, _, _ = s.Head(head, port.Load{}), s.Data([]byte("one\n")), s.Head(other, port.Load{}), s.Data([]byte("two\n"))
			return nil
		}, "one\n", verdict.CodeInternal},
		"data before head": {func(s port.AnswerSink) error {
			_, _, _ = s.Data([]byte("one\n")), s.Head(head, port.Load{}), s.Data([]byte("two\n"))
			return nil
		}, "", verdict.CodeInternal},
		"data before head, then a refusal": {func(s port.AnswerSink) error {
			_ = s.Data([]byte("one\n"))
			return notRun
		}, "", verdict.CodeTargetFull},
		"no answer":          {func(port.AnswerSink) error { return nil }, "", verdict.CodeInternal},
		"refusal after head": {func(s port.AnswerSink) error { _ = s.Head(head, port.Load{}); return notRun }, "", verdict.CodeTargetFull},
		"refusal after data": {func(s port.AnswerSink) error {
			_, _ = s.Head(head, port.Load{}), s.Data([]byte("one\n"))
			return notRun
		}, "one\n", verdict.CodeTargetFull},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr, _ := serveAgent(t, sinkAgent{serve: c.serve})
			client := NewClient()
			defer client.Close()
			got, err := call(client, addr, "r")
			if e := verdict.FromError(err); got != c.body || err == nil || e.Code != c.code || e.Verdict != verdict.MayHaveRun {
				t.Errorf("got %q, %v; want %q and %s with may-have-run", got, err, c.body, c.code)
			}
		})
	}
}

// TestHeadArrives guards against a field of the head that is lost between agent and
// entry, above all the start of a resumed answer.
func TestHeadArrives(t *testing.T) {
	head := port.AnswerHead{ID: "r", Version: "v", ContentType: "text/plain", Status: 200, Replayed: true, Start: 1<<63 + 2}
	_, addr, _ := serveAgent(t, sinkAgent{serve: func(s port.AnswerSink) error { return s.Head(head, port.Load{}) }})
	client := NewClient()
	defer client.Close()
	a, err := client.Serve(t.Context(), addr, port.ServeRequest{ID: "r", Resume: head.Start}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	if got := a.Head(); got != head {
		t.Errorf("got %+v, want %+v", got, head)
	}
	if _, err := a.Next(); !port.AnswerEnded(err) {
		t.Errorf("end of the answer: %v", err)
	}
}

// TestErrorIsNotRefusal guards against the verdict not-run for a request whose answer
// has begun, or that ended with an error instead of a refusal: such a call may run
// twice if it is sent again.
func TestErrorIsNotRefusal(t *testing.T) {
	end := endReply(&pb.End{Error: &pb.Error{Verdict: pb.Verdict_VERDICT_NOT_RUN, Code: "target_error"}})
	for name, replies := range map[string][]*pb.ServeReply{
		"before head": {end},
		"after head":  {headReply(), end},
		"after data":  {headReply(), dataReply(0, "one\n"), end},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient()
			defer client.Close()
			_, err := call(client, serveScript(t, replies...), "r")
			if e := verdict.FromError(err); e.Verdict != verdict.MayHaveRun || e.Code != verdict.CodeTargetError {
				t.Errorf("got %v, want target_error with may-have-run", err)
			}
		})
	}
}

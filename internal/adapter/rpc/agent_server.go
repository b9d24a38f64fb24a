package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/response"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

type agentServer struct {
	h           port.AgentHandler
	openAnswers *inflight.Counter
}

// Serve implements the generated interface.
func (s *agentServer) Serve(in *pb.ServeRequest, stream pb.DRPCAgent_ServeStream) error {
	s.openAnswers.Start()
	defer s.openAnswers.Done()
	r := requestFromPB(in)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	sink := &answerSink{id: in.GetRequestId(), stream: stream, lastSend: time.Now()}
	var wg conc.WaitGroup
	wg.Go(func() { sink.sendHeartbeats(ctx) })
	err := s.h.Serve(ctx, r, sink)
	cancel()
	wg.Wait()
	return sink.sendEnd(err, s.h.Load())
}

// answerSink sends one answer, in the order that progress allows. The mutex
// serializes data and heartbeats. It is held during a send, so heartbeats wait while
// the entry applies back pressure.
type answerSink struct {
	id     string
	stream pb.DRPCAgent_ServeStream

	mu       sync.Mutex
	lastSend time.Time
	progress response.Progress
	version  fleet.Version
	frames   uint64
}

func (s *answerSink) sendLocked(m *pb.ServeReply) error {
	m.RequestId = s.id
	err := s.stream.Send(m)
	s.lastSend = time.Now()
	if err != nil {
		s.progress.Abort()
	}
	return err
}

// Head implements port.AnswerSink.
func (s *answerSink) Head(h port.AnswerHead, l port.Load) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.progress.Begin(); err != nil {
		return err
	}
	s.version = h.Version
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Head{Head: headToPB(h)}, Load: loadToPB(l)})
}

// maxFrameBytes is the maximum size of one frame of an answer. While a caller does
// not read, the entry holds several copies of the frame: in the buffers of the
// connection and in the message.
const maxFrameBytes = 2 << 10

// Data implements port.AnswerSink.
func (s *answerSink) Data(b []byte) error {
	for first := true; first || len(b) > 0; first = false {
		n := min(len(b), maxFrameBytes)
		if err := s.sendFrame(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (s *answerSink) sendFrame(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.progress.Continue(); err != nil {
		return err
	}
	d := &pb.Data{Seq: s.frames, Bytes: b}
	s.frames++
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Data{Data: d}})
}

func (s *answerSink) sendHeartbeats(ctx context.Context) {
	t := time.NewTicker(HeartbeatInterval / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.sendHeartbeatIfDue() != nil {
				return
			}
		}
	}
}

// sendHeartbeatIfDue sends a heartbeat unless a message was sent recently.
func (s *answerSink) sendHeartbeatIfDue() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastSend) < HeartbeatInterval/2 {
		return nil
	}
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Heartbeat{Heartbeat: &pb.Heartbeat{}}})
}

// sendEnd sends the last message: a refusal if the request did not run and no head
// was sent, otherwise the end of the answer with its error, if any. An answer without
// a head, or with a call of the sink that did not fit, ends with an error.
func (s *answerSink) sendEnd(err error, l port.Load) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		if err = s.progress.End(); err == nil {
			end := &pb.End{Frames: s.frames, Version: string(s.version)}
			return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_End{End: end}})
		}
		err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "agent produced no complete answer")
	}
	e := verdict.FromError(err)
	if e.Verdict == verdict.NotRun && s.progress.Refuse() == nil {
		return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Refused{Refused: errorToPB(e)}, Load: loadToPB(l)})
	}
	end := &pb.End{Frames: s.frames, Error: errorToPB(e.AfterStart())}
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_End{End: end}, Load: loadToPB(l)})
}

// WatchStatus implements the generated interface.
func (s *agentServer) WatchStatus(in *pb.WatchStatusRequest, stream pb.DRPCAgent_WatchStatusStream) error {
	var last port.AgentStatus
	return s.h.WatchStatus(stream.Context(), in.GetEntryId(), func(st port.AgentStatus) error {
		m := statusToPB(&st)
		if last.VM != "" && sameState(st, last) {
			// If only the load or the progress has changed, the load is sent alone:
			// the other fields take more than 100 bytes, and an entry receives 32
			// heartbeats per second.
			m = &pb.AgentStatus{Load: m.Load}
		}
		last = st
		return stream.Send(m)
	})
}

// sameState reports whether two statuses are equal apart from the load and the
// chunk and byte counts of the progress.
func sameState(a, b port.AgentStatus) bool {
	for _, st := range []*port.AgentStatus{&a, &b} {
		st.Load = port.Load{}
		st.Progress = port.Progress{Target: st.Progress.Target, State: st.Progress.State, Reason: st.Progress.Reason}
	}
	return a == b
}

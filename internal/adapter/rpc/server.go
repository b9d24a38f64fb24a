package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Handlers are the parts of the protocol that a process serves. Nil parts are
// not registered.
type Handlers struct {
	Agent  port.AgentHandler
	Peer   port.PeerHandler
	Member port.MemberHandler
	// Meter counts the bytes sent and received. It may be nil.
	Meter *Meter
}

// Server serves the protocol.
type Server struct {
	mux   *drpcmux.Mux
	meter *Meter
	// answers counts the answers that are not written to their end.
	answers *inflight.Counter
}

// NewServer registers the handlers.
func NewServer(h Handlers) (*Server, error) {
	mux := drpcmux.New()
	s := &Server{mux: mux, meter: h.Meter, answers: inflight.New()}
	if s.meter == nil {
		s.meter = &Meter{}
	}
	if h.Agent != nil {
		if err := pb.DRPCRegisterAgent(mux, &agentServer{h.Agent, s.answers}); err != nil {
			return nil, errors.Wrap(err, "registering agent service")
		}
	}
	if h.Peer != nil {
		if err := pb.DRPCRegisterPeer(mux, &peerServer{h.Peer}); err != nil {
			return nil, errors.Wrap(err, "registering peer service")
		}
	}
	if h.Member != nil {
		if err := pb.DRPCRegisterMember(mux, &memberServer{h.Member}); err != nil {
			return nil, errors.Wrap(err, "registering member service")
		}
	}
	return s, nil
}

// Drain returns once all answers of Agent.Serve are written to their end, or
// when ctx ends. A handler returns before the end of its answer is sent, so
// a server that stops must not rely on its handlers alone.
func (s *Server) Drain(ctx context.Context) error {
	for !s.answers.Idle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for answers in progress")
		case <-s.answers.Left():
		}
	}
	return nil
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	err := drpcserver.New(meteredHandler{s.mux, s.meter}).Serve(ctx, countedListener{lis, &s.meter.connections})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serving rpc")
}

type countedListener struct {
	net.Listener
	t *Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.t}, nil
}

type agentServer struct {
	h       port.AgentHandler
	answers *inflight.Counter
}

// Serve implements the generated interface.
func (s *agentServer) Serve(in *pb.ServeRequest, stream pb.DRPCAgent_ServeStream) error {
	s.answers.Enter()
	defer s.answers.Leave()
	r := requestFromPB(in)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	sink := &answerSink{id: in.GetRequestId(), stream: stream, last: time.Now()}
	var wg conc.WaitGroup
	wg.Go(func() { sink.heartbeats(ctx) })
	err := s.h.Serve(ctx, r, sink)
	cancel()
	wg.Wait()
	return sink.finish(err, s.h.Load())
}

// answerSink writes one answer. Its lock orders data and heartbeats; it is
// held during a send, so that heartbeats wait while the entry applies back
// pressure.
type answerSink struct {
	id     string
	stream pb.DRPCAgent_ServeStream

	mu     sync.Mutex
	last   time.Time
	head   *port.AnswerHead
	frames uint64
}

func (s *answerSink) sendLocked(m *pb.ServeReply) error {
	m.RequestId = s.id
	err := s.stream.Send(m)
	s.last = time.Now()
	return err
}

// Head implements port.AnswerSink.
func (s *answerSink) Head(h port.AnswerHead, l port.Load) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = &h
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Head{Head: headToPB(h)}, Load: loadToPB(l)})
}

// maxDataBytes is the size of one frame of an answer. The entry holds each
// frame several times, in the connection's buffers and in the message, for as
// long as a caller does not read.
const maxDataBytes = 2 << 10

// Data implements port.AnswerSink.
func (s *answerSink) Data(b []byte) error {
	for first := true; first || len(b) > 0; first = false {
		n := min(len(b), maxDataBytes)
		if err := s.frame(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

func (s *answerSink) frame(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &pb.Data{Seq: s.frames, Bytes: b}
	s.frames++
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Data{Data: d}})
}

func (s *answerSink) heartbeats(ctx context.Context) {
	t := time.NewTicker(HeartbeatEvery / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if s.beat() != nil {
				return
			}
		}
	}
}

func (s *answerSink) beat() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.last) < HeartbeatEvery/2 {
		return nil
	}
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Heartbeat{Heartbeat: &pb.Heartbeat{}}})
}

func (s *answerSink) finish(err error, l port.Load) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.head == nil {
		err = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "no answer was produced")
	}
	if err == nil {
		end := &pb.End{Frames: s.frames, Version: string(s.head.Version)}
		return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_End{End: end}})
	}
	e := verdict.Of(err)
	if s.head == nil && e.Verdict == verdict.NotRun {
		return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_Refused{Refused: errorToPB(e)}, Load: loadToPB(l)})
	}
	end := &pb.End{Frames: s.frames, Error: errorToPB(e)}
	return s.sendLocked(&pb.ServeReply{Part: &pb.ServeReply_End{End: end}, Load: loadToPB(l)})
}

// WatchStatus implements the generated interface.
func (s *agentServer) WatchStatus(in *pb.WatchStatusRequest, stream pb.DRPCAgent_WatchStatusStream) error {
	var last port.AgentStatus
	return s.h.WatchStatus(stream.Context(), in.GetEntryId(), func(st port.AgentStatus) error {
		m := statusToPB(&st)
		if last.VM != "" && sameState(st, last) {
			// The rest of a status takes more than 100 bytes, and an entry gets 32
			// heartbeats a second.
			m = &pb.AgentStatus{Load: m.Load}
		}
		last = st
		return stream.Send(m)
	})
}

// sameState reports whether two states differ in load and amounts of progress
// at most.
func sameState(a, b port.AgentStatus) bool {
	for _, st := range []*port.AgentStatus{&a, &b} {
		st.Load = port.Load{}
		st.Progress = port.Progress{Target: st.Progress.Target, State: st.Progress.State, Reason: st.Progress.Reason}
	}
	return a == b
}

type memberServer struct{ h port.MemberHandler }

// Exchange implements the generated interface.
func (s *memberServer) Exchange(ctx context.Context, in *pb.ExchangeMessage) (*pb.ExchangeMessage, error) {
	out, err := s.h.Exchange(ctx, exchangeFromPB(in))
	if err != nil {
		return nil, err
	}
	return exchangeToPB(out), nil
}

// GetDeclaration implements the generated interface.
func (s *memberServer) GetDeclaration(ctx context.Context, _ *pb.GetDeclarationRequest) (*pb.Document, error) {
	d, err := s.h.Declaration(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.Document{Revision: d.Revision, Stored: d.Stored, AgeMs: ageToMillis(d.Age)}, nil
}

// ListMembers implements the generated interface.
func (s *memberServer) ListMembers(ctx context.Context, _ *pb.ListMembersRequest) (*pb.MemberList, error) {
	m, err := s.h.Members(ctx)
	if err != nil {
		return nil, err
	}
	e := exchangeToPB(m)
	return &pb.MemberList{From: e.GetFrom(), Revision: e.GetRevision(), AgeMs: e.GetAgeMs(), Records: e.GetRecords()}, nil
}

type peerServer struct{ h port.PeerHandler }

// GetManifest implements the generated interface.
func (s *peerServer) GetManifest(_ context.Context, in *pb.GetManifestRequest) (*pb.Manifest, error) {
	m, ok := s.h.Manifest(fleet.Version(in.GetVersion()))
	if !ok {
		return nil, errors.New("manifest not known")
	}
	return manifestToPB(m), nil
}

// WatchChunks implements the generated interface.
func (s *peerServer) WatchChunks(in *pb.WatchChunksRequest, stream pb.DRPCPeer_WatchChunksStream) error {
	v, from := fleet.Version(in.GetVersion()), fleet.VM(in.GetFrom())
	return s.h.WatchChunks(stream.Context(), v, from, func(u port.ChunkUpdate) error {
		m := &pb.ChunkUpdate{Bitmap: u.Bitmap, Heartbeat: u.Heartbeat}
		for _, i := range u.Added {
			m.Added = append(m.Added, uint32(i))
		}
		return stream.Send(m)
	})
}

// FetchChunk implements the generated interface.
func (s *peerServer) FetchChunk(in *pb.FetchChunkRequest, stream pb.DRPCPeer_FetchChunkStream) error {
	r := port.ChunkRequest{
		Version:    fleet.Version(in.GetVersion()),
		Index:      int(in.GetIndex()),
		From:       fleet.VM(in.GetFrom()),
		FromRegion: fleet.Region(in.GetFromRegion()),
	}
	err := s.h.SendChunk(stream.Context(), r, pieceWriter{stream})
	switch {
	case errors.Is(err, port.ErrPeerBusy):
		return stream.Send(&pb.ChunkPiece{Busy: true})
	case errors.Is(err, port.ErrChunkMissing):
		return stream.Send(&pb.ChunkPiece{Missing: true})
	}
	return err
}

// pieceBytes is the size of one message of a chunk. It bounds how far a pacer
// overshoots.
const pieceBytes = 64 << 10

type pieceWriter struct{ stream pb.DRPCPeer_FetchChunkStream }

// Write implements io.Writer.
func (w pieceWriter) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n := min(pieceBytes, len(b)-sent)
		if err := w.stream.Send(&pb.ChunkPiece{Bytes: b[sent : sent+n]}); err != nil {
			return sent, err
		}
		sent += n
	}
	return sent, nil
}

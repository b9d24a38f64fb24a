package rpc

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

var _ port.AgentClient = (*Client)(nil)

// Serve implements port.AgentClient.
func (c *Client) Serve(
	ctx context.Context, addr fleet.Address, r port.ServeRequest, onLoad func(port.Load),
) (port.Answer, error) {
	ctx, sil := newSilence(ctx)
	a := &answer{ctx: ctx, sil: sil, client: c, addr: addr, id: string(r.ID)}
	err := sil.watch(func() (err error) {
		a.stream, err = pb.NewDRPCAgentClient(c.conn(ctx, addr)).Serve(ctx, requestToPB(r))
		return err
	})
	if err != nil {
		// The error is read from the context, so it comes before the close.
		err = a.openError(err)
		sil.close()
		return nil, err
	}
	if err := a.open(onLoad); err != nil {
		sil.close()
		return nil, err
	}
	return a, nil
}

// answer reads the stream of one request.
type answer struct {
	ctx    context.Context
	sil    *silence
	client *Client
	addr   fleet.Address
	id     string
	stream pb.DRPCAgent_ServeClient
	head   port.AnswerHead
	frames uint64
	done   error
}

func (a *answer) openError(err error) error {
	var d dialError
	if errors.As(err, &d) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeTargetLost, "cannot connect to the agent")
	}
	return a.lost(err)
}

// lost returns the error for a stream that failed after the request was sent.
func (a *answer) lost(err error) error {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errSilent):
		a.client.Drop(a.addr)
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeTargetLost, "agent is silent")
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed")
	case cause != nil:
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeCanceled, "request canceled")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTargetLost, "connection to the agent lost")
	}
}

// recv returns the next reply that is not a heartbeat. A reply that belongs to
// another request is refused.
func (a *answer) recv() (*pb.ServeReply, error) {
	for {
		var m *pb.ServeReply
		err := a.sil.watch(func() (err error) {
			m, err = a.stream.Recv()
			return err
		})
		if err != nil {
			return nil, a.lost(err)
		}
		if m.GetRequestId() != a.id {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer,
				"answer belongs to request %q", m.GetRequestId())
		}
		if m.GetHeartbeat() == nil {
			return m, nil
		}
	}
}

// finish waits for the agent's close after its last message. To cancel a stream
// that both sides have not closed ends the connection, which may already be
// back in the pool and carry the next request.
func (a *answer) finish() {
	_ = a.sil.watch(func() error {
		_, err := a.stream.Recv()
		return err
	})
}

func (a *answer) open(onLoad func(port.Load)) error {
	m, err := a.recv()
	if err != nil {
		return err
	}
	if onLoad != nil && m.GetLoad() != nil {
		onLoad(loadFromPB(m.GetLoad()))
	}
	switch {
	case m.GetRefused() != nil:
		a.finish()
		return errorFromPB(m.GetRefused())
	case m.GetEnd().GetError() != nil:
		a.finish()
		return errorFromPB(m.GetEnd().GetError())
	case m.GetHead() == nil:
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer does not start with a head")
	}
	a.head = headFromPB(m.GetRequestId(), m.GetHead())
	return nil
}

// Head implements port.Answer.
func (a *answer) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *answer) Next() ([]byte, error) {
	if a.done != nil {
		return nil, a.done
	}
	b, err := a.next()
	if err != nil {
		a.done = err
	}
	return b, err
}

func (a *answer) next() ([]byte, error) {
	m, err := a.recv()
	if err != nil {
		return nil, err
	}
	if d := m.GetData(); d != nil {
		if d.GetSeq() != a.frames {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer,
				"frame %d follows frame %d", d.GetSeq(), a.frames)
		}
		a.frames++
		return d.GetBytes(), nil
	}
	end := m.GetEnd()
	if end != nil {
		a.finish()
	}
	switch {
	case end == nil:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "unexpected message in the answer")
	case end.GetError() != nil:
		return nil, errorFromPB(end.GetError())
	case end.GetFrames() != a.frames:
		return nil, verdict.New(verdict.Ran, verdict.CodeBrokenAnswer,
			"answer has %d frames, received %d", end.GetFrames(), a.frames)
	case end.GetVersion() != string(a.head.Version):
		return nil, verdict.New(verdict.Ran, verdict.CodeVersionMismatch, "answer changed its version")
	}
	return nil, io.EOF
}

// Close implements port.Answer.
func (a *answer) Close() error {
	if errors.Is(a.done, io.EOF) {
		err := a.stream.Close()
		a.sil.close()
		return err
	}
	a.sil.close()
	return a.stream.Close()
}

// WatchStatus implements port.AgentClient.
func (c *Client) WatchStatus(
	ctx context.Context, addr fleet.Address, entry string, dom fleet.Domain,
) (port.StatusStream, error) {
	ctx, sil := newSilence(ctx)
	s := &statusStream{sil: sil, client: c, addr: addr}
	req := &pb.WatchStatusRequest{EntryId: entry, Domain: string(dom)}
	err := sil.watch(func() (err error) {
		s.stream, err = pb.NewDRPCAgentClient(c.conn(ctx, addr)).WatchStatus(ctx, req)
		return err
	})
	if err != nil {
		sil.close()
		return nil, errors.Wrap(err, "watching agent status")
	}
	return s, nil
}

type statusStream struct {
	sil    *silence
	client *Client
	addr   fleet.Address
	stream pb.DRPCAgent_WatchStatusClient
	// last is the newest whole status.
	last port.AgentStatus
}

// Next implements port.StatusStream.
func (s *statusStream) Next() (port.AgentStatus, error) {
	var m *pb.AgentStatus
	err := s.sil.watch(func() (err error) {
		m, err = s.stream.Recv()
		return err
	})
	if err != nil {
		s.client.Drop(s.addr)
		return port.AgentStatus{}, errors.Wrap(err, "agent status stream ended")
	}
	if m.GetVm() != "" {
		s.last = *statusFromPB(m)
	}
	// A heartbeat carries only the load.
	s.last.Load = loadFromPB(m.GetLoad())
	return s.last, nil
}

// Close implements port.StatusStream.
func (s *statusStream) Close() error {
	s.sil.close()
	return s.stream.Close()
}

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
	ctx, watchdog := newRecvWatchdog(ctx)
	a := &answerStream{ctx: ctx, watchdog: watchdog, client: c, addr: addr, id: string(r.ID)}
	err := watchdog.run(func() (err error) {
		a.stream, err = pb.NewDRPCAgentClient(c.conn(ctx, addr)).Serve(ctx, requestToPB(r))
		return err
	})
	if err != nil {
		// openError reads the cause of the context, which close would set.
		err = a.openError(err)
		watchdog.close()
		return nil, err
	}
	if err := a.readHead(onLoad); err != nil {
		watchdog.close()
		return nil, err
	}
	return a, nil
}

// answerStream implements port.Answer on the stream of one request.
type answerStream struct {
	ctx      context.Context
	watchdog *recvWatchdog
	client   *Client
	addr     fleet.Address
	id       string
	stream   pb.DRPCAgent_ServeClient
	head     port.AnswerHead
	frames   uint64
	finalErr error
}

func (a *answerStream) openError(err error) error {
	var d dialError
	if errors.As(err, &d) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeTargetLost, "cannot connect to the agent")
	}
	return a.streamError(err)
}

// streamError returns the error for a stream that failed after the request may
// have been sent.
func (a *answerStream) streamError(err error) error {
	cause := context.Cause(a.ctx)
	switch {
	case errors.Is(cause, errHeartbeatTimeout):
		a.client.CloseIdle(a.addr)
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeTargetLost, "agent is silent")
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed")
	case cause != nil:
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeCanceled, "request canceled")
	case errors.Is(err, io.EOF):
		// The agent has closed the stream without the end of the answer. io.EOF in the
		// chain of the error would stand for a complete answer.
		return verdict.Wrap(io.ErrUnexpectedEOF, verdict.MayHaveRun, verdict.CodeTargetLost, "agent closed the stream")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeTargetLost, "connection to the agent lost")
	}
}

// recv returns the next reply that is not a heartbeat. A reply that belongs to
// another request is an error.
func (a *answerStream) recv() (*pb.ServeReply, error) {
	for {
		var m *pb.ServeReply
		err := a.watchdog.run(func() (err error) {
			m, err = a.stream.Recv()
			return err
		})
		if err != nil {
			return nil, a.streamError(err)
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

// awaitClose waits until the agent has closed the stream after its last message and
// the connection is back in the pool. If the stream were canceled earlier, drpc would
// close the connection.
func (a *answerStream) awaitClose() {
	_ = a.watchdog.run(func() error {
		_, err := a.stream.Recv()
		if errors.Is(err, io.EOF) {
			awaitPooled(a.ctx, a.stream)
		}
		return err
	})
}

// readHead receives the first message, which is the head, a refusal or an error.
func (a *answerStream) readHead(onLoad func(port.Load)) error {
	m, err := a.recv()
	if err != nil {
		return err
	}
	if onLoad != nil && m.GetLoad() != nil {
		onLoad(loadFromPB(m.GetLoad()))
	}
	switch {
	case m.GetRefused() != nil:
		a.awaitClose()
		return errorFromPB(m.GetRefused())
	case m.GetEnd().GetError() != nil:
		a.awaitClose()
		return endError(m.GetEnd())
	case m.GetHead() == nil:
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer does not start with a head")
	}
	a.head = headFromPB(m.GetRequestId(), m.GetHead())
	return nil
}

// endError returns the error with which an answer ended. Only a refusal shows that the
// request did not run.
func endError(end *pb.End) *verdict.Error {
	return errorFromPB(end.GetError()).AfterStart()
}

// Head implements port.Answer.
func (a *answerStream) Head() port.AnswerHead { return a.head }

// Next implements port.Answer.
func (a *answerStream) Next() ([]byte, error) {
	if a.finalErr != nil {
		return nil, a.finalErr
	}
	b, err := a.nextFrame()
	if err != nil {
		a.finalErr = err
	}
	return b, err
}

func (a *answerStream) nextFrame() ([]byte, error) {
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
		a.awaitClose()
	}
	switch {
	case end == nil:
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "unexpected message in the answer")
	case end.GetError() != nil:
		return nil, endError(end)
	case end.GetFrames() != a.frames:
		return nil, verdict.New(verdict.Ran, verdict.CodeBrokenAnswer,
			"answer has %d frames, received %d", end.GetFrames(), a.frames)
	case end.GetVersion() != string(a.head.Version):
		return nil, verdict.New(verdict.Ran, verdict.CodeVersionMismatch, "answer changed its version")
	}
	return nil, io.EOF
}

// Close implements port.Answer.
func (a *answerStream) Close() error {
	if port.AnswerEnded(a.finalErr) {
		err := a.stream.Close()
		a.watchdog.close()
		return err
	}
	a.watchdog.close()
	return a.stream.Close()
}

// WatchStatus implements port.AgentClient.
func (c *Client) WatchStatus(
	ctx context.Context, addr fleet.Address, entry string, dom fleet.Domain,
) (port.StatusStream, error) {
	ctx, watchdog := newRecvWatchdog(ctx)
	s := &statusStream{watchdog: watchdog, client: c, addr: addr}
	req := &pb.WatchStatusRequest{EntryId: entry, Domain: string(dom)}
	err := watchdog.run(func() (err error) {
		s.stream, err = pb.NewDRPCAgentClient(c.conn(ctx, addr)).WatchStatus(ctx, req)
		return err
	})
	if err != nil {
		watchdog.close()
		return nil, errors.Wrap(err, "watching agent status")
	}
	return s, nil
}

type statusStream struct {
	watchdog *recvWatchdog
	client   *Client
	addr     fleet.Address
	stream   pb.DRPCAgent_WatchStatusClient
	// lastStatus is the status as of the last message.
	lastStatus port.AgentStatus
}

// Next implements port.StatusStream.
func (s *statusStream) Next() (port.AgentStatus, error) {
	var m *pb.AgentStatus
	err := s.watchdog.run(func() (err error) {
		m, err = s.stream.Recv()
		return err
	})
	if err != nil {
		s.client.CloseIdle(s.addr)
		return port.AgentStatus{}, errors.Wrap(err, "receiving agent status")
	}
	if m.GetVm() != "" {
		s.lastStatus = *statusFromPB(m)
	}
	// A message without a VM carries only the load.
	s.lastStatus.Load = loadFromPB(m.GetLoad())
	return s.lastStatus, nil
}

// Close implements port.StatusStream.
func (s *statusStream) Close() error {
	s.watchdog.close()
	return s.stream.Close()
}

package rpc

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/inflight"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Handlers are the services of the protocol that a process implements. Services
// with a nil handler are not registered.
type Handlers struct {
	Agent  port.AgentHandler
	Peer   port.PeerHandler
	Member port.MemberHandler
	Feed   port.FeedHandler
	// OnPanic is called with the panic of a handler, which ends only its call. It may be nil.
	OnPanic func(method string, err error)
	// Meter counts the bytes sent and received. If it is nil, the server uses its
	// own.
	Meter *Meter
}

// Server accepts connections and dispatches their calls to Handlers.
type Server struct {
	mux   *drpcmux.Mux
	meter *Meter
	// openAnswers counts the answers whose end has not been sent.
	openAnswers *inflight.Counter
	onPanic     func(method string, err error)
}

// NewServer returns a server with the handlers registered.
func NewServer(h Handlers) (*Server, error) {
	mux := drpcmux.New()
	s := &Server{mux: mux, meter: h.Meter, openAnswers: inflight.New(), onPanic: h.OnPanic}
	if s.meter == nil {
		s.meter = &Meter{}
	}
	if h.Agent != nil {
		if err := pb.DRPCRegisterAgent(mux, &agentServer{h.Agent, s.openAnswers}); err != nil {
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
	if h.Feed != nil {
		if err := pb.DRPCRegisterFeed(mux, &feedServer{h.Feed, shard.New[string, compressedValue](0)}); err != nil {
			return nil, errors.Wrap(err, "registering feed service")
		}
	}
	return s, nil
}

// Drain waits until the ends of all answers of Agent.Serve have been sent, or ctx
// ends. A handler returns before the end of its answer is sent, so it is not
// enough to wait for the handlers.
func (s *Server) Drain(ctx context.Context) error {
	for !s.openAnswers.Idle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for open answers")
		case <-s.openAnswers.IdleSignal():
		}
	}
	return nil
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	o := drpcserver.Options{Manager: drpcmanager.Options{Reader: readerOptions()}}
	err := drpcserver.NewWithOptions(meteredHandler{boundedHandler{recoveringHandler{s.mux, s.onPanic}}, s.meter}, o).Serve(ctx, countedListener{lis, &s.meter.connections})
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serving rpc")
}

type countedListener struct {
	net.Listener
	counter *ByteCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.counter}, nil
}

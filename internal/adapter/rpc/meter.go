package rpc

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"

	"github.com/masticwing/masticwing/internal/port"
)

// Traffic counts bytes.
type Traffic struct {
	In, Out atomic.Int64
}

// Meter counts the bytes of a process by kind of message. A client and a
// server may share one.
type Meter struct {
	// connections counts everything on the connections, with the frames of
	// drpc and with requests and weights.
	connections Traffic
	exchange    Traffic
	document    Traffic
	status      Traffic
}

// Read returns the bytes counted so far. The kinds of control hold encoded
// messages without frames; "connections" holds all bytes of the connections.
func (m *Meter) Read() []port.Traffic {
	read := func(kind string, t *Traffic) port.Traffic {
		return port.Traffic{Kind: kind, In: t.In.Load(), Out: t.Out.Load()}
	}
	return []port.Traffic{
		read("connections", &m.connections), read("exchange", &m.exchange),
		read("document", &m.document), read("status", &m.status),
	}
}

// kind returns the counter of a method, or nil if it is not control.
func (m *Meter) kind(rpc string) *Traffic {
	switch rpc {
	case "/masticwing.v1.Member/Exchange":
		return &m.exchange
	case "/masticwing.v1.Member/GetDeclaration":
		return &m.document
	case "/masticwing.v1.Agent/WatchStatus":
		return &m.status
	}
	return nil
}

type countedConn struct {
	net.Conn
	t *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.Out.Add(int64(n))
	return n, err
}

// meteredConn counts the messages of the calls that it makes.
type meteredConn struct {
	drpc.Conn
	m *Meter
}

// Invoke implements drpc.Conn.
func (c meteredConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if t := c.m.kind(rpc); t != nil {
		enc = meteredEncoding{enc, t}
	}
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}

// NewStream implements drpc.Conn.
func (c meteredConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	s, err := c.Conn.NewStream(ctx, rpc, enc)
	if t := c.m.kind(rpc); t != nil && err == nil {
		return meteredStream{s, t}, nil
	}
	return s, err
}

// meteredHandler counts the messages of the calls that it serves.
type meteredHandler struct {
	drpc.Handler
	m *Meter
}

// HandleRPC implements drpc.Handler.
func (h meteredHandler) HandleRPC(s drpc.Stream, rpc string) error {
	if t := h.m.kind(rpc); t != nil {
		s = meteredStream{s, t}
	}
	return h.Handler.HandleRPC(s, rpc)
}

type meteredStream struct {
	drpc.Stream
	t *Traffic
}

// MsgSend implements drpc.Stream.
func (s meteredStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(m, meteredEncoding{enc, s.t})
}

// MsgRecv implements drpc.Stream.
func (s meteredStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, meteredEncoding{enc, s.t})
}

type meteredEncoding struct {
	drpc.Encoding
	t *Traffic
}

// Marshal implements drpc.Encoding.
func (e meteredEncoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := e.Encoding.Marshal(m)
	e.t.Out.Add(int64(len(b)))
	return b, err
}

// Unmarshal implements drpc.Encoding.
func (e meteredEncoding) Unmarshal(b []byte, m drpc.Message) error {
	e.t.In.Add(int64(len(b)))
	return e.Encoding.Unmarshal(b, m)
}

package rpc

import (
	"context"
	"net"
	"sync/atomic"

	"storj.io/drpc"

	"github.com/masticwing/masticwing/internal/port"
)

// ByteCounter counts received and sent bytes.
type ByteCounter struct {
	In, Out atomic.Int64
}

// Meter counts the bytes that a process receives and sends, in total and by kind
// of control message. A client and a server may share a meter.
type Meter struct {
	// connections counts all bytes on the connections, including drpc's framing,
	// requests and weights.
	connections ByteCounter
	exchange    ByteCounter
	document    ByteCounter
	status      ByteCounter
}

// Counts returns the bytes counted so far. "connections" has all bytes on the
// connections; the other kinds have the encoded control messages without drpc's
// framing.
func (m *Meter) Counts() []port.Traffic {
	counts := func(kind string, t *ByteCounter) port.Traffic {
		return port.Traffic{Kind: kind, In: t.In.Load(), Out: t.Out.Load()}
	}
	return []port.Traffic{
		counts("connections", &m.connections), counts("exchange", &m.exchange),
		counts("document", &m.document), counts("status", &m.status),
	}
}

// controlCounter returns the counter of a method, or nil if its messages are not
// control messages.
func (m *Meter) controlCounter(method string) *ByteCounter {
	switch method {
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
	counter *ByteCounter
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Out.Add(int64(n))
	return n, err
}

// meteredConn counts the control messages of outgoing calls.
type meteredConn struct {
	drpc.Conn
	m *Meter
}

// Invoke implements drpc.Conn.
func (c meteredConn) Invoke(ctx context.Context, method string, enc drpc.Encoding, in, out drpc.Message) error {
	if t := c.m.controlCounter(method); t != nil {
		enc = meteredEncoding{enc, t}
	}
	return c.Conn.Invoke(ctx, method, enc, in, out)
}

// NewStream implements drpc.Conn.
func (c meteredConn) NewStream(ctx context.Context, method string, enc drpc.Encoding) (drpc.Stream, error) {
	s, err := c.Conn.NewStream(ctx, method, enc)
	if t := c.m.controlCounter(method); t != nil && err == nil {
		return meteredStream{s, t}, nil
	}
	return s, err
}

// meteredHandler counts the control messages of incoming calls.
type meteredHandler struct {
	drpc.Handler
	m *Meter
}

// HandleRPC implements drpc.Handler.
func (h meteredHandler) HandleRPC(s drpc.Stream, method string) error {
	if t := h.m.controlCounter(method); t != nil {
		s = meteredStream{s, t}
	}
	return h.Handler.HandleRPC(s, method)
}

type meteredStream struct {
	drpc.Stream
	counter *ByteCounter
}

// MsgSend implements drpc.Stream.
func (s meteredStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(m, meteredEncoding{enc, s.counter})
}

// MsgRecv implements drpc.Stream.
func (s meteredStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, meteredEncoding{enc, s.counter})
}

type meteredEncoding struct {
	drpc.Encoding
	counter *ByteCounter
}

// Marshal implements drpc.Encoding.
func (e meteredEncoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := e.Encoding.Marshal(m)
	e.counter.Out.Add(int64(len(b)))
	return b, err
}

// Unmarshal implements drpc.Encoding.
func (e meteredEncoding) Unmarshal(b []byte, m drpc.Message) error {
	e.counter.In.Add(int64(len(b)))
	return e.Encoding.Unmarshal(b, m)
}

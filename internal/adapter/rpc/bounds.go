package rpc

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
	"storj.io/drpc/drpcenc"

	"github.com/masticwing/masticwing/internal/core/manifest"
)

// maxMessageFields bounds the fields of a received message, each element of a repeated
// field counted. An empty element takes 2 bytes in a message and up to 200 bytes in
// memory, so that maxMessageBytes of them take 200 to 400 MB. The message with the
// most elements is a manifest.
const maxMessageFields = manifest.MaxChunks + 64

var errTooManyFields = errors.New("message has too many fields")

// boundedEncoding refuses received messages with more than maxMessageFields fields
// before they are decoded.
type boundedEncoding struct{ drpc.Encoding }

// Unmarshal implements drpc.Encoding.
func (e boundedEncoding) Unmarshal(b []byte, m drpc.Message) error {
	fields := 0
	for rest := b; len(rest) > 0; fields++ {
		if fields >= maxMessageFields {
			return errTooManyFields
		}
		_, _, n := protowire.ConsumeField(rest)
		if n < 0 {
			break // The decoder returns the error.
		}
		rest = rest[n:]
	}
	return e.Encoding.Unmarshal(b, m)
}

// MarshalAppend is the optional method of an encoding by which drpc encodes without a
// copy.
func (e boundedEncoding) MarshalAppend(buf []byte, m drpc.Message) ([]byte, error) {
	return drpcenc.MarshalAppend(m, e.Encoding, buf)
}

// boundedConn bounds the messages that outgoing calls receive.
type boundedConn struct{ drpc.Conn }

// Invoke implements drpc.Conn.
func (c boundedConn) Invoke(ctx context.Context, method string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, method, boundedEncoding{enc}, in, out)
}

// NewStream implements drpc.Conn.
func (c boundedConn) NewStream(ctx context.Context, method string, enc drpc.Encoding) (drpc.Stream, error) {
	s, err := c.Conn.NewStream(ctx, method, enc)
	if err != nil {
		return nil, err
	}
	return boundedStream{s}, nil
}

// boundedHandler bounds the messages that incoming calls receive.
type boundedHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h boundedHandler) HandleRPC(s drpc.Stream, method string) error {
	return h.Handler.HandleRPC(boundedStream{s}, method)
}

type boundedStream struct{ drpc.Stream }

// MsgRecv implements drpc.Stream.
func (s boundedStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, boundedEncoding{enc})
}

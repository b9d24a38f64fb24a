package gateway

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/memlimit"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// bufferedResponse is a target's complete response.
type bufferedResponse struct {
	choice placement.Choice
	resp   *port.ForwardResponse
	body   []byte
}

const (
	// maxBufferedBytes bounds a response that is read completely before it is delivered.
	maxBufferedBytes = 1 << 20
	// minReadBytes is the size of the first buffer for such a response.
	minReadBytes = 4 << 10
)

// errBuffersFull means that the responses that are read at once fill their share of the
// memory.
var errBuffersFull = errors.New("no memory is left for buffered responses")

// readResponse reads a complete response. The memory stays reserved until the request
// ends, since the response may be kept as the fallback.
func (c *call) readResponse(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			n := max(minReadBytes, cap(body))
			if !c.g.memory.TryReserve(memlimit.Responses, int64(n)) {
				return nil, errBuffersFull
			}
			c.reserved += int64(n)
			body = append(make([]byte, 0, cap(body)+n), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBufferedBytes:
			return nil, errors.Errorf("response is longer than %d bytes", maxBufferedBytes)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// relayBuffered reads the complete response before it delivers any of it, so that the
// request can be retried if the response breaks off.
func (c *call) relayBuffered(ctx context.Context, choice placement.Choice, resp *port.ForwardResponse, watch *stallWatch) *verdict.Error {
	watch.release()
	body, err := c.readResponse(resp.Body)
	inPlace := watch.hold()
	switch {
	case err != nil && !inPlace:
		return c.recordSuperseded(choice)
	case errors.Is(err, errBuffersFull):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeOverloaded, "answer can't be read")
	case err != nil:
		return c.recordBrokenResponse(ctx, choice, err)
	}
	if resp.Status/100 == 5 && c.route.Kind == routes.Safe {
		// Keep the target's error; it is delivered if no other target succeeds.
		c.fallback = &bufferedResponse{choice, resp, body}
		return verdict.New(verdict.Ran, verdict.CodeTargetError, "target answered with status %d", resp.Status)
	}
	return c.deliver(choice, resp, body)
}

// deliver sends a complete response to the caller and logs the request. It always returns
// nil.
func (c *call) deliver(choice placement.Choice, resp *port.ForwardResponse, body []byte) *verdict.Error {
	c.g.targets.RecordSuccess(choice.Instance)
	c.recordAnswered()
	c.relay.headSent, c.relay.status = true, resp.Status
	h := port.ResponseHead{Status: resp.Status, Header: resp.Header, Length: int64(len(body))}
	err := c.out.Head(h)
	if err == nil && len(body) > 0 {
		err = c.out.Data(body)
	}
	if err == nil {
		err = c.out.End()
	}
	if err != nil {
		c.logRequest("caller left", verdict.Wrap(err, verdict.Ran, verdict.CodeCanceled, "answer could not be delivered"), resp.Status)
		return nil
	}
	c.logRequest("served", nil, resp.Status)
	return nil
}

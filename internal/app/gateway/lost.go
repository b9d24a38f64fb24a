package gateway

import (
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/eventstream"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// isLostConnection reports whether an attempt failed because the target closed the connection, or
// its machine did for it, while the request may have run. A target that answered, even with a
// failure or with bytes that are no response, was still there, and one that was silent until the
// connection timed out may be.
func isLostConnection(e *verdict.Error) bool {
	if e == nil || e.Verdict != verdict.MayHaveRun {
		return false
	}
	var network net.Error
	if errors.As(e, &network) {
		return !network.Timeout()
	}
	return e.Code == verdict.CodeTargetLost || errors.Is(e, io.ErrUnexpectedEOF) || errors.Is(e, eventstream.ErrNoEvent) || errors.Is(e, eventstream.ErrPartialEvent)
}

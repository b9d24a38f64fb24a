package rpc

import (
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"
	"storj.io/drpc"
)

// errPanic is the error of a call whose handler panicked. The caller knows no more of it than of
// a lost connection: the call may have run.
var errPanic = errors.New("internal error")

// recoveringHandler ends only the call whose handler panics. drpc runs handlers in goroutines of
// its own, where a panic ends the process.
type recoveringHandler struct {
	drpc.Handler
	onPanic func(method string, err error)
}

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(s drpc.Stream, method string) (err error) {
	p := panics.Try(func() { err = h.Handler.HandleRPC(s, method) })
	if p == nil {
		return err
	}
	if h.onPanic != nil {
		h.onPanic(method, p.AsError())
	}
	return errPanic
}

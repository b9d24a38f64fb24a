package port

import (
	"context"
	"net"
)

// Server serves calls of other processes.
type Server interface {
	// Serve accepts connections on lis until ctx ends.
	Serve(ctx context.Context, lis net.Listener) error
}

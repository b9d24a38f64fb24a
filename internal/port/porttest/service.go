package porttest

import (
	"context"
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Service is a fake of port.Service that answers each call with its body.
type Service struct {
	runCounts *shard.Map[string, int]
	// Unhealthy makes Healthy fail.
	Unhealthy atomic.Bool
	// Respond, if set, answers a call after it was counted. It must be set before the
	// service is used.
	Respond func(ctx context.Context, r port.ServiceRequest) (port.Answer, error)
}

var _ port.Service = (*Service)(nil)

// NewService returns a service that has run no calls.
func NewService() *Service { return &Service{runCounts: shard.New[string, int](0)} }

// RunCount returns the number of calls with an idempotency key that ran.
func (s *Service) RunCount(key string) int {
	n, _ := s.runCounts.Get(key)
	return n
}

// Healthy implements port.Service.
func (s *Service) Healthy(context.Context) error {
	if s.Unhealthy.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

// Call implements port.Service.
func (s *Service) Call(ctx context.Context, r port.ServiceRequest) (port.Answer, error) {
	s.runCounts.Update(r.IdempotencyKey, func(n int, _ bool) (int, bool) { return n + 1, true })
	if s.Respond != nil {
		return s.Respond(ctx, r)
	}
	return &Answer{
		AnswerHead: port.AnswerHead{ID: r.ID, ContentType: r.ContentType, Status: 200},
		Pieces:     [][]byte{r.Body},
	}, nil
}

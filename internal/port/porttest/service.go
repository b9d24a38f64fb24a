package porttest

import (
	"context"
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Service is a fake of port.Service that echoes the body of each call.
type Service struct {
	effects *shard.Map[string, int]
	// Sick makes Healthy fail.
	Sick atomic.Bool
	// Respond, if set, replaces the answer after the effect. It is set before
	// the service is used.
	Respond func(ctx context.Context, r port.ServiceRequest) (port.Answer, error)
}

var _ port.Service = (*Service)(nil)

// NewService returns a service without effects.
func NewService() *Service { return &Service{effects: shard.New[string, int](0)} }

// Effects returns the number of calls that ran with an idempotency key.
func (s *Service) Effects(key string) int {
	n, _ := s.effects.Get(key)
	return n
}

// Healthy implements port.Service.
func (s *Service) Healthy(context.Context) error {
	if s.Sick.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

// Call implements port.Service.
func (s *Service) Call(ctx context.Context, r port.ServiceRequest) (port.Answer, error) {
	s.effects.Update(r.IdempotencyKey, func(n int, _ bool) (int, bool) { return n + 1, true })
	if s.Respond != nil {
		return s.Respond(ctx, r)
	}
	return &Answer{
		AnswerHead: port.AnswerHead{ID: r.ID, ContentType: r.ContentType, Status: 200},
		Pieces:     [][]byte{r.Body},
	}, nil
}

package routing

import "github.com/masticwing/masticwing/internal/core/shard"

const (
	// MaxRetries bounds the retries of one request.
	MaxRetries = 2
	// retryEarned is the share of a retry that each first attempt earns, so
	// that retries add at most 10% load in steady state.
	retryEarned = 0.1
	// retryBurst bounds the retries saved up for a sudden loss of targets.
	retryBurst = 10.0
)

// RetryBudget limits retries per pool of targets with a token bucket.
type RetryBudget struct{ tokens *shard.Map[Pool, float64] }

// NewRetryBudget returns a budget with a full bucket for every pool.
func NewRetryBudget() *RetryBudget { return &RetryBudget{shard.New[Pool, float64](0)} }

// Deposit records a first attempt.
func (b *RetryBudget) Deposit(p Pool) {
	b.tokens.Update(p, func(v float64, ok bool) (float64, bool) {
		if !ok {
			v = retryBurst
		}
		return min(v+retryEarned, retryBurst), true
	})
}

// TryWithdraw takes one retry and reports whether the budget allows it.
func (b *RetryBudget) TryWithdraw(p Pool) bool {
	allowed := false
	b.tokens.Update(p, func(v float64, ok bool) (float64, bool) {
		if !ok {
			v = retryBurst
		}
		if v >= 1 {
			allowed = true
			v--
		}
		return v, true
	})
	return allowed
}

package routing

import "github.com/masticwing/masticwing/internal/core/shard"

const (
	// MaxRetries is the maximum number of retries of one request.
	MaxRetries = 2
	// retryRatio is the number of tokens that each first attempt deposits. It
	// limits retries to 10% additional load in steady state.
	retryRatio = 0.1
	// retryBurst is the size of the bucket. It is the number of retries available
	// at a sudden loss of targets.
	retryBurst = 10.0
)

// RetryBudget limits the retries in each pool of targets with a token bucket.
type RetryBudget struct{ tokens *shard.Map[Pool, float64] }

// NewRetryBudget returns a budget with a full bucket for every pool.
func NewRetryBudget() *RetryBudget { return &RetryBudget{shard.New[Pool, float64](0)} }

// Deposit adds the tokens of one first attempt.
func (b *RetryBudget) Deposit(p Pool) {
	b.tokens.Update(p, func(v float64, ok bool) (float64, bool) {
		if !ok {
			v = retryBurst
		}
		return min(v+retryRatio, retryBurst), true
	})
}

// TryWithdraw takes the token of one retry. It reports whether there was one.
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

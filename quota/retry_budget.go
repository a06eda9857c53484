package quota

import "time"

// RetryBudget limits the retries of a service to a ratio of its requests. It
// is not safe for concurrent use.
type RetryBudget struct {
	requests *Window
	retries  *Window
	ratio    float64
	slack    float64
}

// NewRetryBudget returns a budget: in each window, the retries of all hosts
// are at most ratio times the requests, plus slack.
func NewRetryBudget(window time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{requests: NewWindow(window), retries: NewWindow(window), ratio: ratio, slack: slack}
}

// RecordRequest counts a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.requests.Add(now, 1) }

// Remaining returns how many more retries the budget allows now on a host with
// the given share of the slack.
func (b *RetryBudget) Remaining(now time.Time, share float64) float64 {
	return b.ratio*b.requests.Sum(now) + b.slack*share - b.retries.Sum(now)
}

// TryRetry reports whether the budget allows a retry, and counts it if so.
func (b *RetryBudget) TryRetry(now time.Time, share float64) bool {
	if b.Remaining(now, share) < 1 {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

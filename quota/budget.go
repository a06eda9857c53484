package quota

import "time"

// RetryBudget bounds the repeated sends of a service to a ratio of its requests.
// It is not safe for concurrent use.
type RetryBudget struct {
	requests *Window
	repeats  *Window
	ratio    float64
	slack    float64
}

// NewRetryBudget returns a budget: in each span, the repeats of all hosts are at
// most ratio times the requests, plus slack.
func NewRetryBudget(span time.Duration, ratio, slack float64) *RetryBudget {
	return &RetryBudget{requests: NewWindow(span), repeats: NewWindow(span), ratio: ratio, slack: slack}
}

// RecordRequest counts a request.
func (b *RetryBudget) RecordRequest(now time.Time) { b.requests.Add(now, 1) }

// Remaining returns how many repeats the host with the given share may send now.
func (b *RetryBudget) Remaining(now time.Time, share float64) float64 {
	return b.ratio*b.requests.Sum(now) + b.slack*share - b.repeats.Sum(now)
}

// TryRetry counts a repeat and reports whether the budget allows it.
func (b *RetryBudget) TryRetry(now time.Time, share float64) bool {
	if b.Remaining(now, share) < 1 {
		return false
	}
	b.repeats.Add(now, 1)
	return true
}

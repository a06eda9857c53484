package quota

import "time"

// Budget bounds the repeated sends of a service to a ratio of its requests.
// It is not safe for concurrent use.
type Budget struct {
	requests *Window
	repeats  *Window
	ratio    float64
	slack    float64
}

// NewBudget returns a budget: in each span, the repeats of all hosts are at
// most ratio times the requests, plus slack.
func NewBudget(span time.Duration, ratio, slack float64) *Budget {
	return &Budget{requests: NewWindow(span), repeats: NewWindow(span), ratio: ratio, slack: slack}
}

// Request counts a request.
func (b *Budget) Request(now time.Time) { b.requests.Add(now, 1) }

// Left returns how many repeats the host with the given share may send now.
func (b *Budget) Left(now time.Time, share float64) float64 {
	return b.ratio*b.requests.Sum(now) + b.slack*share - b.repeats.Sum(now)
}

// Repeat counts a repeat and reports whether the budget allows it.
func (b *Budget) Repeat(now time.Time, share float64) bool {
	if b.Left(now, share) < 1 {
		return false
	}
	b.repeats.Add(now, 1)
	return true
}

package ledger

const (
	// initialRetryTokens allows retries for a service with little traffic.
	initialRetryTokens = 5
	// maxRetryTokens bounds the tokens that accumulate while there are no
	// retries. It limits the burst of retries when a whole service fails.
	maxRetryTokens = 50
)

// retryBudget is a token bucket that limits the retries of a service to a
// ratio of its requests.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: initialRetryTokens} }

// recordRequest adds the share of a token that one request earns.
func (b *retryBudget) recordRequest(ratio float64) { b.tokens = min(maxRetryTokens, b.tokens+ratio) }

// tryRetry takes the token for one retry, and reports whether there was one.
func (b *retryBudget) tryRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

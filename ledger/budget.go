package ledger

const (
	// initialRetries lets a service with little traffic retry at all.
	initialRetries = 5
	// maxRetries bounds the retries that a quiet time saves up, so that a
	// service that fails as a whole is not hit by a burst of them.
	maxRetries = 50
)

// budget bounds the retries of one service to a share of its requests.
type budget struct {
	tokens float64
}

func newBudget() *budget { return &budget{tokens: initialRetries} }

// earn adds the share of one request.
func (b *budget) earn(share float64) { b.tokens = min(maxRetries, b.tokens+share) }

// spend takes one retry and reports whether there was one left.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Package ledger keeps what an entry host remembers of the requests that came
// in: the latest ones with every decision on their way, the demand of each
// service, and the retry budgets.
//
// Its task owns all three. The memory is bounded: of the requests, only the
// latest are kept.
package ledger

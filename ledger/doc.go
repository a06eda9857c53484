// Package ledger records the requests that an entry host has handled. It
// retains the latest requests with all decisions about them, estimates the
// demand of each service and enforces the retry budgets.
//
// A single task owns this state. Its memory is bounded, because only the
// latest requests are retained.
package ledger

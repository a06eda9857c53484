package entry

import (
	"context"
	"time"

	"rhubarbrack/limit"
	"rhubarbrack/tasks"
)

// rateWaiter is a request that waits for a token.
type rateWaiter struct {
	ctx   context.Context
	since time.Time
	reply tasks.Reply[limit.Decision]
}

// rateQueue contains the waiting requests of one team in order of arrival. A
// nil queue is empty.
type rateQueue struct {
	waiters []rateWaiter
	head    int
}

func (q *rateQueue) len() int {
	if q == nil {
		return 0
	}
	return len(q.waiters) - q.head
}

func (q *rateQueue) push(w rateWaiter) { q.waiters = append(q.waiters, w) }

func (q *rateQueue) first() rateWaiter { return q.waiters[q.head] }

// pop removes the first waiter. The slice is compacted once half of it is
// free.
func (q *rateQueue) pop() {
	q.waiters[q.head] = rateWaiter{}
	q.head++
	if 2*q.head >= len(q.waiters) {
		q.waiters = append(q.waiters[:0], q.waiters[q.head:]...)
		q.head = 0
	}
}

// dropCancelled removes the waiters whose callers have cancelled, so that they
// neither fill the queue nor cause requests for tokens.
func (q *rateQueue) dropCancelled() {
	kept := q.waiters[:0]
	for _, w := range q.waiters[q.head:] {
		if w.ctx.Err() == nil {
			kept = append(kept, w)
		}
	}
	clear(q.waiters[len(kept):])
	q.waiters, q.head = kept, 0
}

func (q *rateQueue) refuseAll(d limit.Decision) {
	for q.len() > 0 {
		q.first().reply.Send(d)
		q.pop()
	}
}

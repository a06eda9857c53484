package ctrl

import (
	"context"
	"sync"
)

// outbox is a queue from a task, which must not block, to a goroutine.
type outbox[T any] struct {
	mutex  sync.Mutex
	values []T
	limit  int
	signal chan struct{}
}

// newOutbox returns an empty outbox. When it holds limit values, a new value
// displaces the oldest one. A limit of zero means no limit.
func newOutbox[T any](limit int) *outbox[T] {
	return &outbox[T]{limit: limit, signal: make(chan struct{}, 1)}
}

// push adds a value without blocking.
func (o *outbox[T]) push(value T) {
	o.mutex.Lock()
	o.values = append(o.values, value)
	if o.limit > 0 && len(o.values) > o.limit {
		o.values = o.values[1:]
	}
	o.mutex.Unlock()
	o.notify()
}

func (o *outbox[T]) notify() {
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

// take waits for values and removes the first ones for which fits returns true,
// but at least one. A nil fits removes all. It returns false if ctx has ended.
func (o *outbox[T]) take(ctx context.Context, fits func(T) bool) ([]T, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-o.signal:
		}
		if values := o.remove(fits); len(values) > 0 {
			return values, true
		}
	}
}

func (o *outbox[T]) remove(fits func(T) bool) []T {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	n := len(o.values)
	for i := 0; fits != nil && i < n; i++ {
		if !fits(o.values[i]) {
			n = max(i, 1)
		}
	}
	values := o.values[:n:n]
	o.values = o.values[n:]
	if len(o.values) > 0 {
		o.notify()
	}
	return values
}

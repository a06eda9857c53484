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
func (b *outbox[T]) push(value T) {
	b.mutex.Lock()
	b.values = append(b.values, value)
	if b.limit > 0 && len(b.values) > b.limit {
		b.values = b.values[1:]
	}
	b.mutex.Unlock()
	b.notify()
}

func (b *outbox[T]) notify() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// take waits for values and removes the first ones for which fits returns true,
// but at least one. A nil fits removes all. It returns false if ctx has ended.
func (b *outbox[T]) take(ctx context.Context, fits func(T) bool) ([]T, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-b.signal:
		}
		if values := b.remove(fits); len(values) > 0 {
			return values, true
		}
	}
}

func (b *outbox[T]) remove(fits func(T) bool) []T {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	n := len(b.values)
	for i := 0; fits != nil && i < n; i++ {
		if !fits(b.values[i]) {
			n = max(i, 1)
		}
	}
	values := b.values[:n:n]
	b.values = b.values[n:]
	if len(b.values) > 0 {
		b.notify()
	}
	return values
}

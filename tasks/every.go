package tasks

import (
	"context"
	"time"

	"rhubarbrack/clock"
)

// Every sends message to the task at each interval until ctx ends or the task
// stops. The returned channel is closed when no more messages will be sent.
func Every(ctx context.Context, c clock.Clock, interval time.Duration, r *Ref, message any) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			t := c.NewTimer(interval)
			select {
			case <-t.C():
				r.Tell(message)
			case <-ctx.Done():
				t.Stop()
				return
			case <-r.Done():
				t.Stop()
				return
			}
		}
	}()
	return done
}

// Go runs work in a goroutine and returns a channel that is closed when work
// has returned.
func Go(ctx context.Context, work func(context.Context)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(ctx)
	}()
	return done
}

// After sends message to the task once, after d, unless ctx ends or the task
// stops first.
func After(ctx context.Context, c clock.Clock, d time.Duration, r *Ref, message any) {
	go func() {
		t := c.NewTimer(d)
		select {
		case <-t.C():
			r.Tell(message)
		case <-ctx.Done():
			t.Stop()
		case <-r.Done():
			t.Stop()
		}
	}()
}

package node

import (
	"context"
	"errors"
	"testing"
)

// frontFunc is a front end that shuts down by a function.
type frontFunc func(ctx context.Context) error

// Shutdown implements shutter.
func (f frontFunc) Shutdown(ctx context.Context) error { return f(ctx) }

// TestShutDown guards against connections of other hosts that stay open, and are cut
// at the exit, because a caller's request uses up the time, and the reverse.
func TestShutDown(t *testing.T) {
	fault := errors.New("not answered")
	cases := []struct {
		name  string
		first bool
		err   error
	}{
		{"first waits for the second", true, nil},
		{"second waits for the first", false, nil},
		{"fault", true, fault},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			begun := make(chan struct{})
			waits := frontFunc(func(ctx context.Context) error {
				select {
				case <-begun:
					return c.err
				case <-ctx.Done():
					return ctx.Err()
				}
			})
			begins := frontFunc(func(context.Context) error {
				close(begun)
				return nil
			})
			fronts := []shutter{begins, waits}
			if c.first {
				fronts = []shutter{waits, begins}
			}
			result := make(chan error, 1)
			go func() { result <- shutDown(ctx, fronts...) }()
			<-begun
			if err := <-result; !errors.Is(err, c.err) || c.err == nil && err != nil {
				t.Errorf("error %v, want %v", err, c.err)
			}
			cancel()
		})
	}
}

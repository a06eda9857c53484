package tasks

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"rhubarbrack/clock"
)

type sumRequest struct{ reply Reply[int] }

type panicRequest struct{}

// counter sums the integers that it receives and replies to sum requests.
type counter struct {
	sum     int
	ticks   chan struct{}
	stopped chan struct{}
}

func (c *counter) Handle(message any) {
	switch m := message.(type) {
	case int:
		c.sum += m
		if c.ticks != nil {
			c.ticks <- struct{}{}
		}
	case sumRequest:
		m.reply.Send(c.sum)
	case panicRequest:
		panic("broken")
	}
}

func (c *counter) Stop() { close(c.stopped) }

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// Guards against a caller that waits forever for a task that has stopped.
func TestAsk(t *testing.T) {
	cases := []struct {
		name    string
		before  func(r *Ref, cancel func())
		want    int
		wantErr error
	}{
		{name: "messages in order", before: func(r *Ref, _ func()) { r.Tell(1); r.Tell(2) }, want: 3},
		{name: "task stopped", before: func(r *Ref, _ func()) { r.Stop(); <-r.Done() }, wantErr: ErrStopped},
		{name: "context of the task ended", before: func(r *Ref, cancel func()) { cancel(); <-r.Done() }, wantErr: ErrStopped},
		{name: "task panicked", before: func(r *Ref, _ func()) { r.Tell(panicRequest{}); <-r.Done() }, wantErr: ErrStopped},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := NewSystem(discardLog())
			defer s.Shutdown()
			r, err := Spawn(ctx, s, "counter", &counter{stopped: make(chan struct{})})
			if err != nil {
				t.Fatal(err)
			}
			tc.before(r, cancel)
			got, err := Ask(context.Background(), r, func(reply Reply[int]) any { return sumRequest{reply: reply} })
			if !errors.Is(err, tc.wantErr) || got != tc.want {
				t.Errorf("Ask = %d, %v; want %d, %v", got, err, tc.want, tc.wantErr)
			}
		})
	}
}

// Guards against a message that takes effect although its sender had left before.
func TestAskAfterCallerLeft(t *testing.T) {
	s := NewSystem(discardLog())
	defer s.Shutdown()
	r, err := Spawn(context.Background(), s, "counter", &counter{stopped: make(chan struct{})})
	if err != nil {
		t.Fatal(err)
	}
	left, leave := context.WithCancel(context.Background())
	leave()
	_, err = Ask(left, r, func(Reply[int]) any { return 1 })
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Errorf("Ask = %v, want %v", err, ErrNotSent)
	}
	sum, err := Ask(context.Background(), r, func(reply Reply[int]) any { return sumRequest{reply: reply} })
	if err != nil || sum != 0 {
		t.Errorf("the task received %d, %v", sum, err)
	}
}

// Guards against a panic that the owner of the task never learns of.
func TestPanicIsReported(t *testing.T) {
	s := NewSystem(discardLog())
	defer s.Shutdown()
	c := &counter{stopped: make(chan struct{})}
	r, err := Spawn(context.Background(), s, "counter", c)
	if err != nil {
		t.Fatal(err)
	}
	r.Tell(panicRequest{})
	<-r.Done()
	if r.Err() == nil {
		t.Error("Err = nil after a panic")
	}
	<-c.stopped
}

// Guards against a ticker that continues after its context has ended.
func TestEvery(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := NewSystem(discardLog())
	defer s.Shutdown()
	c := &counter{ticks: make(chan struct{}), stopped: make(chan struct{})}
	r, err := Spawn(context.Background(), s, "counter", c)
	if err != nil {
		t.Fatal(err)
	}
	manual := clock.NewManual(time.Unix(0, 0))
	done := Every(ctx, manual, time.Second, r, 1)
	for range 3 {
		for manual.Timers() == 0 {
			runtime.Gosched()
		}
		manual.Advance(time.Second)
		<-c.ticks
	}
	cancel()
	<-done
}

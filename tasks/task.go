package tasks

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/juju/errors"
)

const (
	// ErrStopped is returned by Ask when the task stopped before it replied.
	ErrStopped = errors.ConstError("task stopped")
	// ErrNotSent is returned by Ask when the caller had left before the message was
	// sent.
	ErrNotSent = errors.ConstError("message was not sent")
)

// Task handles the messages of one actor, one at a time.
type Task interface {
	// Handle processes one message. It must not block.
	Handle(message any)
}

// Stopper is a task that releases resources when it stops.
type Stopper interface {
	// Stop runs after the last message.
	Stop()
}

// Ref addresses a running task. It is safe for concurrent use.
type Ref struct {
	system *System
	pid    *actor.PID
	done   chan struct{}
	once   sync.Once
	err    error
}

// Spawn starts a task. It stops when ctx is cancelled, when Stop is called or
// when Handle panics. The owner learns of this from Done.
func Spawn(ctx context.Context, s *System, name string, t Task) (*Ref, error) {
	r := &Ref{system: s, done: make(chan struct{})}
	a := &adapter{task: t, ref: r, name: name}
	props := actor.PropsFromProducer(func() actor.Actor { return a })
	// The suffix lets a task start while a stopped one of the same name is
	// still being removed.
	pid, err := s.actors.Root.SpawnNamed(props, name+"-"+s.actors.ProcessRegistry.NextId())
	if err != nil {
		return nil, fmt.Errorf("start task %s: %w", name, err)
	}
	r.pid = pid
	stop := context.AfterFunc(ctx, r.Stop)
	go func() {
		<-r.done
		stop()
	}()
	return r, nil
}

// Tell sends a message without waiting. Messages to a stopped task are
// dropped.
func (r *Ref) Tell(message any) {
	select {
	case <-r.done:
	default:
		r.system.actors.Root.Send(r.pid, message)
	}
}

// Stop stops the task after the messages that are already queued.
func (r *Ref) Stop() { r.system.actors.Root.Poison(r.pid) }

// Done returns a channel that is closed when the task has stopped.
func (r *Ref) Done() <-chan struct{} { return r.done }

// Err returns the panic that stopped the task, or nil. It is valid once Done
// is closed.
func (r *Ref) Err() error { return r.err }

func (r *Ref) finish(err error) {
	r.once.Do(func() {
		r.err = err
		close(r.done)
	})
}

// Reply is the destination of a task's reply to one Ask. The task may keep it
// and reply later. Only the first reply counts.
type Reply[T any] struct {
	values chan T
}

// NewReply returns a reply that is received from Values.
func NewReply[T any]() Reply[T] { return Reply[T]{values: make(chan T, 1)} }

// Send sends the reply without blocking.
func (r Reply[T]) Send(value T) {
	if r.values == nil {
		return
	}
	select {
	case r.values <- value:
	default:
	}
}

// Values returns the channel that the reply arrives on.
func (r Reply[T]) Values() <-chan T { return r.values }

// Ask sends the message that build returns and waits for the reply. It returns
// the error of ctx when that ends first, and ErrStopped when the task stops
// without a reply. If ctx has ended already, it sends nothing and the error matches
// ErrNotSent too.
func Ask[T any](ctx context.Context, r *Ref, build func(Reply[T]) any) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, fmt.Errorf("ask task %s: %w: %w", r.pid.GetId(), ErrNotSent, err)
	}
	reply := NewReply[T]()
	r.Tell(build(reply))
	select {
	case v := <-reply.values:
		return v, nil
	case <-ctx.Done():
		return zero, fmt.Errorf("ask task %s: %w", r.pid.GetId(), ctx.Err())
	case <-r.done:
		select {
		case v := <-reply.values:
			return v, nil
		default:
			return zero, fmt.Errorf("ask task %s: %w", r.pid.GetId(), ErrStopped)
		}
	}
}

// adapter connects a Task to the actor library.
type adapter struct {
	task Task
	ref  *Ref
	name string
}

var _ actor.Actor = (*adapter)(nil)

// Receive implements actor.Actor.
func (a *adapter) Receive(c actor.Context) {
	switch m := c.Message().(type) {
	case *actor.Started, *actor.Stopping, *actor.Restarting, *actor.Restart:
	case *actor.Stopped:
		if s, ok := a.task.(Stopper); ok {
			s.Stop()
		}
		a.ref.finish(nil)
	default:
		a.handle(c, m)
	}
}

// handle stops the task after a panic: its state may be inconsistent, so it
// must not continue, and the process must learn of the panic through Done.
func (a *adapter) handle(c actor.Context, message any) {
	defer func() {
		if p := recover(); p != nil {
			a.ref.system.log.Error("tasks: task panicked", "task", a.name, "panic", p, "stack", string(debug.Stack()))
			a.ref.finish(fmt.Errorf("task %s panicked: %v", a.name, p))
			c.Stop(c.Self())
		}
	}()
	a.task.Handle(message)
}

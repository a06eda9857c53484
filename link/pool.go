package link

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// ErrUnreachable means that no connection to the target came about, so that
// nothing was sent.
const ErrUnreachable = errors.ConstError("target cannot be reached")

const (
	// defaultKeep is how long an idle connection is kept when the target does
	// not announce its own limit.
	defaultKeep = 5 * time.Second
	// keepMargin is how much earlier than the target an idle connection is
	// closed here, so that no request meets the close of the target.
	keepMargin = time.Second
	// sweepInterval is the time between two searches for connections that
	// have been idle for too long.
	sweepInterval = time.Second
	// dialTimeout bounds the set-up of a connection. It is several round
	// trips between regions; a live target answers within one.
	dialTimeout = 300 * time.Millisecond
	// silenceLimit is how long sent bytes may stay unacknowledged before the
	// connection fails.
	silenceLimit = 1500 * time.Millisecond
	// mostIdle bounds the idle connections to one target.
	mostIdle = 64
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall
	// does not name.
	tcpUserTimeout = 18
)

// Pool keeps idle connections. It is safe for concurrent use.
type Pool struct {
	ref    *tasks.Ref
	clock  clock.Clock
	dialer net.Dialer
}

// StartPool starts an empty pool. It ends with ctx.
func StartPool(ctx context.Context, system *tasks.System, c clock.Clock) (*Pool, error) {
	ref, err := tasks.Spawn(ctx, system, "link-pool", &poolTask{clock: c, idle: map[string][]*Conn{}})
	if err != nil {
		return nil, fmt.Errorf("start pool: %w", err)
	}
	tasks.Every(ctx, c, sweepInterval, ref, sweep{})
	p := &Pool{ref: ref, clock: c}
	p.dialer = net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var fault error
			err := raw.Control(func(descriptor uintptr) {
				fault = syscall.SetsockoptInt(
					int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceLimit.Milliseconds()))
			})
			if err == nil {
				err = fault
			}
			if err != nil {
				return fmt.Errorf("bound the silence of a connection: %w", err)
			}
			return nil
		},
	}
	return p, nil
}

// Get returns an idle connection to the address, or opens one. Its error
// wraps ErrUnreached: nothing was sent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	c, err := tasks.Ask(ctx, p.ref, func(reply tasks.Reply[*Conn]) any { return take{address: address, reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if c != nil {
		return c, nil
	}
	socket, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return newConn(socket, address), nil
}

// Put hands a connection back that carries no request.
func (p *Pool) Put(c *Conn) { p.ref.Tell(give{conn: c}) }

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) { p.ref.Tell(forget{address: address}) }

// The messages of the pool task.
type (
	take struct {
		address string
		reply   tasks.Reply[*Conn]
	}
	give   struct{ conn *Conn }
	forget struct{ address string }
	sweep  struct{}
)

// poolTask owns the idle connections.
type poolTask struct {
	clock clock.Clock
	idle  map[string][]*Conn
}

var (
	_ tasks.Task    = (*poolTask)(nil)
	_ tasks.Stopper = (*poolTask)(nil)
)

// Handle implements tasks.Task.
func (t *poolTask) Handle(message any) {
	switch m := message.(type) {
	case take:
		m.reply.Send(t.take(m.address))
	case give:
		t.give(m.conn)
	case forget:
		t.forget(m.address)
	case sweep:
		t.sweep()
	}
}

// Stop implements tasks.Stopper.
func (t *poolTask) Stop() {
	for address := range t.idle {
		t.forget(address)
	}
}

// take returns the connection that was used last, because it is the least
// likely to be closed by the target.
func (t *poolTask) take(address string) *Conn {
	now := t.clock.Now()
	list := t.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		t.idle[address] = list
		if now.Sub(c.idle) < c.keep && c.isQuiet() {
			c.reused = true
			return c
		}
		c.close()
	}
	return nil
}

func (t *poolTask) give(c *Conn) {
	if len(t.idle[c.address]) >= mostIdle {
		c.close()
		return
	}
	c.idle = t.clock.Now()
	t.idle[c.address] = append(t.idle[c.address], c)
}

func (t *poolTask) forget(address string) {
	for _, c := range t.idle[address] {
		c.close()
	}
	delete(t.idle, address)
}

func (t *poolTask) sweep() {
	now := t.clock.Now()
	for address, list := range t.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idle) < c.keep {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(t.idle, address)
		} else {
			t.idle[address] = kept
		}
	}
}

package link

import (
	"context"
	"fmt"
	"hash/maphash"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/tasks"
)

// ErrUnreachable means that no connection to the target could be opened, so
// nothing was sent.
const ErrUnreachable = errors.ConstError("target cannot be reached")

const (
	// defaultKeepAlive is how long a connection may stay idle if the target
	// does not announce its own limit.
	defaultKeepAlive = 5 * time.Second
	// keepAliveMargin is how much earlier than the target this side closes an
	// idle connection, so that no request races with the target's close.
	keepAliveMargin = time.Second
	// sweepInterval is the interval at which expired idle connections are
	// closed.
	sweepInterval = time.Second
	// minDialTimeout bounds connection set-up. It covers several round trips
	// between regions; a live target responds within one. What waits for the
	// host's own link is added to it, see SetLinkDelay.
	minDialTimeout = 300 * time.Millisecond
	// maxLinkDelay limits what is added, so that a request can still be sent to
	// another target after one that is down.
	maxLinkDelay = time.Second
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails.
	ackTimeout = 1500 * time.Millisecond
	// maxIdlePerTarget is the largest number of idle connections to one
	// target.
	maxIdlePerTarget = 64
	// maxIdlePerID is the number of idle connections to one target that may have
	// carried requests with the same ID.
	maxIdlePerID = 4
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which
	// package syscall does not define.
	tcpUserTimeout = 18
)

// Pool keeps idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	ref    *tasks.Ref
	clock  clock.Clock
	dialer net.Dialer
	seed   maphash.Seed
	// receiveBuffer is the size of the receive buffer of a connection, or 0.
	receiveBuffer int
	// linkDelay is how long packets wait for the host's own link, in nanoseconds.
	linkDelay atomic.Int64
}

// Option sets an optional property of a Pool.
type Option func(*Pool)

// WithLocalIP sets the address from which connections are opened. Without it the
// operating system chooses one.
func WithLocalIP(ip net.IP) Option {
	return func(p *Pool) { p.dialer.LocalAddr = &net.TCPAddr{IP: ip} }
}

// WithReceiveBuffer limits the bytes of each connection that may wait to be read.
// Targets send no more before they are read. 0 leaves it to the operating system.
func WithReceiveBuffer(bytes int) Option { return func(p *Pool) { p.receiveBuffer = bytes } }

// StartPool starts an empty pool. It ends with ctx.
func StartPool(ctx context.Context, system *tasks.System, c clock.Clock, options ...Option) (*Pool, error) {
	ref, err := tasks.Spawn(ctx, system, "link-pool", &poolTask{clock: c, idle: map[string][]*Conn{}})
	if err != nil {
		return nil, fmt.Errorf("start pool: %w", err)
	}
	tasks.Every(ctx, c, sweepInterval, ref, closeExpired{})
	p := &Pool{ref: ref, clock: c, seed: maphash.MakeSeed()}
	p.dialer = net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2,
		},
		Control: p.control,
	}
	for _, apply := range options {
		apply(p)
	}
	return p, nil
}

// control sets the options of a socket before it connects. The receive buffer must
// be set by then, because it limits what is announced to the target.
func (p *Pool) control(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(descriptor uintptr) {
		optErr = p.setOptions(int(descriptor))
	})
	if err != nil {
		return fmt.Errorf("set socket options: %w", err)
	}
	return optErr
}

func (p *Pool) setOptions(descriptor int) error {
	err := syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	if p.receiveBuffer == 0 {
		return nil
	}
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.receiveBuffer); err != nil {
		return fmt.Errorf("set SO_RCVBUF: %w", err)
	}
	return nil
}

// Get returns a connection to the address for one request: an idle one that has
// carried no request with the same ID, or a new one. A target may repeat an earlier
// response late, and only the ID tells that it is not the one that is due. An empty
// ID is an ID like any other. The error wraps ErrUnreachable: nothing was sent.
func (p *Pool) Get(ctx context.Context, address string, id ident.RequestID) (*Conn, error) {
	c, err := p.idle(ctx, address, id)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if c != nil {
		return c, nil
	}
	return p.open(ctx, address, id)
}

// idle returns an idle connection for the request with an ID, or nil. The pool
// replies at once, and its reply is taken also at the end of ctx, so that no
// connection is left without an owner.
func (p *Pool) idle(ctx context.Context, address string, id ident.RequestID) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("idle connection: %w", err)
	}
	c, err := tasks.Ask(context.WithoutCancel(ctx), p.ref, func(reply tasks.Reply[*Conn]) any {
		return get{address: address, hash: p.hash(id), reply: reply}
	})
	if err != nil {
		return nil, fmt.Errorf("idle connection: %w", err)
	}
	if err := ctx.Err(); err != nil && c != nil {
		p.Put(c)
		return nil, fmt.Errorf("idle connection: %w", err)
	}
	return c, nil
}

// open opens a connection for the request with an ID.
func (p *Pool) open(ctx context.Context, address string, id ident.RequestID) (*Conn, error) {
	dialer := p.dialer
	dialer.Timeout = p.dialTimeout()
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	c := newConn(socket, address)
	c.requests.add(p.hash(id))
	c.pool = p.ref
	p.ref.Tell(opened{conn: c})
	return c, nil
}

// hash returns the hash of a request ID. Callers cannot choose IDs with the same
// hash, since the seed is random.
func (p *Pool) hash(id ident.RequestID) uint64 { return maphash.String(p.seed, string(id)) }

// SetLinkDelay sets how long packets wait for the host's own link at present. A
// target that cannot be connected to for that time may well be up.
func (p *Pool) SetLinkDelay(d time.Duration) { p.linkDelay.Store(int64(min(max(d, 0), maxLinkDelay))) }

// dialTimeout returns how long a target may take to accept a connection.
func (p *Pool) dialTimeout() time.Duration { return minDialTimeout + time.Duration(p.linkDelay.Load()) }

// Put returns a connection that carries no request to the pool.
func (p *Pool) Put(c *Conn) { p.ref.Tell(put{conn: c}) }

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) { p.ref.Tell(closeIdle{address: address}) }

// The messages of the pool task.
type (
	get struct {
		address string
		hash    uint64
		reply   tasks.Reply[*Conn]
	}
	put          struct{ conn *Conn }
	closeIdle    struct{ address string }
	closeExpired struct{}
)

// poolTask owns the idle connections, and knows those in use.
type poolTask struct {
	clock clock.Clock
	idle  map[string][]*Conn
	inUse map[*Conn]bool
}

var (
	_ tasks.Task    = (*poolTask)(nil)
	_ tasks.Stopper = (*poolTask)(nil)
)

// Handle implements tasks.Task.
func (t *poolTask) Handle(message any) {
	switch m := message.(type) {
	case get:
		m.reply.Send(t.get(m.address, m.hash))
	case put:
		t.put(m.conn)
	case closeIdle:
		t.closeIdle(m.address)
	case closeExpired:
		t.closeExpired()
	case opened:
		t.markInUse(m.conn)
	case closed:
		delete(t.inUse, m.conn)
	case getUnread:
		m.reply.Send(t.unread())
	}
}

// Stop implements tasks.Stopper.
func (t *poolTask) Stop() {
	for address := range t.idle {
		t.closeIdle(address)
	}
}

// get returns the most recently used connection that has carried no request with
// the hash of an ID, since the target is least likely to have closed it.
func (t *poolTask) get(address string, hash uint64) *Conn {
	now := t.clock.Now()
	for i, c := range slices.Backward(t.idle[address]) {
		if c.requests.contains(hash) {
			continue
		}
		t.idle[address] = slices.Delete(t.idle[address], i, i+1)
		if now.Sub(c.idleSince) < c.keepAlive && c.isReusable() {
			c.requests.add(hash)
			t.markInUse(c)
			return c
		}
		c.close()
	}
	// The connection that is opened instead replaces the one used longest ago, so
	// that an ID that is repeated does not use up the connections of a target.
	if list := t.idle[address]; len(list) >= maxIdlePerID {
		list[0].close()
		t.idle[address] = slices.Delete(list, 0, 1)
	}
	return nil
}

func (t *poolTask) put(c *Conn) {
	delete(t.inUse, c)
	if c.requests.isFull() || len(t.idle[c.address]) >= maxIdlePerTarget {
		c.close()
		return
	}
	c.idleSince = t.clock.Now()
	t.idle[c.address] = append(t.idle[c.address], c)
}

func (t *poolTask) closeIdle(address string) {
	for _, c := range t.idle[address] {
		c.close()
	}
	delete(t.idle, address)
}

// closeExpired closes the connections that have been idle for too long or on
// which a target sends bytes, which would fill the socket's buffer.
func (t *poolTask) closeExpired() {
	now := t.clock.Now()
	for address, list := range t.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepAlive && c.isReusable() {
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

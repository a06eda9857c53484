package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

const (
	// ErrUnreachable means that the call was not sent because there is no
	// connection to the peer.
	ErrUnreachable = errors.ConstError("peer is unreachable")
	// ErrBusy means that the call was not sent because too many calls are in
	// flight.
	ErrBusy = errors.ConstError("too many calls in flight")
	// ErrExpired means that the call was not sent because its caller had left.
	ErrExpired = errors.ConstError("call has expired")
	// ErrResponseLost means that the call may have been sent and that no
	// response arrived.
	ErrResponseLost = errors.ConstError("answer lost")
)

// Client calls one peer. Its task owns the connection, dials on demand and
// replaces a connection that has stopped responding by one that opens. It is safe for concurrent
// use.
type Client struct {
	ref     *tasks.Ref
	address string
	slots   chan struct{}
}

// StartClient starts a client of the peer at the address. The first call opens
// the connection.
func StartClient(ctx context.Context, system *tasks.System, name, address string, list ...Option) (*Client, error) {
	o := newOptions(list)
	if o.securityFor != nil {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("start client of %s: %w", address, err)
		}
		o.security = o.securityFor(host)
	}
	t := &connection{ctx: ctx, address: address, options: o, nextDialTimeout: o.firstDialTimeout}
	ref, err := tasks.Spawn(ctx, system, name, t)
	if err != nil {
		return nil, fmt.Errorf("start client of %s: %w", address, err)
	}
	t.self = ref
	return &Client{ref: ref, address: address, slots: make(chan struct{}, o.maxClientCalls)}, nil
}

// Address returns the address of the peer.
func (c *Client) Address() string { return c.address }

// Connect opens the connection, unless it is open, so that the next call need
// not wait for it.
func (c *Client) Connect() { c.ref.Tell(connect{}) }

// ReplaceSilent opens another connection if the current one has been silent for
// too long. A caller that has waited for a while, and still waits, calls it.
func (c *Client) ReplaceSilent() { c.ref.Tell(callExpired{}) }

// Close stops the client and closes its connection.
func (c *Client) Close() { c.ref.Stop() }

// Done returns a channel that is closed when the client has stopped.
func (c *Client) Done() <-chan struct{} { return c.ref.Done() }

// Call invokes a method of the peer. The context must have a deadline, which
// limits the call. The reply is written only when there is no error, even if a
// response arrives late. Errors match ErrUnreachable, ErrBusy or ErrExpired when
// the call was certainly not sent, and ErrResponseLost when it may have run.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		return fmt.Errorf("call %s: context has no deadline", method)
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("call %s of %s: %w: %w", method, c.address, ErrExpired, err)
	}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return fmt.Errorf("call %s of %s: %w", method, c.address, ErrBusy)
	}
	result := make(chan error, 1)
	// net/rpc still writes to the reply after the call was cancelled.
	received := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
	c.ref.Tell(invoke{ctx: ctx, method: method, args: args, reply: received, result: result})
	select {
	case err := <-result:
		if err == nil {
			err = copyValue(reply, received)
		}
		if err != nil {
			return fmt.Errorf("call %s of %s: %w", method, c.address, err)
		}
		return nil
	case <-ctx.Done():
		c.ref.Tell(callExpired{})
		return fmt.Errorf("call %s of %s: %w: %w", method, c.address, ErrResponseLost, ctx.Err())
	case <-c.ref.Done():
		return fmt.Errorf("call %s of %s: %w: client closed", method, c.address, ErrResponseLost)
	}
}

type (
	// invoke requests a call from the connection task, unless ctx has ended.
	invoke struct {
		ctx         context.Context
		method      string
		args, reply any
		result      chan<- error
	}
	// connect requests a connection.
	connect struct{}
	// callExpired reports that a caller has stopped waiting, or has waited for
	// a while.
	callExpired struct{}
	// dialDone carries the result of a dial.
	dialDone struct {
		client *rpc.Client
		err    error
	}
	// responseReceived reports the arrival of a response.
	responseReceived struct {
		client *rpc.Client
		at     time.Time
	}
	// connectionBroken reports that a connection has failed.
	connectionBroken struct{ client *rpc.Client }
)

// maxSilence is how long a connection with expired calls may receive no
// response before another one is opened. A network partition that drops packets
// leaves such a connection open. It is closed only once the other one is open:
// on a full link responses come late, and a new connection has to pass the same
// queue.
const maxSilence = time.Second

// connection is the task that owns the socket to one peer.
type connection struct {
	ctx     context.Context
	self    *tasks.Ref
	address string
	options options
	client  *rpc.Client
	// suspected is set while the connection has been silent for too long. Calls
	// then wait for its next response or for another connection.
	suspected    bool
	dialling     bool
	waiting      []invoke
	lastResponse time.Time
	nextDial     time.Time
	// nextDialTimeout limits the next attempt to dial.
	nextDialTimeout time.Duration
}

var (
	_ tasks.Task    = (*connection)(nil)
	_ tasks.Stopper = (*connection)(nil)
)

// Handle implements tasks.Task.
func (c *connection) Handle(message any) {
	switch m := message.(type) {
	case invoke:
		c.invoke(m)
	case connect:
		if c.client == nil && !c.clock().Now().Before(c.nextDial) {
			c.startDial()
		}
	case dialDone:
		c.dialDone(m)
	case responseReceived:
		c.responseReceived(m)
	case callExpired:
		c.callExpired()
	case connectionBroken:
		if c.client == m.client {
			c.closeConnection()
		}
	}
}

// Stop implements tasks.Stopper.
func (c *connection) Stop() {
	c.closeConnection()
	c.failWaiting(fmt.Errorf("%w: client closed", ErrUnreachable))
}

func (c *connection) clock() clock.Clock { return c.options.clock }

func (c *connection) invoke(m invoke) {
	if c.client != nil && !c.suspected {
		c.send(m)
		return
	}
	if !c.dialling && c.clock().Now().Before(c.nextDial) {
		m.result <- ErrUnreachable
		return
	}
	c.waiting = append(c.waiting, m)
	c.startDial()
}

// responseReceived ends the suspicion against a connection.
func (c *connection) responseReceived(m responseReceived) {
	if c.client != m.client {
		return
	}
	c.lastResponse, c.suspected = m.at, false
	c.sendWaiting()
}

// callExpired opens another connection if the current one is silent.
func (c *connection) callExpired() {
	now := c.clock().Now()
	if c.client == nil || now.Sub(c.lastResponse) <= maxSilence {
		return
	}
	c.suspected = true
	if !now.Before(c.nextDial) {
		c.startDial()
	}
}

// startDial dials unless a dial is under way.
func (c *connection) startDial() {
	if !c.dialling {
		c.dialling = true
		go c.dial(c.nextDialTimeout)
	}
}

// dial runs in a goroutine of its own and sends the result to the task.
func (c *connection) dial(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	conn, err := c.open(ctx)
	if err != nil {
		c.self.Tell(dialDone{err: fmt.Errorf("dial %s: %w", c.address, err)})
		return
	}
	c.self.Tell(dialDone{client: rpc.NewClient(conn)})
}

// open opens a connection, with TLS if it is configured.
func (c *connection) open(ctx context.Context) (net.Conn, error) {
	conn, err := c.options.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, fmt.Errorf("open connection: %w", err)
	}
	security := c.options.security
	if security == nil {
		return conn, nil
	}
	if security.ServerName == "" {
		host, _, err := net.SplitHostPort(c.address)
		if err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("address of the peer: %w", err)
		}
		security = security.Clone()
		security.ServerName = host
	}
	secured := tls.Client(conn, security)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return secured, nil
}

func (c *connection) dialDone(m dialDone) {
	c.dialling = false
	if m.err != nil {
		c.nextDialTimeout = min(2*c.nextDialTimeout, c.options.dialTimeout)
		c.nextDial = c.clock().Now().Add(c.options.redialPause)
		c.failWaiting(fmt.Errorf("%w: %w", ErrUnreachable, m.err))
		return
	}
	c.nextDialTimeout = c.options.firstDialTimeout
	if c.client != nil && !c.suspected {
		// The current connection has responded meanwhile.
		_ = m.client.Close()
		return
	}
	c.closeConnection()
	c.client, c.lastResponse = m.client, c.clock().Now()
	c.sendWaiting()
}

func (c *connection) sendWaiting() {
	waiting := c.waiting
	c.waiting = nil
	for _, w := range waiting {
		c.send(w)
	}
}

func (c *connection) failWaiting(err error) {
	for _, w := range c.waiting {
		w.result <- err
	}
	c.waiting = nil
}

// send starts a call and a goroutine that passes on its result. The goroutine
// ends with the call, which ends at the latest with the connection. A call whose
// caller has left, for example while it waited for the connection, is not sent.
func (c *connection) send(m invoke) {
	if m.ctx.Err() != nil {
		return
	}
	client := c.client
	call := client.Go(m.method, m.args, m.reply, make(chan *rpc.Call, 1))
	go func() {
		<-call.Done
		if call.Error == nil {
			c.self.Tell(responseReceived{client: client, at: c.clock().Now()})
			m.result <- nil
			return
		}
		var refused rpc.ServerError
		if errors.As(call.Error, &refused) {
			c.self.Tell(responseReceived{client: client, at: c.clock().Now()})
			m.result <- fmt.Errorf("peer refused the call: %w", call.Error)
			return
		}
		c.self.Tell(connectionBroken{client: client})
		m.result <- fmt.Errorf("%w: %w", ErrResponseLost, call.Error)
	}()
}

func (c *connection) closeConnection() {
	if c.client != nil {
		_ = c.client.Close()
	}
	c.client, c.suspected = nil, false
}

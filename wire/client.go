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
	// ErrResponseLost means that the call may have been sent and that no
	// response arrived.
	ErrResponseLost = errors.ConstError("answer lost")
)

// Client calls one peer. Its task owns the connection, dials on demand and
// replaces a connection that has stopped responding. It is safe for concurrent
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

// Close stops the client and closes its connection.
func (c *Client) Close() { c.ref.Stop() }

// Done returns a channel that is closed when the client has stopped.
func (c *Client) Done() <-chan struct{} { return c.ref.Done() }

// Call invokes a method of the peer. The context must have a deadline, which
// limits the call. The reply is written only when there is no error, even if a
// response arrives late. Errors match ErrUnreachable or ErrBusy when the call
// was certainly not sent, and ErrResponseLost when it may have run.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		return fmt.Errorf("call %s: context has no deadline", method)
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
	c.ref.Tell(invoke{method: method, args: args, reply: received, result: result})
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
	// invoke requests a call from the connection task.
	invoke struct {
		method      string
		args, reply any
		result      chan<- error
	}
	// callExpired reports that a caller has stopped waiting.
	callExpired struct{}
	// dialDone carries the result of a dial.
	dialDone struct {
		client *rpc.Client
		err    error
	}
	// responseReceived reports the arrival of a response.
	responseReceived struct{ at time.Time }
	// connectionBroken reports that a connection has failed.
	connectionBroken struct{ client *rpc.Client }
)

// maxSilence is how long a connection with expired calls may receive no
// response before it is replaced. A network partition that drops packets
// leaves such a connection open.
const maxSilence = time.Second

// connection is the task that owns the socket to one peer.
type connection struct {
	ctx          context.Context
	self         *tasks.Ref
	address      string
	options      options
	client       *rpc.Client
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
func (n *connection) Handle(message any) {
	switch m := message.(type) {
	case invoke:
		n.invoke(m)
	case dialDone:
		n.dialDone(m)
	case responseReceived:
		n.lastResponse = m.at
	case callExpired:
		if n.client != nil && n.clock().Now().Sub(n.lastResponse) > maxSilence {
			n.closeConnection()
		}
	case connectionBroken:
		if n.client == m.client {
			n.closeConnection()
		}
	}
}

// Stop implements tasks.Stopper.
func (n *connection) Stop() {
	n.closeConnection()
	n.failWaiting(fmt.Errorf("%w: client closed", ErrUnreachable))
}

func (n *connection) clock() clock.Clock { return n.options.clock }

func (n *connection) invoke(m invoke) {
	if n.client != nil {
		n.send(m)
		return
	}
	if !n.dialling && n.clock().Now().Before(n.nextDial) {
		m.result <- ErrUnreachable
		return
	}
	n.waiting = append(n.waiting, m)
	if !n.dialling {
		n.dialling = true
		go n.dial(n.nextDialTimeout)
	}
}

// dial runs in a goroutine of its own and sends the result to the task.
func (n *connection) dial(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	var conn net.Conn
	var err error
	if n.options.security != nil {
		dialer := tls.Dialer{Config: n.options.security}
		conn, err = dialer.DialContext(ctx, "tcp", n.address)
	} else {
		var dialer net.Dialer
		conn, err = dialer.DialContext(ctx, "tcp", n.address)
	}
	if err != nil {
		n.self.Tell(dialDone{err: fmt.Errorf("dial %s: %w", n.address, err)})
		return
	}
	n.self.Tell(dialDone{client: rpc.NewClient(conn)})
}

func (n *connection) dialDone(m dialDone) {
	n.dialling = false
	if m.err != nil {
		n.nextDialTimeout = min(2*n.nextDialTimeout, n.options.dialTimeout)
		n.nextDial = n.clock().Now().Add(n.options.redialPause)
		n.failWaiting(fmt.Errorf("%w: %w", ErrUnreachable, m.err))
		return
	}
	n.client, n.nextDialTimeout = m.client, n.options.firstDialTimeout
	n.lastResponse = n.clock().Now()
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		n.send(w)
	}
}

func (n *connection) failWaiting(err error) {
	for _, w := range n.waiting {
		w.result <- err
	}
	n.waiting = nil
}

// send starts a call and a goroutine that passes on its result. The goroutine
// ends with the call, which ends at the latest with the connection.
func (n *connection) send(m invoke) {
	client := n.client
	call := client.Go(m.method, m.args, m.reply, make(chan *rpc.Call, 1))
	go func() {
		<-call.Done
		if call.Error == nil {
			n.self.Tell(responseReceived{at: n.clock().Now()})
			m.result <- nil
			return
		}
		var refused rpc.ServerError
		if errors.As(call.Error, &refused) {
			n.self.Tell(responseReceived{at: n.clock().Now()})
			m.result <- fmt.Errorf("peer refused the call: %w", call.Error)
			return
		}
		n.self.Tell(connectionBroken{client: client})
		m.result <- fmt.Errorf("%w: %w", ErrResponseLost, call.Error)
	}()
}

func (n *connection) closeConnection() {
	if n.client != nil {
		_ = n.client.Close()
		n.client = nil
	}
}

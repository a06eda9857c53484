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
	// ErrUnreachable means that the call was not sent: there is no
	// connection to the peer.
	ErrUnreachable = errors.ConstError("peer is unreachable")
	// ErrBusy means that the call was not sent: too many are in flight.
	ErrBusy = errors.ConstError("too many calls in flight")
	// ErrResponseLost means that the call may have been sent, and that its answer
	// did not arrive.
	ErrResponseLost = errors.ConstError("answer lost")
)

// Client calls one peer. Its task owns the connection, dials on demand and
// replaces a connection that has stopped answering. It is safe for
// concurrent use.
type Client struct {
	ref     *tasks.Ref
	address string
	slots   chan struct{}
}

// StartClient starts a client of the peer at the address. No connection is made
// before the first call.
func StartClient(ctx context.Context, system *tasks.System, name, address string, list ...Option) (*Client, error) {
	o := newOptions(list)
	if o.securityFor != nil {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("start client of %s: %w", address, err)
		}
		o.security = o.securityFor(host)
	}
	t := &connection{ctx: ctx, address: address, options: o, patience: o.firstDial}
	ref, err := tasks.Spawn(ctx, system, name, t)
	if err != nil {
		return nil, fmt.Errorf("start client of %s: %w", address, err)
	}
	t.self = ref
	return &Client{ref: ref, address: address, slots: make(chan struct{}, o.clientCalls)}, nil
}

// Address returns the address of the peer.
func (c *Client) Address() string { return c.address }

// Close ends the client and its connection.
func (c *Client) Close() { c.ref.Stop() }

// Done returns a channel that is closed when the client has ended.
func (c *Client) Done() <-chan struct{} { return c.ref.Done() }

// Call invokes a method of the peer. The context must have a deadline, which
// bounds the call. The reply is written only when there is no error, also if an
// answer arrives late. Errors match ErrUnreachable or ErrBusy when the call was
// certainly not sent, ErrLost when it may have run.
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
	// net/rpc goes on to write to the reply of a call that was given up.
	received := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
	c.ref.Tell(invoke{method: method, args: args, reply: received, result: result})
	select {
	case err := <-result:
		if err == nil {
			err = assign(reply, received)
		}
		if err != nil {
			return fmt.Errorf("call %s of %s: %w", method, c.address, err)
		}
		return nil
	case <-ctx.Done():
		c.ref.Tell(expired{})
		return fmt.Errorf("call %s of %s: %w: %w", method, c.address, ErrResponseLost, ctx.Err())
	case <-c.ref.Done():
		return fmt.Errorf("call %s of %s: %w: client closed", method, c.address, ErrResponseLost)
	}
}

type (
	// invoke asks the connection task to send a call.
	invoke struct {
		method      string
		args, reply any
		result      chan<- error
	}
	// expired reports that a caller gave up waiting.
	expired struct{}
	// dialled reports the end of a dial.
	dialled struct {
		client *rpc.Client
		err    error
	}
	// answered reports that an answer arrived.
	answered struct{ at time.Time }
	// broken reports that a connection failed.
	broken struct{ client *rpc.Client }
)

// silenceLimit is how long a connection with overdue calls may stay without
// any answer before it is replaced. A silent partition leaves it open.
const silenceLimit = time.Second

// connection is the task that owns the socket to one peer.
type connection struct {
	ctx       context.Context
	self      *tasks.Ref
	address   string
	options   options
	client    *rpc.Client
	dialling  bool
	waiting   []invoke
	lastHeard time.Time
	nextDial  time.Time
	// patience bounds the next attempt to dial.
	patience time.Duration
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
	case dialled:
		n.dialled(m)
	case answered:
		n.lastHeard = m.at
	case expired:
		if n.client != nil && n.clock().Now().Sub(n.lastHeard) > silenceLimit {
			n.drop()
		}
	case broken:
		if n.client == m.client {
			n.drop()
		}
	}
}

// Stop implements tasks.Stopper.
func (n *connection) Stop() {
	n.drop()
	n.refuse(fmt.Errorf("%w: client closed", ErrUnreachable))
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
		go n.dial(n.patience)
	}
}

// dial runs in its own goroutine and reports to the task.
func (n *connection) dial(patience time.Duration) {
	ctx, cancel := context.WithTimeout(n.ctx, patience)
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
		n.self.Tell(dialled{err: fmt.Errorf("dial %s: %w", n.address, err)})
		return
	}
	n.self.Tell(dialled{client: rpc.NewClient(conn)})
}

func (n *connection) dialled(m dialled) {
	n.dialling = false
	if m.err != nil {
		n.patience = min(2*n.patience, n.options.dialTimeout)
		n.nextDial = n.clock().Now().Add(n.options.redialPause)
		n.refuse(fmt.Errorf("%w: %w", ErrUnreachable, m.err))
		return
	}
	n.client, n.patience = m.client, n.options.firstDial
	n.lastHeard = n.clock().Now()
	waiting := n.waiting
	n.waiting = nil
	for _, w := range waiting {
		n.send(w)
	}
}

func (n *connection) refuse(err error) {
	for _, w := range n.waiting {
		w.result <- err
	}
	n.waiting = nil
}

// send starts a call and a goroutine that passes its end on. The goroutine
// ends with the call, and the call at the latest with the connection.
func (n *connection) send(m invoke) {
	client := n.client
	call := client.Go(m.method, m.args, m.reply, make(chan *rpc.Call, 1))
	go func() {
		<-call.Done
		if call.Error == nil {
			n.self.Tell(answered{at: n.clock().Now()})
			m.result <- nil
			return
		}
		var refused rpc.ServerError
		if errors.As(call.Error, &refused) {
			n.self.Tell(answered{at: n.clock().Now()})
			m.result <- fmt.Errorf("peer refused the call: %w", call.Error)
			return
		}
		n.self.Tell(broken{client: client})
		m.result <- fmt.Errorf("%w: %w", ErrResponseLost, call.Error)
	}()
}

func (n *connection) drop() {
	if n.client != nil {
		_ = n.client.Close()
		n.client = nil
	}
}

package ctrl

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/state"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// callTimeout bounds one call to a control host. It exceeds the time that
	// the leader holds a poll, and leaves time for a retry within a lease.
	callTimeout = 1200 * time.Millisecond
	// proposeTimeout bounds how long a control host waits for one commit.
	proposeTimeout = time.Second
	// retryPause limits the rate of retries while there is no leader.
	retryPause = 50 * time.Millisecond
)

// Client calls the control hosts from an entry host. Its task owns a connection
// to each control host and keeps track of the leader. A Client is safe for
// concurrent use.
type Client struct {
	ref   *tasks.Ref
	clock clock.Clock
}

// StartClient starts the task of a client of the given control hosts.
func StartClient(ctx context.Context, system *tasks.System, c clock.Clock, hosts []Peer, list ...wire.Option) (*Client, error) {
	if len(hosts) == 0 {
		return nil, errors.New("start control client: no control hosts")
	}
	t := &leaderTracker{ctx: ctx, system: system, options: list}
	for _, p := range hosts {
		if err := t.addHost(p.Host(), p.Address()); err != nil {
			return nil, fmt.Errorf("start control client: %w", err)
		}
	}
	ref, err := tasks.Spawn(ctx, system, "ctrl-client", t)
	if err != nil {
		return nil, fmt.Errorf("start control client: %w", err)
	}
	return &Client{ref: ref, clock: c}, nil
}

// Done returns a channel that is closed when the client has ended.
func (c *Client) Done() <-chan struct{} { return c.ref.Done() }

type (
	// endpoint is a control host that may be the leader.
	endpoint struct {
		index  int
		client *wire.Client
	}
	getEndpoint struct{ reply tasks.Reply[endpoint] }
	// callFinished reports the result of a call to an endpoint.
	callFinished struct {
		index   int
		served  bool
		leader  ident.Host
		address string
	}
)

// leaderTracker is the task behind Client. It starts with the control hosts of
// the settings and adds others when a reply names them as the leader.
type leaderTracker struct {
	ctx     context.Context
	system  *tasks.System
	options []wire.Option
	hosts   []ident.Host
	clients []*wire.Client
	current int
}

var _ tasks.Task = (*leaderTracker)(nil)

// Handle implements tasks.Task.
func (t *leaderTracker) Handle(message any) {
	switch m := message.(type) {
	case getEndpoint:
		m.reply.Send(endpoint{index: t.current, client: t.clients[t.current]})
	case callFinished:
		if !m.served && m.index == t.current {
			t.current = t.nextEndpoint(m.leader, m.address)
		}
	}
}

func (t *leaderTracker) addHost(host ident.Host, address string) error {
	w, err := wire.StartClient(t.ctx, t.system, "ctrl-client-"+string(host), address, t.options...)
	if err != nil {
		return fmt.Errorf("control host %s: %w", host, err)
	}
	t.hosts = append(t.hosts, host)
	t.clients = append(t.clients, w)
	return nil
}

// nextEndpoint returns the index of the host that a reply named as the leader,
// or else that of the next host in the list.
func (t *leaderTracker) nextEndpoint(leader ident.Host, address string) int {
	for i, h := range t.hosts {
		if h == leader && i != t.current {
			return i
		}
	}
	known := slices.Contains(t.hosts, leader)
	if !known && leader != "" && address != "" && t.addHost(leader, address) == nil {
		return len(t.hosts) - 1
	}
	return (t.current + 1) % len(t.hosts)
}

func (c *Client) currentEndpoint(ctx context.Context) (endpoint, error) {
	found, err := tasks.Ask(ctx, c.ref, func(r tasks.Reply[endpoint]) any { return getEndpoint{reply: r} })
	if err != nil {
		return endpoint{}, fmt.Errorf("choose control host: %w", err)
	}
	return found, nil
}

// replyHeader is a reply that says whether the control host served the call.
type replyHeader interface {
	// header returns the result of the call and, if another host leads, that
	// leader.
	header() (result CallResult, leader ident.Host, address string)
}

// call calls the last known leader. An error that matches ErrNotLeader means
// that the host does not lead and that the call had no effect; the next call goes
// to another host. Errors that match errNoEndpoint are final. The reply is valid
// only without an error.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, args any, reply replyHeader) error {
	to, err := c.currentEndpoint(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoEndpoint, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := to.client.Call(ctx, followServiceName+"."+method, args, reply); err != nil {
		c.ref.Tell(callFinished{index: to.index})
		return fmt.Errorf("call control host: %w", err)
	}
	result, leader, address := reply.header()
	served := result != ResultNotLeader
	c.ref.Tell(callFinished{index: to.index, served: served, leader: leader, address: address})
	if !served {
		return fmt.Errorf("call control host: %w", ErrNotLeader)
	}
	return nil
}

// errNoEndpoint means that the client has ended, or that ctx ended before the
// call.
const errNoEndpoint = errors.ConstError("no control host to call")

// retry calls attempt until it returns true or an error that matches
// errNoEndpoint. It returns the error of ctx when that ends first.
func (c *Client) retry(ctx context.Context, attempt func() (bool, error)) error {
	for {
		done, err := attempt()
		if done {
			return nil
		}
		if errors.Is(err, errNoEndpoint) {
			return fmt.Errorf("attempt: %w", err)
		}
		if !clock.Sleep(ctx, c.clock, retryPause) {
			return fmt.Errorf("wait: %w", ctx.Err())
		}
	}
}

// poll sends one poll to a control host. The caller retries it.
func (c *Client) poll(ctx context.Context, args PollArgs) (PollReply, error) {
	var reply PollReply
	if err := c.call(ctx, callTimeout, "Poll", &args, &reply); err != nil {
		return PollReply{}, fmt.Errorf("poll: %w", err)
	}
	return reply, nil
}

// Propose commits a command through the current leader and retries until ctx
// ends. It also retries a proposal whose reply was lost, so the command must be
// idempotent. An error that matches ErrUnknown means that the command may still
// be committed; after any other error it had no effect.
func (c *Client) Propose(ctx context.Context, command state.Command) (state.Outcome, error) {
	data, err := codec.EncodeCommand(command)
	if err != nil {
		return state.Outcome{}, fmt.Errorf("encode %s: %w", command.Kind(), err)
	}
	unknown := false
	for {
		var reply ProposeReply
		err := c.call(ctx, callTimeout, "Propose", &ProposeArgs{Command: data, Timeout: proposeTimeout}, &reply)
		if err == nil && reply.Verdict == ResultServed {
			return decodeOutcome(command, reply.Outcome)
		}
		if err == nil && reply.Verdict == ResultInvalid {
			return state.Outcome{}, fmt.Errorf("propose %s: %s", command.Kind(), reply.Error)
		}
		unknown = unknown || errors.Is(err, wire.ErrResponseLost) || err == nil && reply.Verdict == ResultUnknown
		if !clock.Sleep(ctx, c.clock, retryPause) {
			return state.Outcome{}, proposeError(ctx, command, unknown)
		}
	}
}

func decodeOutcome(command state.Command, data []byte) (state.Outcome, error) {
	outcome, err := codec.DecodeOutcome(data)
	if err != nil {
		return state.Outcome{}, fmt.Errorf("propose %s: %w: %w", command.Kind(), ErrUnknown, err)
	}
	return outcome, nil
}

func proposeError(ctx context.Context, command state.Command, unknown bool) error {
	if unknown {
		return fmt.Errorf("propose %s: %w: %w", command.Kind(), ErrUnknown, ctx.Err())
	}
	return fmt.Errorf("propose %s: no control host leads: %w", command.Kind(), ctx.Err())
}

// InForce waits until every entry host with a lease has applied the revision.
// It returns the error of ctx when that ends first.
func (c *Client) InForce(ctx context.Context, revision ident.Revision) error {
	args := InForceArgs{Revision: revision, Wait: maxPollWait}
	err := c.retry(ctx, func() (bool, error) {
		for {
			var reply InForceReply
			if err := c.call(ctx, callTimeout, "InForce", &args, &reply); err != nil {
				return false, fmt.Errorf("ask for the revision in force: %w", err)
			}
			if reply.Reached {
				return true, nil
			}
		}
	})
	if err != nil {
		return fmt.Errorf("wait until revision %d is in force: %w", revision, err)
	}
	return nil
}

// State is the replicated state as of a revision that a majority confirmed
// after the call to Read.
type State struct {
	config *state.Config
	record ReadReply
}

// Config returns the configuration.
func (s State) Config() *state.Config { return s.config }

// InForce returns the latest revision that every entry host with a lease has
// applied.
func (s State) InForce() ident.Revision { return s.record.InForce }

// Applied returns the latest revision that an entry host has applied.
func (s State) Applied(h ident.Host) ident.Revision { return s.record.Applied[h] }

// Events returns the latest changes that the leader made by itself, oldest
// first.
func (s State) Events() []EventRecord { return s.record.Events }

// Term returns the term of the leader.
func (s State) Term() uint64 { return s.record.Term }

// ControlHosts returns the members of the control cluster.
func (s State) ControlHosts() []ControlHostRecord { return s.record.Controls }

// History returns the versions of the requested document, oldest first.
func (s State) History() []VersionRecord { return s.record.History }

// Read returns the state from the leader, with the history of a document if
// kind is not empty. It retries until ctx ends.
func (c *Client) Read(ctx context.Context, kind, name string) (State, error) {
	var record ReadReply
	err := c.retry(ctx, func() (bool, error) {
		var reply ReadReply
		if err := c.call(ctx, callTimeout, "Read", &ReadArgs{Kind: kind, Name: name}, &reply); err != nil {
			return false, fmt.Errorf("read: %w", err)
		}
		record = reply
		return true, nil
	})
	if err != nil {
		return State{}, fmt.Errorf("read state: no control host leads: %w", err)
	}
	config, err := codec.DecodeConfig(record.Config)
	if err != nil {
		return State{}, fmt.Errorf("decode configuration: %w", err)
	}
	return State{config: config, record: record}, nil
}

// ChangeMember adds a control host at an address, or removes it when the
// address is empty. It retries until the change is made or ctx ends.
func (c *Client) ChangeMember(ctx context.Context, host ident.Host, address string) error {
	reason := "no control host leads"
	args := MemberArgs{Host: host, Address: address, Remove: address == "", Timeout: callTimeout}
	err := c.retry(ctx, func() (bool, error) {
		var reply MemberReply
		if err := c.call(ctx, 2*callTimeout, "Member", &args, &reply); err != nil {
			return false, fmt.Errorf("change member: %w", err)
		}
		if reply.Error != "" {
			reason = reply.Error
		}
		return reply.Verdict == ResultServed, nil
	})
	if err != nil {
		return fmt.Errorf("change control host %s: %s: %w", host, reason, err)
	}
	return nil
}

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
	// the leader holds a poll, and leaves a second try within a lease.
	callTimeout = 1200 * time.Millisecond
	// proposeTimeout bounds the wait of a control host for one commit.
	proposeTimeout = time.Second
	// retryPause keeps clients from asking in a loop while there is no
	// leader.
	retryPause = 50 * time.Millisecond
)

// Client calls the control hosts from an entry host. Its task owns one
// connection to each of them and remembers which one leads. It is safe for
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
	t := &guide{ctx: ctx, system: system, options: list}
	for _, p := range hosts {
		if err := t.add(p.Host(), p.Address()); err != nil {
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
	// candidate is the control host to call next.
	candidate struct {
		number int
		client *wire.Client
	}
	candidateOf struct{ reply tasks.Reply[candidate] }
	// called tells the task how a call to a candidate ended.
	called struct {
		number  int
		served  bool
		leader  ident.Host
		address string
	}
)

// guide is the task behind Client. It begins with the control hosts of the
// settings and learns of others when an answer names them as the leader.
type guide struct {
	ctx     context.Context
	system  *tasks.System
	options []wire.Option
	hosts   []ident.Host
	clients []*wire.Client
	current int
}

var _ tasks.Task = (*guide)(nil)

// Handle implements tasks.Task.
func (g *guide) Handle(message any) {
	switch m := message.(type) {
	case candidateOf:
		m.reply.Send(candidate{number: g.current, client: g.clients[g.current]})
	case called:
		if !m.served && m.number == g.current {
			g.current = g.next(m.leader, m.address)
		}
	}
}

func (g *guide) add(host ident.Host, address string) error {
	w, err := wire.StartClient(g.ctx, g.system, "ctrl-client-"+string(host), address, g.options...)
	if err != nil {
		return fmt.Errorf("control host %s: %w", host, err)
	}
	g.hosts = append(g.hosts, host)
	g.clients = append(g.clients, w)
	return nil
}

// next returns the host that was named as the leader, or else the following
// one.
func (g *guide) next(leader ident.Host, address string) int {
	for i, h := range g.hosts {
		if h == leader && i != g.current {
			return i
		}
	}
	known := slices.Contains(g.hosts, leader)
	if !known && leader != "" && address != "" && g.add(leader, address) == nil {
		return len(g.hosts) - 1
	}
	return (g.current + 1) % len(g.hosts)
}

func (c *Client) candidate(ctx context.Context) (candidate, error) {
	found, err := tasks.Ask(ctx, c.ref, func(r tasks.Reply[candidate]) any { return candidateOf{reply: r} })
	if err != nil {
		return candidate{}, fmt.Errorf("choose control host: %w", err)
	}
	return found, nil
}

// answer is a reply that says whether the control host could serve the call.
type answer interface {
	// header returns the verdict and, for another host's call, the leader.
	header() (verdict CallResult, leader ident.Host, address string)
}

// call asks the control host that led last. An error that matches ErrNotLeader
// means that it does not lead and did nothing; the next call goes to another
// host. Errors that match errNoCandidate are final. The reply is valid only
// without an error.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, args any, reply answer) error {
	to, err := c.candidate(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoCandidate, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := to.client.Call(ctx, pollService+"."+method, args, reply); err != nil {
		c.ref.Tell(called{number: to.number})
		return fmt.Errorf("call control host: %w", err)
	}
	verdict, leader, address := reply.header()
	served := verdict != ResultNotLeader
	c.ref.Tell(called{number: to.number, served: served, leader: leader, address: address})
	if !served {
		return fmt.Errorf("call control host: %w", ErrNotLeader)
	}
	return nil
}

// errNoCandidate means that the client has ended, or ctx before the call.
const errNoCandidate = errors.ConstError("no control host to call")

// repeat makes attempts until one is done, which it tells by true or by an
// error that matches errNoCandidate. It returns the error of ctx when that ends
// first.
func (c *Client) repeat(ctx context.Context, attempt func() (bool, error)) error {
	for {
		done, err := attempt()
		if done {
			return nil
		}
		if errors.Is(err, errNoCandidate) {
			return err
		}
		if !clock.Sleep(ctx, c.clock, retryPause) {
			return fmt.Errorf("wait: %w", ctx.Err())
		}
	}
}

// poll calls one control host. The caller repeats it.
func (c *Client) poll(ctx context.Context, args PollArgs) (PollReply, error) {
	var reply PollReply
	if err := c.call(ctx, callTimeout, "Poll", &args, &reply); err != nil {
		return PollReply{}, fmt.Errorf("poll: %w", err)
	}
	return reply, nil
}

// Propose commits a command through the leader, whichever it is, and tries
// again until ctx ends. It repeats a proposal whose answer was lost, so the
// command must be one that has no further effect when it is applied twice. An
// error that matches ErrUnknown means that it may still be committed; after
// any other error it had no effect.
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
	err := c.repeat(ctx, func() (bool, error) {
		for {
			var reply InForceReply
			if err := c.call(ctx, callTimeout, "InForce", &args, &reply); err != nil {
				return false, err
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
// after it was asked for.
type State struct {
	config *state.Config
	record ReadReply
}

// Config returns the configuration.
func (s State) Config() *state.Config { return s.config }

// InForce returns the revision that every entry host with a lease has applied.
func (s State) InForce() ident.Revision { return s.record.InForce }

// Applied returns the revision that an entry host has applied.
func (s State) Applied(h ident.Host) ident.Revision { return s.record.Applied[h] }

// Events returns the latest changes that the leader made, oldest first.
func (s State) Events() []EventRecord { return s.record.Events }

// Term returns the term of the leader.
func (s State) Term() uint64 { return s.record.Term }

// ControlHosts returns the control hosts.
func (s State) ControlHosts() []ControlHostRecord { return s.record.Controls }

// History returns the versions of the document that was asked for.
func (s State) History() []VersionRecord { return s.record.History }

// Read returns the state from the leader, with the history of a document when
// its kind is not empty. It tries again until ctx ends.
func (c *Client) Read(ctx context.Context, kind, name string) (State, error) {
	var record ReadReply
	err := c.repeat(ctx, func() (bool, error) {
		var reply ReadReply
		if err := c.call(ctx, callTimeout, "Read", &ReadArgs{Kind: kind, Name: name}, &reply); err != nil {
			return false, err
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
// address is empty. It tries again until the change is made or ctx ends.
func (c *Client) ChangeMember(ctx context.Context, host ident.Host, address string) error {
	reason := "no control host leads"
	args := MemberArgs{Host: host, Address: address, Remove: address == "", Timeout: callTimeout}
	err := c.repeat(ctx, func() (bool, error) {
		var reply MemberReply
		if err := c.call(ctx, 2*callTimeout, "Member", &args, &reply); err != nil {
			return false, err
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

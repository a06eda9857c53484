package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"net/rpc"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/agree"
	"rhubarbrack/board"
	"rhubarbrack/clock"
	"rhubarbrack/ctrl"
	"rhubarbrack/ident"
	"rhubarbrack/patch"
	"rhubarbrack/quorum"
	"rhubarbrack/scheme"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// ErrUnavailable means that no leader could serve the call in time.
	ErrUnavailable = errors.ConstError("no control host could serve the call")
	// ErrOutcomeUnknown means that an order may have taken effect, or may still do
	// so. After any other error it has none.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
)

// ErrTooLarge means that a configuration exceeds MaxConfigBytes.
const ErrTooLarge = errors.ConstError("configuration is too large")

// MaxConfigBytes is the size of the largest configuration. Every control host
// holds several versions, and every entry host decodes it.
const MaxConfigBytes = 2 << 20

const (
	// callTimeout bounds one call between hosts.
	callTimeout = 900 * time.Millisecond
	// leaderRetryPause is the pause between two attempts to reach the leader.
	leaderRetryPause = 50 * time.Millisecond
)

// Control is the mesh component of a control host. It is safe for concurrent
// use.
type Control struct {
	ref        *tasks.Ref
	archive    *tasks.Ref
	orders     *tasks.Ref
	pauses     *tasks.Ref
	replica    *ctrl.Replica
	clock      clock.Clock
	log        *slog.Logger
	host       ident.Host
	ownAddress string
	region     ident.Region
	rotation   *rotation
	planner    quorum.Planner
	meter      Meter
	// wireOptions apply to the connections to other control hosts.
	wireOptions []wire.Option
}

// Option sets an optional property of a Control.
type Option func(*Control)

// WithMeter sets the meter for commands, reads of the desired state, reads of
// the target list, and their latencies.
func WithMeter(m Meter) Option { return func(c *Control) { c.meter = m } }

// WithRegion sets the region of the control host. Entry hosts prefer to fetch
// configurations from control hosts of their region.
func WithRegion(region ident.Region) Option { return func(c *Control) { c.region = region } }

// WithTolerance sets how many control hosts may be lost at the same time. It decides
// how many voters must remain when one that is silent or leaves is removed.
func WithTolerance(hosts int) Option {
	return func(c *Control) { c.planner = quorum.NewPlanner(c.host, quorum.WithTolerance(hosts)) }
}

// WithDialer sets how connections to the other control hosts are opened.
func WithDialer(d wire.Dialer) Option {
	return func(c *Control) { c.wireOptions = append(c.wireOptions, wire.WithDialer(d)) }
}

// Start starts the registry of a control host whose replica listens at
// ownAddress. The seeds are the addresses of some control hosts. Register must
// be called before the server accepts calls.
func Start(
	ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger, host ident.Host, ownAddress string,
	seeds []string, options ...Option,
) (*Control, error) {
	r := newRegistry(ctx, system, c, log, ownAddress, seeds)
	ref, err := tasks.Spawn(ctx, system, "mesh-hub", r)
	if err != nil {
		return nil, fmt.Errorf("start mesh: %w", err)
	}
	archive, err := tasks.Spawn(ctx, system, "mesh-archive",
		&archiveTask{log: log, archive: patch.NewArchive(), registry: ref})
	if err != nil {
		return nil, fmt.Errorf("start mesh: %w", err)
	}
	ref.Tell(setArchive{ref: archive})
	control := &Control{
		ref: ref, archive: archive, clock: c, log: log, host: host, ownAddress: ownAddress, rotation: newRotation(),
		planner: quorum.NewPlanner(host), meter: noMeter{},
	}
	for _, apply := range options {
		apply(control)
	}
	control.orders, err = startOrderQueue(ctx, system, control.compareAndPropose)
	if err != nil {
		return nil, fmt.Errorf("start mesh: %w", err)
	}
	control.pauses, err = startPauseDetector(ctx, system, c, log)
	if err != nil {
		return nil, fmt.Errorf("start mesh: %w", err)
	}
	ref.Tell(setRegion{region: control.region})
	ref.Tell(setWireOptions{list: control.wireOptions})
	return control, nil
}

// Publish receives each state of the board.
func (c *Control) Publish(revision ident.Revision, s scheme.DesiredState) {
	// The archive has a configuration before the registry announces it.
	c.archive.Tell(archiveConfig{version: s.Version(), source: s.Source()})
	c.ref.Tell(published{revision: revision, state: s})
}

// Register registers the calls of the mesh with the server.
func (c *Control) Register(ctx context.Context, server *rpc.Server, replica *ctrl.Replica) error {
	c.replica = replica
	if err := server.RegisterName(serviceName, &service{control: c, ctx: ctx}); err != nil {
		return fmt.Errorf("register mesh: %w", err)
	}
	return nil
}

// Put makes a configuration the current one unless a newer one exists. A nil
// error means that the command is durable. ErrTooLarge means that it was refused,
// and ErrOutcomeUnknown that it may be committed.
func (c *Control) Put(ctx context.Context, version uint64, source []byte) error {
	if len(source) > MaxConfigBytes {
		return fmt.Errorf("put configuration %d: %w: %d bytes, the limit is %d", version, ErrTooLarge, len(source), MaxConfigBytes)
	}
	origin := c.receive("put", "version", version)
	command, err := board.EncodePut(version, source, origin)
	if err == nil {
		err = c.timed(ctx, "order-put", func(ctx context.Context) error {
			return c.submit(ctx, command, ident.None[ident.Revision]())
		})
	}
	c.logEnd(origin, err)
	if err != nil {
		return fmt.Errorf("order %s: put configuration %d: %w", origin.Order(), version, err)
	}
	return nil
}

// Read returns a desired state that includes every command acknowledged before
// the call.
func (c *Control) Read(ctx context.Context) (scheme.DesiredState, error) {
	var state StateRecord
	err := c.timed(ctx, "order-read", func(ctx context.Context) error { return c.readLeader(ctx, &state) })
	if err != nil {
		return scheme.DesiredState{}, fmt.Errorf("read configuration: %w", err)
	}
	return state.desiredState(), nil
}

// readLeader reads the desired state from the leader.
func (c *Control) readLeader(ctx context.Context, state *StateRecord) error {
	return c.callLeader(ctx, func(ctx context.Context) error {
		r, err := c.readLocal(ctx)
		if err != nil {
			return fmt.Errorf("read on the leader: %w", err)
		}
		*state = r
		return nil
	}, func(ctx context.Context, client *wire.Client) error {
		held, err := c.ownState(ctx)
		if err != nil {
			return fmt.Errorf("read own state: %w", err)
		}
		var reply StateRecord
		if err := client.Call(ctx, methodRead, &ReadRecord{Version: held.Version, TakesPacked: true}, &reply); err != nil {
			return fmt.Errorf("ask the leader: %w", err)
		}
		if reply, err = reply.unpack(); err != nil {
			return fmt.Errorf("read the reply of the leader: %w", err)
		}
		// A version has one content, so the source need not be sent again.
		if reply.Version == held.Version {
			reply.Source = held.Source
		}
		*state = reply
		return nil
	})
}

// readLocal reads the desired state on this host, which must be the leader.
func (c *Control) readLocal(ctx context.Context) (StateRecord, error) {
	if _, err := c.replica.Barrier(ctx); err != nil {
		return StateRecord{}, fmt.Errorf("confirm leadership: %w", err)
	}
	// The registry already has the state of the barrier: the replica publishes
	// it before Barrier returns.
	return c.ownState(ctx)
}

// ownState returns the state that this host has applied.
func (c *Control) ownState(ctx context.Context) (StateRecord, error) {
	r, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[StateRecord]) any { return getState{reply: reply} })
	if err != nil {
		return StateRecord{}, fmt.Errorf("read state: %w", err)
	}
	return r, nil
}

// submit proposes a command at the leader. An order for a zone is conditional on
// the revision asOf. The error matches ErrOutcomeUnknown unless no copy of the
// command was submitted.
func (c *Control) submit(ctx context.Context, command []byte, asOf ident.Option[ident.Revision]) error {
	maySucceed := false
	record := func(err error) error {
		maySucceed = maySucceed || err != nil && !hasNoEffect(err)
		return err
	}
	err := c.callLeader(ctx, func(ctx context.Context) error {
		_, err := c.proposeCommand(ctx, command, asOf)
		return record(err)
	}, func(ctx context.Context, client *wire.Client) error {
		return record(submitTo(ctx, client, command, asOf))
	})
	switch {
	case err != nil && maySucceed:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case err != nil:
		return fmt.Errorf("submit: %w", err)
	}
	return nil
}

// hasNoEffect reports whether an error proves that a command is not committed and
// never will be. An error of another host does not: only its text arrives.
func hasNoEffect(err error) bool {
	for _, proof := range []error{
		ErrSuperseded, errNotProposed, tasks.ErrNotSent, ctrl.ErrNotLeader, ctrl.ErrNotCommitted, agree.ErrBusy,
		agree.ErrTooLarge, agree.ErrTransferring, wire.ErrUnreachable, wire.ErrBusy, wire.ErrExpired,
	} {
		if errors.Is(err, proof) {
			return true
		}
	}
	return false
}

// callLeader runs the call on this host or, if another host leads, on that one. It
// retries until ctx ends: a configuration has a version and an order for a zone is
// conditional, so that copies have no effect.
func (c *Control) callLeader(
	ctx context.Context, local func(context.Context) error, remote func(context.Context, *wire.Client) error,
) error {
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := local(call)
		var notLeader *ctrl.NotLeaderError
		if errors.As(err, &notLeader) && notLeader.Address() != "" && notLeader.Address() != c.ownAddress {
			if client := c.client(call, notLeader.Address()); client != nil {
				err = remote(call, client)
			}
		}
		cancel()
		if err == nil {
			return nil
		}
		if errors.Is(err, ErrSuperseded) {
			return fmt.Errorf("call the leader: %w", err)
		}
		if !clock.Sleep(ctx, c.clock, leaderRetryPause) {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
}

func (c *Control) client(ctx context.Context, address string) *wire.Client {
	client, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[*wire.Client]) any {
		return getClient{address: address, reply: reply}
	})
	if err != nil {
		return nil
	}
	return client
}

// EntryHosts returns at most n entry hosts for callers from a region: those of
// the region, or else those of the preferred regions, or else all.
func (c *Control) EntryHosts(
	ctx context.Context, region ident.Region, preferred []ident.Region, n int,
) ([]EntryHost, error) {
	all, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[[]EntryHost]) any { return getEntryHosts{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("entry hosts: %w", err)
	}
	return c.rotation.limit(nearest(all, region, preferred), n), nil
}

// DesiredState returns the state that this host has applied, which may be
// outdated.
func (c *Control) DesiredState(ctx context.Context) (scheme.DesiredState, error) {
	r, err := c.ownState(ctx)
	if err != nil {
		return scheme.DesiredState{}, fmt.Errorf("read desired state: %w", err)
	}
	return r.desiredState(), nil
}

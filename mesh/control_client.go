package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// greetInterval is the time between two reports of an entry host. What is
	// new is in force within about that time and two round trips.
	greetInterval = 400 * time.Millisecond
	// hurryInterval is the same until the host is ready.
	hurryInterval = 100 * time.Millisecond
	// settleTime is how long a new entry host waits for the answers of all
	// control hosts, so that it does not start with an old configuration.
	settleTime = 1500 * time.Millisecond
	// listAdvance is by how much another list must be younger to replace the
	// one held.
	listAdvance = 100 * time.Millisecond
)

// Listener takes over what an entry host learns. Its methods must not block.
type Listener interface {
	// SetDesiredState puts the operators' orders in force. An error means that they
	// cannot be read.
	SetDesiredState(revision ident.Revision, l scheme.DesiredState) error
	// SetTargets replaces the list of targets, as read at the given time.
	SetTargets(read time.Time, list []ListedTarget)
	// SetHostCount sets the number of entry hosts that share the fleet's bounds.
	SetHostCount(n int)
	// Demand reports the demand of the teams on this host.
	Demand(ctx context.Context) ([]quota.Demand, error)
	// ApplyLeases takes over the shares of rates lent until the given time, and the
	// teams that have used most of their limit.
	ApplyLeases(shares []quota.Lease, tight []ident.Team, until time.Time)
	// TargetStats reports the requests under way at targets, and the results at
	// those that fail.
	TargetStats(ctx context.Context) ([]spread.TargetStats, error)
	// ApplyRemoteStats takes over what other hosts have under way at targets, and their
	// results.
	ApplyRemoteStats(counts []spread.TargetStats)
	// BecomeReady tells that the host knows enough to serve.
	BecomeReady()
}

// ControlClient keeps an entry host informed. It is safe for concurrent use.
type ControlClient struct {
	ref   *tasks.Ref
	span  time.Duration
	clock clock.Clock
	// hurry ends when the host is ready.
	hurry context.Context
}

// NewControlClient returns a follower that reports to the control hosts, of which
// the seeds are some, from Start on.
// Rates of teams are measured over the given span.
func NewControlClient(
	ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger, host ident.Host, address string,
	zone ident.Zone, region ident.Region, seeds []string, span time.Duration, sink Listener,
) (*ControlClient, error) {
	t := &followTask{
		ctx: ctx, system: system, clock: c, log: log, sink: sink, peers: map[string]*peer{},
		report: HeartbeatRecord{Host: string(host), Address: address, Zone: string(zone), Region: string(region)},
	}
	hurry, calm := context.WithCancel(ctx)
	t.calm = calm
	ref, err := tasks.Spawn(ctx, system, "mesh-follower", t)
	if err != nil {
		calm()
		return nil, fmt.Errorf("follow the control hosts: %w", err)
	}
	t.self = ref
	ref.Tell(learnControls{addresses: seeds})
	f := &ControlClient{ref: ref, span: span, clock: c, hurry: hurry}
	return f, nil
}

// Start begins to report. The sink must be ready to learn.
func (f *ControlClient) Start(ctx context.Context) {
	f.ref.Tell(greetAll{})
	tasks.Every(ctx, f.clock, greetInterval, f.ref, greetAll{})
	tasks.Every(f.hurry, f.clock, hurryInterval, f.ref, greetAll{})
}

// SetReady tells the control hosts at once whether callers may be sent here.
func (f *ControlClient) SetReady(ready bool) { f.ref.Tell(setReady{ready: ready}) }

// EntryHosts returns the entry hosts that callers from a region are sent to,
// as Control.EntryHosts does.
func (f *ControlClient) EntryHosts(ctx context.Context, region ident.Region, homes []ident.Region) ([]EntryHost, error) {
	all, err := tasks.Ask(ctx, f.ref, func(reply tasks.Reply[[]EntryHost]) any { return askHosts{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("entry hosts: %w", err)
	}
	return nearest(all, region, homes), nil
}

// DesiredState returns the orders in force on this host.
func (f *ControlClient) DesiredState(ctx context.Context) (scheme.DesiredState, error) {
	l, err := tasks.Ask(ctx, f.ref, func(reply tasks.Reply[scheme.DesiredState]) any { return askOrders{reply: reply} })
	if err != nil {
		return scheme.DesiredState{}, fmt.Errorf("read orders: %w", err)
	}
	return l, nil
}

// ErrNoLeader means that no leader is known from which a token could be
// borrowed.
const ErrNoLeader = errors.ConstError("no lender is known")

// RequestToken asks the leader for a token of a team's rate, which is measured over
// the given span.
func (f *ControlClient) RequestToken(ctx context.Context, team ident.Team, rate, burst float64) (bool, error) {
	client, err := tasks.Ask(ctx, f.ref, func(reply tasks.Reply[*wire.Client]) any { return askLeader{reply: reply} })
	if err != nil {
		return false, fmt.Errorf("borrow: %w", err)
	}
	if client == nil {
		return false, fmt.Errorf("borrow: %w", ErrNoLeader)
	}
	var reply TokenReplyRecord
	record := TokenRequestRecord{Team: string(team), Rate: rate, Burst: burst, Span: f.span}
	if err := client.Call(ctx, methodBorrow, &record, &reply); err != nil {
		return false, fmt.Errorf("borrow: %w", err)
	}
	return reply.Granted, nil
}

package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/guard"
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
	"rhubarbrack/wire"
)

const (
	// heartbeatInterval is the interval between two heartbeats of an entry
	// host. A change is in force within about this time and two round trips.
	heartbeatInterval = 400 * time.Millisecond
	// startupInterval is the interval between two heartbeats until the host is
	// ready.
	startupInterval = 100 * time.Millisecond
	// startupWait is how long a new entry host waits for the replies of a
	// majority of the control hosts, so that it does not start with an old
	// configuration.
	startupWait = 1500 * time.Millisecond
	// minListAdvance is by how much another list must be newer to replace the
	// current one.
	minListAdvance = 100 * time.Millisecond
)

// Listener receives what an entry host learns from the control hosts, and
// provides the data for its heartbeats. Its methods must not block, except
// SetConfig and those with a context.
type Listener interface {
	// SetConfig puts a configuration in force. An error means that it cannot
	// be decoded. It may take long, and is called for one configuration at a
	// time.
	SetConfig(version uint64, source []byte) error
	// SetEvacuated sets the evacuated zones.
	SetEvacuated(zones []ident.Zone)
	// ZoneReturned reports the end of an evacuation that SetEvacuated may never
	// have reported. The targets of the zone may have become cold.
	ZoneReturned(zone ident.Zone, at time.Time)
	// SetTargets replaces the list of targets, which was read at the given
	// time.
	SetTargets(readAt time.Time, list []ListedTarget)
	// SetEntryHosts replaces the list of the other entry hosts that accept
	// callers.
	SetEntryHosts(list []EntryHost)
	// SetHostCount sets the number of entry hosts that share the fleet-wide
	// bounds.
	SetHostCount(n int)
	// Demand returns the demand of the teams on this host.
	Demand(ctx context.Context) ([]quota.Demand, error)
	// ApplyLeases sets the rate leases that are valid until the given time,
	// and the teams near their limit.
	ApplyLeases(leases []quota.Lease, nearLimit []ident.Team, until time.Time)
	// TargetStats returns this host's in-flight requests per target, and its
	// recent results at failing targets.
	TargetStats(ctx context.Context) ([]spread.TargetStats, error)
	// ApplyRemoteStats applies the in-flight requests and results that other
	// hosts report for targets.
	ApplyRemoteStats(stats []spread.TargetStats)
	// ApplyLimits applies the rate limits that targets stated to any host, and
	// this host's shares.
	ApplyLimits(shares []spread.LimitShare)
	// SuspectReports returns what has changed since a time about requests that
	// may crash targets.
	SuspectReports(ctx context.Context, since time.Time) ([]guard.Report, error)
	// MergeSuspects applies what other hosts have reported about such requests.
	MergeSuspects(reports []guard.Report)
	// BecomeReady is called once the host knows enough to serve.
	BecomeReady()
}

// ControlClient is an entry host's client of the control hosts: it sends
// heartbeats and fetches changes. It is safe for concurrent use.
type ControlClient struct {
	ref    *tasks.Ref
	window time.Duration
	clock  clock.Clock
	// rotation selects the hosts of look-ups.
	rotation *rotation
	// startup ends when the host is ready.
	startup context.Context
}

// ClientOption sets an optional property of a ControlClient.
type ClientOption func(*clientOptions)

type clientOptions struct {
	linkRate    float64
	meter       Meter
	inbound     Inbound
	linkDelay   LinkDelay
	peerPort    int
	wireOptions []wire.Option
}

// WithClientDialer sets how connections to control hosts and to other entry hosts
// are opened.
func WithClientDialer(d wire.Dialer) ClientOption {
	return func(o *clientOptions) { o.wireOptions = append(o.wireOptions, wire.WithDialer(d)) }
}

// WithLinkRate sets the capacity of the host's link in bytes per second, to
// which the pieces of configurations are adapted.
func WithLinkRate(rate float64) ClientOption { return func(o *clientOptions) { o.linkRate = rate } }

// WithClientMeter sets the meter for pieces of configurations and the times of
// transfers.
func WithClientMeter(m Meter) ClientOption { return func(o *clientOptions) { o.meter = m } }

// WithInbound sets what tells how many bytes of targets wait to be read, for the
// log lines of slow heartbeats.
func WithInbound(i Inbound) ClientOption { return func(o *clientOptions) { o.inbound = i } }

// WithLinkDelay sets what is told how long packets wait for the host's link.
func WithLinkDelay(d LinkDelay) ClientOption { return func(o *clientOptions) { o.linkDelay = d } }

// WithNeighbours makes the host ask other entry hosts for the evacuated zones and
// the list of targets while no control host replies. All entry hosts listen for
// each other at the given port, see ControlClient.Register.
func WithNeighbours(port int) ClientOption { return func(o *clientOptions) { o.peerPort = port } }

// NewControlClient returns a client that sends heartbeats from Start on. The
// seeds are the addresses of some control hosts. Team rates are enforced over
// the given window.
func NewControlClient(
	ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger, host ident.Host, address string,
	zone ident.Zone, region ident.Region, seeds []string, window time.Duration, listener Listener,
	options ...ClientOption,
) (*ControlClient, error) {
	o := clientOptions{meter: noMeter{}, inbound: noInbound{}, linkDelay: noLinkDelay{}}
	for _, apply := range options {
		apply(&o)
	}
	t := &controlClientTask{
		ctx: ctx, system: system, clock: c, log: log, listener: listener, peers: map[string]*peer{},
		peerPort: o.peerPort, wireOptions: o.wireOptions, meter: o.meter, inbound: o.inbound, linkDelay: o.linkDelay,
		// Each host begins to look for neighbours at another position.
		nextNeighbour: xxhash.Sum64String(string(host)),
		heartbeat:     HeartbeatRecord{Host: string(host), Address: address, Zone: string(zone), Region: string(region)},
	}
	startup, endStartup := context.WithCancel(ctx)
	t.endStartup = endStartup
	ref, err := tasks.Spawn(ctx, system, "mesh-follower", t)
	if err != nil {
		endStartup()
		return nil, fmt.Errorf("start control client: %w", err)
	}
	t.self = ref
	if t.fetcher, err = startConfigFetcher(t, o); err != nil {
		endStartup()
		return nil, fmt.Errorf("start control client: %w", err)
	}
	ref.Tell(updateControlHosts{addresses: seeds})
	client := &ControlClient{ref: ref, window: window, clock: c, rotation: newRotation(), startup: startup}
	return client, nil
}

// Start starts sending heartbeats. The listener must be ready to be called.
func (c *ControlClient) Start(ctx context.Context) {
	c.ref.Tell(sendHeartbeats{})
	tasks.Every(ctx, c.clock, heartbeatInterval, c.ref, sendHeartbeats{})
	tasks.Every(c.startup, c.clock, startupInterval, c.ref, sendHeartbeats{})
}

// SetReady tells the control hosts immediately whether callers may be sent to
// this host.
func (c *ControlClient) SetReady(ready bool) { c.ref.Tell(setReady{ready: ready}) }

// EntryHosts returns at most n entry hosts for callers from a region, like
// Control.EntryHosts.
func (c *ControlClient) EntryHosts(
	ctx context.Context, region ident.Region, preferred []ident.Region, n int,
) ([]EntryHost, error) {
	all, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[[]EntryHost]) any { return getEntryHosts{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("entry hosts: %w", err)
	}
	return c.rotation.limit(nearest(all, region, preferred), n), nil
}

// DesiredState returns the state in force on this host.
func (c *ControlClient) DesiredState(ctx context.Context) (scheme.DesiredState, error) {
	s, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[scheme.DesiredState]) any { return getDesiredState{reply: reply} })
	if err != nil {
		return scheme.DesiredState{}, fmt.Errorf("read desired state: %w", err)
	}
	return s, nil
}

// ErrNoLeader means that no leader is known from which a token could be
// requested.
const ErrNoLeader = errors.ConstError("no leader is known")

// RequestToken requests a token of a team's rate from the leader and reports
// whether it was granted.
func (c *ControlClient) RequestToken(ctx context.Context, team ident.Team, rate, burst float64) (bool, error) {
	client, err := tasks.Ask(ctx, c.ref, func(reply tasks.Reply[*wire.Client]) any { return getLeader{reply: reply} })
	if err != nil {
		return false, fmt.Errorf("request token: %w", err)
	}
	if client == nil {
		return false, fmt.Errorf("request token: %w", ErrNoLeader)
	}
	var reply TokenReplyRecord
	record := TokenRequestRecord{Team: string(team), Rate: rate, Burst: burst, Span: c.window}
	if err := client.Call(ctx, methodRequestToken, &record, &reply); err != nil {
		return false, fmt.Errorf("request token: %w", err)
	}
	return reply.Granted, nil
}

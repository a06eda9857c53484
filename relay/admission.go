package relay

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/reach"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// Admission is the task that owns the admission controller. It is safe for
// concurrent use.
type Admission struct {
	ref *tasks.Ref
	// suspected is the latest set of fingerprints that the task has published.
	suspected *atomic.Pointer[map[ident.Fingerprint]bool]
}

// StartAdmission starts the task. It ends with ctx.
func StartAdmission(
	ctx context.Context, system *tasks.System, c clock.Clock, log *slog.Logger, controller *admit.Controller,
	connections TargetConnections, decoder StatementDecoder,
) (*Admission, error) {
	suspected := &atomic.Pointer[map[ident.Fingerprint]bool]{}
	t := &admissionTask{
		ctx: ctx, clock: c, log: log, controller: controller, connections: connections, decoder: decoder, suspected: suspected,
	}
	ref, err := tasks.Spawn(ctx, system, "desk", t)
	if err != nil {
		return nil, fmt.Errorf("start admission task: %w", err)
	}
	t.self = ref
	return &Admission{ref: ref, suspected: suspected}, nil
}

// TargetConnections are the connections to targets.
type TargetConnections interface {
	// CloseIdle closes the idle connections to an address.
	CloseIdle(address string)
	// Probe sends a health check over a new connection, and returns an error if
	// no response arrives before the end of ctx.
	Probe(ctx context.Context, address, path string) (*http.Response, error)
	// IsRefused reports whether new connections to an address are refused, and
	// returns an error if that cannot be found out.
	IsRefused(ctx context.Context, address string) (bool, error)
}

// StatementDecoder decodes what a target says of itself in a response.
type StatementDecoder interface {
	DecodeStatement(r *http.Response) spread.Statement
}

// StopBy refuses requests that are not expected to be answered by the given time.
func (a *Admission) StopBy(at time.Time) { a.ref.Tell(stopBy{at: at}) }

// SetPeers replaces the entry hosts through which requests are sent while targets
// are out of reach.
func (a *Admission) SetPeers(list []reach.Peer) { a.ref.Tell(setPeers{peers: list}) }

// Configure replaces the configuration in force.
func (a *Admission) Configure(c *scheme.Config) { a.ref.Tell(configure{config: c}) }

// SetTargets replaces the list of targets.
func (a *Admission) SetTargets(list []spread.Target) { a.ref.Tell(setTargets{targets: list}) }

// SetEvacuated sets the evacuated zones, whose targets get no requests.
func (a *Admission) SetEvacuated(zones []ident.Zone) { a.ref.Tell(setEvacuated{zones: zones}) }

// ZoneReturned records that the evacuation of a zone ended at the given time.
func (a *Admission) ZoneReturned(zone ident.Zone, at time.Time) {
	a.ref.Tell(zoneReturned{zone: zone, at: at})
}

// SetHostCount sets the number of entry hosts that share the bounds.
func (a *Admission) SetHostCount(n int) { a.ref.Tell(setHostCount{hosts: n}) }

// ObserveRTT records a round-trip time to a target in a region.
func (a *Admission) ObserveRTT(region ident.Region, rtt time.Duration) {
	a.ref.Tell(observeRTT{region: region, rtt: rtt})
}

// Demand reports the demand of the teams.
func (a *Admission) Demand(ctx context.Context) ([]quota.Demand, error) {
	list, err := tasks.Ask(ctx, a.ref, func(reply tasks.Reply[[]quota.Demand]) any { return getDemand{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("demand of teams: %w", err)
	}
	return list, nil
}

// ApplyLeases sets the rate leases that are valid until the given time, and
// the teams near their limit.
func (a *Admission) ApplyLeases(leases []quota.Lease, nearLimit []ident.Team, until time.Time) {
	a.ref.Tell(applyLeases{leases: leases, nearLimit: nearLimit, until: until})
}

// TargetStats returns this host's in-flight requests per target, and its
// recent results at failing targets.
func (a *Admission) TargetStats(ctx context.Context) ([]spread.TargetStats, error) {
	list, err := tasks.Ask(ctx, a.ref, func(reply tasks.Reply[[]spread.TargetStats]) any { return getTargetStats{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("target stats: %w", err)
	}
	return list, nil
}

// ApplyRemoteStats applies the in-flight requests and results that other hosts
// report for targets.
func (a *Admission) ApplyRemoteStats(stats []spread.TargetStats) {
	a.ref.Tell(applyRemoteStats{stats: stats})
}

// ApplyLimits applies the rate limits that targets stated to any host, and this
// host's shares.
func (a *Admission) ApplyLimits(shares []spread.LimitShare) { a.ref.Tell(applyLimits{shares: shares}) }

// The messages of the admission task.
type (
	getTargetStats struct {
		reply tasks.Reply[[]spread.TargetStats]
	}
	applyRemoteStats struct{ stats []spread.TargetStats }
	applyLimits      struct{ shares []spread.LimitShare }
	admitWithToken   struct {
		state *admit.RequestState
		reply tasks.Reply[admit.Decision]
	}
	getDemand   struct{ reply tasks.Reply[[]quota.Demand] }
	applyLeases struct {
		leases    []quota.Lease
		nearLimit []ident.Team
		until     time.Time
	}
	tokenDenied  struct{ team ident.Team }
	configure    struct{ config *scheme.Config }
	setTargets   struct{ targets []spread.Target }
	setEvacuated struct{ zones []ident.Zone }
	zoneReturned struct {
		zone ident.Zone
		at   time.Time
	}
	setHostCount struct{ hosts int }
	observeRTT   struct {
		region ident.Region
		rtt    time.Duration
	}
	admitRequest struct {
		request admit.Request
		reply   tasks.Reply[admit.Decision]
	}
	getRetryable struct {
		request admit.Request
		reply   tasks.Reply[bool]
	}
	retryRequest struct {
		state *admit.RequestState
		after attemptEnd
		reply tasks.Reply[admit.Decision]
	}
	confirmChoice struct {
		decision admit.Decision
		reply    tasks.Reply[admit.Decision]
	}
	stopBy     struct{ at time.Time }
	setPeers   struct{ peers []reach.Peer }
	peerResult struct {
		peer    reach.Peer
		service ident.Service
		began   time.Time
		result  reach.PeerResult
		// target is the target that responded, if one did, with its statement.
		target    ident.Option[ForwardedTarget]
		statement spread.Statement
	}
	// probesDue is sent by the task to itself while probes may be due.
	probesDue struct{}
	probeDone struct {
		target spread.Target
		// statement is present if the target has responded.
		statement ident.Option[spread.Statement]
	}
	recordResult struct {
		choice spread.Choice
		result spread.Result
		// newConnection is set if the attempt opened a connection.
		newConnection bool
		load          ident.Option[spread.Load]
		coldFor       ident.Option[time.Duration]
		statement     ident.Option[spread.Statement]
	}
)

// attemptEnd tells how the attempt ended after which a request is retried.
type attemptEnd uint8

const (
	// afterFailure means that the request may have run, or was refused.
	afterFailure attemptEnd = iota
	// afterUnreachable means that no connection to the target could be opened.
	afterUnreachable
	// afterPeer means that another entry host sent the request to no target.
	afterPeer
)

// admissionTask owns the admission controller.
type admissionTask struct {
	ctx         context.Context
	self        *tasks.Ref
	clock       clock.Clock
	log         *slog.Logger
	controller  *admit.Controller
	connections TargetConnections
	decoder     StatementDecoder
	suspected   *atomic.Pointer[map[ident.Fingerprint]bool]
	// probesScheduled is set while a probesDue message is on its way.
	probesScheduled bool
}

var _ tasks.Task = (*admissionTask)(nil)

// Handle implements tasks.Task.
func (t *admissionTask) Handle(message any) {
	now := t.clock.Now()
	if t.handleSuspicion(now, message) || t.handleWork(message) {
		return
	}
	switch m := message.(type) {
	case admitRequest:
		m.reply.Send(t.controller.Admit(now, m.request))
	case getRetryable:
		m.reply.Send(t.controller.IsRetryable(m.request))
	case retryRequest:
		m.reply.Send(t.retry(now, m))
	case confirmChoice:
		m.reply.Send(t.controller.Confirm(now, m.decision))
	case recordResult:
		t.controller.RecordResult(now, m.choice, m.result, m.load)
		t.applyReach(t.controller.RecordReach(now, m.choice, m.result, m.newConnection))
		if coldFor, ok := m.coldFor.Get(); ok {
			t.controller.Table().MarkCold(now, m.choice.Target().ID(), coldFor)
		}
		if statement, ok := m.statement.Get(); ok {
			t.observe(now, m.choice, statement)
		}
	case configure:
		t.controller.Configure(m.config)
	case setTargets:
		for _, address := range t.controller.Table().Update(m.targets) {
			t.connections.CloseIdle(address)
		}
	case setEvacuated:
		t.controller.SetEvacuated(now, m.zones)
	case zoneReturned:
		t.controller.Table().ZoneReturned(m.zone, m.at)
	case setHostCount:
		t.controller.SetHostCount(m.hosts)
	case admitWithToken:
		m.reply.Send(t.controller.AdmitWithToken(now, m.state))
	case getTargetStats:
		m.reply.Send(t.controller.TargetStats(now))
	case applyRemoteStats:
		t.controller.ApplyRemoteStats(now, m.stats)
	case applyLimits:
		t.controller.Table().ApplyLimits(now, m.shares)
	case getDemand:
		m.reply.Send(t.controller.Demand(now))
	case applyLeases:
		t.controller.ApplyLeases(m.leases, m.nearLimit, m.until)
	case tokenDenied:
		t.controller.TokenDenied(now, m.team)
	case observeRTT:
		t.controller.Table().ObserveRTT(m.region, m.rtt)
	case stopBy:
		t.controller.StopBy(m.at)
	case setPeers:
		t.controller.SetPeers(m.peers)
	case peerResult:
		t.recordPeer(now, m)
	case probesDue:
		t.sendProbes(now)
	case probeDone:
		t.recordProbe(now, m)
	}
}

// retry decides on another attempt.
func (t *admissionTask) retry(now time.Time, m retryRequest) admit.Decision {
	switch m.after {
	case afterUnreachable:
		return t.controller.RetryUnreachable(now, m.state)
	case afterPeer:
		return t.controller.RetryPeer(now, m.state)
	}
	return t.controller.Retry(now, m.state)
}

// observe applies what a target said of itself.
func (t *admissionTask) observe(now time.Time, choice spread.Choice, statement spread.Statement) {
	t.logChanges(choice.Target().ID(), statement, t.controller.Table().Observe(now, choice, statement))
}

// logChanges logs what has changed by a statement of a target.
func (t *admissionTask) logChanges(target ident.Target, statement spread.Statement, changes []spread.Change, attrs ...any) {
	rate, _ := statement.Limit().Rate()
	for _, change := range changes {
		t.log.Info("relay: statement of a target", "target", target, "change", change, "rate", rate,
			"pause-ms", statement.Pause().Milliseconds(), slog.Group("", attrs...))
	}
}

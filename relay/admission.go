package relay

import (
	"context"
	"fmt"
	"time"

	"rhubarbrack/admit"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/quota"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
	"rhubarbrack/tasks"
)

// Admission is the task that owns the decisions of the host. It is safe for
// concurrent use.
type Admission struct {
	ref *tasks.Ref
}

// StartAdmission starts the task. It ends with ctx.
func StartAdmission(ctx context.Context, system *tasks.System, c clock.Clock, d *admit.Controller, pool IdleCloser) (*Admission, error) {
	ref, err := tasks.Spawn(ctx, system, "desk", &deskTask{clock: c, desk: d, pool: pool})
	if err != nil {
		return nil, fmt.Errorf("start desk: %w", err)
	}
	return &Admission{ref: ref}, nil
}

// IdleCloser drops what it keeps for an address.
type IdleCloser interface {
	CloseIdle(address string)
}

// Configure puts a configuration in force.
func (d *Admission) Configure(c *scheme.Config) { d.ref.Tell(configure{config: c}) }

// SetTargets replaces the list of targets.
func (d *Admission) SetTargets(list []spread.Target) { d.ref.Tell(update{targets: list}) }

// SetEvacuated sets the zones whose targets get nothing.
func (d *Admission) SetEvacuated(zones []ident.Zone) { d.ref.Tell(evacuate{zones: zones}) }

// SetHostCount sets the number of entry hosts.
func (d *Admission) SetHostCount(n int) { d.ref.Tell(setHosts{hosts: n}) }

// ObserveRTT notes the time to a target in a region and back.
func (d *Admission) ObserveRTT(region ident.Region, way time.Duration) {
	d.ref.Tell(setWay{region: region, way: way})
}

// Demand reports the demand of the teams.
func (d *Admission) Demand(ctx context.Context) ([]quota.Demand, error) {
	list, err := tasks.Ask(ctx, d.ref, func(reply tasks.Reply[[]quota.Demand]) any { return askNeeds{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("needs of teams: %w", err)
	}
	return list, nil
}

// ApplyLeases takes over the shares of rates that are lent until the given time, and
// the teams that have used most of their limit.
func (d *Admission) ApplyLeases(shares []quota.Lease, tight []ident.Team, until time.Time) {
	d.ref.Tell(lend{shares: shares, tight: tight, until: until})
}

// TargetStats returns the requests of this host that are under way at targets, and
// the results at those that fail.
func (d *Admission) TargetStats(ctx context.Context) ([]spread.TargetStats, error) {
	list, err := tasks.Ask(ctx, d.ref, func(reply tasks.Reply[[]spread.TargetStats]) any { return askCounts{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("counts of targets: %w", err)
	}
	return list, nil
}

// ApplyRemoteStats takes over what other hosts have under way at targets, and their
// results.
func (d *Admission) ApplyRemoteStats(counts []spread.TargetStats) {
	d.ref.Tell(observe{counts: counts})
}

// The messages of the desk task.
type (
	askCounts struct {
		reply tasks.Reply[[]spread.TargetStats]
	}
	observe struct{ counts []spread.TargetStats }
	paid    struct {
		ticket *admit.RequestState
		reply  tasks.Reply[admit.Decision]
	}
	askNeeds struct{ reply tasks.Reply[[]quota.Demand] }
	lend     struct {
		shares []quota.Lease
		tight  []ident.Team
		until  time.Time
	}
	denied    struct{ team ident.Team }
	configure struct{ config *scheme.Config }
	update    struct{ targets []spread.Target }
	evacuate  struct{ zones []ident.Zone }
	setHosts  struct{ hosts int }
	setWay    struct {
		region ident.Region
		way    time.Duration
	}
	ask struct {
		request admit.Request
		reply   tasks.Reply[admit.Decision]
	}
	again struct {
		ticket *admit.RequestState
		unsent bool
		reply  tasks.Reply[admit.Decision]
	}
	done struct {
		choice  spread.Choice
		verdict spread.Result
		load    ident.Option[spread.Load]
		cold    ident.Option[time.Duration]
	}
)

// deskTask owns the desk.
type deskTask struct {
	clock clock.Clock
	desk  *admit.Controller
	pool  IdleCloser
}

var _ tasks.Task = (*deskTask)(nil)

// Handle implements tasks.Task.
func (t *deskTask) Handle(message any) {
	now := t.clock.Now()
	switch m := message.(type) {
	case ask:
		m.reply.Send(t.desk.Admit(now, m.request))
	case again:
		if m.unsent {
			m.reply.Send(t.desk.RetryUnreached(now, m.ticket))
		} else {
			m.reply.Send(t.desk.Retry(now, m.ticket))
		}
	case done:
		t.desk.RecordResult(now, m.choice, m.verdict, m.load)
		if cold, ok := m.cold.Get(); ok {
			t.desk.Table().MarkCold(now, m.choice.Target().ID(), cold)
		}
	case configure:
		t.desk.Configure(m.config)
	case update:
		for _, address := range t.desk.Table().Update(m.targets) {
			t.pool.CloseIdle(address)
		}
	case evacuate:
		t.desk.SetEvacuated(now, m.zones)
	case setHosts:
		t.desk.SetHostCount(m.hosts)
	case paid:
		m.reply.Send(t.desk.AdmitWithToken(now, m.ticket))
	case askCounts:
		m.reply.Send(t.desk.TargetStats(now))
	case observe:
		t.desk.ApplyRemoteStats(now, m.counts)
	case askNeeds:
		m.reply.Send(t.desk.Demand(now))
	case lend:
		t.desk.ApplyLeases(m.shares, m.tight, m.until)
	case denied:
		t.desk.TokenDenied(now, m.team)
	case setWay:
		t.desk.Table().ObserveRTT(m.region, m.way)
	}
}

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

// Desk is the task that owns the decisions of the host. It is safe for
// concurrent use.
type Desk struct {
	ref *tasks.Ref
}

// StartDesk starts the task. It ends with ctx.
func StartDesk(ctx context.Context, system *tasks.System, c clock.Clock, d *admit.Desk, pool Forgetter) (*Desk, error) {
	ref, err := tasks.Spawn(ctx, system, "desk", &deskTask{clock: c, desk: d, pool: pool})
	if err != nil {
		return nil, fmt.Errorf("start desk: %w", err)
	}
	return &Desk{ref: ref}, nil
}

// Forgetter drops what it keeps for an address.
type Forgetter interface {
	Forget(address string)
}

// Configure puts a configuration in force.
func (d *Desk) Configure(c *scheme.Config) { d.ref.Tell(configure{config: c}) }

// Update replaces the list of targets.
func (d *Desk) Update(list []spread.Target) { d.ref.Tell(update{targets: list}) }

// Evacuate sets the zones whose targets get nothing.
func (d *Desk) Evacuate(zones []ident.Zone) { d.ref.Tell(evacuate{zones: zones}) }

// SetHosts sets the number of entry hosts.
func (d *Desk) SetHosts(n int) { d.ref.Tell(setHosts{hosts: n}) }

// SetWay notes the time to a target in a region and back.
func (d *Desk) SetWay(region ident.Region, way time.Duration) {
	d.ref.Tell(setWay{region: region, way: way})
}

// Needs reports the demand of the teams.
func (d *Desk) Needs(ctx context.Context) ([]quota.Need, error) {
	list, err := tasks.Ask(ctx, d.ref, func(reply tasks.Reply[[]quota.Need]) any { return askNeeds{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("needs of teams: %w", err)
	}
	return list, nil
}

// Lend takes over the shares of rates that are lent until the given time, and
// the teams that have used most of their limit.
func (d *Desk) Lend(shares []quota.Share, tight []ident.Team, until time.Time) {
	d.ref.Tell(lend{shares: shares, tight: tight, until: until})
}

// Counts returns the requests of this host that are under way at targets, and
// the results at those that fail.
func (d *Desk) Counts(ctx context.Context) ([]spread.Count, error) {
	list, err := tasks.Ask(ctx, d.ref, func(reply tasks.Reply[[]spread.Count]) any { return askCounts{reply: reply} })
	if err != nil {
		return nil, fmt.Errorf("counts of targets: %w", err)
	}
	return list, nil
}

// Observe takes over what other hosts have under way at targets, and their
// results.
func (d *Desk) Observe(counts []spread.Count) { d.ref.Tell(observe{counts: counts}) }

// The messages of the desk task.
type (
	askCounts struct{ reply tasks.Reply[[]spread.Count] }
	observe   struct{ counts []spread.Count }
	paid      struct {
		ticket *admit.Ticket
		reply  tasks.Reply[admit.Decision]
	}
	askNeeds struct{ reply tasks.Reply[[]quota.Need] }
	lend     struct {
		shares []quota.Share
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
		ticket *admit.Ticket
		unsent bool
		reply  tasks.Reply[admit.Decision]
	}
	done struct {
		choice  spread.Choice
		verdict spread.Verdict
		load    ident.Option[spread.Load]
		cold    ident.Option[time.Duration]
	}
)

// deskTask owns the desk.
type deskTask struct {
	clock clock.Clock
	desk  *admit.Desk
	pool  Forgetter
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
			m.reply.Send(t.desk.Unsent(now, m.ticket))
		} else {
			m.reply.Send(t.desk.Again(now, m.ticket))
		}
	case done:
		t.desk.Done(now, m.choice, m.verdict, m.load)
		if cold, ok := m.cold.Get(); ok {
			t.desk.Table().Warm(now, m.choice.Target().ID(), cold)
		}
	case configure:
		t.desk.Configure(m.config)
	case update:
		for _, address := range t.desk.Table().Update(m.targets) {
			t.pool.Forget(address)
		}
	case evacuate:
		t.desk.Evacuate(now, m.zones)
	case setHosts:
		t.desk.SetHosts(m.hosts)
	case paid:
		m.reply.Send(t.desk.Paid(now, m.ticket))
	case askCounts:
		m.reply.Send(t.desk.Counts(now))
	case observe:
		t.desk.Observe(now, m.counts)
	case askNeeds:
		m.reply.Send(t.desk.Needs(now))
	case lend:
		t.desk.Lend(m.shares, m.tight, m.until)
	case denied:
		t.desk.Denied(now, m.team)
	case setWay:
		t.desk.Table().SetWay(m.region, m.way)
	}
}

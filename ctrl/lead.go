package ctrl

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
	"rhubarbrack/plan"
	"rhubarbrack/state"
	"rhubarbrack/tasks"
)

const (
	// leaderTickInterval is the interval at which the leader checks for expired
	// sessions and calls the planner.
	leaderTickInterval = 200 * time.Millisecond
	// leaderCommitTimeout bounds the commit of one batch of changes.
	leaderCommitTimeout = 5 * time.Second
	// maxParallelProposals bounds the proposals of a batch that are in flight.
	maxParallelProposals = 64
	// maxEvents is the number of events that the leader keeps.
	maxEvents = 256
)

// Planner decides which changes the leader makes by itself: the expiry of
// members, the assignment of roles, and shares.
type Planner interface {
	// Plan returns the changes that are due now.
	Plan(now time.Time, input plan.Input) []plan.Change
	// Reset drops the state of earlier plans. It is called when a leadership
	// begins.
	Reset()
}

// Leader is the task that manages the entry hosts while this control host leads:
// it tracks their sessions, expires them, and commits the changes that the
// planner returns.
type Leader struct {
	ref *tasks.Ref
}

var (
	_ LeadershipObserver = (*Leader)(nil)
	_ ConfigListener     = (*Leader)(nil)
)

// StartLeader starts the task. It is active only between LeadershipBegan and
// LeadershipEnded, and commits through the log given by SetLog.
func StartLeader(ctx context.Context, system *tasks.System, planner Planner, c clock.Clock, log *slog.Logger) (*Leader, error) {
	t := &leader{ctx: ctx, planner: planner, clock: c, log: log, config: state.NewConfig()}
	ref, err := tasks.Spawn(ctx, system, "ctrl-leader", t)
	if err != nil {
		return nil, fmt.Errorf("start leader: %w", err)
	}
	t.ref = ref
	tasks.Every(ctx, c, leaderTickInterval, ref, leaderTick{})
	return &Leader{ref: ref}, nil
}

// SetLog sets the log through which changes are committed.
func (l *Leader) SetLog(log ReplicatedLog) { l.ref.Tell(setLog{log: log}) }

// LeadershipBegan implements LeadershipObserver.
func (l *Leader) LeadershipBegan(term agree.Term) { l.ref.Tell(leadershipBegan{term: term}) }

// LeadershipEnded implements LeadershipObserver.
func (l *Leader) LeadershipEnded(term agree.Term) { l.ref.Tell(leadershipEnded{term: term}) }

// ConfigChanged implements ConfigListener.
func (l *Leader) ConfigChanged(config *state.Config) { l.ref.Tell(config) }

// Tell sends a message to the task. The lister passes the platform's list of
// targets through it.
func (l *Leader) Tell(message any) { l.ref.Tell(message) }

// Done returns a channel that is closed when the task has ended.
func (l *Leader) Done() <-chan struct{} { return l.ref.Done() }

// renewLease records a poll and returns the leases granted to the process, which
// are zero unless it is a member.
func (l *Leader) renewLease(ctx context.Context, args PollArgs, arrived time.Time) grantedLeases {
	granted, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[grantedLeases]) any {
		return recordPoll{args: args, arrived: arrived, reply: r}
	})
	if err != nil {
		return grantedLeases{}
	}
	return granted
}

// recordPoll records a poll at once, without granting leases.
func (l *Leader) recordPoll(args PollArgs, arrived time.Time) {
	l.ref.Tell(recordPoll{args: args, arrived: arrived})
}

// InForce waits until every entry host with a lease has applied the revision.
// If ctx ends first, the progress lists the hosts that have not. The error
// matches ErrNotLeader if this host does not lead.
func (l *Leader) InForce(ctx context.Context, revision ident.Revision) (RolloutProgress, error) {
	reply, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[RolloutProgress]) any {
		return waitInForce{revision: revision, ctx: ctx, reply: r}
	})
	if err == nil {
		return reply, nil
	}
	status, err := l.Status(context.WithoutCancel(ctx))
	if err != nil {
		return RolloutProgress{}, fmt.Errorf("wait for revision %d: %w", revision, err)
	}
	if !status.leads {
		return RolloutProgress{}, fmt.Errorf("wait for revision %d: %w", revision, ErrNotLeader)
	}
	behind := status.sessions.behind(status.config.Members(), revision)
	return RolloutProgress{reached: len(behind) == 0, behind: behind}, nil
}

// Status returns a copy of the state of the task.
func (l *Leader) Status(ctx context.Context) (LeaderStatus, error) {
	status, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[LeaderStatus]) any { return getLeaderStatus{reply: r} })
	if err != nil {
		return LeaderStatus{}, fmt.Errorf("read leader status: %w", err)
	}
	return status, nil
}

type (
	leaderTick      struct{}
	setLog          struct{ log ReplicatedLog }
	leadershipBegan struct{ term agree.Term }
	leadershipEnded struct{ term agree.Term }
	recordPoll      struct {
		args    PollArgs
		arrived time.Time
		reply   tasks.Reply[grantedLeases]
	}
	grantedLeases struct {
		lease, roleLease time.Duration
		leads            bool
	}
	waitInForce struct {
		revision ident.Revision
		ctx      context.Context
		reply    tasks.Reply[RolloutProgress]
	}
	getLeaderStatus struct{ reply tasks.Reply[LeaderStatus] }
	// batchCommitted carries the results of a batch of changes.
	batchCommitted struct{ events []Event }
)

// leader is the task behind Leader.
type leader struct {
	ctx      context.Context
	ref      *tasks.Ref
	planner  Planner
	clock    clock.Clock
	log      *slog.Logger
	proposer *Proposer

	leads      bool
	committing bool
	config     *state.Config
	sessions   sessions
	// expiring holds the processes whose expiry is being committed. They are
	// granted no lease, since another process may already have their roles.
	expiring map[ident.Host]ident.Incarnation
	// reassigning holds the processes whose roles are being assigned to others.
	// They are granted no role lease until the configuration shows that they have
	// no roles.
	reassigning map[ident.Host]ident.Incarnation
	targets     lister.List
	waiting     []*waiter
	events      []Event
}

// waiter is a caller that waits until a revision is in force. It keeps the set of
// members that are still behind, so that a poll need not scan all members.
type waiter struct {
	waitInForce
	behind map[ident.Host]struct{}
}

var _ tasks.Task = (*leader)(nil)

// Handle implements tasks.Task.
func (l *leader) Handle(message any) {
	switch m := message.(type) {
	case setLog:
		l.proposer = NewProposer(m.log, l.clock)
	case leadershipBegan:
		l.leads, l.expiring = true, make(map[ident.Host]ident.Incarnation)
		l.reassigning = make(map[ident.Host]ident.Incarnation)
		l.sessions.beginLeadership(l.clock.Now())
		l.planner.Reset()
		for _, w := range l.waiting {
			l.resetBehind(w)
		}
		l.log.Info("ctrl: leadership began", "term", m.term)
	case leadershipEnded:
		l.leads = false
		l.log.Info("ctrl: leadership ended", "term", m.term)
	case *state.Config:
		l.config = m
		l.unfence()
		for _, w := range l.waiting {
			l.resetBehind(w)
		}
		l.wakeWaiters()
	case lister.List:
		l.targets = m
	case recordPoll:
		l.handlePoll(m)
	case waitInForce:
		w := &waiter{waitInForce: m}
		l.resetBehind(w)
		l.waiting = append(l.waiting, w)
		l.wakeWaiters()
	case getLeaderStatus:
		m.reply.Send(l.status())
	case batchCommitted:
		l.finishBatch(m)
	case leaderTick:
		l.proposeChanges()
	}
}

func (l *leader) handlePoll(m recordPoll) {
	if !l.leads {
		m.reply.Send(grantedLeases{})
		return
	}
	if l.expiring[m.args.Host] == m.args.Incarnation {
		m.reply.Send(grantedLeases{leads: true})
		return
	}
	known, ok := l.config.Member(m.args.Host)
	m.reply.Send(l.grantLeases(m.args, ok && known.Incarnation() == m.args.Incarnation))
	l.sessions.renew(m.args.Host, session{
		incarnation: m.args.Incarnation, renewedAt: m.arrived, revision: m.args.Revision, demand: m.args.Demand,
	})
	l.updateWaiters(m.args, ok && known.Incarnation() == m.args.Incarnation)
	if first := l.membershipChange(m.args); len(first) > 0 {
		l.proposeChanges(first...)
	}
}

// grantLeases returns the leases of a process that has polled. A process that is
// not a member yet gets none, since inForce does not take it into account.
func (l *leader) grantLeases(args PollArgs, member bool) grantedLeases {
	out := grantedLeases{leads: true}
	if member {
		out.lease = Lease
		if l.reassigning[args.Host] != args.Incarnation {
			out.roleLease = RoleLease
		}
	}
	return out
}

// membershipChange returns the change that a poll implies: a process joins with
// its first poll and leaves with the first poll that announces its departure.
func (l *leader) membershipChange(args PollArgs) []plan.Change {
	member := state.NewMember(args.Host, args.Incarnation, args.Zone, args.Region, args.Caller, args.Peer)
	known, ok := l.config.Member(args.Host)
	switch {
	case !ok || known.Incarnation() < args.Incarnation:
		if args.Leaving {
			return nil
		}
		return []plan.Change{plan.NewChange(state.NewJoin(member), "first-poll")}
	case known.Incarnation() == args.Incarnation && args.Leaving && known.Live():
		return []plan.Change{plan.NewChange(state.NewLeave(args.Host, args.Incarnation), "planned-stop")}
	}
	return nil
}

// unfence drops the expiring processes that are no longer members, and the
// reassigning ones once none of them holds a role.
func (l *leader) unfence() {
	for h, incarnation := range l.expiring {
		if m, ok := l.config.Member(h); !ok || m.Incarnation() != incarnation {
			delete(l.expiring, h)
		}
	}
	for _, r := range l.config.Roles() {
		if incarnation, ok := l.reassigning[r.Host()]; ok && incarnation == r.Incarnation() {
			return
		}
	}
	clear(l.reassigning)
}

// resetBehind determines the members that are behind the revision of a waiter.
// All members are behind a revision that the configuration has not reached yet.
func (l *leader) resetBehind(w *waiter) {
	w.behind = make(map[ident.Host]struct{})
	for _, h := range l.sessions.behind(l.config.Members(), w.revision) {
		w.behind[h] = struct{}{}
	}
}

// updateWaiters updates the waiters with the revision that a poll reports.
func (l *leader) updateWaiters(args PollArgs, member bool) {
	done := false
	for _, w := range l.waiting {
		if member && args.Revision >= w.revision {
			delete(w.behind, args.Host)
		}
		done = done || len(w.behind) == 0 || w.ctx.Err() != nil
	}
	if done {
		l.wakeWaiters()
	}
}

func (l *leader) wakeWaiters() {
	kept := l.waiting[:0]
	for _, w := range l.waiting {
		switch {
		case w.ctx.Err() != nil:
		case l.leads && len(w.behind) == 0 && l.config.Revision() >= w.revision:
			w.reply.Send(RolloutProgress{reached: true})
		default:
			kept = append(kept, w)
		}
	}
	l.waiting = kept
}

func (l *leader) status() LeaderStatus {
	copied := sessions{leadershipStart: l.sessions.leadershipStart, byHost: make(map[ident.Host]session, len(l.sessions.byHost))}
	for h, s := range l.sessions.byHost {
		copied.byHost[h] = s
	}
	return LeaderStatus{
		leads: l.leads, config: l.config, sessions: copied,
		inForce: l.sessions.inForce(l.config.Members(), l.config.Revision()),
		events:  append([]Event(nil), l.events...),
	}
}

// proposeChanges commits the given changes and those that the planner returns.
// One batch is in flight at a time.
func (l *leader) proposeChanges(first ...plan.Change) {
	if !l.leads || l.committing || l.proposer == nil {
		return
	}
	now := l.clock.Now()
	members := l.config.Members()
	options := []plan.InputOption{
		plan.WithDemand(l.sessions.demand(members)), plan.WithExpired(l.sessions.leaseExpired(members, now)),
		plan.WithSilent(l.withoutRoleLease(members, now)),
	}
	if l.targets.Received() {
		options = append(options, plan.WithTargets(planTargets(l.targets)))
	}
	input := plan.NewInput(l.config, l.sessions.inForce(members, l.config.Revision()), options...)
	changes := append(first, l.planner.Plan(now, input)...)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		l.fence(c.Command())
	}
	l.committing = true
	proposer := l.proposer
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, leaderCommitTimeout)
		defer cancel()
		l.ref.Tell(batchCommitted{events: l.commitBatch(ctx, proposer, changes)})
	}()
}

// withoutRoleLease returns the members that may not act in their roles: those
// whose role lease has expired, and those whose roles are already being
// reassigned.
func (l *leader) withoutRoleLease(members []state.Member, now time.Time) []state.Member {
	out := l.sessions.roleLeaseExpired(members, now)
	for _, m := range members {
		if l.reassigning[m.Host()] == m.Incarnation() && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// fence records the process whose leases a command ends, before the command is
// proposed.
func (l *leader) fence(command state.Command) {
	switch c := command.(type) {
	case state.Expire:
		l.expiring[c.Host()] = c.Incarnation()
	case state.AssignRole:
		if r, ok := l.config.Role(c.Role()); ok && !r.Vacant() {
			l.reassigning[r.Host()] = r.Incarnation()
		}
	}
}

// planTargets converts the platform's list of targets.
func planTargets(list lister.List) []plan.Target {
	out := make([]plan.Target, 0, len(list.Targets()))
	for _, t := range list.Targets() {
		out = append(out, plan.NewTarget(t.ID(), t.Service(), t.Zone(), t.Region(), t.Slots(), t.State() == lister.Live))
	}
	return out
}

// commitBatch commits a batch of changes. It runs in its own goroutine. The
// changes do not depend on each other, so they are proposed in parallel and share
// round trips: the loss of a region expires all its hosts at once.
func (l *leader) commitBatch(ctx context.Context, proposer *Proposer, changes []plan.Change) []Event {
	events := make([]Event, len(changes))
	var group errgroup.Group
	group.SetLimit(maxParallelProposals)
	for i, c := range changes {
		group.Go(func() error {
			events[i] = l.commitOne(ctx, proposer, c)
			return nil
		})
	}
	_ = group.Wait()
	return events
}

func (l *leader) commitOne(ctx context.Context, proposer *Proposer, c plan.Change) Event {
	event := Event{kind: c.Command().Kind(), detail: detailOf(c.Command()), reason: c.Reason()}
	outcome, err := proposer.Propose(ctx, c.Command())
	if err == nil {
		err = outcome.Err()
	}
	if err != nil {
		event.err = err.Error()
	}
	event.at = l.clock.Now()
	return event
}

func (l *leader) finishBatch(m batchCommitted) {
	l.committing = false
	for _, e := range m.events {
		if e.err == "" {
			l.log.Info("ctrl: change committed", "kind", e.kind, "detail", e.detail, "reason", e.reason)
		} else {
			l.log.Warn("ctrl: change failed", "kind", e.kind, "detail", e.detail, "reason", e.reason, "error", e.err)
		}
	}
	l.events = append(l.events, m.events...)
	if over := len(l.events) - maxEvents; over > 0 {
		l.events = append([]Event(nil), l.events[over:]...)
	}
}

// detailOf describes what a command of the leader changes.
func detailOf(command state.Command) string {
	switch c := command.(type) {
	case state.Join:
		return string(c.Member().Host())
	case state.Leave:
		return string(c.Host())
	case state.Expire:
		return string(c.Host())
	case state.AssignRole:
		return fmt.Sprintf("%s to %s, epoch %d", c.Role(), c.Host(), c.Epoch())
	case state.SetShares:
		return fmt.Sprintf("%s from %s: %v", c.Service(), c.Origin(), c.Shares())
	}
	return ""
}

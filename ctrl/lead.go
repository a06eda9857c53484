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
	// leadInterval is how often the leader looks for expired sessions, roles
	// without a holder and steps of a plan.
	leadInterval = 200 * time.Millisecond
	// leadTimeout bounds the commit of one batch of its changes.
	leadTimeout = 5 * time.Second
	// maxLeadProposals bounds the changes of a batch that are under way.
	maxLeadProposals = 64
	// maxEvents is the number of repairs that the leader remembers.
	maxEvents = 256
)

// Planner decides what the leader changes by itself: sessions that expired,
// roles and shares.
type Planner interface {
	// Plan returns the changes that are needed now.
	Plan(now time.Time, situation plan.Input) []plan.Change
	// Reset forgets what was decided, for a new leadership.
	Reset()
}

// Leader is the task that acts while this control host leads: it tracks the
// sessions of entry hosts, expires them, and commits what the planner decides.
type Leader struct {
	ref *tasks.Ref
}

var (
	_ LeadershipObserver = (*Leader)(nil)
	_ ConfigListener     = (*Leader)(nil)
)

// StartLeader starts the task. It acts only between LeadershipBegan and
// LeadershipEnded, and commits through the log given by Use.
func StartLeader(ctx context.Context, system *tasks.System, planner Planner, c clock.Clock, log *slog.Logger) (*Leader, error) {
	t := &leader{ctx: ctx, planner: planner, clock: c, log: log, config: state.NewConfig()}
	ref, err := tasks.Spawn(ctx, system, "ctrl-leader", t)
	if err != nil {
		return nil, fmt.Errorf("start leader: %w", err)
	}
	t.ref = ref
	tasks.Every(ctx, c, leadInterval, ref, leadTick{})
	return &Leader{ref: ref}, nil
}

// SetLog sets the log that changes are committed through.
func (l *Leader) SetLog(log ReplicatedLog) { l.ref.Tell(useLog{log: log}) }

// LeadershipBegan implements Observer.
func (l *Leader) LeadershipBegan(term agree.Term) { l.ref.Tell(began{term: term}) }

// LeadershipEnded implements Observer.
func (l *Leader) LeadershipEnded(term agree.Term) { l.ref.Tell(ended{term: term}) }

// ConfigChanged implements ConfigSink.
func (l *Leader) ConfigChanged(config *state.Config) { l.ref.Tell(config) }

// Tell accepts the platform's list.
func (l *Leader) Tell(message any) { l.ref.Tell(message) }

// Done returns a channel that is closed when the task has ended.
func (l *Leader) Done() <-chan struct{} { return l.ref.Done() }

// renew records a poll and returns the leases that the process gets, which are
// zero unless it is a member.
func (l *Leader) renew(ctx context.Context, args PollArgs, arrived time.Time) renewed {
	granted, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[renewed]) any {
		return renewal{args: args, arrived: arrived, reply: r}
	})
	if err != nil {
		return renewed{}
	}
	return granted
}

// note records a poll without an answer.
func (l *Leader) note(args PollArgs, arrived time.Time) {
	l.ref.Tell(renewal{args: args, arrived: arrived})
}

// InForce waits until every entry host with a lease has applied the revision.
// When ctx ends first, the progress tells who has not. The error matches
// ErrNotLeader when this host does not lead.
func (l *Leader) InForce(ctx context.Context, revision ident.Revision) (RolloutProgress, error) {
	reply, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[RolloutProgress]) any {
		return awaitForce{revision: revision, ctx: ctx, reply: r}
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

// Status returns what the task knows.
func (l *Leader) Status(ctx context.Context) (LeaderStatus, error) {
	status, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[LeaderStatus]) any { return statusAsk{reply: r} })
	if err != nil {
		return LeaderStatus{}, fmt.Errorf("read leader status: %w", err)
	}
	return status, nil
}

type (
	leadTick struct{}
	useLog   struct{ log ReplicatedLog }
	began    struct{ term agree.Term }
	ended    struct{ term agree.Term }
	renewal  struct {
		args    PollArgs
		arrived time.Time
		reply   tasks.Reply[renewed]
	}
	renewed struct {
		lease, roles time.Duration
		leads        bool
	}
	awaitForce struct {
		revision ident.Revision
		ctx      context.Context
		reply    tasks.Reply[RolloutProgress]
	}
	statusAsk struct{ reply tasks.Reply[LeaderStatus] }
	// committed carries the ends of a batch of changes.
	committed struct{ events []Event }
)

// leader is the task behind Leader.
type leader struct {
	ctx      context.Context
	ref      *tasks.Ref
	planner  Planner
	clock    clock.Clock
	log      *slog.Logger
	proposer *Proposer

	leads    bool
	busy     bool
	config   *state.Config
	sessions sessions
	// expiring holds the processes whose end is being committed. They get no
	// lease any more, since another process may already have their roles.
	expiring map[ident.Host]ident.Incarnation
	// moving holds the processes whose roles are being given to others. They
	// get no lease for roles until the configuration shows that they have none.
	moving  map[ident.Host]ident.Incarnation
	targets lister.List
	waiting []*waiter
	events  []Event
}

// waiter waits until a revision is in force. It keeps the members that are
// still behind, so that a poll costs no look at all members.
type waiter struct {
	awaitForce
	behind map[ident.Host]struct{}
}

var _ tasks.Task = (*leader)(nil)

// Handle implements tasks.Task.
func (l *leader) Handle(message any) {
	switch m := message.(type) {
	case useLog:
		l.proposer = NewProposer(m.log, l.clock)
	case began:
		l.leads, l.expiring = true, make(map[ident.Host]ident.Incarnation)
		l.moving = make(map[ident.Host]ident.Incarnation)
		l.sessions.begin(l.clock.Now())
		l.planner.Reset()
		for _, w := range l.waiting {
			l.fill(w)
		}
		l.log.Info("ctrl: leadership began", "term", m.term)
	case ended:
		l.leads = false
		l.log.Info("ctrl: leadership ended", "term", m.term)
	case *state.Config:
		l.config = m
		l.forget()
		for _, w := range l.waiting {
			l.fill(w)
		}
		l.wake()
	case lister.List:
		l.targets = m
	case renewal:
		l.renew(m)
	case awaitForce:
		w := &waiter{awaitForce: m}
		l.fill(w)
		l.waiting = append(l.waiting, w)
		l.wake()
	case statusAsk:
		m.reply.Send(l.status())
	case committed:
		l.committed(m)
	case leadTick:
		l.act()
	}
}

func (l *leader) renew(m renewal) {
	if !l.leads {
		m.reply.Send(renewed{})
		return
	}
	if l.expiring[m.args.Host] == m.args.Incarnation {
		m.reply.Send(renewed{leads: true})
		return
	}
	known, ok := l.config.Member(m.args.Host)
	m.reply.Send(l.grant(m.args, ok && known.Incarnation() == m.args.Incarnation))
	l.sessions.renew(m.args.Host, session{
		incarnation: m.args.Incarnation, renewed: m.arrived, revision: m.args.Revision, demand: m.args.Demand,
	})
	l.caughtUp(m.args, ok && known.Incarnation() == m.args.Incarnation)
	if first := l.membership(m.args); len(first) > 0 {
		l.act(first...)
	}
}

// grant returns the leases of a process that has polled. One that is no member
// yet gets none, since inForce does not count it.
func (l *leader) grant(args PollArgs, member bool) renewed {
	out := renewed{leads: true}
	if member {
		out.lease = Lease
		if l.moving[args.Host] != args.Incarnation {
			out.roles = RoleLease
		}
	}
	return out
}

// membership returns the change that a poll implies: a process joins with its
// first poll and leaves with the first that says so.
func (l *leader) membership(args PollArgs) []plan.Change {
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

// forget drops the expiring processes that are no longer members.
func (l *leader) forget() {
	for h, incarnation := range l.expiring {
		if m, ok := l.config.Member(h); !ok || m.Incarnation() != incarnation {
			delete(l.expiring, h)
		}
	}
	for _, r := range l.config.Roles() {
		if incarnation, ok := l.moving[r.Host()]; ok && incarnation == r.Incarnation() {
			return
		}
	}
	clear(l.moving)
}

// fill finds the members that are behind a waiter's revision. A revision that
// is not in the configuration yet has everybody behind.
func (l *leader) fill(w *waiter) {
	w.behind = make(map[ident.Host]struct{})
	for _, h := range l.sessions.behind(l.config.Members(), w.revision) {
		w.behind[h] = struct{}{}
	}
}

// caughtUp notes what the process of a member has applied.
func (l *leader) caughtUp(args PollArgs, member bool) {
	done := false
	for _, w := range l.waiting {
		if member && args.Revision >= w.revision {
			delete(w.behind, args.Host)
		}
		done = done || len(w.behind) == 0 || w.ctx.Err() != nil
	}
	if done {
		l.wake()
	}
}

func (l *leader) wake() {
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
	copied := sessions{began: l.sessions.began, known: make(map[ident.Host]session, len(l.sessions.known))}
	for h, s := range l.sessions.known {
		copied.known[h] = s
	}
	return LeaderStatus{
		leads: l.leads, config: l.config, sessions: copied,
		inForce: l.sessions.inForce(l.config.Members(), l.config.Revision()),
		events:  append([]Event(nil), l.events...),
	}
}

// act commits the given changes and those that the planner wants, one batch
// at a time.
func (l *leader) act(first ...plan.Change) {
	if !l.leads || l.busy || l.proposer == nil {
		return
	}
	now := l.clock.Now()
	members := l.config.Members()
	list := []plan.InputOption{
		plan.WithDemand(l.sessions.demand(members)), plan.WithExpired(l.sessions.expired(members, now)),
		plan.WithSilent(l.silent(members, now)),
	}
	if l.targets.Received() {
		list = append(list, plan.WithTargets(planTargets(l.targets)))
	}
	situation := plan.NewInput(l.config, l.sessions.inForce(members, l.config.Revision()), list...)
	changes := append(first, l.planner.Plan(now, situation)...)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		l.fence(c.Command())
	}
	l.busy = true
	proposer := l.proposer
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, leadTimeout)
		defer cancel()
		l.ref.Tell(committed{events: l.commit(ctx, proposer, changes)})
	}()
}

// silent returns the members that may not act for roles: those whose lease for
// them has ended, and those whose roles are being moved already.
func (l *leader) silent(members []state.Member, now time.Time) []state.Member {
	out := l.sessions.silent(members, now)
	for _, m := range members {
		if l.moving[m.Host()] == m.Incarnation() && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// fence notes whose leases end with a command, before it is proposed.
func (l *leader) fence(command state.Command) {
	switch c := command.(type) {
	case state.Expire:
		l.expiring[c.Host()] = c.Incarnation()
	case state.AssignRole:
		if r, ok := l.config.Role(c.Role()); ok && !r.Vacant() {
			l.moving[r.Host()] = r.Incarnation()
		}
	}
}

// planTargets converts the platform's list.
func planTargets(list lister.List) []plan.Target {
	out := make([]plan.Target, 0, len(list.Targets()))
	for _, t := range list.Targets() {
		out = append(out, plan.NewTarget(t.ID(), t.Service(), t.Zone(), t.Region(), t.Slots(), t.State() == lister.Live))
	}
	return out
}

// commit runs in its own goroutine. The changes of a batch do not depend on
// each other, so they share round trips: a region's loss ends the membership
// of all its hosts at once.
func (l *leader) commit(ctx context.Context, proposer *Proposer, changes []plan.Change) []Event {
	events := make([]Event, len(changes))
	var group errgroup.Group
	group.SetLimit(maxLeadProposals)
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

func (l *leader) committed(m committed) {
	l.busy = false
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

// detailOf names what a command of the leader changes.
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

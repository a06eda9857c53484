package ctrl

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbrack/agree"
	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/plan"
	"rhubarbrack/platf"
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
	Plan(now time.Time, situation plan.Situation) []plan.Change
	// Reset forgets what was decided, for a new leadership.
	Reset()
}

// Event is a repair or a step of a plan that the leader made.
type Event struct {
	at     time.Time
	kind   string
	detail string
	reason string
	err    string
}

// At returns when the change was committed or failed.
func (e Event) At() time.Time { return e.at }

// Kind returns the kind of the command.
func (e Event) Kind() string { return e.kind }

// Detail returns what was changed.
func (e Event) Detail() string { return e.detail }

// Reason returns why.
func (e Event) Reason() string { return e.reason }

// Err returns why the change was not made, or nothing.
func (e Event) Err() string { return e.err }

// Progress tells which entry hosts have applied a revision.
type Progress struct {
	reached bool
	behind  []ident.Host
}

// Reached reports whether every entry host with a lease has applied it.
func (p Progress) Reached() bool { return p.reached }

// Behind returns the hosts that have not.
func (p Progress) Behind() []ident.Host { return p.behind }

// Leader is the task that acts while this control host leads: it tracks the
// sessions of entry hosts, expires them, and commits what the planner decides.
type Leader struct {
	ref *tasks.Ref
}

var (
	_ Observer   = (*Leader)(nil)
	_ ConfigSink = (*Leader)(nil)
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

// Use sets the log that changes are committed through.
func (l *Leader) Use(log Log) { l.ref.Tell(useLog{log: log}) }

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

// renew records a poll. It returns the lease that the process gets, which is
// zero unless it is a member, and whether this host leads.
func (l *Leader) renew(ctx context.Context, args PollArgs, arrived time.Time) (time.Duration, bool) {
	renewed, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[renewed]) any {
		return renewal{args: args, arrived: arrived, reply: r}
	})
	return renewed.lease, err == nil && renewed.leads
}

// note records a poll without an answer.
func (l *Leader) note(args PollArgs, arrived time.Time) {
	l.ref.Tell(renewal{args: args, arrived: arrived})
}

// InForce waits until every entry host with a lease has applied the revision.
// When ctx ends first, the progress tells who has not. The error matches
// ErrNotLeader when this host does not lead.
func (l *Leader) InForce(ctx context.Context, revision ident.Revision) (Progress, error) {
	reply, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[Progress]) any {
		return awaitForce{revision: revision, ctx: ctx, reply: r}
	})
	if err == nil {
		return reply, nil
	}
	status, err := l.Status(context.WithoutCancel(ctx))
	if err != nil {
		return Progress{}, err
	}
	if !status.leads {
		return Progress{}, fmt.Errorf("wait for revision %d: %w", revision, ErrNotLeader)
	}
	behind := status.sessions.behind(status.config.Members(), revision)
	return Progress{reached: len(behind) == 0, behind: behind}, nil
}

// Status returns what the task knows.
func (l *Leader) Status(ctx context.Context) (LeaderStatus, error) {
	status, err := tasks.Ask(ctx, l.ref, func(r tasks.Reply[LeaderStatus]) any { return statusAsk{reply: r} })
	if err != nil {
		return LeaderStatus{}, fmt.Errorf("read leader status: %w", err)
	}
	return status, nil
}

// LeaderStatus is what the leader task knows. It is a copy.
type LeaderStatus struct {
	leads    bool
	config   *state.Config
	sessions sessions
	inForce  ident.Revision
	events   []Event
}

// Leads reports whether this host leads.
func (s LeaderStatus) Leads() bool { return s.leads }

// InForce returns the revision that every entry host with a lease has applied.
func (s LeaderStatus) InForce() ident.Revision { return s.inForce }

// Applied returns the revision that the process of a member has applied.
func (s LeaderStatus) Applied(h ident.Host) ident.Revision { return s.sessions.known[h].revision }

func (s LeaderStatus) applied() map[ident.Host]ident.Revision {
	out := make(map[ident.Host]ident.Revision, len(s.sessions.known))
	for h, e := range s.sessions.known {
		out[h] = e.revision
	}
	return out
}

// Events returns the latest changes that the leader made, oldest first.
func (s LeaderStatus) Events() []Event { return s.events }

type (
	leadTick struct{}
	useLog   struct{ log Log }
	began    struct{ term agree.Term }
	ended    struct{ term agree.Term }
	renewal  struct {
		args    PollArgs
		arrived time.Time
		reply   tasks.Reply[renewed]
	}
	renewed struct {
		lease time.Duration
		leads bool
	}
	awaitForce struct {
		revision ident.Revision
		ctx      context.Context
		reply    tasks.Reply[Progress]
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
	targets  platf.List
	waiting  []*waiter
	events   []Event
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
	case platf.List:
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
	if ok && known.Incarnation() == m.args.Incarnation {
		m.reply.Send(renewed{leads: true, lease: Lease})
	} else {
		// A process that is no member yet is not counted by inForce.
		m.reply.Send(renewed{leads: true})
	}
	l.sessions.renew(m.args.Host, session{
		incarnation: m.args.Incarnation, renewed: m.arrived, revision: m.args.Revision, demand: m.args.Demand,
	})
	l.caughtUp(m.args, ok && known.Incarnation() == m.args.Incarnation)
	if first := l.membership(m.args); len(first) > 0 {
		l.act(first...)
	}
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
			w.reply.Send(Progress{reached: true})
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
	list := []plan.SituationOption{
		plan.WithDemand(l.sessions.demand(members)), plan.WithExpired(l.sessions.expired(members, now)),
	}
	if l.targets.Received() {
		list = append(list, plan.WithTargets(planTargets(l.targets)))
	}
	situation := plan.NewSituation(l.config, l.sessions.inForce(members, l.config.Revision()), list...)
	changes := append(first, l.planner.Plan(now, situation)...)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		if e, ok := c.Command().(state.Expire); ok {
			l.expiring[e.Host()] = e.Incarnation()
		}
	}
	l.busy = true
	proposer := l.proposer
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, leadTimeout)
		defer cancel()
		l.ref.Tell(committed{events: l.commit(ctx, proposer, changes)})
	}()
}

// planTargets converts the platform's list.
func planTargets(list platf.List) []plan.Target {
	out := make([]plan.Target, 0, len(list.Targets()))
	for _, t := range list.Targets() {
		out = append(out, plan.NewTarget(t.ID(), t.Service(), t.Zone(), t.Region(), t.Slots(), t.State() == platf.Live))
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

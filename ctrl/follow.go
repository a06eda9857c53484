package ctrl

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/clock"
	"rhubarbrack/codec"
	"rhubarbrack/ident"
	"rhubarbrack/plan"
	"rhubarbrack/route"
	"rhubarbrack/state"
	"rhubarbrack/tasks"
)

// ErrNoView means that no view has been received from the control hosts yet.
const ErrNoView = errors.ConstError("no view yet")

// Self describes the process of an entry host.
type Self struct {
	member state.Member
}

// NewSelf returns the description of a process. The member holds its host,
// incarnation, zone, region and addresses.
func NewSelf(member state.Member) Self { return Self{member: member} }

// Member returns the process as a member.
func (s Self) Member() state.Member { return s.member }

// ViewListener is notified of each new view.
type ViewListener interface {
	// ViewChanged receives the latest view. It must not block.
	ViewChanged(view route.View)
}

// Follower is the task that keeps the view of an entry host up to date: it polls
// the control leader, applies the changes and renews the lease. The revision of
// the view never decreases. A Follower takes no part in the Raft protocol.
type Follower struct {
	ref     *tasks.Ref
	expired chan struct{}
}

var _ route.Views = (*Follower)(nil)

// FollowOption configures a Follower.
type FollowOption func(*follower)

// FollowClock sets the clock. The default is the system clock.
func FollowClock(c clock.Clock) FollowOption { return func(f *follower) { f.clock = c } }

// FollowLogger sets the destination of log lines.
func FollowLogger(l *slog.Logger) FollowOption { return func(f *follower) { f.log = l } }

// FollowListeners adds listeners that are notified of each new view.
func FollowListeners(listeners ...ViewListener) FollowOption {
	return func(f *follower) { f.listeners = append(f.listeners, listeners...) }
}

// StartFollower starts the task.
func StartFollower(ctx context.Context, system *tasks.System, client *Client, self Self, list ...FollowOption) (*Follower, error) {
	t := &follower{
		ctx: ctx, client: client, self: self, clock: clock.Wall(), log: slog.Default(),
		config: state.NewConfig(), expiredSignal: make(chan struct{}),
	}
	for _, apply := range list {
		apply(t)
	}
	ref, err := tasks.Spawn(ctx, system, "ctrl-follower", t)
	if err != nil {
		return nil, fmt.Errorf("start follower: %w", err)
	}
	t.ref = ref
	ref.Tell(pollNow{})
	return &Follower{ref: ref, expired: t.expiredSignal}, nil
}

// View implements route.Views.
func (f *Follower) View(ctx context.Context) (route.View, error) {
	view, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[route.View]) any { return getView{reply: r} })
	if err != nil {
		return route.View{}, fmt.Errorf("read view: %w", err)
	}
	if view.Config() == nil {
		return route.View{}, fmt.Errorf("read view: %w", ErrNoView)
	}
	return view, nil
}

// WaitForRevision waits until the view has reached the revision. It returns the
// error of ctx if that ends first.
func (f *Follower) WaitForRevision(ctx context.Context, revision ident.Revision) error {
	_, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[ident.Revision]) any {
		return waitRevision{revision: revision, ctx: ctx, reply: r}
	})
	if err != nil {
		return fmt.Errorf("wait for revision %d: %w", revision, err)
	}
	return nil
}

// Leave makes the following polls announce that the process is leaving.
func (f *Follower) Leave() { f.ref.Tell(beginLeaving{}) }

// Expired returns a channel that is closed when the process is no longer a
// member, because it did not poll for longer than its lease or because a planned
// stop has finished. The process must continue under a greater incarnation or
// exit.
func (f *Follower) Expired() <-chan struct{} { return f.expired }

// Report sets the demand on this host. The following polls report it.
func (f *Follower) Report(demand []plan.Demand) {
	records := make([]DemandRecord, 0, len(demand))
	for _, d := range demand {
		records = append(records, DemandRecord{Service: d.Service(), Class: d.Class(), Slots: d.Slots()})
	}
	f.ref.Tell(demandReported{demand: records})
}

// Done returns a channel that is closed when the task has ended.
func (f *Follower) Done() <-chan struct{} { return f.ref.Done() }

type (
	pollNow        struct{}
	beginLeaving   struct{}
	demandReported struct{ demand []DemandRecord }
	getView        struct{ reply tasks.Reply[route.View] }
	waitRevision   struct {
		revision ident.Revision
		ctx      context.Context
		reply    tasks.Reply[ident.Revision]
	}
	// pollResult carries the result of a poll that was sent at the given time.
	pollResult struct {
		sent  time.Time
		reply PollReply
		err   error
	}
)

// follower is the task behind Follower.
type follower struct {
	ctx       context.Context
	ref       *tasks.Ref
	client    *Client
	self      Self
	clock     clock.Clock
	log       *slog.Logger
	listeners []ViewListener
	demand    []DemandRecord

	config         *state.Config
	leaseUntil     time.Time
	roleLeaseUntil time.Time
	hasView        bool
	leaving        bool
	failing        bool
	joined         bool
	expired        bool
	expiredSignal  chan struct{}
	waiting        []waitRevision
}

var _ tasks.Task = (*follower)(nil)

// Handle implements tasks.Task.
func (f *follower) Handle(message any) {
	switch m := message.(type) {
	case pollNow:
		f.poll()
	case pollResult:
		f.finishPoll(m)
	case beginLeaving:
		f.leaving = true
	case demandReported:
		f.demand = m.demand
	case getView:
		m.reply.Send(f.view())
	case waitRevision:
		f.waiting = append(f.waiting, m)
		f.wakeWaiters()
	}
}

func (f *follower) view() route.View {
	if !f.hasView {
		return route.View{}
	}
	return route.NewView(f.config, f.leaseUntil).WithRoleLease(f.roleLeaseUntil)
}

// poll sends one poll from a goroutine, which reports the result to the task.
func (f *follower) poll() {
	member := f.self.member
	args := PollArgs{
		Host: member.Host(), Incarnation: member.Incarnation(), Zone: member.Zone(), Region: member.Region(),
		Caller: member.CallerAddress(), Peer: member.PeerAddress(), Leaving: f.leaving,
		Revision: f.config.Revision(), Wait: maxPollWait, Demand: f.demand,
	}
	go func() {
		sent := f.clock.Now()
		reply, err := f.client.poll(f.ctx, args)
		if err != nil {
			clock.Sleep(f.ctx, f.clock, retryPause)
		}
		f.ref.Tell(pollResult{sent: sent, reply: reply, err: err})
	}()
}

func (f *follower) finishPoll(m pollResult) {
	f.handlePoll(m)
	f.poll()
}

// handlePoll applies the result of a poll to the view.
func (f *follower) handlePoll(m pollResult) {
	err := m.err
	if err == nil {
		err = f.applyReply(m.reply)
	}
	if err != nil {
		if !f.failing {
			f.log.Warn("ctrl: poll failed", "error", err)
		}
		f.failing = true
		return
	}
	if f.failing {
		f.log.Info("ctrl: poll succeeded again", "revision", f.config.Revision())
	}
	f.failing, f.hasView = false, true
	// The lease starts when the poll was sent, since the leader confirmed its
	// leadership with a majority after that.
	f.leaseUntil, f.roleLeaseUntil = m.sent.Add(m.reply.Lease), m.sent.Add(m.reply.RoleLease)
	f.checkMembership()
	f.publish()
}

// checkMembership ends the lease of a process that is no member. It closes the
// channel of Expired when the membership has ended, because other processes may
// then have taken over its roles and claims.
func (f *follower) checkMembership() {
	self := f.self.member
	known, ok := f.config.Member(self.Host())
	if ok && known.Incarnation() == self.Incarnation() {
		f.joined = true
		return
	}
	f.leaseUntil, f.roleLeaseUntil = time.Time{}, time.Time{}
	if f.joined && !f.expired {
		f.expired = true
		f.log.Warn("ctrl: membership ended", "incarnation", self.Incarnation(), "revision", f.config.Revision())
		close(f.expiredSignal)
	}
}

func (f *follower) publish() {
	view := f.view()
	for _, l := range f.listeners {
		l.ViewChanged(view)
	}
	f.wakeWaiters()
}

func (f *follower) wakeWaiters() {
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		switch {
		case w.ctx.Err() != nil:
		case f.hasView && f.config.Revision() >= w.revision:
			w.reply.Send(f.config.Revision())
		default:
			kept = append(kept, w)
		}
	}
	f.waiting = kept
}

// applyReply advances the view to the revision of the reply. The view does not
// change if the reply is damaged or older.
func (f *follower) applyReply(reply PollReply) error {
	if reply.Revision < f.config.Revision() {
		return fmt.Errorf("control host is at revision %d, the view at %d", reply.Revision, f.config.Revision())
	}
	config := f.config
	if len(reply.Snapshot) > 0 {
		snapshot, err := codec.DecodeConfig(reply.Snapshot)
		if err != nil {
			return fmt.Errorf("decode snapshot: %w", err)
		}
		config = snapshot
	}
	for _, d := range reply.Deltas {
		next, err := applyDelta(config, d)
		if err != nil {
			return fmt.Errorf("apply changes: %w", err)
		}
		config = next
	}
	if config.Revision() < reply.Revision {
		return fmt.Errorf("changes end at revision %d instead of %d", config.Revision(), reply.Revision)
	}
	f.config = config
	return nil
}

func applyDelta(config *state.Config, d Delta) (*state.Config, error) {
	command, err := codec.DecodeCommand(d.Command)
	if err != nil {
		return nil, fmt.Errorf("decode change %d: %w", d.Revision, err)
	}
	next, err := state.Replay(config, d.Revision, command)
	if err != nil {
		return nil, fmt.Errorf("apply change %d: %w", d.Revision, err)
	}
	return next, nil
}

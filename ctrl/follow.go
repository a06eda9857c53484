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

// ErrNoView means that no view has arrived from the control hosts yet.
const ErrNoView = errors.ConstError("no view yet")

// Self describes the process of an entry host.
type Self struct {
	member state.Member
}

// NewSelf returns the description of a process. The member has its host,
// incarnation, zone, region and addresses.
func NewSelf(member state.Member) Self { return Self{member: member} }

// Member returns the member that the process is.
func (s Self) Member() state.Member { return s.member }

// ViewListener learns of each new view.
type ViewListener interface {
	// ViewChanged receives the latest view. It must not block.
	ViewChanged(view route.View)
}

// Follower is the task that keeps the view of an entry host: it polls the
// control leader, applies what changed and renews the lease. The view only
// moves forward.
type Follower struct {
	ref *tasks.Ref
	end chan struct{}
}

var _ route.Views = (*Follower)(nil)

// FollowOption sets a part of a follower.
type FollowOption func(*follower)

// FollowClock sets the clock. The default is the clock of the machine.
func FollowClock(c clock.Clock) FollowOption { return func(f *follower) { f.clock = c } }

// FollowLogger sets the destination of log lines.
func FollowLogger(l *slog.Logger) FollowOption { return func(f *follower) { f.log = l } }

// FollowListeners adds sinks for each new view.
func FollowListeners(sinks ...ViewListener) FollowOption {
	return func(f *follower) { f.sinks = append(f.sinks, sinks...) }
}

// StartFollower starts the task.
func StartFollower(ctx context.Context, system *tasks.System, client *Client, self Self, list ...FollowOption) (*Follower, error) {
	t := &follower{
		ctx: ctx, client: client, self: self, clock: clock.Wall(), log: slog.Default(),
		config: state.NewConfig(), end: make(chan struct{}),
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
	return &Follower{ref: ref, end: t.end}, nil
}

// View implements route.Views.
func (f *Follower) View(ctx context.Context) (route.View, error) {
	view, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[route.View]) any { return viewOf{reply: r} })
	if err != nil {
		return route.View{}, fmt.Errorf("read view: %w", err)
	}
	if view.Config() == nil {
		return route.View{}, fmt.Errorf("read view: %w", ErrNoView)
	}
	return view, nil
}

// WaitForRevision returns when the view has reached the revision, or the error of ctx.
func (f *Follower) WaitForRevision(ctx context.Context, revision ident.Revision) error {
	_, err := tasks.Ask(ctx, f.ref, func(r tasks.Reply[ident.Revision]) any {
		return reached{revision: revision, ctx: ctx, reply: r}
	})
	if err != nil {
		return fmt.Errorf("wait for revision %d: %w", revision, err)
	}
	return nil
}

// Leave makes the next polls say that the process is leaving.
func (f *Follower) Leave() { f.ref.Tell(leave{}) }

// Expired returns a channel that is closed when the process has ceased to be a
// member, after a silence longer than its lease or at the end of a planned
// stop. It must go on under a greater incarnation or end.
func (f *Follower) Expired() <-chan struct{} { return f.end }

// Report sets the load that came in at this host. The next polls carry it.
func (f *Follower) Report(loads []plan.Load) {
	records := make([]LoadRecord, 0, len(loads))
	for _, l := range loads {
		records = append(records, LoadRecord{Service: l.Service(), Class: l.Class(), Slots: l.Slots()})
	}
	f.ref.Tell(demanded{demand: records})
}

// Done returns a channel that is closed when the task has ended.
func (f *Follower) Done() <-chan struct{} { return f.ref.Done() }

type (
	pollNow  struct{}
	leave    struct{}
	demanded struct{ demand []LoadRecord }
	viewOf   struct{ reply tasks.Reply[route.View] }
	reached  struct {
		revision ident.Revision
		ctx      context.Context
		reply    tasks.Reply[ident.Revision]
	}
	// polled carries the end of a poll that was sent at the given time.
	polled struct {
		sent  time.Time
		reply PollReply
		err   error
	}
)

// follower is the task behind Follower.
type follower struct {
	ctx    context.Context
	ref    *tasks.Ref
	client *Client
	self   Self
	clock  clock.Clock
	log    *slog.Logger
	sinks  []ViewListener
	demand []LoadRecord

	config  *state.Config
	fresh   time.Time
	acting  time.Time
	served  bool
	leaving bool
	failing bool
	joined  bool
	expired bool
	end     chan struct{}
	waiting []reached
}

var _ tasks.Task = (*follower)(nil)

// Handle implements tasks.Task.
func (f *follower) Handle(message any) {
	switch m := message.(type) {
	case pollNow:
		f.poll()
	case polled:
		f.polled(m)
	case leave:
		f.leaving = true
	case demanded:
		f.demand = m.demand
	case viewOf:
		m.reply.Send(f.view())
	case reached:
		f.waiting = append(f.waiting, m)
		f.wake()
	}
}

func (f *follower) view() route.View {
	if !f.served {
		return route.View{}
	}
	return route.NewView(f.config, f.fresh).WithRoleLease(f.acting)
}

// poll sends one poll from a goroutine that reports to the task.
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
		f.ref.Tell(polled{sent: sent, reply: reply, err: err})
	}()
}

func (f *follower) polled(m polled) {
	f.take(m)
	f.poll()
}

// take applies the end of a poll to the view.
func (f *follower) take(m polled) {
	err := m.err
	if err == nil {
		err = f.apply(m.reply)
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
	f.failing, f.served = false, true
	// The lease counts from when the poll was sent: the leader confirmed its
	// majority after that.
	f.fresh, f.acting = m.sent.Add(m.reply.Lease), m.sent.Add(m.reply.RoleLease)
	f.checkMembership()
	f.publish()
}

// checkMembership ends the lease of a process that is no member, and reports
// once that it has ceased to be one: its roles and claims belong to others.
func (f *follower) checkMembership() {
	self := f.self.member
	known, ok := f.config.Member(self.Host())
	if ok && known.Incarnation() == self.Incarnation() {
		f.joined = true
		return
	}
	f.fresh, f.acting = time.Time{}, time.Time{}
	if f.joined && !f.expired {
		f.expired = true
		f.log.Warn("ctrl: membership ended", "incarnation", self.Incarnation(), "revision", f.config.Revision())
		close(f.end)
	}
}

func (f *follower) publish() {
	view := f.view()
	for _, s := range f.sinks {
		s.ViewChanged(view)
	}
	f.wake()
}

func (f *follower) wake() {
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		switch {
		case w.ctx.Err() != nil:
		case f.served && f.config.Revision() >= w.revision:
			w.reply.Send(f.config.Revision())
		default:
			kept = append(kept, w)
		}
	}
	f.waiting = kept
}

// apply brings the view to the revision of the reply. The view stays as it is
// when the reply is damaged or older.
func (f *follower) apply(reply PollReply) error {
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
		next, err := replay(config, d)
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

func replay(config *state.Config, d Delta) (*state.Config, error) {
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

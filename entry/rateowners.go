package entry

import (
	"context"
	"fmt"
	"net/rpc"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/limit"
	"rhubarbrack/tasks"
)

// RateOwners serves the shards of teams that this entry host owns. It is safe
// for concurrent use.
type RateOwners struct {
	ref *tasks.Ref
}

// StartRateOwners starts the task. It owns nothing before Update and
// SetLimits.
func StartRateOwners(ctx context.Context, system *tasks.System, peers *Peers, list ...RateOption) (*RateOwners, error) {
	o := newRateOptions(list)
	t := &rateOwners{ctx: ctx, peers: peers, options: o, wait: o.lifetime, shards: map[int]*rateShard{}}
	ref, err := tasks.Spawn(ctx, system, "entry-rate-owners", t)
	if err != nil {
		return nil, fmt.Errorf("start rate owners: %w", err)
	}
	t.self = ref
	tasks.Every(ctx, o.clock, rateTick, ref, rateTicked{})
	return &RateOwners{ref: ref}, nil
}

// Update tells the task which members and roles are current.
func (o *RateOwners) Update(m Members) { o.ref.Tell(NewMembersChanged(m)) }

// SetLimits tells the task the limits of all teams.
func (o *RateOwners) SetLimits(l RateLimits) { o.ref.Tell(l) }

// Level returns the level and the unspent grants of a team, as operators see
// them, and whether this host owns the team's shard.
func (o *RateOwners) Level(ctx context.Context, t ident.Team) (level float64, unspent int64, owned bool, err error) {
	v, err := tasks.Ask(ctx, o.ref, func(r tasks.Reply[rateLevel]) any { return rateLevelOf{team: t, reply: r} })
	if err != nil {
		return 0, 0, false, fmt.Errorf("level of team %s: %w", t, err)
	}
	return v.level, v.unspent, v.owned, nil
}

// Stop ends the task.
func (o *RateOwners) Stop() { o.ref.Stop() }

// Done returns a channel that is closed when the task has ended.
func (o *RateOwners) Done() <-chan struct{} { return o.ref.Done() }

// Err returns the panic that ended the task, or nil. It is valid once Done is
// closed.
func (o *RateOwners) Err() error { return o.ref.Err() }

// RegisterRates offers the service Rates on a server: Grant is answered by the
// owners, Holdings by the holder.
func RegisterRates(server *rpc.Server, owners *RateOwners, holder *RateHolder, list ...RateOption) error {
	s := &rateService{owners: owners, holder: holder, call: newRateOptions(list).call}
	if err := server.RegisterName("Rates", s); err != nil {
		return fmt.Errorf("register service Rates: %w", err)
	}
	return nil
}

// rateService passes calls on to the tasks. net/rpc runs each in a goroutine
// of its own.
type rateService struct {
	owners *RateOwners
	holder *RateHolder
	call   time.Duration
}

// Grant answers a request for tokens.
func (s *rateService) Grant(args *RateGrantArgs, reply *RateGrantReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.call)
	defer cancel()
	request := args.request()
	answer, err := tasks.Ask(ctx, s.owners.ref, func(r tasks.Reply[limit.Answer]) any {
		return rateGrant{shard: args.Shard, request: request, reply: r}
	})
	if err != nil {
		return fmt.Errorf("grant tokens of team %s: %w", request.Team(), err)
	}
	*reply = answerRecord(answer)
	return nil
}

// Holdings reports what the holder of this host has.
func (s *rateService) Holdings(args *RateHoldingsArgs, reply *RateHoldingsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.call)
	defer cancel()
	report, err := s.holder.holdings(ctx, *args)
	if err != nil {
		return fmt.Errorf("report holdings of shard %d: %w", args.Shard, err)
	}
	*reply = report
	return nil
}

type (
	// rateGrant asks the owner of a shard for tokens.
	rateGrant struct {
		shard   int
		request limit.Request
		reply   tasks.Reply[limit.Answer]
	}
	// rateLevelOf asks for the level of a team.
	rateLevelOf struct {
		team  ident.Team
		reply tasks.Reply[rateLevel]
	}
	rateLevel struct {
		level   float64
		unspent int64
		owned   bool
	}
	// rateReported is the end of a call for holdings.
	rateReported struct {
		number int
		shard  *rateShard
		round  uint64
		holder limit.HolderID
		team   ident.Team
		report RateHoldingsReply
		err    error
	}
)

// rateOwners is the task behind RateOwners.
type rateOwners struct {
	ctx     context.Context
	self    *tasks.Ref
	peers   *Peers
	options rateOptions
	members Members
	limits  RateLimits
	wait    time.Duration
	shards  map[int]*rateShard
}

var (
	_ tasks.Task    = (*rateOwners)(nil)
	_ tasks.Stopper = (*rateOwners)(nil)
)

// Handle implements tasks.Task.
func (o *rateOwners) Handle(message any) {
	now := o.options.clock.Now()
	switch m := message.(type) {
	case rateGrant:
		o.grant(m, now)
	case rateLevelOf:
		m.reply.Send(o.level(m.team, now))
	case rateReported:
		o.reported(m, now)
	case rateTicked:
		o.recoverAll(now)
	case MembersChanged:
		o.members = m.Members()
		o.follow(now)
	case RateLimits:
		o.setLimits(m, now)
	}
}

// Stop implements tasks.Stopper.
func (o *rateOwners) Stop() {
	for _, s := range o.shards {
		s.drop()
	}
}

// follow takes over the shards that this process was assigned and drops those
// that it lost. A shard is kept while only the lease has ended: no other owner
// exists before the view names one.
func (o *rateOwners) follow(now time.Time) {
	live := make([]limit.HolderID, 0, len(o.members.All()))
	for _, m := range o.members.All() {
		live = append(live, limit.NewHolderID(m.Host(), m.Incarnation()))
	}
	for n := range o.limits.shards {
		a, ok := o.members.Role(RateRole(n))
		ours := ok && a.Host() == o.members.Self() && a.Incarnation() == o.members.Incarnation()
		s, have := o.shards[n]
		if have && (!ours || s.owner.Epoch() != a.Epoch()) {
			o.options.log.Info("entry: rate shard given up", "shard", n, "epoch", s.owner.Epoch())
			s.drop()
			delete(o.shards, n)
			have = false
		}
		switch {
		case have:
			s.owner.SetLive(live, now)
		case ours:
			o.shards[n] = newRateShard(limit.NewOwner(a.Epoch(), o.options.lifetime, live, limit.WithWait(o.wait)))
			o.shards[n].setLimits(n, o.limits, now)
			o.options.log.Info("entry: rate shard taken over", "shard", n, "epoch", a.Epoch())
		}
	}
	o.recoverAll(now)
}

// setLimits follows the limits. Another number of shards moves teams between
// owners, so that every owner starts anew.
func (o *rateOwners) setLimits(l RateLimits, now time.Time) {
	if l.shards != o.limits.shards {
		if o.limits.shards > 0 {
			// An owner that has not learnt of the change may grant until its
			// lease ends, which is sooner than a lifetime.
			o.wait = 2 * o.options.lifetime
		}
		for n, s := range o.shards {
			s.drop()
			delete(o.shards, n)
		}
	}
	o.limits = l
	for n, s := range o.shards {
		s.setLimits(n, l, now)
	}
	o.follow(now)
}

// owned returns a shard that this host may act for at now.
func (o *rateOwners) owned(shard int, e ident.Epoch, now time.Time) (*rateShard, bool) {
	s, ok := o.shards[shard]
	if !ok || s.owner.Epoch() != e {
		return nil, false
	}
	epoch, ok := o.members.Owns(RateRole(shard), now)
	return s, ok && epoch == e
}

func (o *rateOwners) grant(m rateGrant, now time.Time) {
	r := m.request
	s, ok := o.owned(m.shard, r.Epoch(), now)
	if !ok {
		m.reply.Send(limit.AnswerTo(r, limit.NotOwner, rateTick))
		return
	}
	a := s.owner.Grant(r, now)
	recalling := a.Short(r) && o.recall(m, s, now)
	if c := s.recalls[r.Team()]; recalling && a.Status() == limit.Refused {
		c.waiting = append(c.waiting, m)
		return
	}
	m.reply.Send(a)
}

func (o *rateOwners) level(t ident.Team, now time.Time) rateLevel {
	s, ok := o.shards[limit.Shard(t, o.limits.shards)]
	if !ok {
		return rateLevel{}
	}
	level, unspent := s.owner.Level(t, now)
	return rateLevel{level: level, unspent: unspent, owned: true}
}

// recall asks the other holders of the team to hand their tokens back, unless
// they were asked lately, and reports whether answers of them are under way.
func (o *rateOwners) recall(m rateGrant, s *rateShard, now time.Time) bool {
	t := m.request.Team()
	if _, ok := s.recalls[t]; ok {
		return true
	}
	holders := s.owner.Recall(t, m.request.Holder(), now)
	if len(holders) == 0 {
		return false
	}
	s.recalls[t] = &rateRecall{open: len(holders)}
	for _, h := range holders {
		o.askHoldings(m.shard, s, h, t)
	}
	return true
}

// recoverAll asks the holders whose report is missing. A holder that did not
// answer is asked again at the next tick, until it is gone or its grants have
// expired.
func (o *rateOwners) recoverAll(now time.Time) {
	for n, s := range o.shards {
		if _, ok := o.owned(n, s.owner.Epoch(), now); !ok {
			continue
		}
		for _, h := range s.owner.Missing(now) {
			if _, under := s.asked[h]; !under {
				s.asked[h] = struct{}{}
				o.askHoldings(n, s, h, "")
			}
		}
	}
}

// askHoldings calls a holder in a goroutine, which passes the end of the call
// on.
func (o *rateOwners) askHoldings(shard int, s *rateShard, h limit.HolderID, t ident.Team) {
	m := rateReported{number: shard, shard: s, round: s.owner.Round(), holder: h, team: t}
	args := RateHoldingsArgs{
		Shard: shard, Shards: o.limits.shards, Epoch: uint64(s.owner.Epoch()), GiveBack: string(t),
	}
	tasks.Go(o.ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, o.options.recall)
		defer cancel()
		if err := o.peers.Call(ctx, h.Host(), methodHoldings, &args, &m.report); err != nil {
			m.err = fmt.Errorf("ask %s for holdings of shard %d: %w", h.Host(), shard, err)
		}
		o.self.Tell(m)
	})
}

func (o *rateOwners) reported(m rateReported, now time.Time) {
	s := m.shard
	if o.shards[m.number] != s {
		return
	}
	if m.err != nil {
		o.options.log.Debug("entry: rate holder did not report", "host", m.holder.Host(), "error", m.err)
	}
	r := m.report.holdings(s.owner.Epoch())
	valid := m.err == nil && !m.report.Fenced && r.Holder() == m.holder
	if m.team != "" {
		o.recalled(m, r, valid, now)
		return
	}
	delete(s.asked, m.holder)
	if valid {
		s.owner.Report(r, m.round, now)
	}
	if !s.served && s.owner.Complete(now) {
		s.served = true
		o.options.log.Info("entry: rate shard served", "shard", m.number, "epoch", s.owner.Epoch())
	}
}

// recalled takes the end of one call of a recall.
func (o *rateOwners) recalled(m rateReported, r limit.Holdings, valid bool, now time.Time) {
	if valid {
		// Round 0 completes nothing: the report is about one team only.
		m.shard.owner.Report(r, 0, now)
	}
	if _, ok := o.owned(m.number, m.shard.owner.Epoch(), now); !ok {
		m.shard.drop()
		return
	}
	m.shard.recalled(m.team, now)
}

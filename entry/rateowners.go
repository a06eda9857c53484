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

// RateOwners serves the rate shards that this entry host owns. It is safe for
// concurrent use.
type RateOwners struct {
	ref *tasks.Ref
}

// StartRateOwners starts the task. It owns no shard until Update and SetLimits
// have been called.
func StartRateOwners(ctx context.Context, system *tasks.System, peers *Peers, list ...RateOption) (*RateOwners, error) {
	o := newRateOptions(list)
	t := &rateOwnersTask{ctx: ctx, peers: peers, options: o, takeoverWait: o.lifetime, shards: map[int]*rateShard{}}
	ref, err := tasks.Spawn(ctx, system, "entry-rate-owners", t)
	if err != nil {
		return nil, fmt.Errorf("start rate owners: %w", err)
	}
	t.self = ref
	tasks.Every(ctx, o.clock, rateTickInterval, ref, rateTicked{})
	return &RateOwners{ref: ref}, nil
}

// Update sets the current members and roles.
func (o *RateOwners) Update(m Members) { o.ref.Tell(NewMembersChanged(m)) }

// SetLimits sets the rate limits of all teams.
func (o *RateOwners) SetLimits(l RateLimits) { o.ref.Tell(l) }

// Level returns the bucket level of a team and its granted but unspent tokens,
// for operators, and whether this host owns the team's shard.
func (o *RateOwners) Level(ctx context.Context, t ident.Team) (level float64, unspent int64, owned bool, err error) {
	v, err := tasks.Ask(ctx, o.ref, func(r tasks.Reply[rateLevel]) any { return rateLevelRequest{team: t, reply: r} })
	if err != nil {
		return 0, 0, false, fmt.Errorf("level of team %s: %w", t, err)
	}
	return v.level, v.unspent, v.owned, nil
}

// Stop stops the task.
func (o *RateOwners) Stop() { o.ref.Stop() }

// Done returns a channel that is closed when the task has stopped.
func (o *RateOwners) Done() <-chan struct{} { return o.ref.Done() }

// Err returns the panic that stopped the task, or nil. It is valid once Done
// is closed.
func (o *RateOwners) Err() error { return o.ref.Err() }

// RegisterRates registers the service Rates on a server. The owners serve
// Grant, the holder serves Holdings.
func RegisterRates(server *rpc.Server, owners *RateOwners, holder *RateHolder, list ...RateOption) error {
	s := &rateService{owners: owners, holder: holder, callTimeout: newRateOptions(list).callTimeout}
	if err := server.RegisterName("Rates", s); err != nil {
		return fmt.Errorf("register service Rates: %w", err)
	}
	return nil
}

// rateService passes RPC calls on to the tasks. net/rpc runs each call in a
// goroutine of its own.
type rateService struct {
	owners      *RateOwners
	holder      *RateHolder
	callTimeout time.Duration
}

// Grant serves a request for tokens.
func (s *rateService) Grant(args *RateGrantArgs, reply *RateGrantReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.callTimeout)
	defer cancel()
	request := args.request()
	response, err := tasks.Ask(ctx, s.owners.ref, func(r tasks.Reply[limit.Response]) any {
		return rateGrant{shard: args.Shard, request: request, reply: r}
	})
	if err != nil {
		return fmt.Errorf("grant tokens of team %s: %w", request.Team(), err)
	}
	*reply = grantReply(response)
	return nil
}

// Holdings reports the tokens that the holder of this host has.
func (s *rateService) Holdings(args *RateHoldingsArgs, reply *RateHoldingsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.callTimeout)
	defer cancel()
	report, err := s.holder.holdings(ctx, *args)
	if err != nil {
		return fmt.Errorf("report holdings of shard %d: %w", args.Shard, err)
	}
	*reply = report
	return nil
}

type (
	// rateGrant requests tokens from the owner of a shard.
	rateGrant struct {
		shard   int
		request limit.TokenRequest
		reply   tasks.Reply[limit.Response]
	}
	// rateLevelRequest requests the bucket level of a team.
	rateLevelRequest struct {
		team  ident.Team
		reply tasks.Reply[rateLevel]
	}
	rateLevel struct {
		level   float64
		unspent int64
		owned   bool
	}
	// rateHoldingsDone carries the result of a call of Rates.Holdings. The
	// team is empty unless the call is part of a recall.
	rateHoldingsDone struct {
		shardNumber int
		shard       *rateShard
		round       uint64
		holder      limit.HolderID
		team        ident.Team
		report      RateHoldingsReply
		err         error
	}
)

// rateOwnersTask is the task behind RateOwners.
type rateOwnersTask struct {
	ctx     context.Context
	self    *tasks.Ref
	peers   *Peers
	options rateOptions
	members Members
	limits  RateLimits
	// takeoverWait is how long a new owner waits for the reports of holders.
	takeoverWait time.Duration
	shards       map[int]*rateShard
}

var (
	_ tasks.Task    = (*rateOwnersTask)(nil)
	_ tasks.Stopper = (*rateOwnersTask)(nil)
)

// Handle implements tasks.Task.
func (o *rateOwnersTask) Handle(message any) {
	now := o.options.clock.Now()
	switch m := message.(type) {
	case rateGrant:
		o.grant(m, now)
	case rateLevelRequest:
		m.reply.Send(o.level(m.team, now))
	case rateHoldingsDone:
		o.holdingsDone(m, now)
	case rateTicked:
		o.requestMissingReports(now)
	case MembersChanged:
		o.members = m.Members()
		o.applyMembers(now)
	case RateLimits:
		o.setLimits(m, now)
	}
}

// Stop implements tasks.Stopper.
func (o *rateOwnersTask) Stop() {
	for _, s := range o.shards {
		s.rejectWaiting()
	}
}

// applyMembers takes over the shards that are newly assigned to this process
// and releases those that no longer are. A shard whose lease alone has expired
// is kept: there is no other owner until the view names one.
func (o *rateOwnersTask) applyMembers(now time.Time) {
	live := make([]limit.HolderID, 0, len(o.members.All()))
	for _, m := range o.members.All() {
		live = append(live, limit.NewHolderID(m.Host(), m.Incarnation()))
	}
	for n := range o.limits.shards {
		a, ok := o.members.Role(RateRole(n))
		ours := ok && a.Host() == o.members.Self() && a.Incarnation() == o.members.Incarnation()
		s, found := o.shards[n]
		if found && (!ours || s.owner.Epoch() != a.Epoch()) {
			o.options.log.Info("entry: released a rate shard", "shard", n, "epoch", s.owner.Epoch())
			s.rejectWaiting()
			delete(o.shards, n)
			found = false
		}
		switch {
		case found:
			s.owner.SetLive(live, now)
		case ours:
			o.shards[n] = newRateShard(limit.NewOwner(a.Epoch(), o.options.lifetime, live, limit.WithReportWait(o.takeoverWait)))
			o.shards[n].setLimits(n, o.limits, now)
			o.options.log.Info("entry: took over a rate shard", "shard", n, "epoch", a.Epoch())
		}
	}
	o.requestMissingReports(now)
}

// setLimits applies new limits. A change of the number of shards moves teams
// between owners, so all owners then start over.
func (o *rateOwnersTask) setLimits(l RateLimits, now time.Time) {
	if l.shards != o.limits.shards {
		if o.limits.shards > 0 {
			// An owner that does not know of the change yet may grant until
			// its lease expires, which takes less than one grant lifetime.
			o.takeoverWait = 2 * o.options.lifetime
		}
		for n, s := range o.shards {
			s.rejectWaiting()
			delete(o.shards, n)
		}
	}
	o.limits = l
	for n, s := range o.shards {
		s.setLimits(n, l, now)
	}
	o.applyMembers(now)
}

// activeShard returns a shard that this host may serve at now under the epoch.
func (o *rateOwnersTask) activeShard(shard int, e ident.Epoch, now time.Time) (*rateShard, bool) {
	s, ok := o.shards[shard]
	if !ok || s.owner.Epoch() != e {
		return nil, false
	}
	epoch, ok := o.members.Owns(RateRole(shard), now)
	return s, ok && epoch == e
}

func (o *rateOwnersTask) grant(m rateGrant, now time.Time) {
	r := m.request
	s, ok := o.activeShard(m.shard, r.Epoch(), now)
	if !ok {
		m.reply.Send(limit.ResponseTo(r, limit.NotOwner, rateTickInterval))
		return
	}
	response := s.owner.Grant(r, now)
	recalling := response.IsShort(r) && o.recall(m, s, now)
	if c := s.recalls[r.Team()]; recalling && response.Status() == limit.Refused {
		c.waiting = append(c.waiting, m)
		return
	}
	m.reply.Send(response)
}

func (o *rateOwnersTask) level(t ident.Team, now time.Time) rateLevel {
	s, ok := o.shards[limit.Shard(t, o.limits.shards)]
	if !ok {
		return rateLevel{}
	}
	level, unspent := s.owner.Level(t, now)
	return rateLevel{level: level, unspent: unspent, owned: true}
}

// recall asks the other holders of the team to return their tokens, unless
// they were asked recently, and reports whether such calls are in flight.
func (o *rateOwnersTask) recall(m rateGrant, s *rateShard, now time.Time) bool {
	t := m.request.Team()
	if _, ok := s.recalls[t]; ok {
		return true
	}
	holders := s.owner.Recall(t, m.request.Holder(), now)
	if len(holders) == 0 {
		return false
	}
	s.recalls[t] = &rateRecall{pending: len(holders)}
	for _, h := range holders {
		o.requestHoldings(m.shard, s, h, t)
	}
	return true
}

// requestMissingReports requests the reports that are still missing. A holder
// whose call failed is asked again at the next tick, until it is no longer a
// member or its grants have expired.
func (o *rateOwnersTask) requestMissingReports(now time.Time) {
	for n, s := range o.shards {
		if _, ok := o.activeShard(n, s.owner.Epoch(), now); !ok {
			continue
		}
		for _, h := range s.owner.MissingHolders(now) {
			if _, inFlight := s.reporting[h]; !inFlight {
				s.reporting[h] = struct{}{}
				o.requestHoldings(n, s, h, "")
			}
		}
	}
}

// requestHoldings calls Rates.Holdings of a holder in a goroutine, which sends
// the result to the task.
func (o *rateOwnersTask) requestHoldings(shard int, s *rateShard, h limit.HolderID, t ident.Team) {
	m := rateHoldingsDone{shardNumber: shard, shard: s, round: s.owner.ReportRound(), holder: h, team: t}
	args := RateHoldingsArgs{
		Shard: shard, Shards: o.limits.shards, Epoch: uint64(s.owner.Epoch()), GiveBack: string(t),
	}
	tasks.Go(o.ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, o.options.recallTimeout)
		defer cancel()
		if err := o.peers.Call(ctx, h.Host(), methodHoldings, &args, &m.report); err != nil {
			m.err = fmt.Errorf("request holdings from %s for shard %d: %w", h.Host(), shard, err)
		}
		o.self.Tell(m)
	})
}

func (o *rateOwnersTask) holdingsDone(m rateHoldingsDone, now time.Time) {
	s := m.shard
	if o.shards[m.shardNumber] != s {
		return
	}
	if m.err != nil {
		o.options.log.Debug("entry: call of the rate holder failed", "host", m.holder.Host(), "error", m.err)
	}
	r := m.report.holdings(s.owner.Epoch())
	valid := m.err == nil && !m.report.Fenced && r.Holder() == m.holder
	if m.team != "" {
		o.recallDone(m, r, valid, now)
		return
	}
	delete(s.reporting, m.holder)
	if valid {
		s.owner.ApplyHoldings(r, m.round, now)
	}
	if !s.recovered && s.owner.IsRecovered(now) {
		s.recovered = true
		o.options.log.Info("entry: rate shard recovered", "shard", m.shardNumber, "epoch", s.owner.Epoch())
	}
}

// recallDone handles the result of one call of a recall.
func (o *rateOwnersTask) recallDone(m rateHoldingsDone, r limit.Holdings, valid bool, now time.Time) {
	if valid {
		// Round 0 completes no recovery: the report covers one team only.
		m.shard.owner.ApplyHoldings(r, 0, now)
	}
	if _, ok := o.activeShard(m.shardNumber, m.shard.owner.Epoch(), now); !ok {
		m.shard.rejectWaiting()
		return
	}
	m.shard.recallDone(m.team, now)
}

package entry

import (
	"context"
	stderrors "errors"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
	"rhubarbrack/limit"
	"rhubarbrack/tasks"
)

// ErrRateRelease means that some tokens could not be handed back. They expire
// by themselves.
const ErrRateRelease = errors.ConstError("tokens not handed back")

// RateHolder spends the tokens of this entry host and asks the rate owners for
// more. It is safe for concurrent use.
type RateHolder struct {
	ref   *tasks.Ref
	calls time.Duration
}

// StartRateHolder starts the holder of the process with the given host and
// incarnation. It admits nothing before Update and SetLimits.
func StartRateHolder(ctx context.Context, system *tasks.System, peers *Peers,
	host ident.Host, incarnation ident.Incarnation, list ...RateOption,
) (*RateHolder, error) {
	o := newRateOptions(list)
	t := &rateHolder{
		ctx: ctx, peers: peers, options: o,
		holder: limit.NewHolder(limit.NewHolderID(host, incarnation),
			limit.WithLifetime(o.lifetime), limit.WithPatience(o.patience), limit.WithMaxWait(o.maxWait)),
		queues: map[ident.Team]*rateQueue{},
	}
	ref, err := tasks.Spawn(ctx, system, "entry-rate-holder", t)
	if err != nil {
		return nil, fmt.Errorf("start rate holder: %w", err)
	}
	t.self = ref
	tasks.Every(ctx, o.clock, rateTick, ref, rateTicked{})
	return &RateHolder{ref: ref, calls: o.call}, nil
}

// Update tells the holder which members and roles are current.
func (h *RateHolder) Update(m Members) { h.ref.Tell(NewMembersChanged(m)) }

// SetLimits tells the holder the limits of all teams.
func (h *RateHolder) SetLimits(l RateLimits) { h.ref.Tell(l) }

// Take asks whether a request of the team may run. It returns at once when
// this host has tokens, and otherwise waits for the owner, within ctx. When the
// request is not admitted, reason and retryAfter say why and when to try
// again. The error is that of ctx, or tasks.ErrStopped.
func (h *RateHolder) Take(ctx context.Context, t ident.Team) (admitted bool, retryAfter time.Duration, reason limit.Reason, err error) {
	v, err := tasks.Ask(ctx, h.ref, func(r tasks.Reply[limit.Verdict]) any {
		return rateTake{ctx: ctx, team: t, reply: r}
	})
	if err != nil {
		return false, 0, "", fmt.Errorf("take a token of team %s: %w", t, err)
	}
	return v.Admitted(), v.RetryAfter(), v.Reason(), nil
}

// Release hands all unspent tokens back, for a planned stop. Requests are
// refused from then on.
func (h *RateHolder) Release(ctx context.Context) error {
	results, err := tasks.Ask(ctx, h.ref, func(r tasks.Reply[<-chan error]) any { return rateRelease{reply: r} })
	if err != nil {
		return fmt.Errorf("release tokens: %w", err)
	}
	var list []error
	for e := range results {
		list = append(list, e)
	}
	if err := stderrors.Join(list...); err != nil {
		return fmt.Errorf("%w: %w", ErrRateRelease, err)
	}
	return nil
}

// Stop ends the holder.
func (h *RateHolder) Stop() { h.ref.Stop() }

// Done returns a channel that is closed when the holder has ended.
func (h *RateHolder) Done() <-chan struct{} { return h.ref.Done() }

// Err returns the panic that ended the holder, or nil. It is valid once Done
// is closed.
func (h *RateHolder) Err() error { return h.ref.Err() }

// holdings answers the call of a rate owner.
func (h *RateHolder) holdings(ctx context.Context, args RateHoldingsArgs) (RateHoldingsReply, error) {
	return tasks.Ask(ctx, h.ref, func(r tasks.Reply[RateHoldingsReply]) any { return rateHoldings{args: args, reply: r} })
}

type (
	// rateTake asks for one token.
	rateTake struct {
		ctx   context.Context
		team  ident.Team
		reply tasks.Reply[limit.Verdict]
	}
	// rateAnswered is the end of a call for tokens.
	rateAnswered struct {
		request limit.Request
		answer  limit.Answer
		err     error
	}
	// rateHoldings asks for a report.
	rateHoldings struct {
		args  RateHoldingsArgs
		reply tasks.Reply[RateHoldingsReply]
	}
	// rateRelease stops the holder and hands its tokens back.
	rateRelease struct{ reply tasks.Reply[<-chan error] }
	// rateTicked is sent at each rateTick.
	rateTicked struct{}
)

// rateHolder is the task behind RateHolder.
type rateHolder struct {
	ctx     context.Context
	self    *tasks.Ref
	peers   *Peers
	options rateOptions
	holder  *limit.Holder
	members Members
	queues  map[ident.Team]*rateQueue
}

var (
	_ tasks.Task    = (*rateHolder)(nil)
	_ tasks.Stopper = (*rateHolder)(nil)
)

// Handle implements tasks.Task.
func (h *rateHolder) Handle(message any) {
	now := h.options.clock.Now()
	switch m := message.(type) {
	case rateTake:
		h.take(m, now)
	case rateAnswered:
		h.answered(m, now)
	case rateHoldings:
		h.report(m, now)
	case rateTicked:
		h.serveAll(now)
	case MembersChanged:
		h.follow(m.Members(), now)
	case RateLimits:
		h.holder.SetLimits(m.limits, m.shards)
		h.setEpochs(now)
	case rateRelease:
		h.release(m, now)
	}
}

// Stop implements tasks.Stopper.
func (h *rateHolder) Stop() {
	for _, q := range h.queues {
		q.refuseAll(limit.Refuse(limit.ReasonStopping, h.options.maxWait))
	}
}

// follow takes over a view. A process that is no longer a member drops its
// tokens, because the owners do not count them any more.
func (h *rateHolder) follow(m Members, now time.Time) {
	h.members = m
	id := h.holder.ID()
	if self, ok := m.Member(id.Host()); !ok || self.Incarnation() != id.Incarnation() {
		h.holder.Drop()
	}
	h.setEpochs(now)
}

func (h *rateHolder) setEpochs(now time.Time) {
	for s := range h.holder.Shards() {
		if a, ok := h.members.Role(RateRole(s)); ok {
			h.holder.SetEpoch(s, a.Epoch(), now)
		}
	}
	h.serveAll(now)
}

func (h *rateHolder) take(m rateTake, now time.Time) {
	// A host without a fresh lease may be gone for the owners, which no
	// longer count the tokens it holds.
	if !h.members.Fresh(now) {
		m.reply.Send(limit.Refuse(limit.ReasonStale, rateTick))
		return
	}
	waiting := h.queue(m.team).len()
	v := h.holder.Arrive(m.team, now, waiting > 0)
	switch {
	case !v.Waits():
		m.reply.Send(v)
	case waiting >= h.options.queue:
		m.reply.Send(limit.Refuse(limit.ReasonQueueFull, rateTick))
		return
	default:
		h.enqueue(m, now)
	}
	h.ask(m.team, now)
}

func (h *rateHolder) queue(t ident.Team) *rateQueue { return h.queues[t] }

func (h *rateHolder) enqueue(m rateTake, now time.Time) {
	q, ok := h.queues[m.team]
	if !ok {
		q = &rateQueue{}
		h.queues[m.team] = q
	}
	q.push(rateWaiter{ctx: m.ctx, since: now, reply: m.reply})
}

// serve decides on the requests that wait, oldest first, until one has to go
// on waiting: those behind it arrived later.
func (h *rateHolder) serve(t ident.Team, now time.Time) {
	q := h.queue(t)
	for q.len() > 0 {
		w := q.first()
		if w.ctx.Err() == nil {
			v := h.verdict(t, w, now)
			if v.Waits() {
				break
			}
			w.reply.Send(v)
		}
		q.pop()
	}
	h.ask(t, now)
}

func (h *rateHolder) verdict(t ident.Team, w rateWaiter, now time.Time) limit.Verdict {
	if !h.members.Fresh(now) {
		return limit.Refuse(limit.ReasonStale, rateTick)
	}
	return h.holder.Take(t, now, w.since)
}

func (h *rateHolder) serveAll(now time.Time) {
	for t, q := range h.queues {
		q.dropEnded()
		h.serve(t, now)
		if q.len() == 0 {
			delete(h.queues, t)
		}
	}
	h.holder.Teams(func(t ident.Team) { h.ask(t, now) })
}

// ask sends the request that is due for a team, if any.
func (h *rateHolder) ask(t ident.Team, now time.Time) {
	shard := limit.Shard(t, h.holder.Shards())
	owner, ok := h.members.Role(RateRole(shard))
	if !ok || owner.Epoch() != h.holder.Epoch(shard) || !h.members.Fresh(now) {
		return
	}
	if request, ok := h.holder.Next(t, now, h.queue(t).len()); ok {
		h.send(owner.Host(), request, func(a limit.Answer, err error) {
			h.self.Tell(rateAnswered{request: request, answer: a, err: err})
		})
	}
}

// send calls an owner in a goroutine, which passes the end of the call on.
func (h *rateHolder) send(owner ident.Host, r limit.Request, end func(limit.Answer, error)) {
	args := requestRecord(r, limit.Shard(r.Team(), h.holder.Shards()))
	tasks.Go(h.ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, h.options.call)
		defer cancel()
		var reply RateGrantReply
		if err := h.peers.Call(ctx, owner, methodGrant, &args, &reply); err != nil {
			end(limit.Answer{}, fmt.Errorf("ask for tokens of team %s: %w", r.Team(), err))
			return
		}
		end(reply.answer(r), nil)
	})
}

func (h *rateHolder) answered(m rateAnswered, now time.Time) {
	if m.err != nil {
		h.options.log.Debug("entry: rate owner did not answer", "team", m.request.Team(), "error", m.err)
		h.holder.Abandon(m.request, now)
	} else {
		h.holder.Accept(m.answer, now)
	}
	h.serve(m.request.Team(), now)
}

func (h *rateHolder) report(m rateHoldings, now time.Time) {
	a := m.args
	r, ok := h.holder.Holdings(a.Shard, a.Shards, ident.Epoch(a.Epoch), ident.Team(a.GiveBack), now)
	if !ok {
		m.reply.Send(RateHoldingsReply{Fenced: true})
		return
	}
	m.reply.Send(reportRecord(r))
}

// release refuses the requests that wait, and returns a channel that delivers
// the failures and is closed when every owner was told.
func (h *rateHolder) release(m rateRelease, now time.Time) {
	requests := h.holder.Release(now)
	h.serveAll(now)
	results := make(chan error, len(requests))
	var open sync.WaitGroup
	for _, r := range requests {
		owner, ok := h.members.Role(RateRole(limit.Shard(r.Team(), h.holder.Shards())))
		if !ok {
			results <- fmt.Errorf("team %s: %w", r.Team(), ErrNoPeer)
			continue
		}
		open.Add(1)
		h.send(owner.Host(), r, func(_ limit.Answer, err error) {
			if err != nil {
				results <- err
			}
			open.Done()
		})
	}
	go func() {
		open.Wait()
		close(results)
	}()
	m.reply.Send(results)
}

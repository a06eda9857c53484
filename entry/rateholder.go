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

// ErrRateRelease means that some tokens could not be returned to their owners.
// They expire on their own.
const ErrRateRelease = errors.ConstError("tokens not returned")

// RateHolder admits requests with the rate tokens that this entry host holds
// and requests more tokens from the rate owners. It is safe for concurrent
// use.
type RateHolder struct {
	ref         *tasks.Ref
	callTimeout time.Duration
}

// StartRateHolder starts the holder of the process with the given host and
// incarnation. It admits nothing until Update and SetLimits have been called.
func StartRateHolder(ctx context.Context, system *tasks.System, peers *Peers,
	host ident.Host, incarnation ident.Incarnation, list ...RateOption,
) (*RateHolder, error) {
	o := newRateOptions(list)
	t := &rateHolderTask{
		ctx: ctx, peers: peers, options: o,
		holder: limit.NewHolder(limit.NewHolderID(host, incarnation),
			limit.WithLifetime(o.lifetime), limit.WithRefillWait(o.refillTimeout), limit.WithMaxWait(o.maxWait)),
		queues: map[ident.Team]*rateQueue{},
	}
	ref, err := tasks.Spawn(ctx, system, "entry-rate-holder", t)
	if err != nil {
		return nil, fmt.Errorf("start rate holder: %w", err)
	}
	t.self = ref
	tasks.Every(ctx, o.clock, rateTickInterval, ref, rateTicked{})
	return &RateHolder{ref: ref, callTimeout: o.callTimeout}, nil
}

// Update sets the current members and roles.
func (h *RateHolder) Update(m Members) { h.ref.Tell(NewMembersChanged(m)) }

// SetLimits sets the rate limits of all teams.
func (h *RateHolder) SetLimits(l RateLimits) { h.ref.Tell(l) }

// Take takes one token for a request of the team. It returns at once when this
// host holds tokens and otherwise waits for the owner, at most until ctx ends.
// When the request is not admitted, reason and retryAfter tell why and when to
// retry. The error is that of ctx, or tasks.ErrStopped.
func (h *RateHolder) Take(ctx context.Context, t ident.Team) (admitted bool, retryAfter time.Duration, reason limit.Reason, err error) {
	d, err := tasks.Ask(ctx, h.ref, func(r tasks.Reply[limit.Decision]) any {
		return rateTake{ctx: ctx, team: t, reply: r}
	})
	if err != nil {
		return false, 0, "", fmt.Errorf("take a token of team %s: %w", t, err)
	}
	return d.Admitted(), d.RetryAfter(), d.Reason(), nil
}

// Release returns all unspent tokens to their owners before a planned stop.
// All later requests are refused.
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

// Stop stops the holder.
func (h *RateHolder) Stop() { h.ref.Stop() }

// Done returns a channel that is closed when the holder has stopped.
func (h *RateHolder) Done() <-chan struct{} { return h.ref.Done() }

// Err returns the panic that stopped the holder, or nil. It is valid once Done
// is closed.
func (h *RateHolder) Err() error { return h.ref.Err() }

// holdings serves the call Rates.Holdings of a rate owner.
func (h *RateHolder) holdings(ctx context.Context, args RateHoldingsArgs) (RateHoldingsReply, error) {
	return tasks.Ask(ctx, h.ref, func(r tasks.Reply[RateHoldingsReply]) any { return rateHoldingsRequest{args: args, reply: r} })
}

type (
	// rateTake requests one token for an incoming request.
	rateTake struct {
		ctx   context.Context
		team  ident.Team
		reply tasks.Reply[limit.Decision]
	}
	// rateGrantDone carries the result of a call of Rates.Grant.
	rateGrantDone struct {
		request  limit.TokenRequest
		response limit.Response
		err      error
	}
	// rateHoldingsRequest requests a report of the tokens held.
	rateHoldingsRequest struct {
		args  RateHoldingsArgs
		reply tasks.Reply[RateHoldingsReply]
	}
	// rateRelease stops admissions and returns the unspent tokens.
	rateRelease struct{ reply tasks.Reply[<-chan error] }
	// rateTicked is sent every rateTickInterval.
	rateTicked struct{}
)

// rateHolderTask is the task behind RateHolder.
type rateHolderTask struct {
	ctx     context.Context
	self    *tasks.Ref
	peers   *Peers
	options rateOptions
	holder  *limit.Holder
	members Members
	queues  map[ident.Team]*rateQueue
}

var (
	_ tasks.Task    = (*rateHolderTask)(nil)
	_ tasks.Stopper = (*rateHolderTask)(nil)
)

// Handle implements tasks.Task.
func (h *rateHolderTask) Handle(message any) {
	now := h.options.clock.Now()
	switch m := message.(type) {
	case rateTake:
		h.take(m, now)
	case rateGrantDone:
		h.grantDone(m, now)
	case rateHoldingsRequest:
		h.reportHoldings(m, now)
	case rateTicked:
		h.serveQueues(now)
	case MembersChanged:
		h.applyMembers(m.Members(), now)
	case RateLimits:
		h.holder.SetLimits(m.limits, m.shards)
		h.setEpochs(now)
	case rateRelease:
		h.release(m, now)
	}
}

// Stop implements tasks.Stopper.
func (h *rateHolderTask) Stop() {
	for _, q := range h.queues {
		q.refuseAll(limit.Refuse(limit.ReasonStopping, h.options.maxWait))
	}
}

// applyMembers applies a new membership. A process that is no longer a member
// drops its tokens, because the owners no longer count them.
func (h *rateHolderTask) applyMembers(m Members, now time.Time) {
	h.members = m
	id := h.holder.ID()
	if self, ok := m.Member(id.Host()); !ok || self.Incarnation() != id.Incarnation() {
		h.holder.DropTokens()
	}
	h.setEpochs(now)
}

func (h *rateHolderTask) setEpochs(now time.Time) {
	for s := range h.holder.Shards() {
		if a, ok := h.members.Role(RateRole(s)); ok {
			h.holder.SetEpoch(s, a.Epoch(), now)
		}
	}
	h.serveQueues(now)
}

func (h *rateHolderTask) take(m rateTake, now time.Time) {
	// A host whose lease has expired may no longer be a member for the
	// owners, which then no longer count its tokens.
	if !h.members.Fresh(now) {
		m.reply.Send(limit.Refuse(limit.ReasonStale, rateTickInterval))
		return
	}
	waiting := h.queue(m.team).len()
	decision := h.holder.Admit(m.team, now, waiting > 0)
	switch {
	case !decision.MustWait():
		m.reply.Send(decision)
	case waiting >= h.options.maxQueue:
		m.reply.Send(limit.Refuse(limit.ReasonQueueFull, rateTickInterval))
		return
	default:
		h.enqueue(m, now)
	}
	h.requestTokens(m.team, now)
}

func (h *rateHolderTask) queue(t ident.Team) *rateQueue { return h.queues[t] }

func (h *rateHolderTask) enqueue(m rateTake, now time.Time) {
	q, ok := h.queues[m.team]
	if !ok {
		q = &rateQueue{}
		h.queues[m.team] = q
	}
	q.push(rateWaiter{ctx: m.ctx, since: now, reply: m.reply})
}

// serveQueue decides the waiting requests of a team, oldest first, and stops
// at the first one that must keep waiting: those behind it arrived later.
func (h *rateHolderTask) serveQueue(t ident.Team, now time.Time) {
	q := h.queue(t)
	for q.len() > 0 {
		w := q.first()
		if w.ctx.Err() == nil {
			decision := h.decide(t, w, now)
			if decision.MustWait() {
				break
			}
			w.reply.Send(decision)
		}
		q.pop()
	}
	h.requestTokens(t, now)
}

// decide returns the decision for a waiting request.
func (h *rateHolderTask) decide(t ident.Team, w rateWaiter, now time.Time) limit.Decision {
	if !h.members.Fresh(now) {
		return limit.Refuse(limit.ReasonStale, rateTickInterval)
	}
	return h.holder.TryTake(t, now, w.since)
}

func (h *rateHolderTask) serveQueues(now time.Time) {
	for t, q := range h.queues {
		q.dropCancelled()
		h.serveQueue(t, now)
		if q.len() == 0 {
			delete(h.queues, t)
		}
	}
	h.holder.ForEachTeam(func(t ident.Team) { h.requestTokens(t, now) })
}

// requestTokens sends the request for tokens that is due for a team, if any.
func (h *rateHolderTask) requestTokens(t ident.Team, now time.Time) {
	shard := limit.Shard(t, h.holder.Shards())
	owner, ok := h.members.Role(RateRole(shard))
	if !ok || owner.Epoch() != h.holder.Epoch(shard) || !h.members.Fresh(now) {
		return
	}
	if request, ok := h.holder.NextRequest(t, now, h.queue(t).len()); ok {
		h.callOwner(owner.Host(), request, func(response limit.Response, err error) {
			h.self.Tell(rateGrantDone{request: request, response: response, err: err})
		})
	}
}

// callOwner calls Rates.Grant of an owner in a goroutine and passes the result
// to done.
func (h *rateHolderTask) callOwner(owner ident.Host, r limit.TokenRequest, done func(limit.Response, error)) {
	args := grantArgs(r, limit.Shard(r.Team(), h.holder.Shards()))
	tasks.Go(h.ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, h.options.callTimeout)
		defer cancel()
		var reply RateGrantReply
		if err := h.peers.Call(ctx, owner, methodGrant, &args, &reply); err != nil {
			done(limit.Response{}, fmt.Errorf("request tokens of team %s: %w", r.Team(), err))
			return
		}
		done(reply.response(r), nil)
	})
}

func (h *rateHolderTask) grantDone(m rateGrantDone, now time.Time) {
	if m.err != nil {
		h.options.log.Debug("entry: call of the rate owner failed", "team", m.request.Team(), "error", m.err)
		h.holder.AbandonRequest(m.request, now)
	} else {
		h.holder.HandleResponse(m.response, now)
	}
	h.serveQueue(m.request.Team(), now)
}

func (h *rateHolderTask) reportHoldings(m rateHoldingsRequest, now time.Time) {
	a := m.args
	r, ok := h.holder.Holdings(a.Shard, a.Shards, ident.Epoch(a.Epoch), ident.Team(a.GiveBack), now)
	if !ok {
		m.reply.Send(RateHoldingsReply{Fenced: true})
		return
	}
	m.reply.Send(holdingsReply(r))
}

// release refuses the waiting requests and returns the unspent tokens. It
// replies with a channel that delivers the errors and is closed when all calls
// of owners have ended.
func (h *rateHolderTask) release(m rateRelease, now time.Time) {
	requests := h.holder.Release(now)
	h.serveQueues(now)
	results := make(chan error, len(requests))
	var open sync.WaitGroup
	for _, r := range requests {
		owner, ok := h.members.Role(RateRole(limit.Shard(r.Team(), h.holder.Shards())))
		if !ok {
			results <- fmt.Errorf("team %s: %w", r.Team(), ErrNoPeer)
			continue
		}
		open.Add(1)
		h.callOwner(owner.Host(), r, func(_ limit.Response, err error) {
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

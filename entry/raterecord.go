package entry

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/limit"
)

const (
	methodGrant    = "Rates.Grant"
	methodHoldings = "Rates.Holdings"
)

// RateGrantArgs is the argument of the call Rates.Grant.
type RateGrantArgs struct {
	Shard       int
	Host        string
	Incarnation uint64
	Epoch       uint64
	Sequence    uint64
	Holding     RateHolding
	Burst       float64
	Need        int64
	Ahead       int64
}

// RateGrantReply is the result of the call Rates.Grant.
type RateGrantReply struct {
	Status     string
	Tokens     int64
	Burst      float64
	RetryAfter time.Duration
}

// RateHolding is the part of a report about one team.
type RateHolding struct {
	Team  string
	Spent int64
	Held  int64
	Open  uint64
}

// RateHoldingsArgs is the argument of the call Rates.Holdings. GiveBack names
// the team whose unspent tokens must be returned. When it is empty, the report
// covers all teams of the shard.
type RateHoldingsArgs struct {
	Shard    int
	Shards   int
	Epoch    uint64
	GiveBack string
}

// RateHoldingsReply is the result of the call Rates.Holdings. Fenced means
// that the holder knows a later epoch, or a different number of shards, and
// reports nothing.
type RateHoldingsReply struct {
	Fenced      bool
	Host        string
	Incarnation uint64
	Sequence    uint64
	Teams       []RateHolding
}

func grantArgs(r limit.TokenRequest, shard int) RateGrantArgs {
	return RateGrantArgs{
		Shard:       shard,
		Host:        string(r.Holder().Host()),
		Incarnation: uint64(r.Holder().Incarnation()),
		Epoch:       uint64(r.Epoch()),
		Sequence:    r.Sequence(),
		Holding:     holdingRecord(r.Holding()),
		Burst:       r.Burst(),
		Need:        r.Needed(),
		Ahead:       r.Prefetch(),
	}
}

func (r *RateGrantArgs) request() limit.TokenRequest {
	return limit.NewTokenRequest(limit.NewHolderID(ident.Host(r.Host), ident.Incarnation(r.Incarnation)),
		ident.Epoch(r.Epoch), r.Sequence, r.Holding.holding(), r.Burst, r.Need, r.Ahead)
}

func holdingRecord(h limit.Holding) RateHolding {
	return RateHolding{Team: string(h.Team()), Spent: h.Spent(), Held: h.Held(), Open: h.Open()}
}

func (r RateHolding) holding() limit.Holding {
	return limit.NewHolding(ident.Team(r.Team), r.Spent, r.Held, r.Open)
}

func grantReply(r limit.Response) RateGrantReply {
	return RateGrantReply{Status: string(r.Status()), Tokens: r.Tokens(), Burst: r.Burst(), RetryAfter: r.RetryAfter()}
}

func (r RateGrantReply) response(q limit.TokenRequest) limit.Response {
	return limit.NewResponse(q.Team(), q.Epoch(), q.Sequence(), limit.Status(r.Status), r.Tokens, r.Burst, r.RetryAfter)
}

func holdingsReply(h limit.Holdings) RateHoldingsReply {
	r := RateHoldingsReply{
		Host:        string(h.Holder().Host()),
		Incarnation: uint64(h.Holder().Incarnation()),
		Sequence:    h.Sequence(),
		Teams:       make([]RateHolding, len(h.Teams())),
	}
	for i, t := range h.Teams() {
		r.Teams[i] = holdingRecord(t)
	}
	return r
}

func (r *RateHoldingsReply) holdings(e ident.Epoch) limit.Holdings {
	list := make([]limit.Holding, len(r.Teams))
	for i, t := range r.Teams {
		list[i] = t.holding()
	}
	id := limit.NewHolderID(ident.Host(r.Host), ident.Incarnation(r.Incarnation))
	return limit.NewHoldings(id, e, r.Sequence, list)
}

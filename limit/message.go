package limit

import (
	"time"

	"rhubarbrack/ident"
)

// Holding is what a holder reports of one team.
type Holding struct {
	team  ident.Team
	spent int64
	held  int64
	open  uint64
}

// NewHolding returns the report that, in the current epoch, the holder spent
// spent tokens of the team in total and has held left. Open is the sequence
// number of the request whose answer the holder still awaits and would
// accept, or 0.
func NewHolding(t ident.Team, spent, held int64, open uint64) Holding {
	return Holding{team: t, spent: spent, held: held, open: open}
}

// Team returns the team of the tokens.
func (h Holding) Team() ident.Team { return h.team }

// Spent returns the tokens spent since the start of the epoch.
func (h Holding) Spent() int64 { return h.spent }

// Held returns the unspent tokens.
func (h Holding) Held() int64 { return h.held }

// Open returns the sequence number of the request under way, or 0.
func (h Holding) Open() uint64 { return h.open }

// Holdings is a report of everything that a holder has of one shard.
type Holdings struct {
	holder   HolderID
	epoch    ident.Epoch
	sequence uint64
	teams    []Holding
}

// NewHoldings returns a report to the owner of the given epoch. Sequence
// orders the reports and requests of a holder.
func NewHoldings(h HolderID, e ident.Epoch, sequence uint64, teams []Holding) Holdings {
	return Holdings{holder: h, epoch: e, sequence: sequence, teams: teams}
}

// Holder returns the reporting holder.
func (h Holdings) Holder() HolderID { return h.holder }

// Epoch returns the epoch of the owner that the report is for.
func (h Holdings) Epoch() ident.Epoch { return h.epoch }

// Sequence returns the position among the holder's reports and requests.
func (h Holdings) Sequence() uint64 { return h.sequence }

// Teams returns the reports. The caller must not change them.
func (h Holdings) Teams() []Holding { return h.teams }

// TokenRequest asks an owner for tokens of one team, and reports on it.
type TokenRequest struct {
	holder   HolderID
	epoch    ident.Epoch
	sequence uint64
	holding  Holding
	burst    float64
	need     int64
	ahead    int64
}

// NewTokenRequest returns a request for need tokens, for requests that wait, and up
// to ahead more. Burst is the burst that the holder knows for the team.
func NewTokenRequest(h HolderID, e ident.Epoch, sequence uint64, holding Holding, burst float64, need, ahead int64) TokenRequest {
	return TokenRequest{
		holder: h, epoch: e, sequence: sequence, holding: holding,
		burst: burst, need: need, ahead: ahead,
	}
}

// Holder returns the asking holder.
func (r TokenRequest) Holder() HolderID { return r.holder }

// Epoch returns the epoch of the owner that is asked.
func (r TokenRequest) Epoch() ident.Epoch { return r.epoch }

// Sequence returns the position among the holder's reports and requests.
func (r TokenRequest) Sequence() uint64 { return r.sequence }

// Team returns the team that needs tokens.
func (r TokenRequest) Team() ident.Team { return r.holding.team }

// Holding returns the report on the team.
func (r TokenRequest) Holding() Holding { return r.holding }

// Burst returns the burst that the holder knows for the team.
func (r TokenRequest) Burst() float64 { return r.burst }

// Needed returns the tokens that waiting requests need.
func (r TokenRequest) Needed() int64 { return r.need }

// Prefetch returns the tokens asked for ahead of need.
func (r TokenRequest) Prefetch() int64 { return r.ahead }

// Response is an owner's answer to a request.
type Response struct {
	team       ident.Team
	epoch      ident.Epoch
	sequence   uint64
	status     Status
	tokens     int64
	burst      float64
	retryAfter time.Duration
}

// NewResponse returns the answer to the request with the given team, epoch and
// sequence number. Burst is the one that the owner granted under; retryAfter
// says when to ask again.
func NewResponse(t ident.Team, e ident.Epoch, sequence uint64, s Status, tokens int64,
	burst float64, retryAfter time.Duration,
) Response {
	return Response{
		team: t, epoch: e, sequence: sequence, status: s,
		tokens: tokens, burst: burst, retryAfter: retryAfter,
	}
}

// ResponseTo returns an answer without tokens to a request.
func ResponseTo(r TokenRequest, s Status, retryAfter time.Duration) Response {
	return NewResponse(r.Team(), r.epoch, r.sequence, s, 0, 0, retryAfter)
}

// Team returns the team that the answer is about.
func (a Response) Team() ident.Team { return a.team }

// Epoch returns the epoch of the request.
func (a Response) Epoch() ident.Epoch { return a.epoch }

// Sequence returns the sequence number of the request.
func (a Response) Sequence() uint64 { return a.sequence }

// Status returns the kind of the answer.
func (a Response) Status() Status { return a.status }

// Tokens returns the tokens granted.
func (a Response) Tokens() int64 { return a.tokens }

// IsShort reports whether a request that needed tokens got too few, so that it is
// worth recalling tokens of other holders.
func (a Response) IsShort(r TokenRequest) bool {
	return a.status == Refused || a.status == Granted && a.tokens < r.need
}

// Burst returns the burst that the tokens were granted under.
func (a Response) Burst() float64 { return a.burst }

// RetryAfter returns when to ask again, counted from the answer.
func (a Response) RetryAfter() time.Duration { return a.retryAfter }

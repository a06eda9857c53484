package limit

import (
	"time"

	"rhubarbrack/ident"
)

// Holding is a holder's report of its tokens of one team.
type Holding struct {
	team  ident.Team
	spent int64
	held  int64
	open  uint64
}

// NewHolding returns a report of the tokens of a team: the total spent since the
// start of the holder's process and the unspent ones held. Open is the sequence
// number of the token request in flight, whose response the holder would
// accept, or 0.
func NewHolding(t ident.Team, spent, held int64, open uint64) Holding {
	return Holding{team: t, spent: spent, held: held, open: open}
}

// Team returns the team that the tokens are for.
func (h Holding) Team() ident.Team { return h.team }

// Spent returns the tokens spent since the start of the holder's process.
func (h Holding) Spent() int64 { return h.spent }

// Held returns the unspent tokens.
func (h Holding) Held() int64 { return h.held }

// Open returns the sequence number of the token request in flight, or 0.
func (h Holding) Open() uint64 { return h.open }

// Holdings is a holder's report of its tokens of all teams of one shard.
type Holdings struct {
	holder   HolderID
	epoch    ident.Epoch
	sequence uint64
	teams    []Holding
}

// NewHoldings returns a report to the owner of the given epoch. The sequence
// number increases with each report or request of a holder.
func NewHoldings(h HolderID, e ident.Epoch, sequence uint64, teams []Holding) Holdings {
	return Holdings{holder: h, epoch: e, sequence: sequence, teams: teams}
}

// Holder returns the reporting holder.
func (h Holdings) Holder() HolderID { return h.holder }

// Epoch returns the epoch of the owner that the report is for.
func (h Holdings) Epoch() ident.Epoch { return h.epoch }

// Sequence returns the position among the holder's reports and requests.
func (h Holdings) Sequence() uint64 { return h.sequence }

// Teams returns the reports by team. The caller must not change them.
func (h Holdings) Teams() []Holding { return h.teams }

// TokenRequest requests tokens of one team from an owner, and reports the
// tokens that the holder has.
type TokenRequest struct {
	holder   HolderID
	epoch    ident.Epoch
	sequence uint64
	holding  Holding
	burst    float64
	needed   int64
	prefetch int64
}

// NewTokenRequest returns a request for the tokens needed by waiting requests
// and for up to prefetch more. Burst is the burst that the holder knows for the
// team.
func NewTokenRequest(h HolderID, e ident.Epoch, sequence uint64, holding Holding, burst float64, needed, prefetch int64) TokenRequest {
	return TokenRequest{
		holder: h, epoch: e, sequence: sequence, holding: holding,
		burst: burst, needed: needed, prefetch: prefetch,
	}
}

// Holder returns the requesting holder.
func (r TokenRequest) Holder() HolderID { return r.holder }

// Epoch returns the epoch of the owner that the request is for.
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
func (r TokenRequest) Needed() int64 { return r.needed }

// Prefetch returns the tokens requested in advance.
func (r TokenRequest) Prefetch() int64 { return r.prefetch }

// Response is an owner's response to a token request.
type Response struct {
	team       ident.Team
	epoch      ident.Epoch
	sequence   uint64
	status     Status
	tokens     int64
	burst      float64
	retryAfter time.Duration
}

// NewResponse returns the response to the request with the given team, epoch
// and sequence number. Burst is the one under which the owner granted the
// tokens; retryAfter is the delay before the next request.
func NewResponse(t ident.Team, e ident.Epoch, sequence uint64, s Status, tokens int64,
	burst float64, retryAfter time.Duration,
) Response {
	return Response{
		team: t, epoch: e, sequence: sequence, status: s,
		tokens: tokens, burst: burst, retryAfter: retryAfter,
	}
}

// ResponseTo returns a response without tokens to a request.
func ResponseTo(r TokenRequest, s Status, retryAfter time.Duration) Response {
	return NewResponse(r.Team(), r.epoch, r.sequence, s, 0, 0, retryAfter)
}

// Team returns the team that the tokens are for.
func (r Response) Team() ident.Team { return r.team }

// Epoch returns the epoch of the request.
func (r Response) Epoch() ident.Epoch { return r.epoch }

// Sequence returns the sequence number of the request.
func (r Response) Sequence() uint64 { return r.sequence }

// Status returns the kind of the response.
func (r Response) Status() Status { return r.status }

// Tokens returns the tokens granted.
func (r Response) Tokens() int64 { return r.tokens }

// IsShort reports whether a request got fewer tokens than it needed, so that it
// is worth recalling tokens of other holders.
func (r Response) IsShort(to TokenRequest) bool {
	return r.status == Refused || r.status == Granted && r.tokens < to.needed
}

// Burst returns the burst that the tokens were granted under.
func (r Response) Burst() float64 { return r.burst }

// RetryAfter returns the delay before the next request, counted from the
// arrival of the response.
func (r Response) RetryAfter() time.Duration { return r.retryAfter }

package admit

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
)

// Request is what a decision needs to know of a caller's request.
type Request struct {
	id       ident.RequestID
	host     string
	path     string
	key      string
	object   string
	patience time.Duration
}

// NewRequest returns a request. The key and the object are empty when the
// caller sent none. The patience is how long the caller waits for an answer,
// or 0 when it did not say.
func NewRequest(id ident.RequestID, host, path, key, object string, patience time.Duration) Request {
	return Request{id: id, host: host, path: path, key: key, object: object, patience: patience}
}

// ID returns the name of the request.
func (r Request) ID() ident.RequestID { return r.id }

// Reason tells why a request was refused.
type Reason string

const (
	// NotReady refuses requests while the host knows no configuration.
	NotReady Reason = "not-ready"
	// NoRoute refuses a host name or path without a route.
	NoRoute Reason = "no-route"
	// NoKey refuses a request without a key on a route that needs one.
	NoKey Reason = "no-key"
	// UnknownKey refuses a key that no team holds.
	UnknownKey Reason = "unknown-key"
	// OverRate refuses what exceeds the rate of the team.
	OverRate Reason = "over-rate"
	// NoTarget refuses a request for which no target is known.
	NoTarget Reason = "no-target"
	// NoRoom refuses a request when all targets are full.
	NoRoom Reason = "no-room"
	// OutOfTime refuses a request whose time is over.
	OutOfTime Reason = "out-of-time"
	// Crashing refuses a request that has crashed several targets.
	Crashing Reason = "crashing"
	// NoBudget ends a request that may not be sent once more.
	NoBudget Reason = "no-budget"
	// NoAttempts ends a request that has used all its attempts.
	NoAttempts Reason = "no-attempts"
)

// RequestState is a request that was admitted. It belongs to the caller's handler
// and goes back to the desk with each further question.
type RequestState struct {
	request  Request
	route    *scheme.Route
	split    *split
	team     ident.Team
	homes    []ident.Region
	service  ident.Service
	priority int
	arrived  time.Time
	deadline time.Time
	tried    []ident.Target
	sends    int
	version  uint64
	rate     float64
	burst    float64
}

// Route returns the route of the request.
func (t *RequestState) Route() *scheme.Route { return t.route }

// Team returns the team whose key came with the request, or "".
func (t *RequestState) Team() ident.Team { return t.team }

// Service returns the service that the request goes to.
func (t *RequestState) Service() ident.Service { return t.service }

// Deadline returns when the caller or the route gives the request up.
func (t *RequestState) Deadline() time.Time { return t.deadline }

// Arrived returns when the request arrived.
func (t *RequestState) Arrived() time.Time { return t.arrived }

// ConfigVersion returns the version of the configuration that decided.
func (t *RequestState) ConfigVersion() uint64 { return t.version }

// Attempts returns how often the request was sent.
func (t *RequestState) Attempts() int { return t.sends }

// RateLimit returns the rate and the burst of the team.
func (t *RequestState) RateLimit() (rate, burst float64) { return t.rate, t.burst }

// ID returns the name of the request.
func (t *RequestState) ID() ident.RequestID { return t.request.id }

// Decision says what happens to a request next: it is sent to the target of
// the choice, or refused.
type Decision struct {
	ticket *RequestState
	choice spread.Choice
	reason Reason
	after  time.Duration
	borrow bool
}

// CanRequestToken reports whether a request over the host's share of the team's
// rate should ask for a token of the reserve, see Desk.Paid.
func (d Decision) CanRequestToken() bool { return d.borrow }

// State returns the admitted request, or nil when it was refused at once.
func (d Decision) State() *RequestState { return d.ticket }

// Choice returns the target of the send. It is valid unless the request is
// refused.
func (d Decision) Choice() spread.Choice { return d.choice }

// Refused returns the reason of a refusal.
func (d Decision) Refused() (Reason, bool) { return d.reason, d.reason != "" }

// RetryAfter returns the time after which a refused request may succeed, or 0 when
// it is of no use to come back.
func (d Decision) RetryAfter() time.Duration { return d.after }

// WithRefusal returns the decision to end the request for the given reason.
func (d Decision) WithRefusal(reason Reason) Decision {
	d.reason, d.after = reason, firstWait
	return d
}

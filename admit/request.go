package admit

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/reach"
	"rhubarbrack/scheme"
	"rhubarbrack/spread"
)

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	id      ident.RequestID
	host    string
	path    string
	key     string
	object  string
	timeout time.Duration
	terms   ident.Option[Terms]
}

// NewRequest returns a request. The key and the object are empty if the caller
// sent none. The timeout is how long the caller waits for a response, or 0 if
// it is unknown.
func NewRequest(id ident.RequestID, host, path, key, object string, timeout time.Duration) Request {
	return Request{id: id, host: host, path: path, key: key, object: object, timeout: timeout}
}

// Timeout returns how long the caller waits for a response, or 0 if it is unknown.
func (r Request) Timeout() time.Duration { return r.timeout }

// NewForwardedRequest returns a request that another entry host has admitted on
// the given terms.
func NewForwardedRequest(id ident.RequestID, terms Terms, timeout time.Duration) Request {
	return Request{id: id, timeout: timeout, terms: ident.Some(terms)}
}

// ID returns the request ID.
func (r Request) ID() ident.RequestID { return r.id }

// Reason is the reason for which a request was refused.
type Reason string

const (
	// NotReady means that the host has no configuration yet or is shutting
	// down.
	NotReady Reason = "not-ready"
	// NoRoute means that no route matches the host name and path.
	NoRoute Reason = "no-route"
	// NoKey means that the route requires a key and the request has none.
	NoKey Reason = "no-key"
	// UnknownKey means that the key belongs to no team.
	UnknownKey Reason = "unknown-key"
	// OverRate means that the team exceeds its rate.
	OverRate Reason = "over-rate"
	// NoTarget means that no eligible target is known.
	NoTarget Reason = "no-target"
	// NoRoom means that all eligible targets are full.
	NoRoom Reason = "no-room"
	// OutOfTime means that the deadline has passed or is too close.
	OutOfTime Reason = "out-of-time"
	// Crashing means that the request has crashed several targets.
	Crashing Reason = "crashing"
	// NoBudget means that the retry budget of the service is exhausted.
	NoBudget Reason = "no-budget"
	// NoAttempts means that the request must not be attempted again: all
	// attempts are used, or it may have run and must not run twice.
	NoAttempts Reason = "no-attempts"
)

// RequestState is the state of a request across its attempts. It belongs to
// the request handler, which passes it to the controller with each further
// call.
type RequestState struct {
	request  Request
	route    *scheme.Route
	balancer *roundRobin
	team     ident.Team
	regions  []ident.Region
	service  ident.Service
	priority int
	arrived  time.Time
	deadline time.Time
	tried    []ident.Target
	attempts int
	// attemptsBefore is the number of attempts before the request was handed
	// over to a peer, and triedPeers the addresses of the peers.
	attemptsBefore int
	triedPeers     []string
	// unreachable counts the targets to which no connection could be opened.
	unreachable int
	// isForwarded is set if another entry host has admitted the request.
	isForwarded bool
	// isSuspected is set if targets have crashed while they ran the request.
	isSuspected   bool
	configVersion uint64
	rate          float64
	burst         float64
	// stopTerms are present if the host was stopping when the request was decided
	// on.
	stopTerms ident.Option[StopTerms]
}

// Route returns the route of the request.
func (s *RequestState) Route() *scheme.Route { return s.route }

// Team returns the team that owns the request's key, or "".
func (s *RequestState) Team() ident.Team { return s.team }

// Service returns the service that was selected for the request.
func (s *RequestState) Service() ident.Service { return s.service }

// Deadline returns the time at which the request times out.
func (s *RequestState) Deadline() time.Time { return s.deadline }

// Arrived returns the arrival time of the request.
func (s *RequestState) Arrived() time.Time { return s.arrived }

// ConfigVersion returns the version of the configuration under which the
// request was admitted.
func (s *RequestState) ConfigVersion() uint64 { return s.configVersion }

// Attempts returns the number of attempts so far.
func (s *RequestState) Attempts() int { return s.attempts }

// RateLimit returns the rate and the burst of the team.
func (s *RequestState) RateLimit() (rate, burst float64) { return s.rate, s.burst }

// StopTerms returns what was known at the decision on the request, if the host was
// stopping.
func (s *RequestState) StopTerms() ident.Option[StopTerms] { return s.stopTerms }

// ID returns the request ID.
func (s *RequestState) ID() ident.RequestID { return s.request.id }

// Decision is what happens next to a request: an attempt at the chosen target,
// or a refusal.
type Decision struct {
	state           *RequestState
	choice          spread.Choice
	reason          Reason
	retryAfter      time.Duration
	canRequestToken bool
	peer            ident.Option[reach.Peer]
}

// Peer returns the entry host through which the request is sent, if it is not sent
// to a target.
func (d Decision) Peer() ident.Option[reach.Peer] { return d.peer }

// CanRequestToken reports whether a request beyond this host's share of the
// team's rate should ask for a token of the reserve, see
// Controller.AdmitWithToken.
func (d Decision) CanRequestToken() bool { return d.canRequestToken }

// State returns the state of the request, or nil if it was refused before a
// route was found.
func (d Decision) State() *RequestState { return d.state }

// Choice returns the chosen target. It is valid unless the request is refused.
func (d Decision) Choice() spread.Choice { return d.choice }

// Refused returns the reason for the refusal, and whether the request is
// refused.
func (d Decision) Refused() (Reason, bool) { return d.reason, d.reason != "" }

// RetryAfter returns the time after which a refused request may succeed, or 0
// if a retry is useless.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// WithPeerRefusal returns the decision with a refusal for the reason and with the
// retry delay that the peer stated.
func (d Decision) WithPeerRefusal(reason Reason, retryAfter time.Duration) Decision {
	d.reason, d.retryAfter = reason, retryAfter
	return d
}

// WithRefusal returns the decision with a refusal for the given reason.
func (d Decision) WithRefusal(reason Reason) Decision {
	d.reason, d.retryAfter = reason, defaultRetryAfter
	return d
}

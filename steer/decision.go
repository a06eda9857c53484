package steer

import (
	"time"

	"rhubarbrack/ident"
)

// Reason tells why an ask was refused.
type Reason string

// Reasons of refusals. In each case nothing was sent to a target.
const (
	// ReasonDeadline means that no slot came free before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLongestWait means that the ask waited as long as its class
	// allows.
	ReasonLongestWait Reason = "longest-wait"
	// ReasonQueueFull means that the team has too many asks waiting.
	ReasonQueueFull Reason = "queue-full"
	// ReasonEstimatedWait means that a slot is not expected in time.
	ReasonEstimatedWait Reason = "estimated-wait"
	// ReasonNoTarget means that no target of the service can be used.
	ReasonNoTarget Reason = "no-target"
	// ReasonBanned means that the request crashed targets before.
	ReasonBanned Reason = "banned"
	// ReasonTargetLeaving means that the answer to the ask was lost, and that
	// the target it named is leaving by now. A new ask may succeed at once.
	ReasonTargetLeaving Reason = "target-left"
	// ReasonAbandoned means that the holder has given the ask up.
	ReasonAbandoned Reason = "abandoned"
	// ReasonHolderEnded means that the holder's process counts as ended.
	ReasonHolderEnded Reason = "ended"
)

// Decision is what a pool decided on one ask: Granted, Queued or Refused.
type Decision interface {
	// ID returns the ask that the decision answers.
	ID() SlotRequestID
}

// Granted gives a slot of a target to an ask.
type Granted struct {
	id      SlotRequestID
	target  ident.Target
	address string
}

// Queued tells that an ask waits. Its decision comes from a later call.
type Queued struct{ id SlotRequestID }

// Refused tells that an ask gets no slot. The request was not run.
type Refused struct {
	id         SlotRequestID
	reason     Reason
	retryAfter time.Duration
}

var (
	_ Decision = Granted{}
	_ Decision = Queued{}
	_ Decision = Refused{}
)

// ID implements Decision.
func (g Granted) ID() SlotRequestID { return g.id }

// Target returns the target that has the slot.
func (g Granted) Target() ident.Target { return g.target }

// Address returns the address of the target.
func (g Granted) Address() string { return g.address }

// ID implements Decision.
func (q Queued) ID() SlotRequestID { return q.id }

// ID implements Decision.
func (r Refused) ID() SlotRequestID { return r.id }

// Reason returns why the ask was refused.
func (r Refused) Reason() Reason { return r.reason }

// RetryAfter returns when a new attempt is worthwhile.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Outcome is how a grant was used.
type Outcome string

// Endings of a grant.
const (
	// OutcomeOK means that the target answered.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed means that the target answered with a server error.
	OutcomeFailed Outcome = "failed"
	// OutcomeTimeout means that the target did not answer in time.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeCrashed means that the connection was lost before the response.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeShed means that the target refused the request as too much load.
	OutcomeShed Outcome = "shed"
	// OutcomeLeaving means that the target answered that it is leaving.
	OutcomeLeaving Outcome = "leaving"
	// OutcomeCancelled means that the caller gave up or never used the grant.
	OutcomeCancelled Outcome = "cancelled"
)

// survived reports whether the target has answered the request, if only with
// a server error.
func (e Outcome) survived() bool { return e == OutcomeOK || e == OutcomeFailed }

// Result is what a holder observed while it used a grant.
type Result struct {
	ending  Outcome
	latency time.Duration
}

// NewResult returns a result. The latency is the time to the first byte of
// the response; zero means that there was none.
func NewResult(e Outcome, latency time.Duration) Result { return Result{ending: e, latency: latency} }

// Outcome returns how the grant was used.
func (r Result) Outcome() Outcome { return r.ending }

// Latency returns the time to the first byte, or zero.
func (r Result) Latency() time.Duration { return r.latency }

// OpenGrant is a grant that a holder has in use.
type OpenGrant struct {
	number      uint64
	service     ident.Service
	target      ident.Target
	fingerprint ident.Fingerprint
	age         time.Duration
}

// NewOpenGrant returns a grant that is in use for the given time.
func NewOpenGrant(number uint64, s ident.Service, t ident.Target, f ident.Fingerprint, age time.Duration) OpenGrant {
	return OpenGrant{number: number, service: s, target: t, fingerprint: f, age: age}
}

// Number returns the number of the ask behind the grant.
func (g OpenGrant) Number() uint64 { return g.number }

// Service returns the service that answers.
func (g OpenGrant) Service() ident.Service { return g.service }

// Target returns the target whose slot is in use.
func (g OpenGrant) Target() ident.Target { return g.target }

// Fingerprint returns the fingerprint of the request, or zero.
func (g OpenGrant) Fingerprint() ident.Fingerprint { return g.fingerprint }

// Age returns how long the grant is in use.
func (g OpenGrant) Age() time.Duration { return g.age }

// Holdings is a complete report of what one holder knows of a region. The
// sequence number orders the reports; asks above last are newer than the
// report.
type Holdings struct {
	holder   Holder
	sequence uint64
	last     uint64
	open     []OpenGrant
	waiting  []uint64
}

// NewHoldings returns a report: the grants in use, the numbers of the asks
// that still wait, and the last number that the holder has used.
func NewHoldings(h Holder, sequence, last uint64, open []OpenGrant, waiting []uint64) Holdings {
	return Holdings{holder: h, sequence: sequence, last: last, open: open, waiting: waiting}
}

// Holder returns the process that reports.
func (h Holdings) Holder() Holder { return h.holder }

// Sequence returns the number of the report.
func (h Holdings) Sequence() uint64 { return h.sequence }

// LastNumber returns the last ask number that the report covers.
func (h Holdings) LastNumber() uint64 { return h.last }

// Open returns the grants in use.
func (h Holdings) Open() []OpenGrant { return h.open }

// Waiting returns the numbers of the asks that wait.
func (h Holdings) Waiting() []uint64 { return h.waiting }

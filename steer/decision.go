package steer

import (
	"time"

	"rhubarbrack/ident"
)

// Reason tells why a slot request was refused.
type Reason string

// Reasons for refusals. In each case nothing was sent to a target.
const (
	// ReasonDeadline means that no slot came free before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonMaxWait means that the request waited as long as its class
	// allows.
	ReasonMaxWait Reason = "longest-wait"
	// ReasonQueueFull means that the queue of the team is full.
	ReasonQueueFull Reason = "queue-full"
	// ReasonEstimatedWait means that the estimated wait exceeds the time
	// left.
	ReasonEstimatedWait Reason = "estimated-wait"
	// ReasonNoTarget means that no target of the service can be used.
	ReasonNoTarget Reason = "no-target"
	// ReasonBanned means that earlier runs of the request crashed targets.
	ReasonBanned Reason = "banned"
	// ReasonTargetLeaving means that the request is a retry of one that was
	// granted, and that the granted target is leaving by now. A new slot
	// request may succeed at once.
	ReasonTargetLeaving Reason = "target-left"
	// ReasonAbandoned means that the holder has released or cancelled the
	// request.
	ReasonAbandoned Reason = "abandoned"
	// ReasonHolderEnded means that the holder's process has been declared
	// ended.
	ReasonHolderEnded Reason = "ended"
)

// Decision is the pool's decision on one slot request: Granted, Queued or
// Refused.
type Decision interface {
	// ID returns the slot request that the decision is for.
	ID() SlotRequestID
}

// Granted assigns a slot of a target to a slot request.
type Granted struct {
	id      SlotRequestID
	target  ident.Target
	address string
}

// Queued means that a slot request waits. A later call returns its final
// decision.
type Queued struct{ id SlotRequestID }

// Refused means that a slot request gets no slot. The caller's request was not
// run.
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

// Target returns the target of the slot.
func (g Granted) Target() ident.Target { return g.target }

// Address returns the address of the target.
func (g Granted) Address() string { return g.address }

// ID implements Decision.
func (q Queued) ID() SlotRequestID { return q.id }

// ID implements Decision.
func (r Refused) ID() SlotRequestID { return r.id }

// Reason returns why the slot request was refused.
func (r Refused) Reason() Reason { return r.reason }

// RetryAfter returns the advised delay before a retry.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

// Outcome is how the request that used a grant ended.
type Outcome string

// Outcomes of a grant.
const (
	// OutcomeOK means that the target responded without a server error.
	OutcomeOK Outcome = "ok"
	// OutcomeFailed means that the target responded with a server error.
	OutcomeFailed Outcome = "failed"
	// OutcomeTimeout means that the target did not respond in time.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeCrashed means that the connection was lost before the response.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeShed means that the target refused the request because of
	// overload.
	OutcomeShed Outcome = "shed"
	// OutcomeLeaving means that the target responded that it is leaving.
	OutcomeLeaving Outcome = "leaving"
	// OutcomeCancelled means that the caller cancelled the request or that
	// the grant was never used.
	OutcomeCancelled Outcome = "cancelled"
)

// gotResponse reports whether the target sent a response, including a server
// error.
func (o Outcome) gotResponse() bool { return o == OutcomeOK || o == OutcomeFailed }

// Result is what a holder observed while it used a grant.
type Result struct {
	outcome Outcome
	latency time.Duration
}

// NewResult returns a result. The latency is the time to the first byte of
// the response; zero means that there was none.
func NewResult(o Outcome, latency time.Duration) Result { return Result{outcome: o, latency: latency} }

// Outcome returns how the request ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Latency returns the time to the first byte, or zero.
func (r Result) Latency() time.Duration { return r.latency }

// OpenGrant describes a grant that a holder uses.
type OpenGrant struct {
	number      uint64
	service     ident.Service
	target      ident.Target
	fingerprint ident.Fingerprint
	age         time.Duration
}

// NewOpenGrant returns a grant that has been in use for the given time.
func NewOpenGrant(number uint64, s ident.Service, t ident.Target, f ident.Fingerprint, age time.Duration) OpenGrant {
	return OpenGrant{number: number, service: s, target: t, fingerprint: f, age: age}
}

// Number returns the number of the slot request that was granted.
func (g OpenGrant) Number() uint64 { return g.number }

// Service returns the service of the target.
func (g OpenGrant) Service() ident.Service { return g.service }

// Target returns the target whose slot is in use.
func (g OpenGrant) Target() ident.Target { return g.target }

// Fingerprint returns the fingerprint of the request, or zero.
func (g OpenGrant) Fingerprint() ident.Fingerprint { return g.fingerprint }

// Age returns how long the grant has been in use.
func (g OpenGrant) Age() time.Duration { return g.age }

// Holdings is a complete report of the grants and waiting slot requests of one
// holder in a region. The sequence number orders the reports; slot requests
// numbered above lastNumber are newer than the report.
type Holdings struct {
	holder     Holder
	sequence   uint64
	lastNumber uint64
	open       []OpenGrant
	waiting    []uint64
}

// NewHoldings returns a report: the grants in use, the numbers of the slot
// requests that still wait, and the last number that the holder has used.
func NewHoldings(h Holder, sequence, lastNumber uint64, open []OpenGrant, waiting []uint64) Holdings {
	return Holdings{holder: h, sequence: sequence, lastNumber: lastNumber, open: open, waiting: waiting}
}

// Holder returns the process that reports.
func (h Holdings) Holder() Holder { return h.holder }

// Sequence returns the number of the report.
func (h Holdings) Sequence() uint64 { return h.sequence }

// LastNumber returns the last slot request number that the report covers.
func (h Holdings) LastNumber() uint64 { return h.lastNumber }

// Open returns the grants in use.
func (h Holdings) Open() []OpenGrant { return h.open }

// Waiting returns the numbers of the slot requests that wait.
func (h Holdings) Waiting() []uint64 { return h.waiting }

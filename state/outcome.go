package state

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
)

// Status tells whether a command was accepted.
type Status string

// The values of Status.
const (
	Accepted Status = "accepted"
	Conflict Status = "conflict"
	Refused  Status = "refused"
)

// Reason is the reason for a refusal, in kebab case.
type Reason string

// The reasons for a refusal.
const (
	ReasonInvalid          Reason = "invalid"
	ReasonStaleRevision    Reason = "stale-revision"
	ReasonStaleEpoch       Reason = "stale-epoch"
	ReasonStaleIncarnation Reason = "stale-incarnation"
	ReasonUnknownDocument  Reason = "unknown-document"
	ReasonUnknownKey       Reason = "unknown-key"
	ReasonUnknownDrain     Reason = "unknown-drain"
	ReasonUnknownHost      Reason = "unknown-host"
	ReasonUnknownTeam      Reason = "unknown-team"
	ReasonUnknownProfile   Reason = "unknown-profile"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnknownZone      Reason = "unknown-zone"
	ReasonUnknownRegion    Reason = "unknown-region"
	ReasonUnknownClass     Reason = "unknown-class"
	ReasonHostTaken        Reason = "host-taken"
	ReasonInUse            Reason = "in-use"
	ReasonTooMany          Reason = "too-many"
	ReasonRequestReused    Reason = "request-reused"
	ReasonClaimMismatch    Reason = "claim-mismatch"
	ReasonClaimsFull       Reason = "claims-full"
	ReasonClaimNotHeld     Reason = "claim-not-held"
)

// Outcome is the result of applying a command.
type Outcome struct {
	status   Status
	revision ident.Revision
	changed  bool
	shared   bool
	isRetry  bool
	reason   Reason
	detail   string
	current  ident.Revision
	source   string
	claim    once.ClaimStatus
}

// OutcomeOption sets an optional part of an outcome.
type OutcomeOption func(*Outcome)

// WithChange sets whether the command changed the state.
func WithChange(changed bool) OutcomeOption { return func(o *Outcome) { o.changed = changed } }

// WithShared sets whether the command must be replicated to entry hosts.
func WithShared(shared bool) OutcomeOption { return func(o *Outcome) { o.shared = shared } }

// WithRetry sets whether this is the outcome of an earlier command with the
// same request ID.
func WithRetry(retry bool) OutcomeOption { return func(o *Outcome) { o.isRetry = retry } }

// WithReason sets the reason for a refusal and its detail.
func WithReason(reason Reason, detail string) OutcomeOption {
	return func(o *Outcome) { o.reason, o.detail = reason, detail }
}

// WithCurrent sets the current revision and source text of a conflict.
func WithCurrent(current ident.Revision, source string) OutcomeOption {
	return func(o *Outcome) { o.current, o.source = current, source }
}

// WithClaim sets the status of the claim.
func WithClaim(status once.ClaimStatus) OutcomeOption { return func(o *Outcome) { o.claim = status } }

// NewOutcome returns the outcome of a command at the given revision.
func NewOutcome(status Status, revision ident.Revision, options ...OutcomeOption) Outcome {
	o := Outcome{status: status, revision: revision}
	for _, option := range options {
		option(&o)
	}
	return o
}

// Status reports whether the command was accepted, in conflict or refused.
func (o Outcome) Status() Status { return o.status }

// Revision returns the revision at which the command was applied. For a retry,
// it is the revision of the first command.
func (o Outcome) Revision() ident.Revision { return o.revision }

// Changed reports whether the command changed the state.
func (o Outcome) Changed() bool { return o.changed }

// Shared reports whether the command changed the Config and must be replicated
// to entry hosts, which apply it with Replay.
func (o Outcome) Shared() bool { return o.shared }

// IsRetry reports whether the command was a retry, in which case this is the
// outcome of the first command with the same request ID.
func (o Outcome) IsRetry() bool { return o.isRetry }

// Reason returns the reason for a refusal.
func (o Outcome) Reason() Reason { return o.reason }

// Detail returns a description of the reason for a refusal.
func (o Outcome) Detail() string { return o.detail }

// Current returns, for a conflict, the current revision of the object. It is
// zero if the object does not exist.
func (o Outcome) Current() ident.Revision { return o.current }

// CurrentSource returns, for a conflict about a document, its current source
// text.
func (o Outcome) CurrentSource() string { return o.source }

// Claim returns the status of the claim after an accepted Claim command.
func (o Outcome) Claim() once.ClaimStatus { return o.claim }

// Err returns nil for an accepted command and an *OutcomeError otherwise.
func (o Outcome) Err() error {
	if o.status == Accepted {
		return nil
	}
	return &OutcomeError{outcome: o}
}

// OutcomeError is the error of a command that was not accepted.
type OutcomeError struct {
	outcome Outcome
}

// Outcome returns the outcome of the command.
func (e *OutcomeError) Outcome() Outcome { return e.outcome }

// Error describes the conflict or the refusal.
func (e *OutcomeError) Error() string {
	if e.outcome.status == Conflict {
		return fmt.Sprintf("conflict: the current revision is %d", e.outcome.current)
	}
	return fmt.Sprintf("%s: %s: %s", e.outcome.status, e.outcome.reason, e.outcome.detail)
}

func refuse(reason Reason, format string, args ...any) Outcome {
	return NewOutcome(Refused, 0, WithReason(reason, fmt.Sprintf(format, args...)))
}

func accept(changed bool) Outcome { return NewOutcome(Accepted, 0, WithChange(changed)) }

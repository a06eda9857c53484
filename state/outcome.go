package state

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/once"
)

// Status is the kind of an outcome.
type Status string

// The kinds of outcomes.
const (
	Accepted Status = "accepted"
	Conflict Status = "conflict"
	Refused  Status = "refused"
)

// Reason says in kebab case why a command was refused.
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

// Outcome is what came of a command.
type Outcome struct {
	status   Status
	revision ident.Revision
	changed  bool
	shared   bool
	resent   bool
	reason   Reason
	detail   string
	current  ident.Revision
	source   string
	claim    once.ClaimStatus
}

// OutcomeOption sets a part of an outcome that is not the same for all.
type OutcomeOption func(*Outcome)

// WithChange marks an outcome whose command changed the state.
func WithChange(changed bool) OutcomeOption { return func(o *Outcome) { o.changed = changed } }

// WithShared marks an outcome whose command entry hosts need.
func WithShared(shared bool) OutcomeOption { return func(o *Outcome) { o.shared = shared } }

// WithRetry marks the outcome of an earlier command with the same request id.
func WithRetry(resent bool) OutcomeOption { return func(o *Outcome) { o.resent = resent } }

// WithReason sets the reason of a refusal and its explanation.
func WithReason(reason Reason, detail string) OutcomeOption {
	return func(o *Outcome) { o.reason, o.detail = reason, detail }
}

// WithCurrent sets the current revision and source text of a conflict.
func WithCurrent(current ident.Revision, source string) OutcomeOption {
	return func(o *Outcome) { o.current, o.source = current, source }
}

// WithClaim sets the answer to a claim.
func WithClaim(answer once.ClaimStatus) OutcomeOption { return func(o *Outcome) { o.claim = answer } }

// NewOutcome returns the outcome of the command at the given revision.
func NewOutcome(status Status, revision ident.Revision, options ...OutcomeOption) Outcome {
	o := Outcome{status: status, revision: revision}
	for _, option := range options {
		option(&o)
	}
	return o
}

// Status returns whether the command was accepted, in conflict or refused.
func (o Outcome) Status() Status { return o.status }

// Revision returns the revision at which the command was applied; for a
// resend, that of the first command.
func (o Outcome) Revision() ident.Revision { return o.revision }

// Changed reports whether the command changed the state.
func (o Outcome) Changed() bool { return o.changed }

// Shared reports whether the command changed the Config, so that it is to be
// passed on to entry hosts for Replay.
func (o Outcome) Shared() bool { return o.shared }

// IsRetry reports whether this is the outcome of an earlier command with the
// same request id.
func (o Outcome) IsRetry() bool { return o.resent }

// Reason returns why the command was refused.
func (o Outcome) Reason() Reason { return o.reason }

// Detail explains the reason in words.
func (o Outcome) Detail() string { return o.detail }

// Current returns the current revision of what a conflict is about, zero when
// it does not exist.
func (o Outcome) Current() ident.Revision { return o.current }

// CurrentSource returns the current text of the document that a conflict is
// about.
func (o Outcome) CurrentSource() string { return o.source }

// Claim returns the answer to an accepted claim.
func (o Outcome) Claim() once.ClaimStatus { return o.claim }

// Err returns nil for an accepted command and otherwise an *OutcomeError.
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

// Outcome returns the outcome.
func (e *OutcomeError) Outcome() Outcome { return e.outcome }

// Error names the reason or the current revision.
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

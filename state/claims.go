package state

import (
	"errors"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/once"
)

// Claim claims a non-idempotent request for a process before the process
// forwards it to a target.
type Claim struct {
	timestamped
	key         once.Key
	fingerprint ident.Fingerprint
	holder      once.Holder
}

var _ machineCommand = Claim{}

// NewClaim returns a command that claims a request ID of a team for a process.
// Outcome.Claim reports whether the process may execute the request.
func NewClaim(key once.Key, fingerprint ident.Fingerprint, holder once.Holder) Claim {
	return Claim{key: key, fingerprint: fingerprint, holder: holder}
}

// Kind returns "claim".
func (c Claim) Kind() string { return "claim" }

// Shared returns false.
func (c Claim) Shared() bool { return false }

// Key returns the team and the request ID.
func (c Claim) Key() once.Key { return c.key }

// Fingerprint returns the digest of the request.
func (c Claim) Fingerprint() ident.Fingerprint { return c.fingerprint }

// Holder returns the process that claims the request.
func (c Claim) Holder() once.Holder { return c.holder }

func (c Claim) stamp(at time.Time) Command { c.at = at; return c }

func (c Claim) execute(m *Machine) Outcome {
	if _, refusal, ok := m.config.findProcess(c.holder.Host(), c.holder.Incarnation()); !ok {
		return refusal
	}
	if !isValidRequestID(c.key.Request()) {
		return refuse(ReasonInvalid, "request id of %d bytes: want 1 to %d", len(c.key.Request()), maxRequestID)
	}
	status, err := m.claims.Claim(c.at, c.key, c.fingerprint, c.holder)
	var mismatch *once.MismatchError
	switch {
	case errors.As(err, &mismatch):
		return refuse(ReasonClaimMismatch, "%v", err)
	case err != nil:
		return refuse(ReasonClaimsFull, "%v", err)
	}
	return NewOutcome(Accepted, 0, WithChange(status.State() == once.Claimed), WithClaim(status))
}

// Resolve ends a claim and records whether the request was executed and with
// which result.
type Resolve struct {
	timestamped
	key        once.Key
	holder     once.Holder
	resolution once.Resolution
}

var _ machineCommand = Resolve{}

// NewResolve returns a command that resolves a claim of the holder.
func NewResolve(key once.Key, holder once.Holder, resolution once.Resolution) Resolve {
	return Resolve{key: key, holder: holder, resolution: resolution}
}

// Kind returns "resolve".
func (r Resolve) Kind() string { return "resolve" }

// Shared returns false.
func (r Resolve) Shared() bool { return false }

// Key returns the team and the request ID.
func (r Resolve) Key() once.Key { return r.key }

// Holder returns the process that made the claim.
func (r Resolve) Holder() once.Holder { return r.holder }

// Resolution returns whether the request was executed and its result.
func (r Resolve) Resolution() once.Resolution { return r.resolution }

func (r Resolve) stamp(at time.Time) Command { r.at = at; return r }

func (r Resolve) execute(m *Machine) Outcome {
	if err := m.claims.Resolve(r.key, r.holder, r.resolution); err != nil {
		return refuse(ReasonClaimNotHeld, "%v", err)
	}
	return accept(true)
}

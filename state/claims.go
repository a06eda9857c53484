package state

import (
	"errors"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/once"
)

// Claim claims a non-idempotent request before it is sent to a target.
type Claim struct {
	stamped
	key         once.Key
	fingerprint ident.Fingerprint
	holder      once.Holder
}

var _ machineCommand = Claim{}

// NewClaim returns the command that claims a request id of a team for a
// process. The outcome's Claim tells whether the process may run the request.
func NewClaim(key once.Key, fingerprint ident.Fingerprint, holder once.Holder) Claim {
	return Claim{key: key, fingerprint: fingerprint, holder: holder}
}

// Kind returns "claim".
func (c Claim) Kind() string { return "claim" }

// Shared returns false.
func (c Claim) Shared() bool { return false }

// Key returns the team and the request id.
func (c Claim) Key() once.Key { return c.key }

// Fingerprint returns the digest of the request.
func (c Claim) Fingerprint() ident.Fingerprint { return c.fingerprint }

// Holder returns the process that wants to run the request.
func (c Claim) Holder() once.Holder { return c.holder }

func (c Claim) stamp(at time.Time) Command { c.at = at; return c }

func (c Claim) run(m *Machine) Outcome {
	if _, refusal, ok := m.config.process(c.holder.Host(), c.holder.Incarnation()); !ok {
		return refusal
	}
	if !validRequest(c.key.Request()) {
		return refuse(ReasonInvalid, "request id of %d bytes: want 1 to %d", len(c.key.Request()), maxRequestID)
	}
	answer, err := m.claims.Claim(c.at, c.key, c.fingerprint, c.holder)
	var mismatch *once.MismatchError
	switch {
	case errors.As(err, &mismatch):
		return refuse(ReasonClaimMismatch, "%v", err)
	case err != nil:
		return refuse(ReasonClaimsFull, "%v", err)
	}
	return NewOutcome(Accepted, 0, WithChange(answer.State() == once.Claimed), WithClaim(answer))
}

// Resolve ends a claim with what came of the request.
type Resolve struct {
	stamped
	key        once.Key
	holder     once.Holder
	resolution once.Resolution
}

var _ machineCommand = Resolve{}

// NewResolve returns the command that resolves a claim of the holder.
func NewResolve(key once.Key, holder once.Holder, resolution once.Resolution) Resolve {
	return Resolve{key: key, holder: holder, resolution: resolution}
}

// Kind returns "resolve".
func (r Resolve) Kind() string { return "resolve" }

// Shared returns false.
func (r Resolve) Shared() bool { return false }

// Key returns the team and the request id.
func (r Resolve) Key() once.Key { return r.key }

// Holder returns the process that made the claim.
func (r Resolve) Holder() once.Holder { return r.holder }

// Resolution returns what came of the request.
func (r Resolve) Resolution() once.Resolution { return r.resolution }

func (r Resolve) stamp(at time.Time) Command { r.at = at; return r }

func (r Resolve) run(m *Machine) Outcome {
	if err := m.claims.Resolve(r.key, r.holder, r.resolution); err != nil {
		return refuse(ReasonClaimNotHeld, "%v", err)
	}
	return accept(true)
}

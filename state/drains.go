package state

import (
	"fmt"
	"time"

	"rhubarbrack/ident"
)

const (
	// maxDrains bounds the number of retained drains.
	maxDrains = 10_000
	// drainRetention is how long a drain is retained after its end.
	drainRetention = 24 * time.Hour
)

// PlanDrain creates a drain or changes an existing one.
type PlanDrain struct {
	operatorBase
	id    DrainID
	scope Scope
	from  time.Time
	until time.Time
}

var _ configCommand = PlanDrain{}

// NewPlanDrain returns a command that plans a drain. The expected revision is
// zero for a new drain. With a zero until, the drain lasts until it is
// cancelled.
func NewPlanDrain(request ident.RequestID, expected ident.Revision, id DrainID, scope Scope,
	from, until time.Time) PlanDrain {
	return PlanDrain{operatorBase: operatorBase{request: request, expected: expected}, id: id, scope: scope,
		from: canonicalTime(from), until: canonicalTime(until)}
}

// Kind returns "plan-drain".
func (p PlanDrain) Kind() string { return "plan-drain" }

// ID returns the identifier of the drain.
func (p PlanDrain) ID() DrainID { return p.id }

// Scope returns the target, zone or region to drain.
func (p PlanDrain) Scope() Scope { return p.scope }

// From returns the start of the drain.
func (p PlanDrain) From() time.Time { return p.from }

// Until returns the end of the drain. It is zero if the drain lasts until it
// is cancelled.
func (p PlanDrain) Until() time.Time { return p.until }

func (p PlanDrain) stamp(at time.Time) Command { p.at = at; return p }

func (p PlanDrain) canonicalText() string {
	return fmt.Sprintf("%s %s %s %v %v", p.id, p.scope.kind, p.scope.name, p.from, p.until)
}

func (p PlanDrain) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	old, exists := c.drains.get(p.id)
	if conflict, ok := p.checkExpected(old.revision, ""); !ok {
		return c, conflict
	}
	if reason, detail := p.validate(c); reason != "" {
		return c, refuse(reason, "%s", detail)
	}
	next := *c
	next.drains = pruneDrains(c.drains, p.at)
	if !exists && next.drains.len() >= maxDrains {
		return c, refuse(ReasonTooMany, "there are %d drains already", maxDrains)
	}
	next.drains = next.drains.set(p.id, Drain{id: p.id, scope: p.scope, from: p.from, until: p.until,
		state: DrainPlanned, changed: p.at, revision: revision})
	return &next, accept(true)
}

func (p PlanDrain) validate(c *Config) (Reason, string) {
	if ident.CheckName("drain", string(p.id)) != nil {
		return ReasonInvalid, fmt.Sprintf("drain id %q: want 1 to 63 lower-case letters, digits, dots and inner hyphens", p.id)
	}
	if p.from.IsZero() {
		return ReasonInvalid, "from: the drain has no start"
	}
	if !p.until.IsZero() && !p.until.After(p.from) {
		return ReasonInvalid, fmt.Sprintf("until: %v is not after from, %v", p.until, p.from)
	}
	fleet, _ := c.Fleet()
	return p.scope.check(fleet)
}

// pruneDrains returns the drains without those whose retention time is over.
func pruneDrains(drains tree[DrainID, Drain], at time.Time) tree[DrainID, Drain] {
	out := drains
	drains.each(func(id DrainID, d Drain) bool {
		if since, ended := d.endedSince(at); ended && at.Sub(since) >= drainRetention {
			out = out.remove(id)
		}
		return true
	})
	return out
}

// CancelDrain cancels a drain.
type CancelDrain struct {
	operatorBase
	id DrainID
}

var _ configCommand = CancelDrain{}

// NewCancelDrain returns a command that cancels a drain. The expected revision
// is that of the drain, or AnyRevision. Cancelling a cancelled drain is
// accepted and changes nothing.
func NewCancelDrain(request ident.RequestID, expected ident.Revision, id DrainID) CancelDrain {
	return CancelDrain{operatorBase: operatorBase{request: request, expected: expected}, id: id}
}

// Kind returns "cancel-drain".
func (d CancelDrain) Kind() string { return "cancel-drain" }

// ID returns the identifier of the drain.
func (d CancelDrain) ID() DrainID { return d.id }

func (d CancelDrain) stamp(at time.Time) Command { d.at = at; return d }

func (d CancelDrain) canonicalText() string { return string(d.id) }

func (d CancelDrain) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	drain, ok := c.drains.get(d.id)
	if !ok {
		return c, refuse(ReasonUnknownDrain, "there is no drain %q", d.id)
	}
	if drain.state == DrainCancelled {
		return c, accept(false)
	}
	if conflict, ok := d.checkExpectedOrAny(drain.revision); !ok {
		return c, conflict
	}
	drain.state, drain.changed, drain.revision = DrainCancelled, d.at, revision
	next := *c
	next.drains = c.drains.set(d.id, drain)
	return &next, accept(true)
}

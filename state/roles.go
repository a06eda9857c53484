package state

import (
	"time"

	"rhubarbrack/ident"
)

// maxRoles bounds the number of roles. There is one for each region and one
// for each rate shard.
const maxRoles = 10_000

// AssignRole assigns a role to a live member or makes it vacant.
type AssignRole struct {
	sharedBase
	name  RoleName
	host  ident.Host
	epoch ident.Epoch
}

var _ configCommand = AssignRole{}

// NewAssignRole returns a command that assigns a role with a new epoch, which
// must be greater than the epochs of all earlier assignments. An empty host
// makes the role vacant.
func NewAssignRole(name RoleName, host ident.Host, epoch ident.Epoch) AssignRole {
	return AssignRole{name: name, host: host, epoch: epoch}
}

// Kind returns "assign-role".
func (a AssignRole) Kind() string { return "assign-role" }

// Role returns the name of the role.
func (a AssignRole) Role() RoleName { return a.name }

// Host returns the new holder. It is empty if the role becomes vacant.
func (a AssignRole) Host() ident.Host { return a.host }

// Epoch returns the epoch of the assignment.
func (a AssignRole) Epoch() ident.Epoch { return a.epoch }

func (a AssignRole) stamp(at time.Time) Command { a.at = at; return a }

func (a AssignRole) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	old, exists := c.roles.get(a.name)
	if a.epoch <= old.epoch {
		return c, refuse(ReasonStaleEpoch, "role %q has epoch %d", a.name, old.epoch)
	}
	if a.name == "" {
		return c, refuse(ReasonInvalid, "the role has no name")
	}
	if !exists && c.roles.len() >= maxRoles {
		return c, refuse(ReasonTooMany, "there are %d roles already", maxRoles)
	}
	member, ok := c.members.get(a.host)
	if a.host != "" && (!ok || !member.Live()) {
		return c, refuse(ReasonUnknownHost, "host %q is not a live member", a.host)
	}
	next := *c
	next.roles = c.roles.set(a.name, Role{name: a.name, host: a.host, incarnation: member.incarnation,
		epoch: a.epoch, revision: revision})
	return &next, accept(true)
}

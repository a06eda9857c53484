package plan

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// RateShards is the number of shards that the teams are spread over, each with
// an owner of its own.
const RateShards = 4

// Target is an entry of the platform's list.
type Target struct {
	id      ident.Target
	service ident.Service
	zone    ident.Zone
	region  ident.Region
	slots   int
	live    bool
}

// NewTarget returns an entry. A target that leaves is not live.
func NewTarget(id ident.Target, service ident.Service, zone ident.Zone, region ident.Region, slots int, live bool) Target {
	return Target{id: id, service: service, zone: zone, region: region, slots: slots, live: live}
}

// Load is the load of a class of a service that comes in at a region.
type Load struct {
	service ident.Service
	origin  ident.Region
	class   ident.Class
	slots   float64
}

// NewLoad returns a load in slots: the requests that run at a time.
func NewLoad(service ident.Service, origin ident.Region, class ident.Class, slots float64) Load {
	return Load{service: service, origin: origin, class: class, slots: slots}
}

// Service returns the service.
func (l Load) Service() ident.Service { return l.service }

// Origin returns the region where the requests come in.
func (l Load) Origin() ident.Region { return l.origin }

// Class returns the request class.
func (l Load) Class() ident.Class { return l.class }

// Slots returns the requests that run at a time.
func (l Load) Slots() float64 { return l.slots }

// Input is what the leader knows at one moment.
type Input struct {
	config  *state.Config
	inForce ident.Revision
	demand  []Load
	targets []Target
	listed  bool
	expired []state.Member
	silent  []state.Member
}

// InputOption sets a part of a situation.
type InputOption func(*Input)

// WithDemand sets the load that comes in.
func WithDemand(demand []Load) InputOption { return func(s *Input) { s.demand = demand } }

// WithTargets sets the platform's list. Without it, no shares are planned.
func WithTargets(targets []Target) InputOption {
	return func(s *Input) { s.targets, s.listed = targets, true }
}

// WithExpired sets the members whose lease has certainly ended.
func WithExpired(members []state.Member) InputOption {
	return func(s *Input) { s.expired = members }
}

// WithSilent sets the members that may not act for roles any more. Their roles
// are given to others.
func WithSilent(members []state.Member) InputOption {
	return func(s *Input) { s.silent = members }
}

// NewInput returns a situation with the configuration and the revision
// that every entry host with a lease has applied.
func NewInput(config *state.Config, inForce ident.Revision, list ...InputOption) Input {
	s := Input{config: config, inForce: inForce}
	for _, apply := range list {
		apply(&s)
	}
	return s
}

// Change is a command that is needed, and why.
type Change struct {
	command state.Command
	reason  string
}

// NewChange returns a change with its reason in kebab case.
func NewChange(command state.Command, reason string) Change {
	return Change{command: command, reason: reason}
}

// Command returns the command.
func (c Change) Command() state.Command { return c.command }

// Reason returns why the command is needed.
func (c Change) Reason() string { return c.reason }

// IsDrained reports whether an operator's drain covers a target at the time.
func IsDrained(config *state.Config, t Target, at time.Time) bool {
	for _, d := range config.Drains() {
		if d.Active(at) && covers(d.Scope(), t) {
			return true
		}
	}
	return false
}

func covers(scope state.Scope, t Target) bool {
	switch scope.Kind() {
	case state.ScopeTarget:
		return scope.Name() == string(t.id)
	case state.ScopeZone:
		return scope.Name() == string(t.zone)
	case state.ScopeRegion:
		return scope.Name() == string(t.region)
	}
	return false
}

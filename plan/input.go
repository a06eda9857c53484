package plan

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/state"
)

// RateShards is the number of shards into which the teams are divided. Each
// shard has its own rate owner.
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

// NewTarget returns an entry. A leaving target is not live.
func NewTarget(id ident.Target, service ident.Service, zone ident.Zone, region ident.Region, slots int, live bool) Target {
	return Target{id: id, service: service, zone: zone, region: region, slots: slots, live: live}
}

// Demand is the demand for a class of a service in a region of origin.
type Demand struct {
	service ident.Service
	origin  ident.Region
	class   ident.Class
	slots   float64
}

// NewDemand returns a demand in slots, that is in concurrent requests.
func NewDemand(service ident.Service, origin ident.Region, class ident.Class, slots float64) Demand {
	return Demand{service: service, origin: origin, class: class, slots: slots}
}

// Service returns the service.
func (d Demand) Service() ident.Service { return d.service }

// Origin returns the region in which the requests arrive.
func (d Demand) Origin() ident.Region { return d.origin }

// Class returns the request class.
func (d Demand) Class() ident.Class { return d.class }

// Slots returns the number of concurrent requests.
func (d Demand) Slots() float64 { return d.slots }

// Input is the planning input of the leader at one time.
type Input struct {
	config     *state.Config
	inForce    ident.Revision
	demand     []Demand
	targets    []Target
	hasTargets bool
	expired    []state.Member
	silent     []state.Member
}

// InputOption sets an optional part of the input.
type InputOption func(*Input)

// WithDemand sets the demand of all regions.
func WithDemand(demand []Demand) InputOption { return func(i *Input) { i.demand = demand } }

// WithTargets sets the platform's list. Without it, no shares are planned.
func WithTargets(targets []Target) InputOption {
	return func(i *Input) { i.targets, i.hasTargets = targets, true }
}

// WithExpired sets the members whose lease has certainly expired.
func WithExpired(members []state.Member) InputOption {
	return func(i *Input) { i.expired = members }
}

// WithSilent sets the members that may no longer act in their roles. The roles
// are assigned to others.
func WithSilent(members []state.Member) InputOption {
	return func(i *Input) { i.silent = members }
}

// NewInput returns an input with the configuration and the revision that every
// entry host with a lease has applied.
func NewInput(config *state.Config, inForce ident.Revision, options ...InputOption) Input {
	i := Input{config: config, inForce: inForce}
	for _, apply := range options {
		apply(&i)
	}
	return i
}

// Change is a command to be committed, with its reason.
type Change struct {
	command state.Command
	reason  string
}

// NewChange returns a change. The reason is in kebab case.
func NewChange(command state.Command, reason string) Change {
	return Change{command: command, reason: reason}
}

// Command returns the command.
func (c Change) Command() state.Command { return c.command }

// Reason returns why the command is needed.
func (c Change) Reason() string { return c.reason }

// IsDrained reports whether an operator's drain includes a target at a time.
func IsDrained(config *state.Config, t Target, at time.Time) bool {
	for _, d := range config.Drains() {
		if d.Active(at) && covers(d.Scope(), t) {
			return true
		}
	}
	return false
}

// covers reports whether a target is in the scope of a drain.
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

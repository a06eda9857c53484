package plan

import (
	"strconv"
	"strings"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/roster"
	"rhubarbrack/state"
)

// Planner decides the changes of the control leader.
type Planner struct{}

// New returns a planner.
func New() *Planner { return &Planner{} }

// Plan returns the changes that are needed at the time now, most urgent first.
func (p *Planner) Plan(now time.Time, s Situation) []Change {
	out := expirations(s)
	out = append(out, roles(s)...)
	return append(out, p.shares(now, s)...)
}

// expirations end the membership of processes whose lease has ended. Their
// roles become vacant with it.
func expirations(s Situation) []Change {
	var out []Change
	for _, m := range s.expired {
		out = append(out, NewChange(state.NewExpire(m.Host(), m.Incarnation()), "lease-expired"))
	}
	return out
}

// roles assign the roles that have no holder. A role of a member that is being
// ended follows once it is vacant.
func roles(s Situation) []Change {
	fleet, ok := s.config.Fleet()
	if !ok {
		return nil
	}
	var regions []ident.Region
	for _, r := range fleet.Regions() {
		regions = append(regions, r.Name())
	}
	var out []Change
	wanted := roster.Plan(members(s), assignments(s), roster.Roles(regions, RateShards), never)
	for _, a := range wanted {
		name := state.RoleName(a.Role().Name())
		epoch := ident.Epoch(1)
		if r, ok := s.config.Role(name); ok {
			epoch = r.Epoch() + 1
		}
		out = append(out, NewChange(state.NewAssignRole(name, a.Host(), epoch), "role-vacant"))
	}
	return out
}

// never is the answer to whether a holder has ended: the state machine makes
// roles vacant when it ends a member, so a held role never moves here.
func never(roster.Assignment) bool { return false }

func members(s Situation) []roster.Member {
	ending := make(map[ident.Host]bool)
	for _, m := range s.expired {
		ending[m.Host()] = true
	}
	var out []roster.Member
	for _, m := range s.config.Members() {
		if ending[m.Host()] {
			continue
		}
		condition := roster.Leaving
		if m.Live() {
			condition = roster.Live
		}
		out = append(out, roster.NewMember(m.Host(), m.Incarnation(), m.Zone(), m.Region(), condition))
	}
	return out
}

func assignments(s Situation) []roster.Assignment {
	var out []roster.Assignment
	for _, r := range s.config.Roles() {
		if r.Vacant() {
			continue
		}
		if region, ok := slotRegion(r.Name()); ok {
			out = append(out, roster.NewAssignment(roster.SlotRole(region), r.Host(), r.Incarnation()))
			continue
		}
		if shard, ok := rateShard(r.Name()); ok {
			out = append(out, roster.NewAssignment(roster.RateRole(shard), r.Host(), r.Incarnation()))
		}
	}
	return out
}

const (
	slotPrefix = "slots/"
	ratePrefix = "rates/"
)

func slotRegion(name state.RoleName) (ident.Region, bool) {
	region, ok := strings.CutPrefix(string(name), slotPrefix)
	return ident.Region(region), ok
}

func rateShard(name state.RoleName) (int, bool) {
	text, ok := strings.CutPrefix(string(name), ratePrefix)
	if !ok {
		return 0, false
	}
	shard, err := strconv.Atoi(text)
	return shard, err == nil
}

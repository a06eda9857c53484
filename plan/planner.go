package plan

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/roster"
	"rhubarbrack/shift"
	"rhubarbrack/state"
)

// Planner decides the changes of the control leader. It remembers the steps that
// it decided. It is not safe for concurrent use.
type Planner struct {
	ledger   *shift.History
	issued   map[shift.Key]step
	recalled map[shift.Key]bool
}

// New returns a planner.
func New() *Planner {
	p := &Planner{}
	p.Reset()
	return p
}

// Reset forgets all steps. The leader calls it when its leadership begins,
// since another leader may have made steps in the meantime.
func (p *Planner) Reset() {
	p.ledger = shift.NewHistory(time.Time{})
	p.issued = make(map[shift.Key]step)
	p.recalled = make(map[shift.Key]bool)
}

// Plan returns the changes that are needed at the time now, most urgent first.
func (p *Planner) Plan(now time.Time, s Input) []Change {
	out := expirations(s)
	out = append(out, roles(s)...)
	return append(out, p.shares(now, s)...)
}

// Releases returns the roles that a process should give up: all of them when it
// leaves, and those of other regions that have a live member of their own by
// now. The process must stop acting for a role before it gives it up.
func Releases(config *state.Config, host ident.Host, incarnation ident.Incarnation) []state.Role {
	var out []state.Role
	for _, a := range roster.Releases(rosterMembers(config), assignments(config)) {
		if a.Host() != host || a.Incarnation() != incarnation {
			continue
		}
		if r, ok := config.Role(state.RoleName(a.Role().Name())); ok {
			out = append(out, r)
		}
	}
	if r, ok := surplus(config, host, incarnation); ok && len(out) == 0 {
		out = append(out, r)
	}
	return out
}

// leastSurplus is how many roles more than another host a host must have before
// it gives one up. With 1, two hosts would hand a role back and forth.
const leastSurplus = 2

// surplus returns a rate role that a process should give up, because another
// live host has fewer roles. The host that joins first gets all rate roles, and
// its loss would stop every team. Only one role moves at a time.
func surplus(config *state.Config, host ident.Host, incarnation ident.Incarnation) (state.Role, bool) {
	counts := make(map[ident.Host]int)
	for _, m := range config.Members() {
		if m.Live() {
			counts[m.Host()] = 0
		}
	}
	var last state.Role
	for _, r := range config.Roles() {
		if r.Vacant() {
			return state.Role{}, false
		}
		counts[r.Host()]++
		if _, ok := rateShard(r.Name()); ok && r.Host() == host && r.Incarnation() == incarnation {
			last = r
		}
	}
	for _, n := range counts {
		if !last.Vacant() && counts[host] >= n+leastSurplus {
			return last, true
		}
	}
	return state.Role{}, false
}

// expirations end the membership of processes whose lease has ended. Their
// roles become vacant with it.
func expirations(s Input) []Change {
	var out []Change
	for _, m := range s.expired {
		out = append(out, NewChange(state.NewExpire(m.Host(), m.Incarnation()), "lease-expired"))
	}
	return out
}

// roles assign the roles that have no holder, or a silent one.
func roles(s Input) []Change {
	fleet, ok := s.config.Fleet()
	if !ok {
		return nil
	}
	var regions []ident.Region
	for _, r := range fleet.Regions() {
		regions = append(regions, r.Name())
	}
	var out []Change
	wanted := roster.Plan(members(s), assignments(s.config), roster.Roles(regions, RateShards), s.isSilent)
	for _, a := range wanted {
		name := state.RoleName(a.Role().Name())
		epoch, reason := ident.Epoch(1), "role-vacant"
		if r, ok := s.config.Role(name); ok {
			epoch = r.Epoch() + 1
			if !r.Vacant() {
				reason = "holder-silent"
			}
		}
		out = append(out, NewChange(state.NewAssignRole(name, a.Host(), epoch), reason))
	}
	return out
}

// isSilent reports whether the holder of a role may not act for it any more.
func (s Input) isSilent(a roster.Assignment) bool {
	return slices.ContainsFunc(s.silent, func(m state.Member) bool {
		return m.Host() == a.Host() && m.Incarnation() == a.Incarnation()
	})
}

func members(s Input) []roster.Member {
	ending := make(map[ident.Host]bool)
	for _, m := range slices.Concat(s.expired, s.silent) {
		ending[m.Host()] = true
	}
	return slices.DeleteFunc(rosterMembers(s.config), func(m roster.Member) bool { return ending[m.Host()] })
}

func rosterMembers(config *state.Config) []roster.Member {
	var out []roster.Member
	for _, m := range config.Members() {
		condition := roster.Leaving
		if m.Live() {
			condition = roster.Live
		}
		out = append(out, roster.NewMember(m.Host(), m.Incarnation(), m.Zone(), m.Region(), condition))
	}
	return out
}

func assignments(config *state.Config) []roster.Assignment {
	var out []roster.Assignment
	for _, r := range config.Roles() {
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

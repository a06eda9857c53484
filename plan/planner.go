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

// Planner plans the changes of the control leader. It remembers the steps that
// it issued. It is not safe for concurrent use.
type Planner struct {
	history  *shift.History
	issued   map[shift.Key]step
	restored map[shift.Key]bool
}

// New returns a planner.
func New() *Planner {
	p := &Planner{}
	p.Reset()
	return p
}

// Reset discards all remembered steps. The leader calls it when its leadership
// begins, because another leader may have issued steps in the meantime.
func (p *Planner) Reset() {
	p.history = shift.NewHistory(time.Time{})
	p.issued = make(map[shift.Key]step)
	p.restored = make(map[shift.Key]bool)
}

// Plan returns the changes needed at now, the most urgent first.
func (p *Planner) Plan(now time.Time, input Input) []Change {
	out := expirations(input)
	out = append(out, assignRoles(input)...)
	return append(out, p.shares(now, input)...)
}

// Releases returns the roles that a process should release: all of them when it
// is leaving, and the slot roles of other regions that now have a live member.
// If there are none, it may return one surplus rate role. The process must stop
// acting in a role before it releases it.
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
	if r, ok := surplusRole(config, host, incarnation); ok && len(out) == 0 {
		out = append(out, r)
	}
	return out
}

// minSurplus is the difference in the number of roles at which a host releases
// a role to another host. With 1, a role would move back and forth between two
// hosts.
const minSurplus = 2

// surplusRole returns a rate role that a process should release because another
// live host has fewer roles. Without this, the host that joins first would keep
// all rate roles, and its loss would stop every team. Only one role moves at a
// time.
func surplusRole(config *state.Config, host ident.Host, incarnation ident.Incarnation) (state.Role, bool) {
	counts := make(map[ident.Host]int)
	for _, m := range config.Members() {
		if m.Live() {
			counts[m.Host()] = 0
		}
	}
	var candidate state.Role
	for _, r := range config.Roles() {
		if r.Vacant() {
			return state.Role{}, false
		}
		counts[r.Host()]++
		if _, ok := rateShard(r.Name()); ok && r.Host() == host && r.Incarnation() == incarnation {
			candidate = r
		}
	}
	for _, n := range counts {
		if !candidate.Vacant() && counts[host] >= n+minSurplus {
			return candidate, true
		}
	}
	return state.Role{}, false
}

// expirations returns the changes that end the membership of processes whose
// lease has expired. Their roles become vacant at the same time.
func expirations(input Input) []Change {
	var out []Change
	for _, m := range input.expired {
		out = append(out, NewChange(state.NewExpire(m.Host(), m.Incarnation()), "lease-expired"))
	}
	return out
}

// assignRoles returns the changes that assign the roles without a holder and
// those of silent holders.
func assignRoles(input Input) []Change {
	fleet, ok := input.config.Fleet()
	if !ok {
		return nil
	}
	var regions []ident.Region
	for _, r := range fleet.Regions() {
		regions = append(regions, r.Name())
	}
	var out []Change
	planned := roster.Plan(eligibleMembers(input), assignments(input.config), roster.Roles(regions, RateShards), input.isSilent)
	for _, a := range planned {
		name := state.RoleName(a.Role().Name())
		epoch, reason := ident.Epoch(1), "role-vacant"
		if r, ok := input.config.Role(name); ok {
			epoch = r.Epoch() + 1
			if !r.Vacant() {
				reason = "holder-silent"
			}
		}
		out = append(out, NewChange(state.NewAssignRole(name, a.Host(), epoch), reason))
	}
	return out
}

// isSilent reports whether the holder of a role may no longer act in it.
func (i Input) isSilent(a roster.Assignment) bool {
	return slices.ContainsFunc(i.silent, func(m state.Member) bool {
		return m.Host() == a.Host() && m.Incarnation() == a.Incarnation()
	})
}

// eligibleMembers returns the members whose host is neither expired nor silent.
func eligibleMembers(input Input) []roster.Member {
	excluded := make(map[ident.Host]bool)
	for _, m := range slices.Concat(input.expired, input.silent) {
		excluded[m.Host()] = true
	}
	return slices.DeleteFunc(rosterMembers(input.config), func(m roster.Member) bool { return excluded[m.Host()] })
}

func rosterMembers(config *state.Config) []roster.Member {
	var out []roster.Member
	for _, m := range config.Members() {
		memberState := roster.Leaving
		if m.Live() {
			memberState = roster.Live
		}
		out = append(out, roster.NewMember(m.Host(), m.Incarnation(), m.Zone(), m.Region(), memberState))
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

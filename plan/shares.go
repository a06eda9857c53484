package plan

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/state"
)

// shares returns the next steps of the shares of all services.
func (p *Planner) shares(now time.Time, s Situation) []Change {
	fleet, ok := s.config.Fleet()
	if !ok || !s.listed {
		return nil
	}
	var out []Change
	for _, service := range s.config.Services() {
		profile, ok := s.config.Profile(service.Profile())
		if !ok {
			continue
		}
		slots := slotsOf(now, s, service.Service())
		for _, origin := range fleet.Regions() {
			if _, ok := s.config.Shares(service.Service(), origin.Name()); ok {
				continue
			}
			if first := initialShares(profile, origin.Name(), slots); len(first) > 0 {
				out = append(out, NewChange(state.NewSetShares(service.Service(), origin.Name(), first), "first-plan"))
			}
		}
	}
	return out
}

// slotsOf sums the slots of the targets of a service that take new work.
func slotsOf(now time.Time, s Situation, service ident.Service) map[ident.Region]int {
	out := make(map[ident.Region]int)
	for _, t := range s.targets {
		if t.service == service && t.live && !Drained(s.config, t, now) {
			out[t.region] += t.slots
		}
	}
	return out
}

// initialShares places the load of a service that has no shares yet: in its
// own region where that is allowed and has slots, and otherwise in the allowed
// regions in proportion to their slots. Placing load that was nowhere before
// is no shift.
func initialShares(profile *prof.Profile, origin ident.Region, slots map[ident.Region]int) []state.Share {
	if profile.Allows(origin) && slots[origin] > 0 {
		return []state.Share{state.NewShare(origin, 1)}
	}
	total := 0
	for _, r := range profile.Regions() {
		total += slots[r]
	}
	var out []state.Share
	for _, r := range profile.Regions() {
		if slots[r] > 0 {
			out = append(out, state.NewShare(r, float64(slots[r])/float64(total)))
		}
	}
	return out
}

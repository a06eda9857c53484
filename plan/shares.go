package plan

import (
	"cmp"
	"slices"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
	"rhubarbrack/shift"
	"rhubarbrack/state"
)

// issueTimeout is how long a step that was decided may stay out of the
// configuration before it is taken for lost. It exceeds the time in which the
// leader gives up a commit.
const issueTimeout = 6 * time.Second

// openDrain stands for the length of a drain that lasts until it is cancelled.
const openDrain = 365 * 24 * time.Hour

// step is a change of shares that was decided.
type step struct {
	before, after shift.Shares
	at            time.Time
}

// shares returns the next steps of the shares of all services.
func (p *Planner) shares(now time.Time, s Input) []Change {
	fleet, ok := s.config.Fleet()
	if !ok || !s.listed {
		return nil
	}
	in := shift.NewInput(now, p.ledger, classes(s.config)...)
	addDrains(now, in, s)
	var out []Change
	for _, service := range s.config.Services() {
		profile, ok := s.config.Profile(service.Profile())
		if !ok {
			continue
		}
		slots := slotsOf(now, s, service.Service(), profile.ShiftWindow())
		addService(in, service, profile, slots)
		for _, origin := range fleet.Regions() {
			out = append(out, p.addKey(now, in, s, shift.NewKey(service.Service(), origin.Name()), profile, slots)...)
		}
	}
	for _, d := range s.demand {
		in.AddDemand(shift.NewKey(d.service, d.origin), d.class, d.slots, 0)
	}
	return append(out, p.steps(now, s, shift.Plan(in))...)
}

// classes returns the classes of all profiles, from the one that is refused
// first to the most important one.
func classes(config *state.Config) []ident.Class {
	ranks := make(map[ident.Class]int)
	for _, profile := range config.Profiles() {
		for _, c := range profile.Classes() {
			if rank, ok := profile.Rank(c.Name()); ok {
				ranks[c.Name()] = max(ranks[c.Name()], rank)
			}
		}
	}
	out := make([]ident.Class, 0, len(ranks))
	for c := range ranks {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b ident.Class) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a, b))
	})
	return out
}

// addDrains adds the drains of whole regions, from which load moves away ahead
// of time. Drains of zones and targets reduce the slots instead.
func addDrains(now time.Time, in *shift.Input, s Input) {
	for _, d := range s.config.Drains() {
		if d.State() == state.DrainPlanned && d.Scope().Kind() == state.ScopeRegion {
			until := d.Until()
			if until.IsZero() {
				until = now.Add(openDrain)
			}
			in.AddDrain(shift.NewDrain("", ident.Region(d.Scope().Name()), d.From(), until))
		}
	}
}

func addService(in *shift.Input, service *prof.Service, profile *prof.Profile, slots map[ident.Region]int) {
	in.SetProfile(service.Service(), shift.NewProfile(
		shift.WithCap(profile.ShiftCap(), profile.ShiftWindow()+effectDelay), shift.WithHeadroom(profile.Headroom())))
	in.SetPermittedRegions(service.Service(), profile.Regions()...)
	for region, n := range slots {
		in.SetCapacity(service.Service(), region, float64(n))
	}
}

// addKey adds the shares of a service and an origin. It returns the first
// shares when there are none yet.
func (p *Planner) addKey(now time.Time, in *shift.Input, s Input, key shift.Key, profile *prof.Profile,
	slots map[ident.Region]int,
) []Change {
	planned, ok := s.config.Shares(key.Service(), key.Origin())
	if !ok {
		return p.first(now, key, profile, slots)
	}
	current, err := shift.NewShares(partsOf(planned))
	if err != nil {
		return nil
	}
	p.recall(key, planned, profile)
	issued, waiting := p.issued[key]
	if waiting && issued.after.DistanceTo(current) < sameShares {
		waiting = false
	}
	switch {
	case waiting && now.Sub(issued.at) < issueTimeout:
		in.SetPending(key, current, issued.after)
	case planned.Revision() > s.inForce:
		in.SetPending(key, p.before(key, current), current)
	default:
		delete(p.issued, key)
		in.SetShares(key, current)
	}
	return nil
}

// effectDelay is how much later than decided a step may take effect at an entry
// host: the commit takes up to 5 s, and a host learns of it within its lease of
// 3 s. Windows are planned longer by it, so that a late step and the next one
// do not exceed the cap together.
const effectDelay = 8 * time.Second

// sameShares is the greatest shift that counts as rounding.
const sameShares = 1e-9

// before returns the shares that a host may still go by.
func (p *Planner) before(key shift.Key, current shift.Shares) shift.Shares {
	if issued, ok := p.issued[key]; ok {
		return issued.before
	}
	return current
}

// recall makes up for the moves that an earlier leader recorded. The latest
// step is known only by its time, so it counts as if it had used up the cap.
func (p *Planner) recall(key shift.Key, planned state.Shares, profile *prof.Profile) {
	if p.recalled[key] {
		return
	}
	p.recalled[key] = true
	p.ledger.Restore(key, shift.NewEntry(planned.At(), profile.ShiftCap(), shift.CausePlan))
}

func partsOf(planned state.Shares) map[ident.Region]float64 {
	out := make(map[ident.Region]float64)
	for _, part := range planned.Shares() {
		out[part.Region()] = part.Fraction()
	}
	return out
}

// steps turns the steps of the planner into commands and records them.
func (p *Planner) steps(now time.Time, s Input, list []shift.Step) []Change {
	var out []Change
	for _, st := range list {
		if st.Moved() < sameShares {
			continue
		}
		key := st.Key()
		service, _ := s.config.Service(key.Service())
		profile, _ := s.config.Profile(service.Profile())
		rules := shift.NewProfile(shift.WithCap(profile.ShiftCap(), profile.ShiftWindow()+effectDelay))
		if err := p.ledger.RecordStep(st, rules, now); err != nil {
			continue
		}
		planned, _ := s.config.Shares(key.Service(), key.Origin())
		before, err := shift.NewShares(partsOf(planned))
		if err != nil {
			continue
		}
		p.issued[key] = step{before: before, after: st.Shares(), at: now}
		out = append(out, NewChange(setShares(key, st.Shares()), string(st.Cause())))
	}
	return out
}

func setShares(key shift.Key, shares shift.Shares) state.SetShares {
	var parts []state.Share
	for _, r := range shares.Regions() {
		parts = append(parts, state.NewShare(r, shares.Of(r)))
	}
	return state.NewSetShares(key.Service(), key.Origin(), parts)
}

// slotsOf sums the slots of the targets of a service that take new work.
// Targets whose drain begins within the lead count no more, so that load moves
// away ahead of it.
func slotsOf(now time.Time, s Input, service ident.Service, lead time.Duration) map[ident.Region]int {
	out := make(map[ident.Region]int)
	for _, t := range s.targets {
		if t.service == service && t.live && !drainedSoon(s.config, t, now, lead) {
			out[t.region] += t.slots
		}
	}
	return out
}

func drainedSoon(config *state.Config, t Target, now time.Time, lead time.Duration) bool {
	for _, d := range config.Drains() {
		if d.Scope().Kind() == state.ScopeRegion {
			continue
		}
		if covers(d.Scope(), t) && (d.Active(now) || d.Active(now.Add(lead))) {
			return true
		}
	}
	return false
}

// first places the load of a service that has no shares yet: in its own region
// where that is allowed and has slots, and otherwise in the allowed regions in
// proportion to their slots. Placing load that was nowhere before is no shift.
func (p *Planner) first(now time.Time, key shift.Key, profile *prof.Profile, slots map[ident.Region]int) []Change {
	if issued, ok := p.issued[key]; ok && now.Sub(issued.at) < issueTimeout {
		return nil
	}
	parts := make(map[ident.Region]float64)
	if profile.Allows(key.Origin()) && slots[key.Origin()] > 0 {
		parts[key.Origin()] = 1
	} else {
		total := 0
		for _, r := range profile.Regions() {
			total += slots[r]
		}
		for _, r := range profile.Regions() {
			if total > 0 {
				parts[r] = float64(slots[r]) / float64(total)
			}
		}
	}
	shares, err := shift.NewShares(parts)
	if err != nil {
		return nil
	}
	p.issued[key] = step{before: shares, after: shares, at: now}
	p.recalled[key] = true
	return []Change{NewChange(setShares(key, shares), "first-plan")}
}

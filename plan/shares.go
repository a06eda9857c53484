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

// issueTimeout is how long an issued step may be missing from the configuration
// before it is considered lost. It is longer than the timeout of a commit at the
// leader.
const issueTimeout = 6 * time.Second

// openDrainDuration is the assumed duration of a drain that lasts until it is
// cancelled.
const openDrainDuration = 365 * 24 * time.Hour

// step is an issued change of shares.
type step struct {
	before, after shift.Shares
	at            time.Time
}

// shares returns the next steps of the shares of all services.
func (p *Planner) shares(now time.Time, input Input) []Change {
	fleet, ok := input.config.Fleet()
	if !ok || !input.hasTargets {
		return nil
	}
	in := shift.NewInput(now, p.history, classes(input.config)...)
	addDrains(now, in, input)
	var out []Change
	for _, service := range input.config.Services() {
		profile, ok := input.config.Profile(service.Profile())
		if !ok {
			continue
		}
		slots := usableSlots(now, input, service.Service(), profile.ShiftWindow())
		addService(in, service, profile, slots)
		for _, origin := range fleet.Regions() {
			out = append(out, p.addKey(now, in, input, shift.NewKey(service.Service(), origin.Name()), profile, slots)...)
		}
	}
	for _, d := range input.demand {
		in.AddDemand(shift.NewKey(d.service, d.origin), d.class, d.slots, 0)
	}
	return append(out, p.steps(now, input, shift.Plan(in))...)
}

// classes returns the classes of all profiles, sorted from the lowest priority,
// which is refused first, to the highest.
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

// addDrains adds the drains of whole regions, from which load moves away before
// they begin. Drains of zones and targets reduce the usable slots instead.
func addDrains(now time.Time, in *shift.Input, input Input) {
	for _, d := range input.config.Drains() {
		if d.State() == state.DrainPlanned && d.Scope().Kind() == state.ScopeRegion {
			until := d.Until()
			if until.IsZero() {
				until = now.Add(openDrainDuration)
			}
			in.AddDrain(shift.NewDrain("", ident.Region(d.Scope().Name()), d.From(), until))
		}
	}
}

// addService adds the profile, the permitted regions and the capacity of a
// service.
func addService(in *shift.Input, service *prof.Service, profile *prof.Profile, slots map[ident.Region]int) {
	in.SetProfile(service.Service(), shift.NewProfile(
		shift.WithCap(profile.ShiftCap(), profile.ShiftWindow()+effectDelay), shift.WithHeadroom(profile.Headroom())))
	in.SetPermittedRegions(service.Service(), profile.Regions()...)
	for region, n := range slots {
		in.SetCapacity(service.Service(), region, float64(n))
	}
}

// addKey adds the shares of a service and an origin. If there are none yet, it
// returns the change that sets the initial ones.
func (p *Planner) addKey(now time.Time, in *shift.Input, input Input, key shift.Key, profile *prof.Profile,
	slots map[ident.Region]int,
) []Change {
	planned, ok := input.config.Shares(key.Service(), key.Origin())
	if !ok {
		return p.initialShares(now, key, profile, slots)
	}
	current, err := shift.NewShares(shareMap(planned))
	if err != nil {
		return nil
	}
	p.restoreHistory(key, planned, profile)
	issued, pending := p.issued[key]
	if pending && issued.after.DistanceTo(current) < sharesTolerance {
		pending = false
	}
	switch {
	case pending && now.Sub(issued.at) < issueTimeout:
		in.SetPending(key, current, issued.after)
	case planned.Revision() > input.inForce:
		in.SetPending(key, p.previousShares(key, current), current)
	default:
		delete(p.issued, key)
		in.SetShares(key, current)
	}
	return nil
}

// effectDelay is the longest time from the planning of a step until it takes
// effect at an entry host: the commit takes up to 5 s, and a host learns of it
// within its lease of 3 s. Planning extends windows by this delay, so that a
// late step and the next one do not exceed the cap together.
const effectDelay = 8 * time.Second

// sharesTolerance is the greatest shift that counts as rounding.
const sharesTolerance = 1e-9

// previousShares returns the shares that a host may still use.
func (p *Planner) previousShares(key shift.Key, current shift.Shares) shift.Shares {
	if issued, ok := p.issued[key]; ok {
		return issued.before
	}
	return current
}

// restoreHistory adds the latest step of an earlier leader to the history. Only
// its time is known, so it counts as if it had used up the cap.
func (p *Planner) restoreHistory(key shift.Key, planned state.Shares, profile *prof.Profile) {
	if p.restored[key] {
		return
	}
	p.restored[key] = true
	p.history.Restore(key, shift.NewEntry(planned.At(), profile.ShiftCap(), shift.CausePlan))
}

// shareMap returns the shares by region.
func shareMap(planned state.Shares) map[ident.Region]float64 {
	out := make(map[ident.Region]float64)
	for _, share := range planned.Shares() {
		out[share.Region()] = share.Fraction()
	}
	return out
}

// steps records the planned steps and returns them as changes.
func (p *Planner) steps(now time.Time, input Input, list []shift.Step) []Change {
	var out []Change
	for _, planned := range list {
		if planned.Moved() < sharesTolerance {
			continue
		}
		key := planned.Key()
		service, _ := input.config.Service(key.Service())
		profile, _ := input.config.Profile(service.Profile())
		rules := shift.NewProfile(shift.WithCap(profile.ShiftCap(), profile.ShiftWindow()+effectDelay))
		if err := p.history.RecordStep(planned, rules, now); err != nil {
			continue
		}
		current, _ := input.config.Shares(key.Service(), key.Origin())
		before, err := shift.NewShares(shareMap(current))
		if err != nil {
			continue
		}
		p.issued[key] = step{before: before, after: planned.Shares(), at: now}
		out = append(out, NewChange(setSharesCommand(key, planned.Shares()), string(planned.Cause())))
	}
	return out
}

func setSharesCommand(key shift.Key, shares shift.Shares) state.SetShares {
	var out []state.Share
	for _, r := range shares.Regions() {
		out = append(out, state.NewShare(r, shares.Of(r)))
	}
	return state.NewSetShares(key.Service(), key.Origin(), out)
}

// usableSlots returns by region the slots of the targets of a service that may
// get new work. Targets that are drained now or at the end of the lead time are
// not counted, so that load moves away before the drain.
func usableSlots(now time.Time, input Input, service ident.Service, lead time.Duration) map[ident.Region]int {
	out := make(map[ident.Region]int)
	for _, t := range input.targets {
		if t.service == service && t.live && !isDrainedWithin(input.config, t, now, lead) {
			out[t.region] += t.slots
		}
	}
	return out
}

// isDrainedWithin reports whether a zone or target drain includes the target now
// or at the end of the lead time.
func isDrainedWithin(config *state.Config, t Target, now time.Time, lead time.Duration) bool {
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

// initialShares returns the change that sets the shares of a service without
// shares: its whole load stays in the region of origin if that is permitted
// and has slots, and otherwise goes to the permitted regions in proportion to
// their slots. Setting initial shares does not count as a shift.
func (p *Planner) initialShares(now time.Time, key shift.Key, profile *prof.Profile, slots map[ident.Region]int) []Change {
	if issued, ok := p.issued[key]; ok && now.Sub(issued.at) < issueTimeout {
		return nil
	}
	fractions := make(map[ident.Region]float64)
	if profile.Allows(key.Origin()) && slots[key.Origin()] > 0 {
		fractions[key.Origin()] = 1
	} else {
		total := 0
		for _, r := range profile.Regions() {
			total += slots[r]
		}
		for _, r := range profile.Regions() {
			if total > 0 {
				fractions[r] = float64(slots[r]) / float64(total)
			}
		}
	}
	shares, err := shift.NewShares(fractions)
	if err != nil {
		return nil
	}
	p.issued[key] = step{before: shares, after: shares, at: now}
	p.restored[key] = true
	return []Change{NewChange(setSharesCommand(key, shares), "first-plan")}
}

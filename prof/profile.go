package prof

import (
	"fmt"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Bounds of a profile's fields.
const (
	MinShiftWindow = time.Second
	MaxShiftWindow = 24 * time.Hour
	MaxQueueLength = 100_000
	MaxWait        = 10 * time.Minute
	MinWeight      = 0.01
	MaxWeight      = 100
)

// Profile defines how the load of the services that use it is distributed,
// queued and retried.
type Profile struct {
	name         string
	shiftCap     float64
	shiftWindow  time.Duration
	regions      []ident.Region
	headroom     float64
	retryBudget  float64
	classes      []Class
	teamPolicies []TeamPolicy
	byTeam       map[ident.Team]int
	byClass      map[ident.Class]int
}

// ProfileOption sets an attribute of a profile.
type ProfileOption func(*Profile)

// WithShift sets the maximum fraction of the load, from 0 to 1, that may move
// between regions within any window of the given length. The default is 0.1
// within one minute.
func WithShift(fraction float64, window time.Duration) ProfileOption {
	return func(p *Profile) { p.shiftCap, p.shiftWindow = fraction, window }
}

// WithRegions adds regions that may serve load.
func WithRegions(regions ...ident.Region) ProfileOption {
	return func(p *Profile) { p.regions = append(p.regions, regions...) }
}

// WithHeadroom sets the fraction of the capacity, from 0 to 1, that the
// planned load leaves free. The default is 0.2.
func WithHeadroom(fraction float64) ProfileOption {
	return func(p *Profile) { p.headroom = fraction }
}

// WithRetryBudget sets the maximum ratio of retries to requests, from 0 to 1.
// The default is 0.1.
func WithRetryBudget(ratio float64) ProfileOption { return func(p *Profile) { p.retryBudget = ratio } }

// WithClass adds a request class. Classes must be added in descending order of
// importance.
func WithClass(class Class) ProfileOption {
	return func(p *Profile) { p.classes = append(p.classes, class) }
}

// WithTeamPolicy adds the policy for a team.
func WithTeamPolicy(policy TeamPolicy) ProfileOption {
	return func(p *Profile) { p.teamPolicies = append(p.teamPolicies, policy) }
}

// NewProfile returns a profile with the given attributes, or a
// *ValidationError. It requires at least one region and one class. At most one
// class may be urgent.
func NewProfile(name string, options ...ProfileOption) (*Profile, error) {
	p := &Profile{
		name: name, shiftCap: 0.1, shiftWindow: time.Minute, headroom: 0.2, retryBudget: 0.1,
		byTeam: make(map[ident.Team]int), byClass: make(map[ident.Class]int),
	}
	for _, o := range options {
		o(p)
	}
	var v validator
	v.checkName("name", name)
	v.checkFraction("shift.cap", p.shiftCap)
	v.checkDuration("shift.window", p.shiftWindow, MinShiftWindow, MaxShiftWindow)
	v.checkFraction("headroom", p.headroom)
	v.checkFraction("retry-budget", p.retryBudget)
	p.checkRegions(&v)
	p.checkClasses(&v)
	p.checkTeams(&v)
	if err := v.err(KindProfile, name); err != nil {
		return nil, fmt.Errorf("new profile: %w", err)
	}
	return p, nil
}

func (p *Profile) checkRegions(v *validator) {
	v.require(len(p.regions) > 0, "regions", "", "at least one region")
	seen := ident.NewSet[string]()
	for i, r := range p.regions {
		field := elementPath("regions", i, "")
		v.checkName(field, string(r))
		v.checkUnique(seen, field, string(r))
	}
}

func (p *Profile) checkClasses(v *validator) {
	v.require(len(p.classes) > 0, "classes", "", "at least one class")
	urgent := false
	for i, cl := range p.classes {
		v.checkName(elementPath("classes", i, "name"), string(cl.name))
		_, seen := p.byClass[cl.name]
		v.require(!seen, elementPath("classes", i, "name"), cl.name, "a class that is not listed before")
		p.byClass[cl.name] = i
		v.require(!urgent || !cl.urgent, elementPath("classes", i, "urgent"), cl.urgent, "at most one urgent class")
		urgent = urgent || cl.urgent
		v.checkCount(elementPath("classes", i, "queue-length"), int64(cl.queueLength), 0, MaxQueueLength)
		v.checkDuration(elementPath("classes", i, "longest-wait"), cl.maxWait, 0, MaxWait)
	}
}

func (p *Profile) checkTeams(v *validator) {
	for i, t := range p.teamPolicies {
		v.checkName(elementPath("teams", i, "team"), string(t.team))
		_, seen := p.byTeam[t.team]
		v.require(!seen, elementPath("teams", i, "team"), t.team, "a team that is not listed before")
		p.byTeam[t.team] = i
		v.require(!math.IsNaN(t.weight) && t.weight >= MinWeight && t.weight <= MaxWeight,
			elementPath("teams", i, "weight"), t.weight, fmt.Sprintf("a number from %v to %v", MinWeight, MaxWeight))
		_, known := p.byClass[t.class]
		v.require(known, elementPath("teams", i, "class"), t.class, "a class of this document")
	}
}

// Kind returns KindProfile.
func (p *Profile) Kind() Kind { return KindProfile }

// Name returns the name of the profile.
func (p *Profile) Name() string { return p.name }

// ShiftCap returns the maximum fraction of the load that may move within the
// shift window.
func (p *Profile) ShiftCap() float64 { return p.shiftCap }

// ShiftWindow returns the length of the window that ShiftCap applies to.
func (p *Profile) ShiftWindow() time.Duration { return p.shiftWindow }

// Regions returns the regions that may serve load, in the order of the
// document.
func (p *Profile) Regions() []ident.Region { return slices.Clone(p.regions) }

// Allows reports whether the region may serve load.
func (p *Profile) Allows(region ident.Region) bool { return slices.Contains(p.regions, region) }

// Headroom returns the fraction of the capacity that the planned load leaves
// free.
func (p *Profile) Headroom() float64 { return p.headroom }

// RetryBudget returns the maximum ratio of retries to requests.
func (p *Profile) RetryBudget() float64 { return p.retryBudget }

// Classes returns the classes in the order of the document, which is the
// descending order of importance.
func (p *Profile) Classes() []Class { return slices.Clone(p.classes) }

// Class returns the class with the given name, if it exists.
func (p *Profile) Class(name ident.Class) (Class, bool) {
	i, ok := p.byClass[name]
	if !ok {
		return Class{}, false
	}
	return p.classes[i], true
}

// Rank returns the rank of a class by importance, and whether the class
// exists. The urgent class has rank 0. The others follow in the order of the
// document. Load shedding starts with the greatest rank.
func (p *Profile) Rank(name ident.Class) (int, bool) {
	index, ok := p.byClass[name]
	if !ok {
		return 0, false
	}
	if p.classes[index].urgent {
		return 0, true
	}
	for _, cl := range p.classes[index+1:] {
		if cl.urgent {
			return index + 1, true
		}
	}
	return index, true
}

// TeamPolicies returns the team policies in the order of the document.
func (p *Profile) TeamPolicies() []TeamPolicy { return slices.Clone(p.teamPolicies) }

// TeamPolicy returns the policy for a team. The default, for a team without a
// policy or a caller without a key (the empty team), is weight 1 and the first
// class that is not urgent.
func (p *Profile) TeamPolicy(team ident.Team) TeamPolicy {
	if i, ok := p.byTeam[team]; ok {
		return p.teamPolicies[i]
	}
	class := p.classes[0].name
	for _, cl := range p.classes {
		if !cl.urgent {
			class = cl.name
			break
		}
	}
	return TeamPolicy{team: team, weight: 1, class: class}
}

// ClassFor returns the class of a team's request on a route: the class of the
// route if it has one, and that of the team's policy otherwise.
func (p *Profile) ClassFor(route Route, team ident.Team) Class {
	if cl, ok := p.Class(route.class); ok {
		return cl
	}
	cl, _ := p.Class(p.TeamPolicy(team).class)
	return cl
}

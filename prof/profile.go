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

// Profile says how the load of the services that pick it is steered.
type Profile struct {
	name     string
	cap      float64
	window   time.Duration
	regions  []ident.Region
	headroom float64
	budget   float64
	classes  []Class
	teams    []TeamPolicy
	byTeam   map[ident.Team]int
	byClass  map[ident.Class]int
}

// ProfileOption sets a part of a profile.
type ProfileOption func(*Profile)

// WithShift sets the share of load, 0 to 1, that may move between regions
// within any window of the given length. The default is 0.1 in one minute.
func WithShift(cap float64, window time.Duration) ProfileOption {
	return func(p *Profile) { p.cap, p.window = cap, window }
}

// WithRegions adds regions that may take load.
func WithRegions(regions ...ident.Region) ProfileOption {
	return func(p *Profile) { p.regions = append(p.regions, regions...) }
}

// WithHeadroom sets the share of capacity, 0 to 1, that planned load leaves
// free. The default is 0.2.
func WithHeadroom(share float64) ProfileOption { return func(p *Profile) { p.headroom = share } }

// WithRetryBudget sets the share of requests, 0 to 1, that may be retried.
// The default is 0.1.
func WithRetryBudget(share float64) ProfileOption { return func(p *Profile) { p.budget = share } }

// WithClass adds a request class. Classes are added from the most to the least
// important.
func WithClass(class Class) ProfileOption {
	return func(p *Profile) { p.classes = append(p.classes, class) }
}

// WithTeamPolicy says how the requests of a team are treated.
func WithTeamPolicy(treatment TeamPolicy) ProfileOption {
	return func(p *Profile) { p.teams = append(p.teams, treatment) }
}

// NewProfile returns the profile with the given parts, or a *ValidationError.
// It needs at least one region and one class; at most one class is urgent.
func NewProfile(name string, options ...ProfileOption) (*Profile, error) {
	p := &Profile{
		name: name, cap: 0.1, window: time.Minute, headroom: 0.2, budget: 0.1,
		byTeam: make(map[ident.Team]int), byClass: make(map[ident.Class]int),
	}
	for _, o := range options {
		o(p)
	}
	var c checker
	c.name("name", name)
	c.share("shift.cap", p.cap)
	c.duration("shift.window", p.window, MinShiftWindow, MaxShiftWindow)
	c.share("headroom", p.headroom)
	c.share("retry-budget", p.budget)
	p.checkRegions(&c)
	p.checkClasses(&c)
	p.checkTeams(&c)
	if err := c.err(KindProfile, name); err != nil {
		return nil, fmt.Errorf("new profile: %w", err)
	}
	return p, nil
}

func (p *Profile) checkRegions(c *checker) {
	c.require(len(p.regions) > 0, "regions", "", "at least one region")
	seen := ident.NewSet[string]()
	for i, r := range p.regions {
		field := element("regions", i, "")
		c.name(field, string(r))
		c.unique(seen, field, string(r))
	}
}

func (p *Profile) checkClasses(c *checker) {
	c.require(len(p.classes) > 0, "classes", "", "at least one class")
	urgent := false
	for i, cl := range p.classes {
		c.name(element("classes", i, "name"), string(cl.name))
		_, seen := p.byClass[cl.name]
		c.require(!seen, element("classes", i, "name"), cl.name, "a class that is not listed before")
		p.byClass[cl.name] = i
		c.require(!urgent || !cl.urgent, element("classes", i, "urgent"), cl.urgent, "at most one urgent class")
		urgent = urgent || cl.urgent
		c.count(element("classes", i, "queue-length"), int64(cl.queue), 0, MaxQueueLength)
		c.duration(element("classes", i, "longest-wait"), cl.wait, 0, MaxWait)
	}
}

func (p *Profile) checkTeams(c *checker) {
	for i, t := range p.teams {
		c.name(element("teams", i, "team"), string(t.team))
		_, seen := p.byTeam[t.team]
		c.require(!seen, element("teams", i, "team"), t.team, "a team that is not listed before")
		p.byTeam[t.team] = i
		c.require(!math.IsNaN(t.weight) && t.weight >= MinWeight && t.weight <= MaxWeight,
			element("teams", i, "weight"), t.weight, fmt.Sprintf("a number from %v to %v", MinWeight, MaxWeight))
		_, known := p.byClass[t.class]
		c.require(known, element("teams", i, "class"), t.class, "a class of this document")
	}
}

// Kind returns KindProfile.
func (p *Profile) Kind() Kind { return KindProfile }

// Name returns the name of the profile.
func (p *Profile) Name() string { return p.name }

// ShiftCap returns the share of load that may move within the shift window.
func (p *Profile) ShiftCap() float64 { return p.cap }

// ShiftWindow returns the length of the window that the cap applies to.
func (p *Profile) ShiftWindow() time.Duration { return p.window }

// Regions returns the regions that may take load, in the order of the
// document.
func (p *Profile) Regions() []ident.Region { return slices.Clone(p.regions) }

// Allows reports whether the region may take load.
func (p *Profile) Allows(region ident.Region) bool { return slices.Contains(p.regions, region) }

// Headroom returns the share of capacity that planned load leaves free.
func (p *Profile) Headroom() float64 { return p.headroom }

// RetryBudget returns the share of requests that may be retried.
func (p *Profile) RetryBudget() float64 { return p.budget }

// Classes returns the classes from the most to the least important, in the
// order of the document.
func (p *Profile) Classes() []Class { return slices.Clone(p.classes) }

// Class returns the class of that name, if it exists.
func (p *Profile) Class(name ident.Class) (Class, bool) {
	i, ok := p.byClass[name]
	if !ok {
		return Class{}, false
	}
	return p.classes[i], true
}

// Rank returns the place of a class in the order of importance, and whether
// the class exists. The urgent class comes first, at 0; the others follow in
// the order of the document. Load is shed from the greatest rank down.
func (p *Profile) Rank(name ident.Class) (int, bool) {
	at, ok := p.byClass[name]
	if !ok {
		return 0, false
	}
	if p.classes[at].urgent {
		return 0, true
	}
	for _, cl := range p.classes[at+1:] {
		if cl.urgent {
			return at + 1, true
		}
	}
	return at, true
}

// TeamPolicies returns the teams that the document lists.
func (p *Profile) TeamPolicies() []TeamPolicy { return slices.Clone(p.teams) }

// TeamPolicy returns how the requests of a team are treated. A team that the
// document does not list, or a caller without a key (the empty team), has
// weight 1 and the first class that is not urgent.
func (p *Profile) TeamPolicy(team ident.Team) TeamPolicy {
	if i, ok := p.byTeam[team]; ok {
		return p.teams[i]
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
// route if it names one, otherwise the default class of the team.
func (p *Profile) ClassFor(route Route, team ident.Team) Class {
	if cl, ok := p.Class(route.class); ok {
		return cl
	}
	cl, _ := p.Class(p.TeamPolicy(team).class)
	return cl
}

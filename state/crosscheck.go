package state

import (
	"fmt"

	"rhubarbrack/ident"
	"rhubarbrack/prof"
)

// checkReferences returns the reason and the detail of a refusal if a document
// is inconsistent with the other documents, and an empty reason otherwise.
func (c *Config) checkReferences(document prof.Document) (Reason, string) {
	switch d := document.(type) {
	case *prof.Fleet:
		return c.checkFleet(d)
	case *prof.Profile:
		return c.checkProfile(d)
	case *prof.Service:
		return c.checkService(d)
	}
	return "", ""
}

func (c *Config) checkFleet(fleet *prof.Fleet) (Reason, string) {
	for _, p := range c.Profiles() {
		for _, r := range p.Regions() {
			if _, ok := fleet.Region(r); !ok {
				return ReasonInUse, fmt.Sprintf("region %q is missing, profile %q allows it", r, p.Name())
			}
		}
	}
	return "", ""
}

func (c *Config) checkProfile(profile *prof.Profile) (Reason, string) {
	fleet, _ := c.Fleet()
	for i, r := range profile.Regions() {
		if !hasRegion(fleet, r) {
			return ReasonUnknownRegion, fmt.Sprintf("regions[%d]: region %q is not in the fleet", i, r)
		}
	}
	for i, t := range profile.TeamPolicies() {
		if _, ok := c.Team(t.Team()); !ok {
			return ReasonUnknownTeam, fmt.Sprintf("teams[%d].team: there is no team %q", i, t.Team())
		}
	}
	for _, s := range c.Services() {
		if s.Profile() != profile.Name() {
			continue
		}
		if i, class, ok := findMissingClass(profile, s); ok {
			return ReasonInUse, fmt.Sprintf("class %q is missing, service %q names it in routes[%d]", class, s.Name(), i)
		}
	}
	return "", ""
}

func (c *Config) checkService(service *prof.Service) (Reason, string) {
	profile, ok := c.Profile(service.Profile())
	if !ok {
		return ReasonUnknownProfile, fmt.Sprintf("profile: there is no profile %q", service.Profile())
	}
	if i, class, ok := findMissingClass(profile, service); ok {
		return ReasonUnknownClass, fmt.Sprintf("routes[%d].class: profile %q has no class %q", i, profile.Name(), class)
	}
	for i, h := range service.Hosts() {
		if owner, ok := c.hosts.get(h); ok && owner != service.Service() {
			return ReasonHostTaken, fmt.Sprintf("hosts[%d]: %q belongs to service %q", i, h, owner)
		}
	}
	return "", ""
}

// findMissingClass returns the index and the class of the first route of a
// service whose class is not defined in the profile.
func findMissingClass(profile *prof.Profile, service *prof.Service) (int, ident.Class, bool) {
	for i, r := range service.Routes() {
		if r.Class() == "" {
			continue
		}
		if _, ok := profile.Class(r.Class()); !ok {
			return i, r.Class(), true
		}
	}
	return 0, "", false
}

func hasRegion(fleet *prof.Fleet, region ident.Region) bool {
	if fleet == nil {
		return false
	}
	_, ok := fleet.Region(region)
	return ok
}

package state

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
)

// sumTolerance is the tolerated rounding error in the sum of the shares.
const sumTolerance = 1e-6

// SetShares sets the distribution of a service's load from an origin region.
type SetShares struct {
	sharedBase
	service ident.Service
	origin  ident.Region
	shares  []Share
}

var _ configCommand = SetShares{}

// NewSetShares returns a command that sets the shares. They are fractions from
// 0 to 1 with a sum of 1, at most one for each region.
func NewSetShares(service ident.Service, origin ident.Region, shares []Share) SetShares {
	sorted := slices.Clone(shares)
	slices.SortStableFunc(sorted, func(a, b Share) int { return cmp.Compare(a.region, b.region) })
	return SetShares{service: service, origin: origin, shares: sorted}
}

// Kind returns "set-shares".
func (s SetShares) Kind() string { return "set-shares" }

// Service returns the service.
func (s SetShares) Service() ident.Service { return s.service }

// Origin returns the region where the load originates.
func (s SetShares) Origin() ident.Region { return s.origin }

// Shares returns the shares, sorted by region.
func (s SetShares) Shares() []Share { return slices.Clone(s.shares) }

func (s SetShares) stamp(at time.Time) Command { s.at = at; return s }

func (s SetShares) apply(c *Config, revision ident.Revision) (*Config, Outcome) {
	if _, ok := c.Service(s.service); !ok {
		return c, refuse(ReasonUnknownService, "there is no service %q", s.service)
	}
	fleet, _ := c.Fleet()
	if !hasRegion(fleet, s.origin) {
		return c, refuse(ReasonUnknownRegion, "region %q is not in the fleet", s.origin)
	}
	// Regions that the profile no longer allows are accepted: the shift cap
	// bounds how fast load moves out of them.
	for _, sh := range s.shares {
		if !hasRegion(fleet, sh.region) {
			return c, refuse(ReasonUnknownRegion, "region %q is not in the fleet", sh.region)
		}
	}
	if detail := s.validate(); detail != "" {
		return c, refuse(ReasonInvalid, "%s", detail)
	}
	next := *c
	next.shares = c.shares.set(sharesKey(s.service, s.origin), Shares{service: s.service, origin: s.origin,
		shares: s.shares, at: s.at, revision: revision})
	return &next, accept(true)
}

func (s SetShares) validate() string {
	sum := 0.0
	for i, sh := range s.shares {
		if math.IsNaN(sh.fraction) || sh.fraction < 0 || sh.fraction > 1 {
			return fmt.Sprintf("share %v of region %q: want a number from 0 to 1", sh.fraction, sh.region)
		}
		if i > 0 && s.shares[i-1].region == sh.region {
			return fmt.Sprintf("region %q occurs twice", sh.region)
		}
		sum += sh.fraction
	}
	if math.Abs(sum-1) > sumTolerance {
		return fmt.Sprintf("the shares sum up to %v, not to 1", sum)
	}
	return ""
}

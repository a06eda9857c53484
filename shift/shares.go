package shift

import (
	"fmt"
	"math"
	"slices"

	"github.com/juju/errors"

	"rhubarbrack/ident"
)

// ErrShares is returned for shares that are negative or do not add up to 1.
const ErrShares = errors.ConstError("invalid shares")

// shareTolerance is how far the sum of shares may be from 1.
const shareTolerance = 1e-6

// Shares is the share of requests that each region serves. It is immutable.
type Shares struct {
	regions []ident.Region
	values  []float64
}

// NewShares returns the given shares without those that are 0, scaled to add
// up to 1. It returns ErrShares when a share is negative or not a number, or
// when the sum is further from 1 than rounding explains.
func NewShares(shares map[ident.Region]float64) (Shares, error) {
	sum := 0.0
	for r, v := range shares {
		if !(v >= 0) {
			return Shares{}, fmt.Errorf("share %v of region %s: %w", v, r, ErrShares)
		}
		sum += v
	}
	if math.Abs(sum-1) > shareTolerance {
		return Shares{}, fmt.Errorf("sum %v: %w", sum, ErrShares)
	}
	s := Shares{}
	for r, v := range shares {
		if v > 0 {
			s.regions = append(s.regions, r)
		}
	}
	slices.Sort(s.regions)
	for _, r := range s.regions {
		s.values = append(s.values, shares[r]/sum)
	}
	return s, nil
}

// Regions returns the regions with a share, sorted. The caller must not change
// the slice.
func (s Shares) Regions() []ident.Region { return s.regions }

// Of returns the share of a region.
func (s Shares) Of(r ident.Region) float64 {
	i, ok := slices.BinarySearch(s.regions, r)
	if !ok {
		return 0
	}
	return s.values[i]
}

// DistanceTo returns the size of the shift to other shares: half the L1 distance,
// from 0 to 1.
func (s Shares) DistanceTo(to Shares) float64 {
	sum := 0.0
	i, j := 0, 0
	for i < len(s.regions) && j < len(to.regions) {
		switch {
		case s.regions[i] < to.regions[j]:
			sum += s.values[i]
			i++
		case s.regions[i] > to.regions[j]:
			sum += to.values[j]
			j++
		default:
			sum += math.Abs(s.values[i] - to.values[j])
			i++
			j++
		}
	}
	for ; i < len(s.regions); i++ {
		sum += s.values[i]
	}
	for ; j < len(to.regions); j++ {
		sum += to.values[j]
	}
	return sum / 2
}

// Key identifies the requests that shares apply to: a service and the region of
// origin.
type Key struct {
	service ident.Service
	origin  ident.Region
}

// NewKey returns the key of a service and a region of origin.
func NewKey(s ident.Service, origin ident.Region) Key { return Key{service: s, origin: origin} }

// Service returns the service.
func (k Key) Service() ident.Service { return k.service }

// Origin returns the region that the requests come from.
func (k Key) Origin() ident.Region { return k.origin }

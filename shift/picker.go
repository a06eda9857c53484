package shift

import "rhubarbrack/ident"

// Picker picks the region of each request by smooth weighted round robin, so
// that every prefix of the requests is distributed closely to the shares. It is
// not safe for concurrent use.
//
// Each region has a credit: the sum of its shares so far minus its requests. A
// pick adds the shares to the credits, which then sum to 1, and subtracts 1
// from the greatest.
//
// With k regions every credit c satisfies -1 < c <= H(k) - 1, where H(k) is
// 1 + 1/2 + ... + 1/k, so that the count of a region differs from the sum of
// its shares by less than max(1, H(k)-1): by less than 1 for up to 3 regions
// and less than 3 for 27.
//
// Lower bound: the greatest of k numbers with the sum 1 is at least 1/k, so
// the one picked stays above -1, and the others only rise.
//
// Upper bound: let a(j) = H(k) - H(j). After every pick the mean of any j
// credits is at most a(j); for j = k it is 0. Consider j credits after a pick.
// If the picked region is among them, their sum gained at most 1 and lost 1. If
// not, each of them is at most as great as the picked one before 1 is
// subtracted, so their mean is at most the mean of these j and the picked one,
// which is at most a(j+1) + 1/(j+1) = a(j). For j = 1 this bounds each credit by
// H(k) - 1.
//
// Neither step assumes constant shares, so the bound also holds when they
// change. Only when a region loses its whole share do the credits restart at 0,
// because such a region must get no further request, even if its credit is
// positive. Each restart adds the bound once more at most.
type Picker struct {
	shares  Shares
	credits []float64
}

// NewPicker returns a picker for shares of at least one region.
func NewPicker(s Shares) *Picker {
	return &Picker{shares: s, credits: make([]float64, len(s.regions))}
}

// Shares returns the shares in use.
func (p *Picker) Shares() Shares { return p.shares }

// SetShares sets the shares that are used from the next pick on.
func (p *Picker) SetShares(s Shares) {
	credits := make([]float64, len(s.regions))
	for i, r := range s.regions {
		for j, old := range p.shares.regions {
			if old == r {
				credits[i] = p.credits[j]
			}
		}
	}
	if p.losesRegion(s) {
		clear(credits)
	}
	p.shares, p.credits = s, credits
}

// losesRegion reports whether a region with a share has none in s.
func (p *Picker) losesRegion(s Shares) bool {
	for _, r := range p.shares.regions {
		if s.Of(r) == 0 {
			return true
		}
	}
	return false
}

// Pick returns the region of the next request, or "" when there is none.
func (p *Picker) Pick() ident.Region {
	if len(p.credits) == 0 {
		return ""
	}
	best := 0
	for i, v := range p.shares.values {
		p.credits[i] += v
		if p.credits[i] > p.credits[best] {
			best = i
		}
	}
	p.credits[best]--
	return p.shares.regions[best]
}

package shift

import "rhubarbrack/ident"

// Picker picks regions so that every prefix of requests is spread closely to
// the shares. It is not safe for concurrent use.
//
// Each region has a credit: the sum of its shares so far less its requests. A
// pick adds the shares to the credits, which then sum to 1, and takes 1 from
// the greatest.
//
// With k regions every credit c keeps -1 < c <= H(k) - 1, where H(k) is
// 1 + 1/2 + ... + 1/k, so that the count of a region differs from the sum of
// its shares by less than max(1, H(k)-1): by less than 1 for up to 3 regions
// and less than 3 for 27.
//
// Lower bound: the greatest of k numbers with the sum 1 is at least 1/k, so
// the one picked stays above -1, and the others only rise.
//
// Upper bound: let a(j) = H(k) - H(j). After every pick the mean of any j
// credits is at most a(j); for j = k it is 0. Take j credits after a pick. If
// the picked region is among them, their sum gained at most 1 and lost 1. If
// not, they are at most as great, before the 1 is taken, as the picked one, so
// their mean is at most that of the j+1 together with it, which is at most
// a(j+1) + 1/(j+1) = a(j). For j = 1 this bounds each credit by H(k) - 1.
//
// Neither step uses that shares stay the same, so the bound holds across
// changes as well. Only a region that loses its whole share restarts the
// credits at 0, because it must not be owed requests; each restart adds at
// most the bound once more.
type Picker struct {
	shares  Shares
	credits []float64
}

// NewPicker returns a sequence for shares of at least one region.
func NewPicker(s Shares) *Picker {
	return &Picker{shares: s, credits: make([]float64, len(s.regions))}
}

// Shares returns the shares that are realised.
func (q *Picker) Shares() Shares { return q.shares }

// SetShares changes the shares from the next pick on.
func (q *Picker) SetShares(s Shares) {
	credits := make([]float64, len(s.regions))
	for i, r := range s.regions {
		for j, old := range q.shares.regions {
			if old == r {
				credits[i] = q.credits[j]
			}
		}
	}
	if q.lost(s) {
		clear(credits)
	}
	q.shares, q.credits = s, credits
}

// lost reports whether a region has a share now and none in s.
func (q *Picker) lost(s Shares) bool {
	for _, r := range q.shares.regions {
		if s.Of(r) == 0 {
			return true
		}
	}
	return false
}

// Pick returns the region of the next request, or "" when there is none.
func (q *Picker) Pick() ident.Region {
	if len(q.credits) == 0 {
		return ""
	}
	best := 0
	for i, v := range q.shares.values {
		q.credits[i] += v
		if q.credits[i] > q.credits[best] {
			best = i
		}
	}
	q.credits[best]--
	return q.shares.regions[best]
}

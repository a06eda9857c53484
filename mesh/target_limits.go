package mesh

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/juju/errors"

	"rhubarbrack/ident"
	"rhubarbrack/spread"
)

const (
	// equalPart is the part of a rate limit that is divided equally among the
	// hosts. The rest is divided by what they would send, and a host that begins
	// to send to a target needs a share at once.
	equalPart = 0.1
	// limitRateUnit is the unit in which rate limits are encoded, in requests
	// per second, and maxLimitRate the largest one, which no target serves.
	limitRateUnit = 0.01
	maxLimitRate  = 1e6
	// limitAgeUnit and limitShareUnit are the units of encoded ages and shares.
	limitAgeUnit   = 10 * time.Millisecond
	limitShareUnit = 0.0001
)

// errBadLimits means that the encoded rate limits of targets cannot be decoded.
const errBadLimits = errors.ConstError("rate limits of targets cannot be decoded")

// targetLimit adds up the reports on a target's rate limit.
type targetLimit struct {
	target ident.Target
	limit  spread.RateLimit
	// statedAt is when the target stated the limit, by the latest report.
	statedAt time.Time
	// wanted is the number of requests that all hosts would have sent.
	wanted float64
}

// totalLimits returns the targets with a reported rate limit in the order of the
// list.
func totalLimits(list *listing, reports map[ident.Host]statsReport) []targetLimit {
	totals := map[string]*targetLimit{}
	for _, report := range reports {
		for _, record := range report.stats {
			if record.Limit == nil {
				continue
			}
			l, ok := totals[record.Target]
			if !ok {
				l = &targetLimit{target: ident.Target(record.Target)}
				totals[record.Target] = l
			}
			l.wanted += max(0, record.Limit.Wanted)
			if at := report.at.Add(-record.Limit.Age); !ok || at.After(l.statedAt) {
				l.statedAt, l.limit = at, record.Limit.rateLimit()
			}
		}
	}
	var limits []targetLimit
	for _, t := range list.targets {
		if l, ok := totals[string(t.id)]; ok {
			limits = append(limits, *l)
		}
	}
	return limits
}

// shareOf returns the share of a host that would have sent the given number of
// requests. The shares of all hosts add up to 1.
func (l targetLimit) shareOf(wanted float64, hosts int) float64 {
	equal := 1 / float64(max(hosts, 1))
	if l.wanted <= 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*max(0, wanted)/l.wanted
}

// limitShares returns the shares of a host in the limits, by its last report.
func (r *registry) limitShares(now time.Time, host ident.Host) []spread.LimitShare {
	if r.totals == nil {
		return nil
	}
	wanted := map[ident.Target]float64{}
	for _, record := range r.totals.reports[host].stats {
		if record.Limit != nil {
			wanted[ident.Target(record.Target)] = record.Limit.Wanted
		}
	}
	shares := make([]spread.LimitShare, len(r.totals.limits))
	for i, l := range r.totals.limits {
		shares[i] = spread.NewLimitShare(l.target, l.limit, now.Sub(l.statedAt), l.shareOf(wanted[l.target], len(r.hosts)))
	}
	return shares
}

// encodeLimits encodes shares by the positions of their targets in a list that
// the receiver has, in the order of the list. Each is a sequence of varints: the
// step from the previous position, the limit or 0 for none, its age, and the
// share.
func encodeLimits(shares []spread.LimitShare, index map[ident.Target]int) []byte {
	var b []byte
	next := 0
	for _, s := range shares {
		i, ok := index[s.Target()]
		if !ok || i < next {
			continue
		}
		b = binary.AppendUvarint(b, uint64(i-next))
		next = i + 1
		rate, _ := s.Limit().Rate()
		b = binary.AppendUvarint(b, uint64(math.Ceil(min(rate, maxLimitRate)/limitRateUnit)))
		b = binary.AppendUvarint(b, uint64(max(0, s.Age())/limitAgeUnit))
		b = binary.AppendUvarint(b, uint64(max(0, s.Share())/limitShareUnit))
	}
	return b
}

// decodeLimits decodes shares of targets of the given list.
func decodeLimits(b []byte, list []ListedTarget) ([]spread.LimitShare, error) {
	var shares []spread.LimitShare
	v := varints{rest: b}
	next := uint64(0)
	for len(v.rest) > 0 {
		step, rate, age, share := v.next(), v.next(), v.next(), v.next()
		if v.failed || step >= uint64(len(list)) || next+step >= uint64(len(list)) {
			return nil, fmt.Errorf("%w: position %d of %d", errBadLimits, next, len(list))
		}
		next += step
		shares = append(shares, spread.NewLimitShare(list[next].id, decodeLimit(rate),
			time.Duration(min(age, maxLimitAge))*limitAgeUnit, min(1, float64(share)*limitShareUnit)))
		next++
	}
	return shares, nil
}

// maxLimitAge is the largest encoded age.
const maxLimitAge = uint64(time.Hour / limitAgeUnit)

// decodeLimit returns the limit with the given encoded rate.
func decodeLimit(rate uint64) spread.RateLimit {
	if rate == 0 {
		return spread.RateLimit{}
	}
	return spread.NewRateLimit(min(float64(rate)*limitRateUnit, maxLimitRate))
}

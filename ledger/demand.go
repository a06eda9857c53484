package ledger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/plan"
	"rhubarbrack/route"
)

const (
	// demandTime is the time constant of the averages. They follow a doubling
	// of demand within seconds and smooth bursts of single teams.
	demandTime = 5 * time.Second
	// latencyWeight is the weight of one request in the average latency.
	latencyWeight = 0.05
	// leastSlots is the load below which a class is not reported.
	leastSlots = 0.001
)

// flow names the load of a class of a service.
type flow struct {
	service ident.Service
	class   ident.Class
}

// rate is what is known of one flow.
type rate struct {
	arrivals float64
	count    int
	latency  float64
}

// demand averages the load of each service and class. The load in slots is the
// product of arrivals per second and mean latency, which also counts requests
// that were refused for want of a slot.
type demand struct {
	rates map[flow]*rate
	since time.Time
}

func newDemand(now time.Time) *demand {
	return &demand{rates: make(map[flow]*rate), since: now}
}

// count adds a request that was admitted.
func (d *demand) count(result route.Result, latency time.Duration) {
	if result.Class() == "" || !wantsSlot(result) {
		return
	}
	f := flow{service: result.Service(), class: result.Class()}
	r, ok := d.rates[f]
	if !ok {
		r = &rate{}
		d.rates[f] = r
	}
	r.count++
	if result.Target() == "" {
		return
	}
	if r.latency == 0 {
		r.latency = latency.Seconds()
	}
	r.latency += latencyWeight * (latency.Seconds() - r.latency)
}

// wantsSlot reports whether a request came as far as the slots.
func wantsSlot(result route.Result) bool {
	return result.Target() != "" || result.Reason() == route.ReasonNoSlot || result.Reason() == route.ReasonNoRegion
}

// update moves the averages towards the counts since the last update, and
// returns the loads.
func (d *demand) update(now time.Time) []plan.Load {
	elapsed := now.Sub(d.since).Seconds()
	if elapsed <= 0 {
		return nil
	}
	d.since = now
	keep := math.Exp(-elapsed / demandTime.Seconds())
	var out []plan.Load
	for f, r := range d.rates {
		r.arrivals = r.arrivals*keep + float64(r.count)/elapsed*(1-keep)
		r.count = 0
		if slots := r.arrivals * r.latency; slots >= leastSlots {
			out = append(out, plan.NewLoad(f.service, "", f.class, slots))
		}
	}
	slices.SortFunc(out, func(a, b plan.Load) int {
		return cmp.Or(cmp.Compare(a.Service(), b.Service()), cmp.Compare(a.Class(), b.Class()))
	})
	return out
}

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
	// demandTimeConstant is the time constant of the moving average of the
	// arrival rate. The average follows a doubling of the demand within seconds
	// and smooths bursts of single teams.
	demandTimeConstant = 5 * time.Second
	// latencyWeight is the weight of a request in the moving average of the
	// latency.
	latencyWeight = 0.05
	// minReportedSlots is the demand in slots below which a class is not reported.
	minReportedSlots = 0.001
)

// demandKey identifies the demand of a class of a service.
type demandKey struct {
	service ident.Service
	class   ident.Class
}

// classDemand holds the measurements of a class of a service.
type classDemand struct {
	arrivalRate float64 // moving average of requests per second
	count       int     // requests since the last update
	latency     float64 // moving average in seconds
}

// demandEstimator estimates the demand of each service and class. The demand
// in slots is the product of the arrival rate and the mean latency. The arrival
// rate includes requests that were refused because no slot was available.
type demandEstimator struct {
	classes    map[demandKey]*classDemand
	lastUpdate time.Time
}

func newDemandEstimator(now time.Time) *demandEstimator {
	return &demandEstimator{classes: make(map[demandKey]*classDemand), lastUpdate: now}
}

// record adds a request. Requests that were refused before they requested a
// slot are ignored.
func (d *demandEstimator) record(result route.Result, latency time.Duration) {
	if result.Class() == "" || !requestedSlot(result) {
		return
	}
	key := demandKey{service: result.Service(), class: result.Class()}
	class, ok := d.classes[key]
	if !ok {
		class = &classDemand{}
		d.classes[key] = class
	}
	class.count++
	if result.Target() == "" {
		return
	}
	if class.latency == 0 {
		class.latency = latency.Seconds()
	}
	class.latency += latencyWeight * (latency.Seconds() - class.latency)
}

// requestedSlot reports whether a slot was requested for a request.
func requestedSlot(result route.Result) bool {
	return result.Target() != "" || result.Reason() == route.ReasonNoSlot || result.Reason() == route.ReasonNoRegion
}

// update updates the arrival rates with the requests since the last update. It
// returns the demand, sorted by service and class.
func (d *demandEstimator) update(now time.Time) []plan.Demand {
	elapsed := now.Sub(d.lastUpdate).Seconds()
	if elapsed <= 0 {
		return nil
	}
	d.lastUpdate = now
	decay := math.Exp(-elapsed / demandTimeConstant.Seconds())
	var out []plan.Demand
	for key, class := range d.classes {
		class.arrivalRate = class.arrivalRate*decay + float64(class.count)/elapsed*(1-decay)
		class.count = 0
		if slots := class.arrivalRate * class.latency; slots >= minReportedSlots {
			out = append(out, plan.NewDemand(key.service, "", key.class, slots))
		}
	}
	slices.SortFunc(out, func(a, b plan.Demand) int {
		return cmp.Or(cmp.Compare(a.Service(), b.Service()), cmp.Compare(a.Class(), b.Class()))
	})
	return out
}

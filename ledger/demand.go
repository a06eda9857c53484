package ledger

import (
	"math"
	"time"

	"rhubarbrack/ident"
)

// demandTime is the time constant of the average demand. It follows a doubling
// of demand within seconds and smooths bursts of single teams.
const demandTime = 5 * time.Second

// demand averages the requests per second of each service.
type demand struct {
	rates  map[ident.Service]float64
	counts map[ident.Service]int
	since  time.Time
}

func newDemand(now time.Time) *demand {
	return &demand{rates: make(map[ident.Service]float64), counts: make(map[ident.Service]int), since: now}
}

func (d *demand) count(s ident.Service) { d.counts[s]++ }

// update moves the averages towards the counts since the last update, and
// returns a copy of them.
func (d *demand) update(now time.Time) map[ident.Service]float64 {
	elapsed := now.Sub(d.since).Seconds()
	out := make(map[ident.Service]float64, len(d.rates))
	if elapsed <= 0 {
		return out
	}
	for s := range d.counts {
		if _, ok := d.rates[s]; !ok {
			d.rates[s] = 0
		}
	}
	keep := math.Exp(-elapsed / demandTime.Seconds())
	for s, rate := range d.rates {
		d.rates[s] = rate*keep + float64(d.counts[s])/elapsed*(1-keep)
		out[s] = d.rates[s]
	}
	d.counts, d.since = make(map[ident.Service]int), now
	return out
}

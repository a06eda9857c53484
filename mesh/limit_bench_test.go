package mesh

import (
	"fmt"
	"testing"
	"time"

	"rhubarbrack/spread"
)

// limitUse adds up the requests that targets got and those that their limits
// allow, and holds the largest ratio of the two in a span of limitSpan.
type limitUse struct {
	got, allowed, handedOver, peak float64
}

// measure runs a fleet with three times the demand that the limits allow, while a
// share of the hosts hand their requests to the others.
func (u *limitUse) measure(seed uint64, hosts, targets int, rate, cutOffShare float64) {
	f := newLimitFleet(seed, hosts, targets)
	demand := 3 * rate * float64(targets)
	f.cutOff(int(cutOffShare * float64(hosts)))
	// Hosts find out only by failed attempts that they are cut off, and a limit
	// leaves them few.
	f.run(10*time.Second, demand)
	for target := range f.targets {
		f.setLimit(target, spread.NewRateLimit(rate))
	}
	f.run(limitBindsAfter, demand)
	for _, target := range f.targets {
		target.arrivals = nil
	}
	f.handedOver = 0
	const d = 20 * time.Second
	f.run(d, demand)
	for _, target := range f.targets {
		u.got += float64(len(target.arrivals))
		u.allowed += rate * d.Seconds()
		u.peak = max(u.peak, float64(target.most(time.Time{}))/(rate*limitSpan.Seconds()))
	}
	u.handedOver += float64(f.handedOver)
}

// BenchmarkLimitUse reports how many requests targets get of those that their
// limits allow, with enough demand, on average and at most, and the share of them
// that a host has handed to another one.
func BenchmarkLimitUse(b *testing.B) {
	cases := []struct {
		hosts, targets int
		rate           float64
	}{
		{8, 1, 20},
		{8, 4, 5},
		{71, 4, 9.5},
		{295, 4, 9.5},
	}
	for _, c := range cases {
		for _, share := range []float64{0, 0.25, 0.5, 0.75} {
			b.Run(fmt.Sprintf("hosts-%d-targets-%d-rate-%v-cut-off-%v", c.hosts, c.targets, c.rate, share), func(b *testing.B) {
				var use limitUse
				for i := range b.N {
					use.measure(uint64(i), c.hosts, c.targets, c.rate, share)
				}
				b.ReportMetric(use.got/use.allowed, "admitted/allowed")
				b.ReportMetric(use.peak, "peak/allowed")
				b.ReportMetric(use.handedOver/use.got, "handed-over/admitted")
			})
		}
	}
}

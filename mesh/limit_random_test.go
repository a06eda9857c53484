package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"rhubarbrack/spread"
)

const limitSeed = 20261206

// disturb changes a limit or disturbs a host at random. Half of the hosts at most
// are out of contact with the leader at a time.
func (f *limitFleet) disturb() {
	now := f.clock.Now()
	h := f.hosts[f.random.IntN(len(f.hosts))]
	switch f.random.IntN(9) {
	case 0, 1:
		f.setLimit(f.random.IntN(len(f.targets)), spread.NewRateLimit(0.5+25*f.random.Float64()))
	case 2:
		f.setLimit(f.random.IntN(len(f.targets)), spread.RateLimit{})
	case 3, 4:
		h.isCutOff = !h.isCutOff
	case 5:
		f.restart(h)
	case 6:
		f.replaceLeader()
	case 7:
		f.hosts[f.random.IntN(len(f.hosts)/2)].until = now.Add(time.Duration(f.random.IntN(8000)) * time.Millisecond)
	default:
		f.callers = 1 + f.random.IntN(len(f.hosts))
	}
}

// TestLimitOfFleetInRandomOrder guards against targets that get more requests than
// their limits allow, summed over all hosts, whatever changes of the limits, hosts
// that hand requests over, restarts and losses of contact follow each other.
func TestLimitOfFleetInRandomOrder(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(limitSeed)
	p.MinSuccessfulTests = 150
	properties := gopter.NewProperties(p)
	sent, handedOver := 0, 0
	properties.Property("no span exceeds the limits", prop.ForAll(func(seed uint64, steps int) string {
		f := newLimitFleet(seed, 2+int(seed%7), 1+int(seed/7%3))
		start := f.clock.Now()
		for range steps {
			f.disturb()
			f.run(time.Duration(200+f.random.IntN(4000))*time.Millisecond, float64(1+f.random.IntN(120)))
		}
		sent, handedOver = sent+f.sent, handedOver+f.handedOver
		for _, target := range f.targets {
			if excess := target.excess(start, f.clock.Now()); excess > 0 {
				return fmt.Sprintf("%s got %.1f requests too many in %v, limits %v", target.id, excess, limitSpan, target.stated)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(5, 25)))
	properties.TestingRun(t)
	t.Logf("seed %d: %d requests sent, %d of them handed over", limitSeed, sent, handedOver)
	if sent < 10000 || handedOver < sent/10 {
		t.Errorf("%d requests sent, %d of them handed over: too few to mean anything", sent, handedOver)
	}
}

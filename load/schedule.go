package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// schedule generates the arrivals of a Poisson process whose rate may double
// at a fixed interval. The arrivals depend only on the seed, the stream number
// and the parameters of newSchedule.
type schedule struct {
	random           *rand.Rand
	rate             float64
	doublingInterval time.Duration
	maxFactor        float64
	offset           time.Duration
	weights          []float64
	weightSum        float64
}

func newSchedule(seed, stream uint64, rate float64, doublingInterval time.Duration, maxFactor float64, routes []Route) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, stream)), rate: rate, doublingInterval: doublingInterval, maxFactor: maxFactor}
	for _, r := range routes {
		s.weights = append(s.weights, r.weight)
		s.weightSum += r.weight
	}
	return s
}

// factor returns the factor by which the rate has grown at an offset from the
// start.
func (s *schedule) factor(offset time.Duration) float64 {
	if s.doublingInterval <= 0 {
		return 1
	}
	return min(s.maxFactor, math.Exp2(float64(offset)/float64(s.doublingInterval)))
}

// next returns the offset of the next arrival and the index of its route.
func (s *schedule) next() (time.Duration, int) {
	gap := s.random.ExpFloat64() / (s.rate * s.factor(s.offset))
	s.offset += time.Duration(gap * float64(time.Second))
	point := s.random.Float64() * s.weightSum
	for i, w := range s.weights {
		if point -= w; point < 0 {
			return s.offset, i
		}
	}
	return s.offset, len(s.weights) - 1
}

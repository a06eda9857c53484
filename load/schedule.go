package load

import (
	"math"
	"math/rand/v2"
	"time"
)

// schedule yields the arrivals of a Poisson stream whose rate may double over
// time. It depends on nothing but its seed.
type schedule struct {
	random  *rand.Rand
	rate    float64
	every   time.Duration
	most    float64
	offset  time.Duration
	weights []float64
	sum     float64
}

func newSchedule(seed, stream uint64, rate float64, every time.Duration, most float64, routes []Route) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, stream)), rate: rate, every: every, most: most}
	for _, r := range routes {
		s.weights = append(s.weights, r.weight)
		s.sum += r.weight
	}
	return s
}

// factor returns the growth of the rate at an offset from the start.
func (s *schedule) factor(offset time.Duration) float64 {
	if s.every <= 0 {
		return 1
	}
	return min(s.most, math.Exp2(float64(offset)/float64(s.every)))
}

// next returns the offset of the next arrival and the index of its route.
func (s *schedule) next() (time.Duration, int) {
	gap := s.random.ExpFloat64() / (s.rate * s.factor(s.offset))
	s.offset += time.Duration(gap * float64(time.Second))
	at := s.random.Float64() * s.sum
	for i, w := range s.weights {
		if at -= w; at < 0 {
			return s.offset, i
		}
	}
	return s.offset, len(s.weights) - 1
}

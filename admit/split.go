package admit

import (
	"slices"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// split divides the requests of a route among its services by smooth weighted
// round robin, so that even short sequences keep the weights.
type split struct {
	parts   []scheme.WeightedService
	credits []float64
	sum     float64
}

func newSplit(parts []scheme.WeightedService) *split {
	s := &split{parts: parts, credits: make([]float64, len(parts))}
	for _, p := range parts {
		s.sum += p.Weight()
	}
	return s
}

func (s *split) isFor(parts []scheme.WeightedService) bool { return slices.Equal(s.parts, parts) }

// next returns the service of the next request.
func (s *split) next() ident.Service {
	best := 0
	for i, p := range s.parts {
		s.credits[i] += p.Weight()
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.sum
	return s.parts[best].Service()
}

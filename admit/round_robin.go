package admit

import (
	"slices"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// roundRobin distributes the requests of a route among its services by smooth
// weighted round robin, so that even short sequences match the weights.
type roundRobin struct {
	services []scheme.WeightedService
	// current holds the current weight of each service.
	current []float64
	total   float64
}

func newRoundRobin(services []scheme.WeightedService) *roundRobin {
	s := &roundRobin{services: services, current: make([]float64, len(services))}
	for _, p := range services {
		s.total += p.Weight()
	}
	return s
}

func (r *roundRobin) matches(services []scheme.WeightedService) bool {
	return slices.Equal(r.services, services)
}

// next returns the service of the next request.
func (r *roundRobin) next() ident.Service {
	best := 0
	for i, p := range r.services {
		r.current[i] += p.Weight()
		if r.current[i] > r.current[best] {
			best = i
		}
	}
	r.current[best] -= r.total
	return r.services[best].Service()
}

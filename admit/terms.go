package admit

import (
	"time"

	"rhubarbrack/ident"
	"rhubarbrack/scheme"
)

// Terms are what an entry host has decided on a request that it sends through
// another one: everything but the target. The other host neither needs the
// configuration nor counts the request towards a rate.
type Terms struct {
	route            string
	kind             scheme.Kind
	service          ident.Service
	team             ident.Team
	object           string
	latencyObjective time.Duration
	routeRegions     []ident.Region
	teamRegions      []ident.Region
	attempts         int
}

// NewTerms returns the terms of a request of a route's kind for a service. At
// most the given number of targets may get it. The team and the object may be
// empty. Regions restrict the targets unless their list is empty.
func NewTerms(
	route string, kind scheme.Kind, service ident.Service, team ident.Team, object string, latencyObjective time.Duration,
	routeRegions, teamRegions []ident.Region, attempts int,
) Terms {
	return Terms{
		route: route, kind: kind, service: service, team: team, object: object, latencyObjective: latencyObjective,
		routeRegions: routeRegions, teamRegions: teamRegions, attempts: attempts,
	}
}

// Route returns the name of the route.
func (t Terms) Route() string { return t.route }

// Kind tells how often the request may run.
func (t Terms) Kind() scheme.Kind { return t.kind }

// Service returns the service that must handle the request.
func (t Terms) Service() ident.Service { return t.service }

// Team returns the team, or "".
func (t Terms) Team() ident.Team { return t.team }

// Object returns the object of a route with affinity, or "".
func (t Terms) Object() string { return t.object }

// LatencyObjective returns the time within which a response should arrive.
func (t Terms) LatencyObjective() time.Duration { return t.latencyObjective }

// RouteRegions returns the regions that the route allows, or none for all.
func (t Terms) RouteRegions() []ident.Region { return t.routeRegions }

// TeamRegions returns the regions that the team allows, or none for all.
func (t Terms) TeamRegions() []ident.Region { return t.teamRegions }

// Attempts returns the number of targets that may get the request.
func (t Terms) Attempts() int { return t.attempts }

// state returns the state of a request with these terms.
func (t Terms) state(now time.Time, r Request) *RequestState {
	timeout := defaultTimeout
	if r.timeout > 0 {
		timeout = r.timeout
	}
	r.object = t.object
	return &RequestState{
		request: r, team: t.team, regions: t.teamRegions, service: t.service, arrived: now, deadline: now.Add(timeout),
		isForwarded: true,
		route: scheme.NewRoute(t.route, "", "", t.kind, nil, timeout, t.attempts,
			scheme.WithLatencyObjective(t.latencyObjective), scheme.WithAffinity(t.object != ""),
			scheme.WithRegions(t.routeRegions...)),
	}
}

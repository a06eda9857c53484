package spread

import (
	"slices"
	"time"

	"rhubarbrack/ident"
)

// Query describes the request for which a target is selected.
type Query struct {
	service          ident.Service
	object           string
	latencyObjective time.Duration
	bulk             bool
	routeRegions     []ident.Region
	teamRegions      []ident.Region
	tried            []ident.Target
}

// NewQuery returns a query. The object is empty for requests without affinity.
// Regions restrict the targets unless their list is empty; a target must
// satisfy both lists.
func NewQuery(
	service ident.Service, object string, latencyObjective time.Duration, bulk bool,
	routeRegions, teamRegions []ident.Region, tried []ident.Target,
) Query {
	return Query{
		service: service, object: object, latencyObjective: latencyObjective, bulk: bulk,
		routeRegions: routeRegions, teamRegions: teamRegions, tried: tried,
	}
}

func (q Query) allows(s *targetState) bool {
	return (len(q.routeRegions) == 0 || slices.Contains(q.routeRegions, s.region)) &&
		(len(q.teamRegions) == 0 || slices.Contains(q.teamRegions, s.region)) && !slices.Contains(q.tried, s.id)
}

// Reason tells how a target was selected, or why none was.
type Reason string

const (
	// Preferred is the first available target in the object's order.
	Preferred Reason = "home"
	// Overflow is a later target in the object's order.
	Overflow Reason = "spill"
	// LeastLoaded is the target with the smallest share of its slots in use.
	LeastLoaded Reason = "least-loaded"
	// Queued is the target with the shortest queue, when no target has a free
	// slot.
	Queued Reason = "queued"
	// NoTarget means that no target is eligible.
	NoTarget Reason = "no-target"
	// NoRoom means that all eligible targets are full.
	NoRoom Reason = "no-room"
)

// Choice is the target selected for one attempt.
type Choice struct {
	target Target
	// state is that of the target's process.
	state    *targetState
	reason   Reason
	load     float64
	loadAge  time.Duration
	chosenAt time.Time
	found    bool
	// isLimited is set if the request counts towards the target's rate limit.
	isLimited  bool
	retryAfter time.Duration
}

// Target returns the selected target.
func (c Choice) Target() Target { return c.target }

// Reason tells how the target was selected, or why none was.
func (c Choice) Reason() Reason { return c.reason }

// Load returns the estimated number of requests that the target held before.
func (c Choice) Load() float64 { return c.load }

// LoadAge returns the age of the report on which the load estimate is based.
func (c Choice) LoadAge() time.Duration { return c.loadAge }

// ChosenAt returns the time of the selection.
func (c Choice) ChosenAt() time.Time { return c.chosenAt }

// IsFound reports whether a target was selected.
func (c Choice) IsFound() bool { return c.found }

// RetryAfter returns the time after which a target may become available, if
// none was selected.
func (c Choice) RetryAfter() time.Duration { return c.retryAfter }

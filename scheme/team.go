package scheme

import (
	"time"

	"rhubarbrack/ident"
)

// Team is a customer whose callers share keys and a rate limit.
type Team struct {
	name     ident.Team
	keys     []string
	priority ident.Option[int]
	rate     float64
	burst    float64
	regions  []ident.Region
}

// NewTeam returns a team. The rate is in requests per second over all entry
// hosts, and the burst in additional requests; a rate of 0 means no limit. The
// priority, if present, overrides that of the routes.
func NewTeam(
	name ident.Team, keys []string, priority ident.Option[int], rate, burst float64, regions []ident.Region,
) *Team {
	return &Team{name: name, keys: keys, priority: priority, rate: rate, burst: burst, regions: regions}
}

// Name returns the name of the team.
func (t *Team) Name() ident.Team { return t.name }

// Priority returns the priority of the team's requests, if it overrides that
// of the route.
func (t *Team) Priority() ident.Option[int] { return t.priority }

// Rate returns the rate limit in requests per second, or 0 for none.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the number of requests that the team may send beyond its rate.
func (t *Team) Burst() float64 { return t.burst }

// Regions returns the regions in which the team's requests may run. An empty
// list means all. The slice must not be modified.
func (t *Team) Regions() []ident.Region { return t.regions }

// Service describes a group of interchangeable targets.
type Service struct {
	name        ident.Service
	healthPath  string
	connections int
	coldFor     time.Duration
	coldRate    float64
}

// NewService returns a service. Its targets accept the given number of
// connections in total. After a start they are cold for coldFor, and tolerate
// only coldRate requests per second.
func NewService(
	name ident.Service, healthPath string, connections int, coldFor time.Duration, coldRate float64,
) Service {
	return Service{
		name: name, healthPath: healthPath, connections: connections, coldFor: coldFor, coldRate: coldRate,
	}
}

// Name returns the name of the service.
func (s Service) Name() ident.Service { return s.name }

// HealthPath returns the path of the health check.
func (s Service) HealthPath() string { return s.healthPath }

// Connections returns the number of connections that a target accepts in
// total.
func (s Service) Connections() int { return s.connections }

// ColdFor returns how long a target is cold after its start.
func (s Service) ColdFor() time.Duration { return s.coldFor }

// ColdRate returns the requests per second that a cold target tolerates.
func (s Service) ColdRate() float64 { return s.coldRate }

// Limits bound the size and the timing of requests on a caller's connection.
type Limits struct {
	headerBytes int
	bodyBytes   int64
	headerTime  time.Duration
	idleTime    time.Duration
}

// NewLimits returns limits. Zero means no limit.
func NewLimits(headerBytes int, bodyBytes int64, headerTime, idleTime time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTime: headerTime, idleTime: idleTime}
}

// HeaderBytes returns the maximum size of a request header.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the maximum size of a request body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTime returns the maximum time for reading a request header.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// IdleTime returns how long an idle connection is kept open.
func (l Limits) IdleTime() time.Duration { return l.idleTime }

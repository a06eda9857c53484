package scheme

import (
	"time"

	"rhubarbrack/ident"
)

// Team is a group of callers that shares keys and a rate.
type Team struct {
	name     ident.Team
	keys     []string
	priority ident.Option[int]
	rate     float64
	burst    float64
	homes    []ident.Region
}

// NewTeam returns a team. The rate is in requests per second over all entry
// hosts, with the burst in requests on top; a rate of 0 means no limit. The
// priority replaces that of the routes when present.
func NewTeam(
	name ident.Team, keys []string, priority ident.Option[int], rate, burst float64, homes []ident.Region,
) *Team {
	return &Team{name: name, keys: keys, priority: priority, rate: rate, burst: burst, homes: homes}
}

// Name returns the name of the team.
func (t *Team) Name() ident.Team { return t.name }

// Priority returns the rank of the team's requests, if it replaces that of
// the route.
func (t *Team) Priority() ident.Option[int] { return t.priority }

// Rate returns the limit in requests per second, or 0 for none.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the requests that the team may send at once.
func (t *Team) Burst() float64 { return t.burst }

// Regions returns the regions in which the team's requests may run, or nothing
// when all may. The slice must not be modified.
func (t *Team) Regions() []ident.Region { return t.homes }

// Service describes the targets of one kind.
type Service struct {
	name        ident.Service
	healthPath  string
	connections int
	coldFor     time.Duration
	coldRate    float64
}

// NewService returns a service. Its targets accept the given number of
// connections from all callers, and are cold for coldFor after a start, when
// they tolerate coldRate requests per second.
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

// Connections returns how many connections a target accepts from all callers.
func (s Service) Connections() int { return s.connections }

// ColdFor returns how long a target is cold after its start.
func (s Service) ColdFor() time.Duration { return s.coldFor }

// ColdRate returns the requests per second that a cold target tolerates.
func (s Service) ColdRate() float64 { return s.coldRate }

// Limits bound what a caller's connection may send and how long it may idle.
type Limits struct {
	headerBytes int
	bodyBytes   int64
	headerTime  time.Duration
	idleTime    time.Duration
}

// NewLimits returns limits. Zero stands for no limit.
func NewLimits(headerBytes int, bodyBytes int64, headerTime, idleTime time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTime: headerTime, idleTime: idleTime}
}

// HeaderBytes returns the size of the largest header.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the size of the largest request body.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// HeaderTime returns the longest time in which a header arrives.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// IdleTime returns how long a connection without a request is kept.
func (l Limits) IdleTime() time.Duration { return l.idleTime }

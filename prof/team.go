package prof

import (
	"fmt"
	"math"

	"rhubarbrack/ident"
)

// The maximum rate and burst of a team. The total of all teams is below 1e5
// requests per second, so the bounds only catch typing errors.
const (
	MaxRate  = 1e6
	MaxBurst = 1_000_000
)

// Team is a tenant with its rate limit and burst, which apply across the
// fleet.
type Team struct {
	name  ident.Team
	rate  float64
	burst int64
}

// NewTeam returns a team with a rate limit in requests per second and a burst
// in requests, or a *ValidationError.
func NewTeam(name ident.Team, rate float64, burst int64) (*Team, error) {
	var v validator
	v.checkName("name", string(name))
	v.require(!math.IsNaN(rate) && rate > 0 && rate <= MaxRate, "rate", rate,
		"a number of requests per second above 0, up to 1000000")
	v.checkCount("burst", burst, 1, MaxBurst)
	if err := v.err(KindTeam, string(name)); err != nil {
		return nil, fmt.Errorf("new team: %w", err)
	}
	return &Team{name: name, rate: rate, burst: burst}, nil
}

// Kind returns KindTeam.
func (t *Team) Kind() Kind { return KindTeam }

// Name returns the name of the team as text.
func (t *Team) Name() string { return string(t.name) }

// Team returns the name of the team.
func (t *Team) Team() ident.Team { return t.name }

// Rate returns the rate limit in requests per second.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the number of requests that may be admitted at once.
func (t *Team) Burst() int64 { return t.burst }

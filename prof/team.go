package prof

import (
	"fmt"
	"math"

	"rhubarbrack/ident"
)

// The largest rate and burst of a team. The total of all teams today is below
// 1e5 requests per second; the bound catches slips of the keyboard.
const (
	MaxRate  = 1e6
	MaxBurst = 1_000_000
)

// Team is a tenant with its rate and burst, both counted across the fleet.
type Team struct {
	name  ident.Team
	rate  float64
	burst int64
}

// NewTeam returns a team with a rate in requests per second and a burst in
// requests, or a *ValidationError.
func NewTeam(name ident.Team, rate float64, burst int64) (*Team, error) {
	var c checker
	c.name("name", string(name))
	c.require(!math.IsNaN(rate) && rate > 0 && rate <= MaxRate, "rate", rate,
		"a number of requests per second above 0, up to 1000000")
	c.count("burst", burst, 1, MaxBurst)
	if err := c.err(KindTeam, string(name)); err != nil {
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

// Rate returns the admitted requests per second.
func (t *Team) Rate() float64 { return t.rate }

// Burst returns the requests that may be admitted at once.
func (t *Team) Burst() int64 { return t.burst }

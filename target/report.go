package target

import (
	"time"

	"rhubarbrack/ident"
)

// Paths of the endpoints that targets offer.
const (
	// PathHealth returns a HealthRecord.
	PathHealth = "/.rhubarbrack/health"
	// PathLoad returns a LoadRecord.
	PathLoad = "/.rhubarbrack/load"
)

// State is the state that a target reports about itself.
type State string

// The states of a target.
const (
	// Starting means that the target does not accept requests yet.
	Starting State = "starting"
	// Ready means that the target accepts requests.
	Ready State = "ready"
	// Leaving means that the target finishes its requests and accepts no new
	// ones.
	Leaving State = "leaving"
	// Broken means that the target cannot serve requests.
	Broken State = "broken"
)

// HealthRecord is the JSON form of a response of PathHealth.
type HealthRecord struct {
	State State `json:"state"`
}

// LoadRecord is the JSON form of a response of PathLoad, which must contain the
// slots. AgeMillis is the age of the numbers when the response was sent.
type LoadRecord struct {
	Slots     int   `json:"slots"`
	Busy      int   `json:"busy"`
	Queued    int   `json:"queued"`
	AgeMillis int64 `json:"age-ms"`
}

// Endpoint is a target to probe.
type Endpoint struct {
	target  ident.Target
	address string
}

// NewEndpoint returns the endpoint of a target at address, in the form
// host:port.
func NewEndpoint(target ident.Target, address string) Endpoint {
	return Endpoint{target: target, address: address}
}

// Target returns the name of the target.
func (e Endpoint) Target() ident.Target { return e.target }

// Address returns the address in the form host:port.
func (e Endpoint) Address() string { return e.address }

// Report contains what a target last reported about itself. When a probe
// fails, health and load keep their last values and times. Because reports can
// be wrong, they may only reduce the choice of targets.
type Report struct {
	endpoint Endpoint
	state    State
	healthAt time.Time
	load     LoadRecord
	loadAt   time.Time
	err      error
}

// Target returns the name of the target.
func (r Report) Target() ident.Target { return r.endpoint.target }

// Address returns the address that was probed.
func (r Report) Address() string { return r.endpoint.address }

// Health returns the last reported state and whether there is one.
func (r Report) Health() (State, bool) { return r.state, !r.healthAt.IsZero() }

// HealthAge returns the time since the start of the probe that returned the
// last reported state.
func (r Report) HealthAge(now time.Time) time.Duration { return now.Sub(r.healthAt) }

// Load returns the slots, the busy slots and the queued requests of the last
// load report, and whether there is one.
func (r Report) Load() (slots, busy, queued int, ok bool) {
	return r.load.Slots, r.load.Busy, r.load.Queued, !r.loadAt.IsZero()
}

// LoadAge returns the time since the start of the probe that returned the last
// reported load, plus the age that the target stated.
func (r Report) LoadAge(now time.Time) time.Duration { return now.Sub(r.loadAt) }

// Err returns the error of the latest probe, or nil if it returned health and
// load.
func (r Report) Err() error { return r.err }

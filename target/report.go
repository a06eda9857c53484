package target

import (
	"time"

	"rhubarbrack/ident"
)

// Paths of the endpoints that targets offer.
const (
	// PathHealth answers with a HealthRecord.
	PathHealth = "/.rhubarbrack/health"
	// PathLoad answers with a LoadRecord.
	PathLoad = "/.rhubarbrack/load"
)

// State is the condition that a target reports about itself.
type State string

// The states of a target.
const (
	// Starting means that the target does not take requests yet.
	Starting State = "starting"
	// Ready means that the target takes requests.
	Ready State = "ready"
	// Leaving means that the target finishes its requests and takes no new
	// ones.
	Leaving State = "leaving"
	// Broken means that the target cannot serve.
	Broken State = "broken"
)

// HealthRecord is the JSON form of an answer to PathHealth.
type HealthRecord struct {
	State State `json:"state"`
}

// LoadRecord is the JSON form of an answer to PathLoad. AgeMillis is the age
// of the figures when the answer was sent.
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

// Report is what is known of a target's own statements after one probe.
// Health and load keep their last values, with the times they stem from, when
// a probe fails. Statements can mislead, so they may only narrow a choice.
type Report struct {
	endpoint Endpoint
	state    State
	healthAt time.Time
	load     LoadRecord
	loadAt   time.Time
	fault    error
}

// Target returns the name of the target.
func (r Report) Target() ident.Target { return r.endpoint.target }

// Address returns the address that was probed.
func (r Report) Address() string { return r.endpoint.address }

// Health returns the last reported state and whether there is one.
func (r Report) Health() (State, bool) { return r.state, !r.healthAt.IsZero() }

// HealthAge returns the age of the last reported state, at least.
func (r Report) HealthAge(now time.Time) time.Duration { return now.Sub(r.healthAt) }

// Load returns the slots, the busy slots and the queued requests that were
// last reported, and whether there is such a report.
func (r Report) Load() (slots, busy, queued int, ok bool) {
	return r.load.Slots, r.load.Busy, r.load.Queued, !r.loadAt.IsZero()
}

// LoadAge returns the age of the last reported load, at least. It includes
// the age that the target stated.
func (r Report) LoadAge(now time.Time) time.Duration { return now.Sub(r.loadAt) }

// Err returns the error of the latest probe, or nil when it delivered health
// and load.
func (r Report) Err() error { return r.fault }

package lister

import (
	"fmt"
	"net/netip"
	"time"

	"rhubarbrack/ident"
)

// maxSlots limits the number of slots of one target.
const maxSlots = 10_000

// State tells whether a target takes new requests.
type State string

// The states of a target.
const (
	// Live means that the target takes new requests.
	Live State = "live"
	// Leaving means that the target is shutting down and takes no new requests.
	Leaving State = "leaving"
)

// Target is one entry of the list.
type Target struct {
	id      ident.Target
	service ident.Service
	address netip.AddrPort
	zone    ident.Zone
	region  ident.Region
	slots   int
	state   State
}

// NewTarget returns a target, or an error if an argument is invalid. Address has
// the form IP:PORT.
func NewTarget(id ident.Target, service ident.Service, address string, zone ident.Zone, region ident.Region,
	slots int, state State) (Target, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return Target{}, fmt.Errorf("target %q: address: %w", id, err)
	}
	t := Target{id: id, service: service, address: parsed, zone: zone, region: region, slots: slots, state: state}
	if err := t.validate(); err != nil {
		return Target{}, fmt.Errorf("target %q: %w", id, err)
	}
	return t, nil
}

func (t Target) validate() error {
	names := []struct{ kind, name string }{
		{"target", string(t.id)}, {"service", string(t.service)}, {"zone", string(t.zone)}, {"region", string(t.region)},
	}
	for _, n := range names {
		if err := ident.CheckName(n.kind, n.name); err != nil {
			return fmt.Errorf("check names: %w", err)
		}
	}
	if t.address.Port() == 0 {
		return fmt.Errorf("address %s: port is missing", t.address)
	}
	if t.slots < 1 || t.slots > maxSlots {
		return fmt.Errorf("%d slots: want 1 to %d", t.slots, maxSlots)
	}
	if t.state != Live && t.state != Leaving {
		return fmt.Errorf("state %q: want %s or %s", t.state, Live, Leaving)
	}
	return nil
}

// ID returns the ID of the target.
func (t Target) ID() ident.Target { return t.id }

// Service returns the service that the target belongs to.
func (t Target) Service() ident.Service { return t.service }

// Address returns the address in the form IP:PORT.
func (t Target) Address() string { return t.address.String() }

// Zone returns the availability zone.
func (t Target) Zone() ident.Zone { return t.zone }

// Region returns the region.
func (t Target) Region() ident.Region { return t.region }

// Slots returns the number of requests that the target runs concurrently.
func (t Target) Slots() int { return t.slots }

// State returns whether the target is live or leaving.
func (t Target) State() State { return t.state }

// WithState returns a copy with the given state.
func (t Target) WithState(s State) Target {
	t.state = s
	return t
}

// List is the last list received from the platform. It is immutable.
type List struct {
	targets     []Target
	requestedAt time.Time
	received    bool
	changes     uint64
	pollErr     error
}

// Targets returns the targets in the order of the platform. The slice must not be
// modified.
func (l List) Targets() []Target { return l.targets }

// Received reports whether a list has ever been received.
func (l List) Received() bool { return l.received }

// RequestedAt returns when the request was sent whose response last confirmed the
// list.
func (l List) RequestedAt() time.Time { return l.requestedAt }

// Age returns the time since RequestedAt. The list may be older than that by the
// lag of the platform itself.
func (l List) Age(now time.Time) time.Duration { return now.Sub(l.requestedAt) }

// Changes returns how many lists have been received so far, not counting
// confirmations of an unchanged list. A listener can use it to skip a list that
// it has already processed.
func (l List) Changes() uint64 { return l.changes }

// Err returns the error of the latest poll, or nil if it confirmed the list.
func (l List) Err() error { return l.pollErr }

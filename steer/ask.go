package steer

import (
	"time"

	"rhubarbrack/ident"
)

// Holder is a process of an entry host that holds grants.
type Holder struct {
	host        ident.Host
	incarnation ident.Incarnation
}

// NewHolder returns the holder for a process of a host.
func NewHolder(h ident.Host, i ident.Incarnation) Holder { return Holder{host: h, incarnation: i} }

// Host returns the host of the holder.
func (h Holder) Host() ident.Host { return h.host }

// Incarnation returns the process of the host.
func (h Holder) Incarnation() ident.Incarnation { return h.incarnation }

// SlotRequestID identifies an ask and the grant that answers it. A holder numbers its
// asks in ascending order and uses no number twice.
type SlotRequestID struct {
	holder Holder
	number uint64
}

// NewSlotRequestID returns the identifier of a holder's ask.
func NewSlotRequestID(h Holder, number uint64) SlotRequestID {
	return SlotRequestID{holder: h, number: number}
}

// Holder returns the process that asks.
func (a SlotRequestID) Holder() Holder { return a.holder }

// Number returns the number of the ask.
func (a SlotRequestID) Number() uint64 { return a.number }

// Class is what the pool needs to know of a request class.
type Class struct {
	name        ident.Class
	urgent      bool
	queueBound  int
	longestWait time.Duration
}

// NewClass returns a class. The queue bound limits the waiting asks of each
// team. A longest wait of zero leaves only the deadline.
func NewClass(name ident.Class, urgent bool, queueBound int, longestWait time.Duration) Class {
	return Class{name: name, urgent: urgent, queueBound: queueBound, longestWait: longestWait}
}

// Name returns the name of the class.
func (c Class) Name() ident.Class { return c.name }

// Urgent reports whether the class is served before all others.
func (c Class) Urgent() bool { return c.urgent }

// QueueBound returns how many asks of one team may wait.
func (c Class) QueueBound() int { return c.queueBound }

// LongestWait returns how long an ask may wait, or zero.
func (c Class) LongestWait() time.Duration { return c.longestWait }

// SlotRequest is a request for a slot.
type SlotRequest struct {
	id          SlotRequestID
	service     ident.Service
	team        ident.Team
	class       Class
	deadline    time.Time
	weight      int
	zone        ident.Zone
	fingerprint ident.Fingerprint
	avoid       []ident.Target
}

// SlotRequestOption sets an optional property of an ask.
type SlotRequestOption func(*SlotRequest)

// NewSlotRequest returns an ask that is refused unless it is granted before the
// deadline. Without options it has weight 1, no zone and no fingerprint.
func NewSlotRequest(id SlotRequestID, s ident.Service, t ident.Team, c Class, deadline time.Time, list ...SlotRequestOption) SlotRequest {
	a := SlotRequest{id: id, service: s, team: t, class: c, deadline: deadline, weight: 1}
	for _, apply := range list {
		apply(&a)
	}
	return a
}

// WithWeight sets the weight of the team, at least 1.
func WithWeight(weight int) SlotRequestOption {
	return func(a *SlotRequest) { a.weight = max(1, weight) }
}

// WithZone sets the caller's zone, whose targets are preferred.
func WithZone(z ident.Zone) SlotRequestOption { return func(a *SlotRequest) { a.zone = z } }

// WithFingerprint sets the fingerprint by which crashes are counted.
func WithFingerprint(f ident.Fingerprint) SlotRequestOption {
	return func(a *SlotRequest) { a.fingerprint = f }
}

// WithAvoid sets the targets that must not be chosen, such as the one that a
// first attempt used.
func WithAvoid(targets ...ident.Target) SlotRequestOption {
	return func(a *SlotRequest) { a.avoid = targets }
}

// WithID returns a copy of the ask under another identifier.
func (a SlotRequest) WithID(id SlotRequestID) SlotRequest {
	a.id = id
	return a
}

// ID returns the identifier of the ask.
func (a SlotRequest) ID() SlotRequestID { return a.id }

// Service returns the service that is to answer.
func (a SlotRequest) Service() ident.Service { return a.service }

// Team returns the team that the request runs for.
func (a SlotRequest) Team() ident.Team { return a.team }

// Class returns the request class.
func (a SlotRequest) Class() Class { return a.class }

// Deadline returns the time after which the ask is refused.
func (a SlotRequest) Deadline() time.Time { return a.deadline }

// Weight returns the weight of the team.
func (a SlotRequest) Weight() int { return a.weight }

// Zone returns the caller's zone, or the empty string.
func (a SlotRequest) Zone() ident.Zone { return a.zone }

// Fingerprint returns the fingerprint of the request, or zero.
func (a SlotRequest) Fingerprint() ident.Fingerprint { return a.fingerprint }

// Avoid returns the targets that must not be chosen. The caller must not
// change it.
func (a SlotRequest) Avoid() []ident.Target { return a.avoid }

// expiry returns when the ask is refused if it still waits.
func (a SlotRequest) expiry(now time.Time) time.Time {
	if w := a.class.longestWait; w > 0 {
		if end := now.Add(w); end.Before(a.deadline) {
			return end
		}
	}
	return a.deadline
}

package steer

import (
	"time"

	"rhubarbrack/ident"
)

// Holder identifies a process of an entry host that holds grants.
type Holder struct {
	host        ident.Host
	incarnation ident.Incarnation
}

// NewHolder returns the identifier of a process of a host.
func NewHolder(h ident.Host, i ident.Incarnation) Holder { return Holder{host: h, incarnation: i} }

// Host returns the host of the holder.
func (h Holder) Host() ident.Host { return h.host }

// Incarnation returns the incarnation number of the process.
func (h Holder) Incarnation() ident.Incarnation { return h.incarnation }

// SlotRequestID identifies a slot request and the grant made for it. A holder
// numbers its slot requests in ascending order and uses no number twice.
type SlotRequestID struct {
	holder Holder
	number uint64
}

// NewSlotRequestID returns the identifier of a holder's slot request.
func NewSlotRequestID(h Holder, number uint64) SlotRequestID {
	return SlotRequestID{holder: h, number: number}
}

// Holder returns the process that sent the request.
func (i SlotRequestID) Holder() Holder { return i.holder }

// Number returns the holder's number of the request.
func (i SlotRequestID) Number() uint64 { return i.number }

// Class holds the scheduling settings of a request class.
type Class struct {
	name        ident.Class
	urgent      bool
	queueLength int
	maxWait     time.Duration
}

// NewClass returns a class. The queue length limits the queued slot requests
// of each team. With a maximum wait of zero, only the deadline bounds the wait.
func NewClass(name ident.Class, urgent bool, queueLength int, maxWait time.Duration) Class {
	return Class{name: name, urgent: urgent, queueLength: queueLength, maxWait: maxWait}
}

// Name returns the name of the class.
func (c Class) Name() ident.Class { return c.name }

// Urgent reports whether the class has strict priority over classes that are
// not urgent.
func (c Class) Urgent() bool { return c.urgent }

// QueueLength returns how many slot requests of one team may be queued.
func (c Class) QueueLength() int { return c.queueLength }

// MaxWait returns how long a slot request may wait, or zero if only its
// deadline bounds the wait.
func (c Class) MaxWait() time.Duration { return c.maxWait }

// SlotRequest asks for a slot at a target of a service.
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

// SlotRequestOption sets an optional property of a slot request.
type SlotRequestOption func(*SlotRequest)

// NewSlotRequest returns a slot request that is refused unless it is granted
// before the deadline. Without options it has weight 1, no zone and no
// fingerprint.
func NewSlotRequest(id SlotRequestID, s ident.Service, t ident.Team, c Class, deadline time.Time, list ...SlotRequestOption) SlotRequest {
	r := SlotRequest{id: id, service: s, team: t, class: c, deadline: deadline, weight: 1}
	for _, apply := range list {
		apply(&r)
	}
	return r
}

// WithWeight sets the weight of the team, at least 1.
func WithWeight(weight int) SlotRequestOption {
	return func(r *SlotRequest) { r.weight = max(1, weight) }
}

// WithZone sets the caller's zone, whose targets are preferred.
func WithZone(z ident.Zone) SlotRequestOption { return func(r *SlotRequest) { r.zone = z } }

// WithFingerprint sets the fingerprint by which crashes are counted.
func WithFingerprint(f ident.Fingerprint) SlotRequestOption {
	return func(r *SlotRequest) { r.fingerprint = f }
}

// WithAvoid sets the targets that must not be chosen, such as the target of
// the first attempt.
func WithAvoid(targets ...ident.Target) SlotRequestOption {
	return func(r *SlotRequest) { r.avoid = targets }
}

// WithID returns a copy of the request with another identifier.
func (r SlotRequest) WithID(id SlotRequestID) SlotRequest {
	r.id = id
	return r
}

// ID returns the identifier of the request.
func (r SlotRequest) ID() SlotRequestID { return r.id }

// Service returns the requested service.
func (r SlotRequest) Service() ident.Service { return r.service }

// Team returns the team that the request runs for.
func (r SlotRequest) Team() ident.Team { return r.team }

// Class returns the request class.
func (r SlotRequest) Class() Class { return r.class }

// Deadline returns the time at which the request is refused if it has no
// slot.
func (r SlotRequest) Deadline() time.Time { return r.deadline }

// Weight returns the weight of the team.
func (r SlotRequest) Weight() int { return r.weight }

// Zone returns the caller's zone, or the empty string.
func (r SlotRequest) Zone() ident.Zone { return r.zone }

// Fingerprint returns the fingerprint of the caller's request, or zero.
func (r SlotRequest) Fingerprint() ident.Fingerprint { return r.fingerprint }

// Avoid returns the targets that must not be chosen. The caller must not
// change it.
func (r SlotRequest) Avoid() []ident.Target { return r.avoid }

// expiry returns when a request queued at now is refused: after the maximum
// wait of its class, at the latest at its deadline.
func (r SlotRequest) expiry(now time.Time) time.Time {
	if wait := r.class.maxWait; wait > 0 {
		if end := now.Add(wait); end.Before(r.deadline) {
			return end
		}
	}
	return r.deadline
}

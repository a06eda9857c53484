package steer

import (
	"time"

	"rhubarbrack/ident"
)

// State is the platform's state of a target.
type State string

// States of a target.
const (
	// StateLive means that the target may get new work.
	StateLive State = "live"
	// StateLeaving means that the target must get no new work.
	StateLeaving State = "leaving"
)

// Target is an entry of the platform's list.
type Target struct {
	id        ident.Target
	service   ident.Service
	address   string
	zone      ident.Zone
	slots     int
	state     State
	coldSince time.Time
}

// TargetOption sets an optional property of a target.
type TargetOption func(*Target)

// WithColdSince marks a target that started with an empty cache at the given
// time, from which its slow start begins.
func WithColdSince(t time.Time) TargetOption { return func(target *Target) { target.coldSince = t } }

// NewTarget returns a target with the given number of slots.
func NewTarget(id ident.Target, s ident.Service, address string, z ident.Zone, slots int, state State,
	list ...TargetOption,
) Target {
	t := Target{id: id, service: s, address: address, zone: z, slots: slots, state: state}
	for _, apply := range list {
		apply(&t)
	}
	return t
}

// ID returns the name of the target.
func (t Target) ID() ident.Target { return t.id }

// Service returns the service that the target offers.
func (t Target) Service() ident.Service { return t.service }

// Address returns the IP address and port.
func (t Target) Address() string { return t.address }

// Zone returns the availability zone.
func (t Target) Zone() ident.Zone { return t.zone }

// Slots returns how many requests the target may run at a time.
func (t Target) Slots() int { return t.slots }

// State returns the platform's state of the target.
func (t Target) State() State { return t.state }

// ProbeReport is the result of a probe of a target. A target that reports to
// be leaving gets no new work; health and load only exclude targets while they
// are fresh.
type ProbeReport struct {
	target  ident.Target
	at      time.Time
	healthy bool
	load    float64
	leaving bool
	idleAt  time.Time
}

// ProbeReportOption sets an optional property of a report.
type ProbeReportOption func(*ProbeReport)

// WithIdleAt states that the target had no running or queued request at the
// given time.
func WithIdleAt(at time.Time) ProbeReportOption { return func(r *ProbeReport) { r.idleAt = at } }

// NewProbeReport returns a report measured at the given time. A load of 1 means
// that the target is full.
func NewProbeReport(t ident.Target, at time.Time, healthy bool, load float64, leaving bool,
	list ...ProbeReportOption,
) ProbeReport {
	r := ProbeReport{target: t, at: at, healthy: healthy, load: load, leaving: leaving}
	for _, apply := range list {
		apply(&r)
	}
	return r
}

// Target returns the target that was probed.
func (r ProbeReport) Target() ident.Target { return r.target }

// At returns the time of the measurement.
func (r ProbeReport) At() time.Time { return r.at }

// Healthy returns the reported health.
func (r ProbeReport) Healthy() bool { return r.healthy }

// Load returns the reported load.
func (r ProbeReport) Load() float64 { return r.load }

// Leaving reports whether the target reported that it is leaving.
func (r ProbeReport) Leaving() bool { return r.leaving }

// Service holds the settings of a service in the pool.
type Service struct {
	name      ident.Service
	headroom  float64
	slowStart time.Duration
	timeout   time.Duration
}

// ServiceOption sets an optional property of a service.
type ServiceOption func(*Service)

// WithTimeout sets the maximum duration of each request of the service, from
// its arrival to the end of its response. Without it, or with zero, the pool
// learns only from reports and releases that a request has ended.
func WithTimeout(d time.Duration) ServiceOption { return func(s *Service) { s.timeout = d } }

// NewService returns the settings of a service: the share of its slots that
// is reserved for urgent classes, and the duration of slow start, over which
// the concurrency limit of new, recovered and cold targets grows to their slots.
func NewService(name ident.Service, headroom float64, slowStart time.Duration, list ...ServiceOption) Service {
	s := Service{name: name, headroom: headroom, slowStart: slowStart}
	for _, apply := range list {
		apply(&s)
	}
	return s
}

// Name returns the name of the service.
func (s Service) Name() ident.Service { return s.name }

// Headroom returns the share of slots reserved for urgent classes.
func (s Service) Headroom() float64 { return s.headroom }

// SlowStart returns the duration of the slow start.
func (s Service) SlowStart() time.Duration { return s.slowStart }

// Timeout returns the maximum duration of a request, or zero.
func (s Service) Timeout() time.Duration { return s.timeout }

// CrashGuard restricts requests that are suspected of crashing targets. A run
// is the use of one grant; the pool chooses its number.
type CrashGuard interface {
	// Banned returns until when requests with the fingerprint are refused.
	Banned(now time.Time, f ident.Fingerprint) (time.Time, bool)
	// Suspected reports whether runs of the fingerprint are restricted.
	Suspected(now time.Time, f ident.Fingerprint) bool
	// Admits reports whether a request with the fingerprint may start at the
	// target.
	Admits(now time.Time, f ident.Fingerprint, t ident.Target) bool
	// Started records a run.
	Started(run uint64, f ident.Fingerprint, t ident.Target)
	// Ended records the end of a run: whether the target sent a response, and
	// whether it crashed.
	Ended(now time.Time, run uint64, responded, crashed bool)
}

// noopCrashGuard suspects no request.
type noopCrashGuard struct{}

var _ CrashGuard = noopCrashGuard{}

func (noopCrashGuard) Banned(time.Time, ident.Fingerprint) (time.Time, bool) {
	return time.Time{}, false
}
func (noopCrashGuard) Suspected(time.Time, ident.Fingerprint) bool            { return false }
func (noopCrashGuard) Admits(time.Time, ident.Fingerprint, ident.Target) bool { return true }
func (noopCrashGuard) Started(uint64, ident.Fingerprint, ident.Target)        {}
func (noopCrashGuard) Ended(_ time.Time, _ uint64, _, _ bool)                 {}

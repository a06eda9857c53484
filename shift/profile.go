package shift

import (
	"time"

	"rhubarbrack/ident"
)

const (
	defaultCap      = 0.2
	defaultWindow   = time.Minute
	defaultHeadroom = 0.2
	// defaultRamp lets a region with cold caches take over load of a quarter
	// of its capacity per window.
	defaultRamp = 0.25
)

// Profile holds the rules for moving the load of one service.
type Profile struct {
	moveCap  float64
	window   time.Duration
	headroom float64
	ramp     float64
}

// ProfileOption changes a default of NewProfile.
type ProfileOption func(*Profile)

// WithCap sets the greatest share that may move within any window.
func WithCap(share float64, window time.Duration) ProfileOption {
	return func(p *Profile) { p.moveCap, p.window = share, window }
}

// WithHeadroom sets the share of a region's slots that planned load leaves
// free.
func WithHeadroom(part float64) ProfileOption { return func(p *Profile) { p.headroom = part } }

// WithRamp sets the load that may move to a region within a window, as a share
// of its capacity, because its caches are cold for that load.
func WithRamp(part float64) ProfileOption { return func(p *Profile) { p.ramp = part } }

// NewProfile returns a profile: a cap of 0.2 per minute, headroom 0.2, ramp
// 0.25 unless set otherwise.
func NewProfile(list ...ProfileOption) Profile {
	p := Profile{moveCap: defaultCap, window: defaultWindow, headroom: defaultHeadroom, ramp: defaultRamp}
	for _, apply := range list {
		apply(&p)
	}
	return p
}

// Cap returns the greatest share that may move within any window.
func (p Profile) Cap() float64 { return p.moveCap }

// Window returns the length of the window.
func (p Profile) Window() time.Duration { return p.window }

// Headroom returns the share of a region's slots that stays free.
func (p Profile) Headroom() float64 { return p.headroom }

// Drain is a planned period in which a region serves no requests of a service.
type Drain struct {
	service ident.Service
	region  ident.Region
	from    time.Time
	until   time.Time
}

// NewDrain returns a drain of a service in a region, or of all services when
// the service is "".
func NewDrain(s ident.Service, r ident.Region, from, until time.Time) Drain {
	return Drain{service: s, region: r, from: from, until: until}
}

func (d Drain) appliesTo(s ident.Service) bool { return d.service == "" || d.service == s }

// Step is a change of the shares of one key, with the requests to refuse until
// the next plan.
type Step struct {
	key      Key
	shares   Shares
	moved    float64
	cause    Cause
	inflows  map[ident.Region]float64
	refusals []Refusal
}

// Key returns what the shares are for.
func (s Step) Key() Key { return s.key }

// Shares returns the shares to set. They are the current ones when Moved is 0.
func (s Step) Shares() Shares { return s.shares }

// Moved returns the size of the shift.
func (s Step) Moved() float64 { return s.moved }

// Cause returns the reason why load moves.
func (s Step) Cause() Cause { return s.cause }

// Refusals returns the requests to refuse as not run, lowest class first.
func (s Step) Refusals() []Refusal { return s.refusals }

// Refusal is the fraction of a class's requests to a region that is to be
// refused.
type Refusal struct {
	region   ident.Region
	class    ident.Class
	fraction float64
}

// Region returns the region that lacks the capacity.
func (r Refusal) Region() ident.Region { return r.region }

// Class returns the class of the requests.
func (r Refusal) Class() ident.Class { return r.class }

// Fraction returns the fraction to refuse, above 0 and up to 1.
func (r Refusal) Fraction() float64 { return r.fraction }

package entry

import (
	"log/slog"
	"maps"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/limit"
)

// RateLimits contains the rate limits of all teams and the number of shards
// that the teams are distributed over. It is immutable.
type RateLimits struct {
	shards int
	limits map[ident.Team]limit.Limit
}

// NewRateLimits returns the limits of all teams. The role of the owner of a
// team is RateRole(limit.Shard(team, shards)).
func NewRateLimits(shards int, limits map[ident.Team]limit.Limit) RateLimits {
	return RateLimits{shards: shards, limits: maps.Clone(limits)}
}

// Shards returns the number of shards.
func (r RateLimits) Shards() int { return r.shards }

// Limit returns the limit of a team.
func (r RateLimits) Limit(t ident.Team) (limit.Limit, bool) {
	l, ok := r.limits[t]
	return l, ok
}

const (
	// rateTickInterval is the interval at which the rate tasks check for
	// expired waits, tokens to renew and missing reports to request again.
	rateTickInterval = 20 * time.Millisecond
	// defaultRateCallTimeout bounds a call of Rates.Grant. It includes the
	// time of a recall that the owner makes during the call.
	defaultRateCallTimeout = 500 * time.Millisecond
	// defaultRateRecallTimeout bounds a call of Rates.Holdings, so that an
	// unresponsive holder delays the requests of other hosts only briefly.
	defaultRateRecallTimeout = 150 * time.Millisecond
	// defaultRateMaxQueue bounds the waiting requests of one team.
	defaultRateMaxQueue = 2048
)

type rateOptions struct {
	clock         clock.Clock
	lifetime      time.Duration
	refillTimeout time.Duration
	maxWait       time.Duration
	callTimeout   time.Duration
	recallTimeout time.Duration
	maxQueue      int
	log           *slog.Logger
}

// RateOption changes a default of StartRateHolder or StartRateOwners.
type RateOption func(*rateOptions)

// WithRateClock sets the clock. The default is the system clock.
func WithRateClock(c clock.Clock) RateOption { return func(o *rateOptions) { o.clock = c } }

// WithRateLifetime sets how long a grant is valid. It must be the same on all
// hosts.
func WithRateLifetime(d time.Duration) RateOption { return func(o *rateOptions) { o.lifetime = d } }

// WithRateRefillTimeout sets how long a request waits for refill when its team
// has no tokens, before it is refused.
func WithRateRefillTimeout(d time.Duration) RateOption {
	return func(o *rateOptions) { o.refillTimeout = d }
}

// WithRateMaxWait sets how long a request waits while no owner responds.
func WithRateMaxWait(d time.Duration) RateOption { return func(o *rateOptions) { o.maxWait = d } }

// WithRateCallTimeout sets the timeout of a call of Rates.Grant.
func WithRateCallTimeout(d time.Duration) RateOption {
	return func(o *rateOptions) { o.callTimeout = d }
}

// WithRateRecallTimeout sets the timeout of a call of Rates.Holdings.
func WithRateRecallTimeout(d time.Duration) RateOption {
	return func(o *rateOptions) { o.recallTimeout = d }
}

// WithRateMaxQueue sets how many requests of one team may wait on a host.
func WithRateMaxQueue(n int) RateOption { return func(o *rateOptions) { o.maxQueue = n } }

// WithRateLogger sets the logger. The default is slog.Default().
func WithRateLogger(l *slog.Logger) RateOption { return func(o *rateOptions) { o.log = l } }

func newRateOptions(list []RateOption) rateOptions {
	o := rateOptions{
		clock:         clock.Wall(),
		lifetime:      limit.DefaultLifetime,
		refillTimeout: limit.DefaultRefillWait,
		maxWait:       limit.DefaultMaxWait,
		callTimeout:   defaultRateCallTimeout,
		recallTimeout: defaultRateRecallTimeout,
		maxQueue:      defaultRateMaxQueue,
		log:           slog.Default(),
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}

package entry

import (
	"log/slog"
	"maps"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/limit"
)

// RateLimits tells the rate tasks the limits of all teams and the number of
// shards that these are spread over. It is immutable.
type RateLimits struct {
	shards int
	limits map[ident.Team]limit.Limit
}

// NewRateLimits returns the limits of all teams. The role of a team's owner is
// RateRole(limit.Shard(team, shards)).
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
	// rateTick is the interval at which the rate tasks look for expired
	// waits, tokens to renew and reports to ask for again.
	rateTick = 20 * time.Millisecond
	// defaultRateCall bounds a call for tokens. It covers a recall that the
	// owner makes meanwhile.
	defaultRateCall = 500 * time.Millisecond
	// defaultRateRecall bounds a call for holdings, so that one silent
	// holder delays the requests of others little.
	defaultRateRecall = 150 * time.Millisecond
	// defaultRateQueue bounds the requests of one team that wait.
	defaultRateQueue = 2048
)

type rateOptions struct {
	clock    clock.Clock
	lifetime time.Duration
	patience time.Duration
	maxWait  time.Duration
	call     time.Duration
	recall   time.Duration
	queue    int
	log      *slog.Logger
}

// RateOption changes a default of StartRateHolder or StartRateOwners.
type RateOption func(*rateOptions)

// WithRateClock sets the clock. The default is the clock of the machine.
func WithRateClock(c clock.Clock) RateOption { return func(o *rateOptions) { o.clock = c } }

// WithRateLifetime sets how long a grant is valid. It must be the same on all
// hosts.
func WithRateLifetime(d time.Duration) RateOption { return func(o *rateOptions) { o.lifetime = d } }

// WithRateRefillTimeout sets how long a request of a team without tokens waits for
// refill before it is refused.
func WithRateRefillTimeout(d time.Duration) RateOption {
	return func(o *rateOptions) { o.patience = d }
}

// WithRateMaxWait sets how long a request waits while no owner answers.
func WithRateMaxWait(d time.Duration) RateOption { return func(o *rateOptions) { o.maxWait = d } }

// WithRateCallTimeout sets the bound of a call for tokens.
func WithRateCallTimeout(d time.Duration) RateOption { return func(o *rateOptions) { o.call = d } }

// WithRateRecallTimeout sets the bound of a call for holdings.
func WithRateRecallTimeout(d time.Duration) RateOption { return func(o *rateOptions) { o.recall = d } }

// WithRateMaxQueue sets how many requests of one team may wait on a host.
func WithRateMaxQueue(n int) RateOption { return func(o *rateOptions) { o.queue = n } }

// WithRateLog sets the logger. The default is slog.Default().
func WithRateLog(l *slog.Logger) RateOption { return func(o *rateOptions) { o.log = l } }

func newRateOptions(list []RateOption) rateOptions {
	o := rateOptions{
		clock:    clock.Wall(),
		lifetime: limit.DefaultLifetime,
		patience: limit.DefaultPatience,
		maxWait:  limit.DefaultMaxWait,
		call:     defaultRateCall,
		recall:   defaultRateRecall,
		queue:    defaultRateQueue,
		log:      slog.Default(),
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}

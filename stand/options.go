package stand

import (
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/lister"
)

const (
	defaultSlots       = 4
	defaultServiceTime = 10 * time.Millisecond
	defaultSpread      = 0.5
	// defaultRuns bounds the records of a Target. A record takes about 1 KB.
	defaultRuns = 1 << 17
	// maxBodyBytes bounds the request body that a Target reads.
	maxBodyBytes = 64 << 20
)

type settings struct {
	clock        clock.Clock
	address      string
	id           ident.Target
	service      ident.Service
	zone         ident.Zone
	region       ident.Region
	slots        int
	queue        int
	seed         uint64
	serviceTime  time.Duration
	spread       float64
	coldRequests int
	coldFactor   float64
	restartAfter time.Duration
	runs         int
	lag          time.Duration
	targets      []lister.Target
}

// Option changes a default of StartTarget or StartPlatform.
type Option func(*settings)

// WithClock sets the clock. The default is the clock of the machine.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithAddress sets the address to listen at. The default is a free loopback
// port.
func WithAddress(address string) Option { return func(s *settings) { s.address = address } }

// WithID names the target. The default is "target-1".
func WithID(id ident.Target) Option { return func(s *settings) { s.id = id } }

// WithService sets the service. The default is "service".
func WithService(service ident.Service) Option { return func(s *settings) { s.service = service } }

// WithLocation sets zone and region. The defaults are "zone-1" and "region-1".
func WithLocation(zone ident.Zone, region ident.Region) Option {
	return func(s *settings) { s.zone, s.region = zone, region }
}

// WithSlots sets the number of requests served at a time. The default is 4.
func WithSlots(n int) Option { return func(s *settings) { s.slots = n } }

// WithQueue sets how many requests wait for a slot before the target sheds.
// The default is none.
func WithQueue(n int) Option { return func(s *settings) { s.queue = n } }

// WithSeed sets the seed of the service times. The default is 1.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithServiceTime sets the median and the spread of the service times. They
// are distributed log-normally; spread is the standard deviation of the
// logarithm, zero for a constant time. The defaults are 10 ms and 0.5.
func WithServiceTime(median time.Duration, spread float64) Option {
	return func(s *settings) { s.serviceTime, s.spread = median, spread }
}

// WithColdStart slows the first requests after each start: the first takes
// factor times its service time, and the factor falls linearly to one over
// the given number of requests.
func WithColdStart(requests int, factor float64) Option {
	return func(s *settings) { s.coldRequests, s.coldFactor = requests, factor }
}

// WithRestartAfter lets a crashed target start again after d. By default it
// stays down until Restart.
func WithRestartAfter(d time.Duration) Option { return func(s *settings) { s.restartAfter = d } }

// WithMaxRuns bounds the number of recorded requests. Later ones are only
// counted. The default is 131,072.
func WithMaxRuns(n int) Option { return func(s *settings) { s.runs = n } }

// WithLag sets how long a Platform's list lags behind its changes.
func WithLag(d time.Duration) Option { return func(s *settings) { s.lag = d } }

// WithTargets sets the first list of a Platform, which is served at once.
func WithTargets(targets ...lister.Target) Option { return func(s *settings) { s.targets = targets } }

func newSettings(options []Option) settings {
	s := settings{
		clock: clock.Wall(), address: "127.0.0.1:0",
		id: "target-1", service: "service", zone: "zone-1", region: "region-1",
		slots: defaultSlots, seed: 1, serviceTime: defaultServiceTime, spread: defaultSpread,
		coldFactor: 1, runs: defaultRuns,
	}
	for _, apply := range options {
		apply(&s)
	}
	return s
}

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
	// defaultMaxRuns bounds the memory for recorded runs. One run takes about
	// 1 KB.
	defaultMaxRuns = 1 << 17
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
	maxQueued    int
	seed         uint64
	serviceTime  time.Duration
	spread       float64
	coldRequests int
	coldFactor   float64
	restartAfter time.Duration
	maxRuns      int
	lag          time.Duration
	targets      []lister.Target
}

// Option changes a default of StartTarget or StartPlatform.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(s *settings) { s.clock = c } }

// WithAddress sets the address to listen on. The default is a free port of the
// loopback interface.
func WithAddress(address string) Option { return func(s *settings) { s.address = address } }

// WithID sets the ID of the target. The default is "target-1".
func WithID(id ident.Target) Option { return func(s *settings) { s.id = id } }

// WithService sets the service. The default is "service".
func WithService(service ident.Service) Option { return func(s *settings) { s.service = service } }

// WithLocation sets the zone and the region. The defaults are "zone-1" and "region-1".
func WithLocation(zone ident.Zone, region ident.Region) Option {
	return func(s *settings) { s.zone, s.region = zone, region }
}

// WithSlots sets the number of requests that are served concurrently. The
// default is 4.
func WithSlots(n int) Option { return func(s *settings) { s.slots = n } }

// WithQueue sets how many requests can wait for a slot. The target sheds further
// ones. The default is 0.
func WithQueue(n int) Option { return func(s *settings) { s.maxQueued = n } }

// WithSeed sets the seed of the service times. The default is 1.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithServiceTime sets the median and the spread of the service times. They
// have a log-normal distribution; spread is the standard deviation of the
// logarithm, 0 for a constant service time. The defaults are 10 ms and 0.5.
func WithServiceTime(median time.Duration, spread float64) Option {
	return func(s *settings) { s.serviceTime, s.spread = median, spread }
}

// WithColdStart makes the first requests after each start slower: the first takes
// factor times its service time, and the factor decreases linearly to 1 over the
// given number of requests.
func WithColdStart(requests int, factor float64) Option {
	return func(s *settings) { s.coldRequests, s.coldFactor = requests, factor }
}

// WithRestartAfter makes a crashed target restart after d. By default it stays
// down until Restart is called.
func WithRestartAfter(d time.Duration) Option { return func(s *settings) { s.restartAfter = d } }

// WithMaxRuns limits the number of recorded runs. Further ones are only counted. The
// default is 131,072.
func WithMaxRuns(n int) Option { return func(s *settings) { s.maxRuns = n } }

// WithLag sets the delay after which changes appear in the list of a Platform.
func WithLag(d time.Duration) Option { return func(s *settings) { s.lag = d } }

// WithTargets sets the initial list of a Platform, which is served without
// delay.
func WithTargets(targets ...lister.Target) Option { return func(s *settings) { s.targets = targets } }

func newSettings(options []Option) settings {
	s := settings{
		clock: clock.Wall(), address: "127.0.0.1:0",
		id: "target-1", service: "service", zone: "zone-1", region: "region-1",
		slots: defaultSlots, seed: 1, serviceTime: defaultServiceTime, spread: defaultSpread,
		coldFactor: 1, maxRuns: defaultMaxRuns,
	}
	for _, apply := range options {
		apply(&s)
	}
	return s
}

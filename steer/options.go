package steer

import "time"

const (
	// defaultZonePenalty is added to the utilisation of a target in another
	// zone. A hop between zones costs about 1 ms, which is worth a moderate
	// difference in load and no queueing.
	defaultZonePenalty = 0.25
	// defaultReportAge is how long a report of health or load counts.
	defaultReportAge = 3 * time.Second
	// defaultLeastChoice is the share of a service's slots that reports must
	// leave. Reports that exclude more are taken as misleading.
	defaultLeastChoice = 0.5
	// defaultFailures is the number of consecutive failures that ejects a
	// target.
	defaultFailures = 3
	// defaultEjection is the length of the first ejection. Each further one
	// is twice as long, up to longestEjection.
	defaultEjection = time.Second
	longestEjection = time.Minute
	// shedPause is how long a target that refused a request as too much load
	// is passed over.
	shedPause = 500 * time.Millisecond
	// refreshInterval bounds the age of scores that depend on time, such as
	// ramps and ejections.
	refreshInterval = 10 * time.Millisecond
	// outlierRatio is the ratio to the median latency from which a target
	// counts as an outlier, and greatestPenalty bounds its handicap.
	outlierRatio    = 2.0
	greatestPenalty = 8.0
	// leastSamples is the number of latencies below which a target is not
	// judged.
	leastSamples = 5
	// smoothing is the weight of a new sample in moving averages.
	smoothing = 0.1
	// leastRetryAfter and greatestRetryAfter bound the advice of refusals.
	leastRetryAfter    = 100 * time.Millisecond
	greatestRetryAfter = 30 * time.Second
	// timeoutMargin is added to a service's timeout before a request whose end
	// was not reported counts as ended. It covers the way of the cancellation
	// to the target (20 ms between regions), its handling on a busy machine,
	// and clocks that differ by up to 0.1% over a timeout of some minutes.
	timeoutMargin = 500 * time.Millisecond
)

type options struct {
	screen      CrashGuard
	zonePenalty float64
	reportAge   time.Duration
	leastChoice float64
	failures    int
	ejection    time.Duration
	takenOver   time.Time
}

// Option changes a default of New.
type Option func(*options)

// WithCrashGuard sets who judges requests suspected of crashing targets.
func WithCrashGuard(s CrashGuard) Option { return func(o *options) { o.screen = s } }

// WithReportAge sets how long reports of health and load count.
func WithReportAge(d time.Duration) Option { return func(o *options) { o.reportAge = d } }

// WithEjection sets the length of a first ejection.
func WithEjection(d time.Duration) Option { return func(o *options) { o.ejection = d } }

// WithTakeOver sets when the owner of the pool took over. From then on, no
// earlier owner grants slots, so that the requests of a holder that does not
// report are over when the timeout of their service has passed. Without it, a
// pool waits for the reports of all holders.
func WithTakeOver(now time.Time) Option { return func(o *options) { o.takenOver = now } }

func newOptions(list []Option) options {
	o := options{
		screen:      openScreen{},
		zonePenalty: defaultZonePenalty,
		reportAge:   defaultReportAge,
		leastChoice: defaultLeastChoice,
		failures:    defaultFailures,
		ejection:    defaultEjection,
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}

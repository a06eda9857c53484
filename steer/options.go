package steer

import "time"

const (
	// defaultZonePenalty is added to the utilisation of a target in another
	// zone. A hop between zones costs about 1 ms, which is worth a moderate
	// difference in load and no queueing.
	defaultZonePenalty = 0.25
	// defaultReportAge is how long a report of health or load counts.
	defaultReportAge = 3 * time.Second
	// defaultMinIncludedShare is the share of a service's slots that must
	// remain when reports exclude targets. Reports that exclude more are
	// treated as wrong and ignored.
	defaultMinIncludedShare = 0.5
	// defaultFailureThreshold is the number of consecutive failures that ejects a
	// target.
	defaultFailureThreshold = 3
	// defaultBaseEjection is the duration of the first ejection. Each further one
	// is twice as long, up to maxEjection.
	defaultBaseEjection = time.Second
	maxEjection         = time.Minute
	// shedBackoff is how long a target that shed a request is excluded.
	shedBackoff = 500 * time.Millisecond
	// refreshInterval bounds the age of scores that depend on time, such as
	// slow starts and ejections.
	refreshInterval = 10 * time.Millisecond
	// outlierRatio is the ratio to the median latency from which a target
	// counts as an outlier, and maxOutlierPenalty bounds its penalty.
	outlierRatio      = 2.0
	maxOutlierPenalty = 8.0
	// minLatencySamples is the number of samples that a target needs for its
	// latency to be compared with the others.
	minLatencySamples = 5
	// ewmaWeight is the weight of a new sample in exponentially weighted
	// moving averages.
	ewmaWeight = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay that refusals
	// advise.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// timeoutMargin is added to a service's timeout before a request whose end
	// was not reported counts as ended. It covers the network delay of the
	// cancellation (20 ms between regions), its handling on a busy host, and
	// clocks that differ by up to 0.1% over a timeout of some minutes.
	timeoutMargin = 500 * time.Millisecond
)

type options struct {
	guard            CrashGuard
	zonePenalty      float64
	reportAge        time.Duration
	minIncludedShare float64
	failureThreshold int
	baseEjection     time.Duration
	takeoverTime     time.Time
}

// Option changes a default of New.
type Option func(*options)

// WithCrashGuard sets the guard that restricts requests suspected of crashing
// targets. The default suspects none.
func WithCrashGuard(g CrashGuard) Option { return func(o *options) { o.guard = g } }

// WithReportAge sets how long reports of health and load are valid.
func WithReportAge(d time.Duration) Option { return func(o *options) { o.reportAge = d } }

// WithEjection sets the duration of a first ejection.
func WithEjection(d time.Duration) Option { return func(o *options) { o.baseEjection = d } }

// WithTakeoverTime sets when the owner of the pool took over. From then on, no
// earlier owner grants slots, so that the requests of a holder that does not
// report have ended when the timeout of their service has passed. Without it,
// the pool waits for the reports of all holders.
func WithTakeoverTime(now time.Time) Option { return func(o *options) { o.takeoverTime = now } }

func newOptions(list []Option) options {
	o := options{
		guard:            noopCrashGuard{},
		zonePenalty:      defaultZonePenalty,
		reportAge:        defaultReportAge,
		minIncludedShare: defaultMinIncludedShare,
		failureThreshold: defaultFailureThreshold,
		baseEjection:     defaultBaseEjection,
	}
	for _, apply := range list {
		apply(&o)
	}
	return o
}

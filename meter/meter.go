package meter

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbrack/ident"
)

// OtherLabel is the label that replaces label values beyond a bound.
const OtherLabel = "other"

const (
	defaultTeams   = 512
	defaultClasses = 16
	defaultReasons = 64
	defaultNames   = 256

	// sampleSize and sampleDecay are the values that go-metrics itself uses. The
	// sample is biased to the last five minutes, and its percentiles are accurate
	// to within 5%.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Meter collects the metrics of a process. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry

	mutex        sync.RWMutex
	metricsByKey map[key]any

	names   *labelSet
	teams   *labelSet
	classes *labelSet
	reasons *labelSet
}

// kind distinguishes metrics with the same name.
type kind int

const (
	counterKind kind = iota + 1
	refusalKind
	latencyKind
	gaugeKind
)

// key identifies a metric. Labels that do not apply are empty.
type key struct {
	kind   kind
	name   string
	team   string
	class  string
	reason string
}

var kindNames = map[kind]string{
	counterKind: "counter", refusalKind: "refusal", latencyKind: "latency", gaugeKind: "gauge",
}

// String returns the name of the metric in the registry.
func (k key) String() string {
	return strings.Join([]string{kindNames[k.kind], k.name, k.team, k.class, k.reason}, "/")
}

type settings struct {
	teams, classes, reasons, names int
}

// Option sets a bound of a Meter.
type Option func(*settings)

// WithTeams bounds the number of team labels. The default is 512.
func WithTeams(n int) Option { return func(s *settings) { s.teams = n } }

// WithClasses bounds the number of class labels. The default is 16.
func WithClasses(n int) Option { return func(s *settings) { s.classes = n } }

// WithReasons bounds the number of reason labels. The default is 64.
func WithReasons(n int) Option { return func(s *settings) { s.reasons = n } }

// WithNames bounds the total number of names of counters, histograms and
// gauges. The default is 256.
func WithNames(n int) Option { return func(s *settings) { s.names = n } }

// New returns a Meter without metrics.
func New(options ...Option) *Meter {
	s := settings{teams: defaultTeams, classes: defaultClasses, reasons: defaultReasons, names: defaultNames}
	for _, apply := range options {
		apply(&s)
	}
	return &Meter{
		registry:     metrics.NewRegistry(),
		metricsByKey: make(map[key]any),
		names:        newLabelSet(s.names),
		teams:        newLabelSet(s.teams),
		classes:      newLabelSet(s.classes),
		reasons:      newLabelSet(s.reasons),
	}
}

// Count adds n to the counter with the given name, team and class. The team
// and the class may be empty.
func (m *Meter) Count(name string, team ident.Team, class ident.Class, n int64) {
	getOrCreate(m, key{kind: counterKind, name: name, team: string(team), class: string(class)}, metrics.NewCounter).Inc(n)
}

// Refuse increments the counter of refused requests with the given team, class
// and reason.
func (m *Meter) Refuse(team ident.Team, class ident.Class, reason string) {
	getOrCreate(m, key{kind: refusalKind, team: string(team), class: string(class), reason: reason}, metrics.NewCounter).Inc(1)
}

// Observe adds a duration to the histogram with the given name, team and
// class. The team and the class may be empty.
func (m *Meter) Observe(name string, team ident.Team, class ident.Class, d time.Duration) {
	k := key{kind: latencyKind, name: name, team: string(team), class: string(class)}
	getOrCreate(m, k, newHistogram).Update(int64(d))
}

// SetGauge sets the gauge with the given name.
func (m *Meter) SetGauge(name string, value int64) {
	getOrCreate(m, key{kind: gaugeKind, name: name}, metrics.NewGauge).Update(value)
}

// Registry returns the go-metrics registry for use by exporters.
func (m *Meter) Registry() metrics.Registry { return m.registry }

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// getOrCreate returns the metric with the given key and creates it on first
// use. Keys with a label beyond its bound are never in the map, so they always
// take the slow path.
func getOrCreate[T any](m *Meter, k key, create func() T) T {
	m.mutex.RLock()
	found, ok := m.metricsByKey[k]
	m.mutex.RUnlock()
	if ok {
		return found.(T)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k = key{kind: k.kind, name: m.names.resolve(k.name), team: m.teams.resolve(k.team),
		class: m.classes.resolve(k.class), reason: m.reasons.resolve(k.reason)}
	if found, ok := m.metricsByKey[k]; ok {
		return found.(T)
	}
	created := create()
	m.metricsByKey[k] = created
	// Two keys can have the same name in the registry if labels contain slashes.
	// The registry then lacks the second metric, but Snapshot includes both.
	_ = m.registry.Register(k.String(), created)
	return created
}

// labelSet is a set of label values with bounded size. It is guarded by the
// mutex of the Meter.
type labelSet struct {
	limit int
	known ident.Set[string]
}

func newLabelSet(limit int) *labelSet { return &labelSet{limit: limit, known: ident.NewSet[string]()} }

// resolve adds a value to the set and returns it. It returns OtherLabel if the
// value is new and the set is full, and the empty string if there is no label.
func (l *labelSet) resolve(value string) string {
	if value == "" {
		return ""
	}
	if !l.known.Has(value) && l.known.Len() >= l.limit {
		return OtherLabel
	}
	// Cloning prevents the label from retaining the request that it is a
	// substring of.
	value = strings.Clone(value)
	l.known.Add(value)
	return value
}

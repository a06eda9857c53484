package meter

import (
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"rhubarbrack/ident"
)

// OtherLabel is the label under which values beyond a bound are counted.
const OtherLabel = "other"

const (
	defaultTeams   = 512
	defaultClasses = 16
	defaultReasons = 64
	defaultNames   = 256

	// sampleSize and sampleDecay are go-metrics' usual values: the sample
	// covers mainly the last five minutes, with percentiles within 5 %.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Meter holds the metrics of a process. It is safe for concurrent use.
type Meter struct {
	registry metrics.Registry

	mutex sync.RWMutex
	items map[key]any

	names   *labels
	teams   *labels
	classes *labels
	reasons *labels
}

// kind separates metrics of equal names.
type kind int

const (
	counterKind kind = iota + 1
	refusalKind
	latencyKind
	gaugeKind
)

// key identifies one metric. Unused labels are empty.
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

// String returns the name in the registry.
func (k key) String() string {
	return strings.Join([]string{kindNames[k.kind], k.name, k.team, k.class, k.reason}, "/")
}

type settings struct {
	teams, classes, reasons, names int
}

// Option changes a default of New.
type Option func(*settings)

// WithTeams bounds the number of teams. The default is 512.
func WithTeams(n int) Option { return func(s *settings) { s.teams = n } }

// WithClasses bounds the number of classes. The default is 16.
func WithClasses(n int) Option { return func(s *settings) { s.classes = n } }

// WithReasons bounds the number of reasons. The default is 64.
func WithReasons(n int) Option { return func(s *settings) { s.reasons = n } }

// WithNames bounds the number of names of counters, latencies and gauges
// together. The default is 256.
func WithNames(n int) Option { return func(s *settings) { s.names = n } }

// New returns a meter without metrics.
func New(options ...Option) *Meter {
	s := settings{teams: defaultTeams, classes: defaultClasses, reasons: defaultReasons, names: defaultNames}
	for _, apply := range options {
		apply(&s)
	}
	return &Meter{
		registry: metrics.NewRegistry(),
		items:    make(map[key]any),
		names:    newLabels(s.names),
		teams:    newLabels(s.teams),
		classes:  newLabels(s.classes),
		reasons:  newLabels(s.reasons),
	}
}

// Count adds n to the counter of the name for the team and class. Team and
// class may be empty.
func (m *Meter) Count(name string, team ident.Team, class ident.Class, n int64) {
	item(m, key{kind: counterKind, name: name, team: string(team), class: string(class)}, metrics.NewCounter).Inc(n)
}

// Refuse counts one refused request of the team and class under the reason.
func (m *Meter) Refuse(team ident.Team, class ident.Class, reason string) {
	item(m, key{kind: refusalKind, team: string(team), class: string(class), reason: reason}, metrics.NewCounter).Inc(1)
}

// Observe adds one duration to the histogram of the name for the team and
// class. Team and class may be empty.
func (m *Meter) Observe(name string, team ident.Team, class ident.Class, d time.Duration) {
	k := key{kind: latencyKind, name: name, team: string(team), class: string(class)}
	item(m, k, newHistogram).Update(int64(d))
}

// SetGauge sets the value of the name.
func (m *Meter) SetGauge(name string, value int64) {
	item(m, key{kind: gaugeKind, name: name}, metrics.NewGauge).Update(value)
}

// Registry returns the go-metrics registry, for exporters.
func (m *Meter) Registry() metrics.Registry { return m.registry }

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// item returns the metric of the key and makes it on first use. Keys with a
// label beyond its bound take the second way each time.
func item[T any](m *Meter, k key, make func() T) T {
	m.mutex.RLock()
	found, ok := m.items[k]
	m.mutex.RUnlock()
	if ok {
		return found.(T)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k = key{kind: k.kind, name: m.names.bound(k.name), team: m.teams.bound(k.team),
		class: m.classes.bound(k.class), reason: m.reasons.bound(k.reason)}
	if found, ok := m.items[k]; ok {
		return found.(T)
	}
	made := make()
	m.items[k] = made
	// Labels that contain slashes can make two keys share a name. The
	// snapshot shows both; only the registry's view lacks the second.
	_ = m.registry.Register(k.String(), made)
	return made
}

// labels is a set of values that stops growing at its bound. The mutex of
// the meter guards it.
type labels struct {
	limit int
	known ident.Set[string]
}

func newLabels(limit int) *labels { return &labels{limit: limit, known: ident.NewSet[string]()} }

// bound returns the value, or Other when it is new and the set is full. An
// empty value stands for no label.
func (l *labels) bound(value string) string {
	if value == "" {
		return ""
	}
	if !l.known.Has(value) && l.known.Len() >= l.limit {
		return OtherLabel
	}
	// The copy keeps a label from holding the request it was cut from.
	value = strings.Clone(value)
	l.known.Add(value)
	return value
}

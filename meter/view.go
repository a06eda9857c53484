package meter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Snapshot holds the values of all metrics at approximately one point in time.
type Snapshot struct {
	Counters  []CounterRecord `json:"counters"`
	Refusals  []RefusalRecord `json:"refusals"`
	Latencies []LatencyRecord `json:"latencies"`
	Gauges    []GaugeRecord   `json:"gauges"`
}

// CounterRecord is the value of a counter.
type CounterRecord struct {
	Name  string `json:"name"`
	Team  string `json:"team,omitempty"`
	Class string `json:"class,omitempty"`
	Value int64  `json:"value"`
}

// RefusalRecord is the number of requests refused for a reason.
type RefusalRecord struct {
	Team   string `json:"team,omitempty"`
	Class  string `json:"class,omitempty"`
	Reason string `json:"reason"`
	Value  int64  `json:"value"`
}

// LatencyRecord is the summary of a histogram. Count is the number of
// durations since the start. The other values refer to a sample of recent
// durations.
type LatencyRecord struct {
	Name   string  `json:"name"`
	Team   string  `json:"team,omitempty"`
	Class  string  `json:"class,omitempty"`
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean-ms"`
	P50MS  float64 `json:"p50-ms"`
	P90MS  float64 `json:"p90-ms"`
	P99MS  float64 `json:"p99-ms"`
	MaxMS  float64 `json:"max-ms"`
}

// GaugeRecord is the value of a gauge.
type GaugeRecord struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Snapshot returns the values of all metrics in a fixed order.
func (m *Meter) Snapshot() Snapshot {
	m.mutex.RLock()
	keys := make([]key, 0, len(m.metricsByKey))
	for k := range m.metricsByKey {
		keys = append(keys, k)
	}
	metricsByKey := make(map[key]any, len(keys))
	for _, k := range keys {
		metricsByKey[k] = m.metricsByKey[k]
	}
	m.mutex.RUnlock()
	slices.SortFunc(keys, compareKeys)
	s := Snapshot{
		Counters: []CounterRecord{}, Refusals: []RefusalRecord{}, Latencies: []LatencyRecord{}, Gauges: []GaugeRecord{},
	}
	for _, k := range keys {
		s.add(k, metricsByKey[k])
	}
	return s
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.team, b.team), cmp.Compare(a.class, b.class),
		cmp.Compare(a.reason, b.reason), cmp.Compare(a.kind, b.kind))
}

func (s *Snapshot) add(k key, metric any) {
	switch k.kind {
	case counterKind:
		s.Counters = append(s.Counters, CounterRecord{Name: k.name, Team: k.team, Class: k.class, Value: metric.(metrics.Counter).Count()})
	case refusalKind:
		s.Refusals = append(s.Refusals, RefusalRecord{Team: k.team, Class: k.class, Reason: k.reason, Value: metric.(metrics.Counter).Count()})
	case latencyKind:
		s.Latencies = append(s.Latencies, latencyRecord(k, metric.(metrics.Histogram).Snapshot()))
	case gaugeKind:
		s.Gauges = append(s.Gauges, GaugeRecord{Name: k.name, Value: metric.(metrics.Gauge).Value()})
	}
}

func latencyRecord(k key, h metrics.Histogram) LatencyRecord {
	p := h.Percentiles([]float64{0.5, 0.9, 0.99})
	return LatencyRecord{
		Name: k.name, Team: k.team, Class: k.class, Count: h.Count(), MeanMS: toMillis(h.Mean()),
		P50MS: toMillis(p[0]), P90MS: toMillis(p[1]), P99MS: toMillis(p[2]), MaxMS: toMillis(float64(h.Max())),
	}
}

func toMillis(nanoseconds float64) float64 { return nanoseconds / float64(time.Millisecond) }

// WriteText writes the snapshot as plain text with one metric per line.
func (s Snapshot) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, c := range s.Counters {
		fmt.Fprintf(&b, "%s%s %d\n", c.Name, formatLabels("team", c.Team, "class", c.Class), c.Value)
	}
	for _, r := range s.Refusals {
		fmt.Fprintf(&b, "refused%s %d\n", formatLabels("team", r.Team, "class", r.Class, "reason", r.Reason), r.Value)
	}
	for _, l := range s.Latencies {
		fmt.Fprintf(&b, "%s%s count=%d mean-ms=%.3f p50-ms=%.3f p90-ms=%.3f p99-ms=%.3f max-ms=%.3f\n", l.Name,
			formatLabels("team", l.Team, "class", l.Class), l.Count, l.MeanMS, l.P50MS, l.P90MS, l.P99MS, l.MaxMS)
	}
	for _, g := range s.Gauges {
		fmt.Fprintf(&b, "%s %d\n", g.Name, g.Value)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// formatLabels formats pairs of label names and values. It omits empty values.
func formatLabels(pairs ...string) string {
	var parts []string
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			parts = append(parts, fmt.Sprintf("%s=%q", pairs[i], pairs[i+1]))
		}
	}
	if parts == nil {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// Handler returns an HTTP handler that serves the metrics. The format is plain
// text if the query has format=text, or if it has no format and the caller
// accepts text/plain but not JSON. Otherwise it is JSON.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		s := m.Snapshot()
		// Write errors are ignored: the caller has closed the connection.
		if wantsText(r) {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			_ = s.WriteText(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s)
	})
}

func wantsText(r *http.Request) bool {
	if format := r.URL.Query().Get("format"); format != "" {
		return format == "text"
	}
	accept := r.Header.Get("Accept")
	return strings.Contains(accept, "text/plain") && !strings.Contains(accept, "application/json")
}

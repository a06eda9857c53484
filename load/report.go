package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Report is the result of a run. Its fields are those of the JSON form.
type Report struct {
	Seed          uint64             `json:"seed"`
	Seconds       float64            `json:"seconds"`
	Lookups       int                `json:"lookups"`
	FailedLookups int                `json:"failed-lookups"`
	Teams         []Summary          `json:"teams"`
	Classes       []Summary          `json:"classes"`
	Direct        *Summary           `json:"direct,omitempty"`
	Worst         *WorstServedRecord `json:"worst-served,omitempty"`
}

// Summary holds the counts and percentiles of one team, one class or the direct
// calls. Failed counts the requests that ran and whose status was 500 or more.
// Latencies are those of requests that ran, measured from the scheduled
// arrival. Lateness is the delay of the first attempt within the generator.
type Summary struct {
	Name          string         `json:"name"`
	Sent          int            `json:"sent"`
	Ran           int            `json:"ran"`
	Failed        int            `json:"failed"`
	Refused       map[string]int `json:"refused"`
	Wrongful      int            `json:"wrongful-refusals"`
	Disputed      int            `json:"disputed-refusals"`
	Unknown       int            `json:"unknown"`
	Unsent        int            `json:"unsent"`
	Skipped       int            `json:"skipped"`
	Resends       int            `json:"resends"`
	P50MS         float64        `json:"p50-ms"`
	P99MS         float64        `json:"p99-ms"`
	MaxMS         float64        `json:"max-ms"`
	LatenessP50MS float64        `json:"lateness-p50-ms"`
	LatenessP99MS float64        `json:"lateness-p99-ms"`
}

// WorstServedRecord compares the team with the highest 99th percentile of the
// latency with the median team. LeastRan is the team with the smallest share of
// requests that ran, and LeastShare is that share.
type WorstServedRecord struct {
	Team        string  `json:"team"`
	P99MS       float64 `json:"p99-ms"`
	MedianP99MS float64 `json:"median-p99-ms"`
	Ratio       float64 `json:"ratio"`
	LeastRan    string  `json:"least-ran-team"`
	LeastShare  float64 `json:"least-ran-share"`
}

func (c *statsCollector) report() Report {
	r := Report{Teams: []Summary{}, Classes: []Summary{}}
	for name, s := range c.teams {
		r.Teams = append(r.Teams, s.summary(string(name)))
	}
	for name, s := range c.classes {
		r.Classes = append(r.Classes, s.summary(string(name)))
	}
	byName := func(a, b Summary) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(r.Teams, byName)
	slices.SortFunc(r.Classes, byName)
	if c.direct != nil {
		direct := c.direct.summary("direct")
		r.Direct = &direct
	}
	r.Worst = worstServed(r.Teams)
	return r
}

func (s *groupStats) summary(name string) Summary {
	out := Summary{
		Name: name, Sent: s.sent, Ran: s.ran, Failed: s.failed, Refused: make(map[string]int, len(s.refused)),
		Wrongful: s.wrongful, Disputed: s.disputed, Unknown: s.unknown, Unsent: s.unsent, Skipped: s.skipped, Resends: s.resends,
		MaxMS: millis(float64(s.latency.Max())),
	}
	for reason, n := range s.refused {
		out.Refused[reason] = n
	}
	out.P50MS, out.P99MS = percentiles(s.latency)
	out.LatenessP50MS, out.LatenessP99MS = percentiles(s.lateness)
	return out
}

func percentiles(h metrics.Histogram) (p50, p99 float64) {
	p := h.Percentiles([]float64{0.5, 0.99})
	return millis(p[0]), millis(p[1])
}

func millis(nanoseconds float64) float64 { return nanoseconds / float64(time.Millisecond) }

// worstServed returns nil if no request of any team ran.
func worstServed(teams []Summary) *WorstServedRecord {
	var served []Summary
	// The initial LeastShare exceeds every possible share.
	record := WorstServedRecord{LeastShare: 2}
	for _, s := range teams {
		if s.Ran > 0 {
			served = append(served, s)
		}
		if share := float64(s.Ran) / float64(max(s.Sent, 1)); s.Sent > 0 && share < record.LeastShare {
			record.LeastRan, record.LeastShare = s.Name, share
		}
	}
	if len(served) == 0 {
		return nil
	}
	slices.SortFunc(served, func(a, b Summary) int { return cmp.Compare(a.P99MS, b.P99MS) })
	slowest := served[len(served)-1]
	record.Team, record.P99MS = slowest.Name, slowest.P99MS
	// For an even number of teams, this is the lower of the two middle ones.
	record.MedianP99MS = served[(len(served)-1)/2].P99MS
	if record.MedianP99MS > 0 {
		record.Ratio = record.P99MS / record.MedianP99MS
	}
	return &record
}

// WriteJSON writes the report in JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %.1f s, %d look-ups, %d of them failed\n", r.Seed, r.Seconds, r.Lookups, r.FailedLookups)
	fmt.Fprintf(&b, "%-16s %8s %8s %8s %8s %8s %8s %8s %8s %8s %9s %9s  %s\n",
		"team", "sent", "ran", "failed", "wrongful", "disputed", "unknown", "unsent", "skipped", "resends", "p50-ms", "p99-ms", "refused")
	for _, s := range r.Teams {
		s.writeRow(&b, s.Name)
	}
	for _, s := range r.Classes {
		s.writeRow(&b, "class "+s.Name)
	}
	if r.Direct != nil {
		r.Direct.writeRow(&b, r.Direct.Name)
	}
	if r.Worst != nil {
		fmt.Fprintf(&b, "worst-served team: %s, p99 %.3f ms, %.2f times the median team's %.3f ms\n",
			r.Worst.Team, r.Worst.P99MS, r.Worst.Ratio, r.Worst.MedianP99MS)
		fmt.Fprintf(&b, "least served share: %s, %.4f of its requests ran\n", r.Worst.LeastRan, r.Worst.LeastShare)
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (s Summary) writeRow(b *strings.Builder, name string) {
	reasons := make([]string, 0, len(s.Refused))
	for reason, n := range s.Refused {
		reasons = append(reasons, fmt.Sprintf("%s=%d", reason, n))
	}
	slices.Sort(reasons)
	fmt.Fprintf(b, "%-16s %8d %8d %8d %8d %8d %8d %8d %8d %8d %9.3f %9.3f  %s\n", name, s.Sent, s.Ran, s.Failed, s.Wrongful, s.Disputed, s.Unknown,
		s.Unsent, s.Skipped, s.Resends, s.P50MS, s.P99MS, strings.Join(reasons, " "))
}

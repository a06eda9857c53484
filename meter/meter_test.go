package meter

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rhubarbrack/ident"
)

// Guards against label values chosen by callers that exhaust the memory, and
// against events that are not counted once a bound is reached.
func TestLabelsAreBounded(t *testing.T) {
	cases := []struct {
		name  string
		count func(m *Meter, value string)
		read  func(s Snapshot) (values, sum int)
	}{
		{name: "teams", count: func(m *Meter, v string) { m.Count("sent", ident.Team(v), "bulk", 1) }, read: counters},
		{name: "classes", count: func(m *Meter, v string) { m.Count("sent", "a", ident.Class(v), 1) }, read: counters},
		{name: "names", count: func(m *Meter, v string) { m.Count(v, "a", "bulk", 1) }, read: counters},
		{name: "reasons", count: func(m *Meter, v string) { m.Refuse("a", "bulk", v) }, read: func(s Snapshot) (int, int) {
			sum := 0
			for _, r := range s.Refusals {
				sum += int(r.Value)
			}
			return len(s.Refusals), sum
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := New(WithTeams(3), WithClasses(3), WithNames(3), WithReasons(3))
			var all sync.WaitGroup
			for i := range 50 {
				all.Go(func() { tc.count(m, fmt.Sprintf("v%d", i)) })
			}
			all.Wait()
			if values, sum := tc.read(m.Snapshot()); values != 4 || sum != 50 {
				t.Errorf("%d values with sum %d, want 3 and %q with sum 50", values, sum, OtherLabel)
			}
		})
	}
}

func counters(s Snapshot) (values, sum int) {
	for _, c := range s.Counters {
		sum += int(c.Value)
	}
	return len(s.Counters), sum
}

// Guards against output with wrong labels or units, or that confuses metrics
// of different kinds with the same name.
func TestHandler(t *testing.T) {
	m := New()
	m.Count("sent", "a", "bulk", 2)
	m.Refuse("a", "bulk", "rate")
	m.SetGauge("sent", 7)
	for i := range 100 {
		m.Observe("sent", "a", "bulk", time.Duration(i+1)*time.Millisecond)
	}
	cases := []struct {
		name, path, accept, contentType string
		want                            []string
	}{
		{name: "text by query", path: "/?format=text", contentType: "text/plain; charset=utf-8", want: []string{
			`sent{team="a",class="bulk"} 2`, `refused{team="a",class="bulk",reason="rate"} 1`,
			`sent{team="a",class="bulk"} count=100 mean-ms=50.500 p50-ms=50.500`, "sent 7"}},
		{name: "text by header", path: "/", accept: "text/plain", contentType: "text/plain; charset=utf-8", want: []string{"sent 7"}},
		{name: "json", path: "/", accept: "application/json", contentType: "application/json", want: []string{
			`"gauges":[{"name":"sent","value":7}]`, `"p50-ms":50.5`, `"reason":"rate","value":1`, `"max-ms":100`}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest("GET", tc.path, nil)
			r.Header.Set("Accept", tc.accept)
			w := httptest.NewRecorder()
			m.Handler().ServeHTTP(w, r)
			if got := w.Header().Get("Content-Type"); got != tc.contentType {
				t.Errorf("content type %q, want %q", got, tc.contentType)
			}
			for _, part := range tc.want {
				if !strings.Contains(w.Body.String(), part) {
					t.Errorf("body %s lacks %s", w.Body, part)
				}
			}
			if tc.contentType == "application/json" && !json.Valid(w.Body.Bytes()) {
				t.Errorf("body is not JSON: %s", w.Body)
			}
		})
	}
}

// BenchmarkObserve measures the cost of recording a latency, which is added to
// each request.
func BenchmarkObserve(b *testing.B) {
	m := New()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			m.Observe("latency", "team-1", "bulk", time.Millisecond)
		}
	})
}

package ledger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/ident"
	"rhubarbrack/route"
	"rhubarbrack/tasks"
)

// Guards against a retry budget that is exceeded, so that retries multiply the
// load of a failing service.
func TestRetryBudget(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		ratio    float64
		want     int
	}{
		{name: "initial tokens of a new service", want: initialRetryTokens},
		{name: "ratio of the requests", requests: 100, ratio: 0.1, want: initialRetryTokens + 10},
		{name: "accumulated tokens are bounded", requests: 100_000, ratio: 0.1, want: maxRetryTokens},
		{name: "no budget", requests: 1000, ratio: 0, want: initialRetryTokens},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newRetryBudget()
			for range tc.requests {
				b.recordRequest(tc.ratio)
			}
			got := 0
			for b.tryRetry() {
				got++
			}
			// Adding ratios such as 0.1 accumulates rounding errors.
			if math.Abs(float64(got-tc.want)) > 1 {
				t.Errorf("%d retries, want %d", got, tc.want)
			}
		})
	}
}

// Guards against a Recorder that evicts recent requests or grows without
// bound.
func TestExplain(t *testing.T) {
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer system.Shutdown()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	recorder, err := Start(ctx, system, WithClock(clock.NewManual(time.Unix(0, 0))), WithCapacity(10))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 25 {
		request := route.NewRequest(ident.RequestID(fmt.Sprint(i)), "s.test", "GET", "/x")
		recorder.Record(request, route.Refuse(route.ReasonRateExceeded, "", 0), time.Unix(0, 0), time.Millisecond)
	}
	cases := []struct {
		name string
		id   ident.RequestID
		want bool
	}{
		{name: "latest", id: "24", want: true},
		{name: "oldest retained", id: "15", want: true},
		{name: "evicted", id: "14"},
		{name: "unknown", id: "99"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			entry, ok, err := recorder.Explain(ctx, tc.id)
			if err != nil {
				t.Fatal(err)
			}
			if ok != tc.want || ok && entry.Result().Reason() != route.ReasonRateExceeded {
				t.Errorf("Explain = %+v, %v; want found: %v", entry, ok, tc.want)
			}
		})
	}
}

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

// Guards against retries that multiply the load of a failing service.
func TestBudget(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		share    float64
		want     int
	}{
		{name: "a new service may retry a little", want: initialRetries},
		{name: "share of the requests", requests: 100, share: 0.1, want: initialRetries + 10},
		{name: "quiet times save up no more than the bound", requests: 100_000, share: 0.1, want: maxRetries},
		{name: "no budget", requests: 1000, share: 0, want: initialRetries},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b := newBudget()
			for range tc.requests {
				b.earn(tc.share)
			}
			got := 0
			for b.spend() {
				got++
			}
			// Shares such as 0.1 add up with rounding errors.
			if math.Abs(float64(got-tc.want)) > 1 {
				t.Errorf("%d retries, want %d", got, tc.want)
			}
		})
	}
}

// Guards against a ledger that forgets recent requests or grows without bound.
func TestExplain(t *testing.T) {
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer system.Shutdown()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := Start(ctx, system, WithClock(clock.NewManual(time.Unix(0, 0))), WithEntries(10))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 25 {
		q := route.NewRequest(ident.RequestID(fmt.Sprint(i)), "s.test", "GET", "/x")
		l.Record(q, route.Refuse(route.ReasonRateExceeded, "", 0), time.Unix(0, 0), time.Millisecond)
	}
	cases := []struct {
		name string
		id   ident.RequestID
		want bool
	}{
		{name: "latest", id: "24", want: true},
		{name: "oldest that is kept", id: "15", want: true},
		{name: "pushed out", id: "14"},
		{name: "never seen", id: "99"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			entry, ok, err := l.Explain(ctx, tc.id)
			if err != nil {
				t.Fatal(err)
			}
			if ok != tc.want || ok && entry.Result().Reason() != route.ReasonRateExceeded {
				t.Errorf("Explain = %+v, %v; want found: %v", entry, ok, tc.want)
			}
		})
	}
}

package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"rhubarbrack/clock"
	"rhubarbrack/tasks"
)

// TestLane guards against long answers that pass faster than the link, and
// against one that waits behind a later one.
func TestLane(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	steps := []struct {
		name  string
		after time.Duration
		// began lists the starts of the answers that ask, after start.
		began []time.Duration
		// passes is the start of the answer that passes, or -1.
		passes time.Duration
	}{
		{"idle link", 0, []time.Duration{3}, 3},
		{"busy link", time.Second - 1, []time.Duration{5, 4, 3}, -1},
		{"earliest answer", 1, nil, 3},
		{"second", time.Second, nil, 4},
		{"an earlier one asks again", time.Second, []time.Duration{2}, 2},
		{"last", 5 * time.Second, nil, 5},
		{"none", 5 * time.Second, nil, -1},
	}
	l := lane{rate: 1000}
	now := start
	for _, s := range steps {
		now = now.Add(s.after)
		for _, b := range s.began {
			l.add(pass{began: start.Add(b), bytes: 1000})
		}
		p, ok := l.next(now)
		if ok != (s.passes >= 0) || ok && !p.began.Equal(start.Add(s.passes)) {
			t.Errorf("%s: %v passes at %v, want %v", s.name, p.began.Sub(start), now.Sub(start), s.passes)
		}
		if _, more := l.next(now); ok && more {
			t.Errorf("%s: two pieces pass at once", s.name)
		}
	}
}

// TestPacedReader guards against bytes that get lost in the wait for the link.
func TestPacedReader(t *testing.T) {
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	p, err := StartPacer(t.Context(), system, clock.Wall(), 100e6)
	if err != nil {
		t.Fatal(err)
	}
	want := bytes.Repeat([]byte("0123456789"), 10*pacedBytes/7)
	got, err := io.ReadAll(p.reader(context.Background(), bytes.NewReader(want), time.Now()))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, error %v; want the %d that were sent", len(got), err, len(want))
	}
}

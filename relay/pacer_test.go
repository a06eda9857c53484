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

// TestLinkQueue guards against sending long responses faster than the link, and
// against a response that waits behind one that started later.
func TestLinkQueue(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	steps := []struct {
		name  string
		after time.Duration
		// startedAt lists the start times, after start, of responses that add
		// a chunk.
		startedAt []time.Duration
		// sent is the start time of the response whose chunk is sent, or -1.
		sent time.Duration
	}{
		{"idle link", 0, []time.Duration{3}, 3},
		{"busy link", time.Second - 1, []time.Duration{5, 4, 3}, -1},
		{"earliest response", 1, nil, 3},
		{"second", time.Second, nil, 4},
		{"another chunk of an earlier response", time.Second, []time.Duration{2}, 2},
		{"last", 5 * time.Second, nil, 5},
		{"none", 5 * time.Second, nil, -1},
	}
	queue := linkQueue{rate: 1000}
	now := start
	for _, s := range steps {
		now = now.Add(s.after)
		for _, b := range s.startedAt {
			queue.add(chunk{startedAt: start.Add(b), bytes: 1000})
		}
		c, ok := queue.next(now)
		if ok != (s.sent >= 0) || ok && !c.startedAt.Equal(start.Add(s.sent)) {
			t.Errorf("%s: %v sent at %v, want %v", s.name, c.startedAt.Sub(start), now.Sub(start), s.sent)
		}
		if _, more := queue.next(now); ok && more {
			t.Errorf("%s: two chunks sent at once", s.name)
		}
	}
}

// TestPacedReader guards against losing bytes while waiting for the link.
func TestPacedReader(t *testing.T) {
	system := tasks.NewSystem(slog.New(slog.DiscardHandler))
	defer system.Shutdown()
	p, err := StartPacer(t.Context(), system, clock.Wall(), 100e6)
	if err != nil {
		t.Fatal(err)
	}
	want := bytes.Repeat([]byte("0123456789"), 10*chunkBytes/7)
	got, err := io.ReadAll(p.reader(context.Background(), bytes.NewReader(want), time.Now()))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, error %v; want the %d that were sent", len(got), err, len(want))
	}
}

package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"slices"
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

// TestLinkQueueAtStop guards against a stopping host that sends long responses before
// those that need less of the time that is left.
func TestLinkQueueAtStop(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	cases := []struct {
		name string
		// before and after list the bytes left of responses that wait when the host
		// begins to stop, and of those that come later.
		before, after []int64
		sent          []int64
	}{
		{"waiting", []int64{300, 100, 200}, nil, []int64{100, 200, 300}},
		{"later", []int64{300}, []int64{200, 400, 100}, []int64{100, 200, 300, 400}},
		{"unknown length", []int64{unknownLength, 300}, []int64{100}, []int64{100, 300, unknownLength}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			queue := linkQueue{rate: 1000}
			now := start
			add := func(left []int64) {
				for _, n := range left {
					now = now.Add(time.Millisecond)
					queue.add(chunk{startedAt: now, left: n, bytes: 100})
				}
			}
			add(c.before)
			queue.sendShortestFirst()
			add(c.after)
			var sent []int64
			for range c.sent {
				now = now.Add(time.Second)
				next, _ := queue.next(now)
				sent = append(sent, next.left)
			}
			if !slices.Equal(sent, c.sent) {
				t.Errorf("sent %v, want %v", sent, c.sent)
			}
		})
	}
}

// TestPacerAtStop guards against a stopping host that leaves most of its link unused
// while accepted responses wait for it.
func TestPacerAtStop(t *testing.T) {
	cases := []struct {
		name   string
		change func(p *Pacer)
		rate   float64
	}{
		{"requests are taken", func(*Pacer) {}, maxPacedShare * 1000},
		{"stopping", (*Pacer).Drain, maxPacedShare * 1000},
		{"no more requests", (*Pacer).Finish, lastPacedShare * 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			system := tasks.NewSystem(slog.New(slog.DiscardHandler))
			defer system.Shutdown()
			manual := clock.NewManual(time.Unix(1_000_000, 0))
			task := &pacerTask{ctx: t.Context(), clock: manual, link: 1000, queue: linkQueue{rate: PacedRate(1000)}}
			ref, err := tasks.Spawn(t.Context(), system, "pacer", task)
			if err != nil {
				t.Fatal(err)
			}
			task.self = ref
			c.change(&Pacer{ref: ref, clock: manual})
			// The task handles messages in their order.
			if _, err := tasks.Ask(t.Context(), ref, func(reply tasks.Reply[struct{}]) any {
				return chunk{startedAt: manual.Now(), bytes: 100, reply: reply}
			}); err != nil {
				t.Fatal(err)
			}
			if task.queue.rate != c.rate {
				t.Errorf("%v bytes per second, want %v", task.queue.rate, c.rate)
			}
		})
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
	got, err := io.ReadAll(p.reader(context.Background(), bytes.NewReader(want), time.Now(), unknownLength))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%d bytes, error %v; want the %d that were sent", len(got), err, len(want))
	}
}
